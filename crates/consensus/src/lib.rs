//! The consensus core: Raft with pre-vote, check-quorum, leader lease and read index, as a pure state machine.
//!
//! A driver passes [`Input`]s with the current time to [`Node::step`] and executes the returned [`Output`]s in order.
//! The crate performs no I/O, reads no clock and starts no threads, so the same code runs in a daemon and in the
//! simulator. Commands are opaque to it, and the driver stores the snapshots.
//!
//! Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, and
//! Ongaro's dissertation for pre-vote (9.6), check-quorum (6.2) and read index (6.4).

mod election;
mod log;
mod membership;
mod message;
mod node;
mod replication;
mod types;

pub use log::EntryLog;
pub use message::{Body, Message, Probe};
pub use node::Node;
pub use types::{
    Entry, HardState, Input, LogIndex, Millis, NodeId, Output, Payload, Recovered, RoleName, Settings, Term,
    Voter,
};
