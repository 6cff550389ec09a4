//! Messages of admission: slots of a pool, evidence on replicas, and records of requests.

use crate::caller::Outcome;
use crate::code::ResultCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry's request for a slot of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Deployment resource name, which names the pool.
    pub pool: String,
    /// Request id.
    pub request_id: String,
    /// The entry's name, so that its slots are freed when it dies.
    pub entry: String,
    /// Tenant resource name.
    pub tenant: String,
    /// Prompt and expected answer tokens, for fair shares.
    pub cost_tokens: u32,
    /// Digests of the prompt's blocks, first block first.
    pub prefix_blocks: Vec<u64>,
    /// Milliseconds that the request may wait for a slot.
    pub wait_ms: u32,
    /// Replicas to leave out, where the entry saw them fail.
    pub avoid: Vec<String>,
}

/// Permission to send one request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifies the slot when it is returned.
    pub slot: u64,
    /// Replica resource name.
    pub replica: String,
    /// Epoch that was evident.
    pub epoch: u64,
    /// The head's engine address.
    pub head: SocketAddr,
    /// Engine priority, from the tenant's tier.
    pub priority: u8,
    /// How long the grant may be used, in milliseconds from its receipt; bounded by the evidence window.
    pub valid_ms: u32,
    /// How long the request waited at the coordinator, in milliseconds.
    pub queued_ms: u32,
}

/// Why no slot was granted; the request has not been run by this call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// A code of the not-run family.
    pub code: ResultCode,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u32,
    /// For people.
    pub message: String,
}

/// Answer to an [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// Go ahead.
    Granted(Grant),
    /// Give up, with the reason for the caller.
    Refused(Refusal),
    /// This daemon does not coordinate the pool.
    NotCoordinator,
}

/// An entry hands a slot back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReturn {
    /// The pool.
    pub pool: String,
    /// From the grant.
    pub slot: u64,
    /// The replica broke under the request; it gets no more until new evidence arrives.
    pub replica_broken: bool,
}

/// A watcher's word on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    /// Replica resource name.
    pub replica: String,
    /// The pool it belongs to.
    pub pool: String,
    /// Epoch that the head reports.
    pub epoch: u64,
    /// Every member is alive and loaded for this epoch.
    pub complete: bool,
    /// Members without a sign of life.
    pub missing: Vec<String>,
    /// The receiver's own clock as of its answer to an earlier report, which the watcher had before it looked.
    /// So the receiver knows, by its own clock, that the evidence is no older than this, however long the report
    /// was on its way. 0 in the first report, which opens nothing.
    pub echo_ms: u64,
}

/// What an entry tells the keepers of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Tenant and request id, in one key.
    pub key: String,
    /// Digest of the request's content, so that a reused id is told from a resend.
    pub content_digest: u64,
    /// Where it stands.
    pub outcome: Outcome,
    /// The code it ended with.
    pub code: Option<ResultCode>,
    /// The entry that runs or ran it.
    pub entry: String,
    /// The whole answer, once done.
    pub answer: Option<KeptAnswer>,
}

/// A finished answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}
