//! Inputs and outputs of a coordinator.

use crate::choice::ChoicePolicy;
use dockwood_api::peer::{AcquireRequest, Grant, Refusal, ReplicaEvidence, SlotReturn};
use dockwood_api::resource::TenantLimits;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a waiting call; assigned by the caller of [`Coordinator::step`].
pub type Ticket = u64;

/// A replica of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolReplica {
    /// Replica resource name.
    pub name: String,
    /// Current epoch.
    pub epoch: u64,
    /// Engine address of the head machine.
    pub head: SocketAddr,
    /// Whether the replica is loaded and not draining.
    pub serving: bool,
    /// Whether the replica is draining; it is reported once no request is in flight.
    pub draining: bool,
}

/// Scheduling parameters of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantShare {
    /// Priority tier; 0 is served first.
    pub tier: u8,
    /// Weight within the tier.
    pub weight: u32,
    /// Rate and concurrency limits.
    pub limits: TenantLimits,
}

/// Configuration of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolConfig {
    /// Incremented with every change of coordinator; makes slot numbers unique.
    pub term: u64,
    /// Maximum number of concurrent requests per replica.
    pub slots_per_replica: u32,
    /// Maximum number of waiting requests.
    pub queue_limit: u32,
    /// Number of replicas that the deployment declares.
    pub declared_replicas: u32,
    /// The pool's replicas.
    pub replicas: Vec<PoolReplica>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, TenantShare>,
    /// Policy for selecting replicas.
    pub policy: ChoicePolicy,
}

/// An event that the coordinator processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// The configuration changed.
    Configure(PoolConfig),
    /// A watcher reported on a replica.
    Evidence(ReplicaEvidence),
    /// An entry requests a slot.
    Acquire {
        /// Identifies the call in outputs.
        ticket: Ticket,
        /// The request.
        request: AcquireRequest,
    },
    /// The entry stopped waiting.
    Cancel {
        /// The call that is cancelled.
        ticket: Ticket,
    },
    /// An entry returns a slot.
    Release(SlotReturn),
    /// An entry reports all slots that it holds, each with its replica.
    EntryHolds {
        /// Name of the entry.
        entry: String,
        /// Slot numbers and replica names.
        slots: Vec<(u64, String)>,
    },
    /// Time has passed; expires calls and slots.
    Tick,
}

/// An action for the caller of [`Coordinator::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer the call with a grant.
    Granted(Ticket, Grant),
    /// Answer the call with a refusal.
    Refused(Ticket, Refusal),
    /// A draining replica has no requests in flight.
    ReplicaIdle {
        /// Replica resource name.
        replica: String,
        /// Epoch of the replica.
        epoch: u64,
    },
}

/// Load of one replica, for status and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Replica resource name.
    pub replica: String,
    /// Slots in use.
    pub used: u32,
    /// Whether the serving gate is open.
    pub open: bool,
}

/// State of the pool, for status and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Waiting requests by tier.
    pub waiting: BTreeMap<u8, usize>,
    /// Load of each replica.
    pub replicas: Vec<ReplicaLoad>,
}
