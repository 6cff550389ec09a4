//! Control logic of one daemon as a pure state machine: the replicated log and its state, configuration
//! leases, the in-force revision, and the controllers that only the leader runs.
//!
//! A driver passes timestamped [`Input`]s to [`ControlNode::step`] and carries out the [`Output`]s in order.
//! There is no I/O, clock or thread in this crate: the daemon's control thread, the simulator and the fleet
//! tests without real daemons run the same code. Placement decisions are made in `placement`, invariants are
//! enforced in `state`.

mod address_takeovers;
mod admission;
mod announcements;
mod blackboard;
mod catch_up;
mod compression;
mod consensus_outputs;
mod controllers;
mod daemon_changes;
mod driver_io;
mod entry_summary;
mod formation_times;
mod gateway;
mod gateway_inputs;
mod heartbeat_origin;
mod input_lag;
mod leader;
mod lease_proxy;
mod lease_requests;
mod lease_responder;
mod leases;
mod log_size;
mod node;
mod own_lease;
mod prompt_suspicion;
mod snapshot_sources;
mod timeline;
mod unexpected_memberships;
mod view;
mod voter;
mod voter_turn;
mod voter_zones;
mod zone_balance;

pub use admission::{Candidates, VoterGroup, voters_for_losses};
pub use announcements::Announcements;
pub use blackboard::{Blackboard, Observed};
pub use catch_up::{CatchUp, RetainedCommands};
pub use compression::{compress, decompress};
pub use dockwood_grouping::{GroupingPolicy, ORDER_TIMEOUT_MS, ProbeResult};
pub use driver_io::{GrantedLease, Input, Moment, OrderToSend, Output, StoredSnapshot};
pub use entry_summary::{DaemonDerived, EntrySummary};
pub use formation_times::FormationTimes;
pub use gateway::{GatewayLeaderState, InstanceProbe, ProbeQuestion};
pub use heartbeat_origin::ForeignHeartbeat;
pub use input_lag::{InputLag, PULSE_INTERVAL_MS};
pub use leases::{
    FETCH_TIMEOUT_MS, LEASE_ANSWER_TIMEOUT_MS, LEASE_MS, LONG_POLL_MS, LeaseTable, Notification,
};
pub use node::{ControlNode, LEADER_LEASES_UP_TO, Options, voters_of};
pub use timeline::TimelineEvent;
pub use unexpected_memberships::UnexpectedMembership;
pub use zone_balance::{ZoneCounts, ZonesById};

/// Monotonic time of this process in milliseconds.
pub type Millis = u64;
