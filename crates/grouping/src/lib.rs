//! Which servers form which groups, when a group opens, and when it is closed and its servers are free again.
//!
//! Pure decisions: each file looks at the replicated tables and at what the control leader has observed, and returns
//! commands with their reasons, or orders to send. Nothing here sends, waits or stores.
//!
//! Invariants that the decisions keep: a group opens only once every member has reported itself ready under the
//! group's name and epoch; a member is free again only once the head surely doesn't serve any more.

mod capacity;
mod cold;
mod demand;
mod departures;
mod dispatch;
mod domains;
mod heartbeat;
mod instances;
mod lending;
mod lifecycle;
mod membership;
mod need;
mod observations;
mod orders;
mod packing;
mod places;
mod plan;
mod scope;
mod slow_members;
mod slowness;
mod staging;
mod wanted;
mod worth;

pub use capacity::{RequestWork, group_ms, places_of_group};
pub use cold::{COLD_SLOW_START_MS, ColdLimit, ColdPacing, SENDERS_AT_ONCE, SendRate, grant_valid_ms};
pub use demand::{Demand, ModelDemand};
pub use departures::departing_groups;
pub use dispatch::Dispatcher;
pub use heartbeat::HeartbeatInterval;
pub use instances::{InstanceObservation, ProbeResult, UnansweredJoin};
pub use lifecycle::{Scrutiny, advance_groups, reap_instances, release_members, scrutiny_pause_ms};
pub use observations::Observations;
pub use orders::{OrderBook, OrderKind};
pub use places::{GroupPlaces, PlaceLedger};
pub use plan::{Plan, plan, plan_pause_ms};
pub use scope::ScopeDispatch;
pub use slow_members::replace_slow_members;
pub use staging::{StagingUnderWay, StagingWish, Urgency};

/// Monotonic milliseconds.
pub type Millis = u64;

use dockwood_state::GatewayTables;

/// What the decisions look at.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Replicated tables.
    pub tables: &'a GatewayTables,
    /// What the leader has observed.
    pub observations: &'a Observations,
    /// The leader's clock.
    pub now: Millis,
    /// Bounds of the deployment.
    pub policy: GroupingPolicy,
}

/// Bounds that a deployment's engines keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupingPolicy {
    /// A group that lost a member is stalled for this long, and is then broken.
    pub stall_ms: Millis,
    /// A member that leaves goes on listening for at least this long after its word was acknowledged; once it no longer
    /// listens, its group takes nothing new.
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
