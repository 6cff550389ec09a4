//! Admission messages: slots of a pool, evidence on replicas, and request records.

use crate::caller::Outcome;
use crate::code::ResultCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry's request for a slot of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Name of the pool, which is the resource name of its deployment.
    pub pool: String,
    /// Request id.
    pub request_id: String,
    /// Name of the entry, so that its slots are freed if it fails.
    pub entry: String,
    /// Tenant resource name.
    pub tenant: String,
    /// Sum of prompt tokens and expected response tokens, for fair sharing.
    pub cost_tokens: u32,
    /// Digests of the prompt's blocks, in order.
    pub prefix_blocks: Vec<u64>,
    /// Maximum time that the request may wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Replicas to exclude because the entry saw them fail.
    pub avoid: Vec<String>,
    /// Identifies the search for a slot that this call belongs to. A call that is repeated because it was not answered
    /// replaces the earlier one.
    pub search: u64,
    /// Number of this call within its search: calls may arrive in another order.
    pub call: u32,
    /// Slots of the tenant that the entry has returned without an acknowledgement so far. They are released before the
    /// request is considered.
    pub returned: Vec<SlotReturn>,
}

/// Permission to send one request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Id of the slot, needed to return it.
    pub slot: u64,
    /// Replica resource name.
    pub replica: String,
    /// Epoch for which there was evidence.
    pub epoch: u64,
    /// Engine address of the head.
    pub head: SocketAddr,
    /// Engine priority, from the tenant's tier.
    pub priority: u8,
    /// Validity of the grant, in milliseconds from its receipt; limited by the validity of the evidence.
    pub valid_ms: u32,
    /// How long the request waited at the coordinator, in milliseconds.
    pub queued_ms: u32,
}

/// Why no slot was granted. This call has not caused the request to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code; one that guarantees that the request was not run.
    pub code: ResultCode,
    /// When to retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Human-readable message.
    pub message: String,
}

/// Response to an [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// A slot was granted.
    Granted(Grant),
    /// No slot was granted, for a reason to be returned to the caller.
    Refused(Refusal),
    /// This daemon does not coordinate the pool.
    NotCoordinator,
}

/// An entry returns a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReturn {
    /// Name of the pool.
    pub pool: String,
    /// Slot id from the grant.
    pub slot: u64,
    /// Whether the replica failed during the request; it receives no more requests until new evidence arrives.
    pub replica_broken: bool,
}

/// Evidence of a watcher on the state of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    /// Replica resource name.
    pub replica: String,
    /// Name of its pool.
    pub pool: String,
    /// Epoch reported by the head.
    pub epoch: u64,
    /// Whether every member is alive and loaded for this epoch.
    pub complete: bool,
    /// Members that have not responded.
    pub missing: Vec<String>,
    /// The receiver's own clock from its response to an earlier report, which the watcher received before it
    /// collected this evidence. By its own clock, the receiver thus knows that the evidence is no older than this,
    /// however long the report took to arrive. 0 in the first report, which therefore can't cause a grant.
    pub echo_ms: u64,
}

/// Record of a request, sent by its entry to the daemons that store it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Key that combines tenant and request id.
    pub key: String,
    /// Digest of the request's content, to distinguish a request that is sent again from a reused id.
    pub content_digest: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Result code, once it has ended.
    pub code: Option<ResultCode>,
    /// Name of the entry that processes or processed it.
    pub entry: String,
    /// The complete response, once it is done.
    pub answer: Option<StoredAnswer>,
}

/// A stored complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}
