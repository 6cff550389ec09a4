//! Decides which servers form which groups, when a group opens, and when it is closed and its servers are
//! free again.
//!
//! All decisions are pure functions: each module reads the replicated tables and the observations of the
//! control leader, and returns commands with their reasons, or orders to send. Nothing here performs I/O,
//! waits or stores data.
//!
//! Invariants: a group opens only after every member has reported itself ready under the group's name and
//! epoch, and a member becomes free again only once it is certain that the head no longer serves the group.
//!
//! Terms: an entry is a daemon that accepts requests of clients, the head is the member of a group that
//! receives its requests, and the places of a group are the requests that it may hold at a time.

mod capacity;
mod capacity_balance;
mod cold_start;
mod conversion;
mod demand;
mod departures;
mod dispatch;
mod domains;
mod group_evidence;
mod heartbeat;
mod instances;
mod lifecycle;
mod membership;
mod observations;
mod orders;
mod outstanding_joins;
mod packing;
mod places;
mod plan;
mod required_orders;
mod scope;
mod serving_heads;
mod settled_joins;
mod slow_members;
mod slow_server_detection;
mod staging;
mod stale_members;
mod utility;

pub use capacity::{RequestWork, group_time_ms, places_of_group};
pub use cold_start::{COLD_SLOW_START_MS, ColdLimit, ColdPacing, SENDERS_AT_ONCE, SendRate, grant_valid_ms};
pub use demand::{Demand, ModelDemand};
pub use departures::departing_groups;
pub use dispatch::Dispatcher;
pub use heartbeat::HeartbeatInterval;
pub use instances::{Absence, AbsenceCause, InstanceObservation, LeaveOrder, LeftGroup, ProbeResult};
pub use lifecycle::{ScanScope, advance_groups, full_scan_interval_ms, reap_instances, release_members};
pub use observations::Observations;
pub use orders::{OrderKind, OrderTracker};
pub use outstanding_joins::{ORDER_TIMEOUT_MS, OutstandingJoins};
pub use places::{GroupPlaces, PlaceAllocator};
pub use plan::{Plan, plan, plan_interval_ms};
pub use scope::ScopeDispatch;
pub use settled_joins::settle_joins;
pub use slow_members::replace_slow_members;
pub use staging::{StagingInProgress, StagingPriority, StagingRequest};
pub use stale_members::StaleMembers;

/// Monotonic milliseconds.
pub type Millis = u64;

use dockwood_state::GatewayTables;

/// The input of the decisions.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Replicated tables.
    pub tables: &'a GatewayTables,
    /// The leader's observations.
    pub observations: &'a Observations,
    /// Current time on the leader's clock.
    pub now: Millis,
    /// Time limits of the deployment.
    pub policy: GroupingPolicy,
}

/// Time limits that a deployment's engines guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupingPolicy {
    /// A group that lost a member is stalled for this long, and broken after that.
    pub stall_ms: Millis,
    /// A leaving member continues to listen for at least this long after its announcement was acknowledged.
    /// Once it no longer listens, its group accepts no new requests.
    pub drain_ms: Millis,
    /// How often servers send heartbeats.
    pub heartbeat: HeartbeatInterval,
}

impl Default for GroupingPolicy {
    fn default() -> Self {
        const STALL_MS: Millis = 6_000;
        const DRAIN_MS: Millis = 2_500;
        GroupingPolicy { stall_ms: STALL_MS, drain_ms: DRAIN_MS, heartbeat: HeartbeatInterval::default() }
    }
}
