//! Control logic of one daemon as a pure state machine: the replicated log with its state, configuration
//! leases, what is in force, and the controllers that only the leader runs.
//!
//! A driver feeds [`Input`]s with the time to [`ControlNode::step`] and carries out the [`Output`]s in order.
//! There is no I/O, clock or thread here: the daemon's control thread, the simulator and the hollow fleet drive
//! the very same code. What is decided lies in `placement`, what must hold in `state`.

mod account;
mod admission;
mod announcement;
mod blackboard;
mod catch_up;
mod census;
mod compression;
mod controllers;
mod copies;
mod core_outputs;
mod daemon_changes;
mod driver_io;
mod gateway;
mod gateway_inputs;
mod hearing;
mod leader;
mod leading;
mod lease_answers;
mod lease_proxy;
mod lease_requests;
mod leases;
mod node;
mod own_lease;
mod successors;
mod view;
mod voter;
mod voter_zones;
mod zone_balance;

pub use account::Account;
pub use admission::{Candidates, Group, voters_to_lose};
pub use announcement::Announcements;
pub use blackboard::{Blackboard, Observed};
pub use catch_up::{CatchUp, RetainedCommands};
pub use census::{EntryCensus, FromDaemons};
pub use compression::{compress, decompress};
pub use dockwood_grouping::{GroupingPolicy, ProbeResult};
pub use driver_io::{GrantedLease, Input, Moment, OrderToSend, Output, StoredSnapshot};
pub use gateway::{GatewayLeadership, InstanceProbe, ProbeQuestion};
pub use hearing::{Hearing, PULSE_EVERY_MS};
pub use leases::{FETCH_TIMEOUT_MS, HOLD_MS, LEASE_ANSWER_TIMEOUT_MS, LEASE_MS, LeaseTable, News};
pub use node::{ControlNode, LEADER_LEASES_UP_TO, Options, voters_of};
pub use zone_balance::{ZoneCounts, ZonesById};

/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;
