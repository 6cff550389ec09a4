//! Routing decisions: which request gets the next slot, on which replica, and which entry address a caller
//! should use.
//!
//! This crate is pure: time is passed in as milliseconds and results are returned as values. It performs no
//! I/O, and it does not assign machines or coordinators (see the `placement` crate).

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
mod withheld;

pub use choice::{Candidate, ChoicePolicy, choose};
pub use coordinator::{
    Coordinator, Input, Output, PoolConfig, PoolReplica, PoolSnapshot, ReplicaLoad, TenantShare, Ticket,
};
pub use entry::{EntryCandidate, entry_order};
pub use gate::{EVIDENCE_WINDOW_MS, EvidenceTable};
pub use prefix::{PREFIX_BLOCK_BYTES, PrefixIndex, prefix_blocks};
pub use retry::RetryBudget;
pub use service::{BackendPicker, BackendState, CallResult};
pub use withheld::WithheldSends;

/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;
