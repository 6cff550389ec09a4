//! What goes into a coordinator and what comes out of it.

use crate::choice::ChoicePolicy;
use dockwood_api::peer::{AcquireRequest, Grant, Refusal, ReplicaEvidence, SlotReturn};
use dockwood_api::resource::TenantLimits;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a waiting call; chosen by the caller of [`Coordinator::step`].
pub type Ticket = u64;

/// A replica of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolReplica {
    /// Resource name.
    pub name: String,
    /// Current epoch.
    pub epoch: u64,
    /// The head's engine address.
    pub head: SocketAddr,
    /// Loaded and not draining.
    pub serving: bool,
    /// To be reported once nothing is in flight.
    pub draining: bool,
}

/// A tenant's place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantShare {
    /// 0 first.
    pub tier: u8,
    /// Share within the tier.
    pub weight: u32,
    /// Limits.
    pub limits: TenantLimits,
}

/// What the configuration says of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolConfig {
    /// Grows with every change of coordinator; makes slot numbers unique.
    pub term: u64,
    /// Requests that one replica runs at once.
    pub slots_per_replica: u32,
    /// Requests that may wait.
    pub queue_limit: u32,
    /// Replicas declared.
    pub declared_replicas: u32,
    /// The pool's replicas.
    pub replicas: Vec<PoolReplica>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, TenantShare>,
    /// How replicas are chosen.
    pub policy: ChoicePolicy,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The configuration changed.
    Configure(PoolConfig),
    /// A watcher reports.
    Evidence(ReplicaEvidence),
    /// An entry asks for a slot.
    Acquire {
        /// Names the call in outputs.
        ticket: Ticket,
        /// The call.
        request: AcquireRequest,
    },
    /// The entry gave up waiting.
    Cancel {
        /// The call.
        ticket: Ticket,
    },
    /// An entry returns a slot.
    Release(SlotReturn),
    /// An entry shows all slots it holds, each with its replica.
    EntryHolds {
        /// The entry.
        entry: String,
        /// Slot and replica.
        slots: Vec<(u64, String)>,
    },
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer the call with a grant.
    Granted(Ticket, Grant),
    /// Answer the call with a refusal.
    Refused(Ticket, Refusal),
    /// A draining replica has nothing in flight.
    ReplicaIdle {
        /// Resource name.
        replica: String,
        /// Its epoch.
        epoch: u64,
    },
}

/// Load of one replica, for status and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Resource name.
    pub replica: String,
    /// Slots in use.
    pub used: u32,
    /// Whether the gate is open.
    pub open: bool,
}

/// State of the pool, for status and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Waiting requests by tier.
    pub waiting: BTreeMap<u8, usize>,
    /// Load by replica.
    pub replicas: Vec<ReplicaLoad>,
}
