//! Routing decisions: which request gets a slot next, on which replica, and which address a caller should use.
//!
//! Everything here is pure: time comes in as milliseconds, results go out as values. It sends nothing, and it
//! does not assign machines or coordinators (that is `placement`).

pub mod admission;
mod choice;
mod coordinator;
mod entry;
mod gate;
pub mod gateway;
mod prefix;
pub mod pushback;
mod retry;
mod service;

pub use choice::{Candidate, ChoicePolicy, choose};
pub use coordinator::{
    Coordinator, Input, Output, PoolConfig, PoolReplica, PoolSnapshot, ReplicaLoad, TenantShare, Ticket,
};
pub use entry::{EntryCandidate, entry_order};
pub use gate::{EVIDENCE_WINDOW_MS, EvidenceTable};
pub use prefix::{PREFIX_BLOCK_BYTES, PrefixIndex, prefix_blocks};
pub use retry::RetryBudget;
pub use service::{BackendPicker, BackendState, CallResult};

/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;
