//! Server pushback on the sending side: `Retry-After` back-off, announced shutdown and rate limits.
//! A sender skips servers on hold when it selects one, and acquires a [`SendPermit`] immediately before it writes the
//! request. The permit records the pushback signals of the response head, whatever happens to the rest of the response.
//!
//! Back-off and shutdown are local to each daemon: a server addresses them to the daemon that it responds to, and may send
//! another daemon a different time or nothing. A rate limit applies to the whole fleet: daemons exchange the limits they
//! know, and ask one daemon, the limiter of that server, before each request to it.

mod events;
mod headers;
mod limit_sync;
mod permit;
mod rate_limit;
mod unavailable;

pub use headers::{SignalHeaders, signals_of};
pub use limit_sync::run_limit_sync;
pub use permit::{SendPermit, SendPurpose};
pub use rate_limit::{TurnSource, UsedTurn};
pub use unavailable::{HeldServers, Unavailable};

use crate::clock::monotonic_ms;
use crate::line_budget::LineBudget;
use crate::lock::lock;
use crate::metrics::Metrics;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{
    Hold, LimitTable, PushbackTable, RequestRate, ServerStart, StandInTurns, TurnAllocator,
};
use dockwood_state::{GatewayTables, GroupRow, InstanceRow};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::sync::Notify;

/// Pushback state of the servers that this daemon sends to.
#[derive(Debug)]
pub struct Pushback {
    table: Mutex<PushbackTable>,
    limits: Mutex<LimitTable>,
    /// Rate limiters of the servers for which this daemon is the limiter.
    limiters: Mutex<TurnAllocator>,
    /// Rate limiters of this daemon's own requests, used while no limiter responds.
    fallback_limiters: Mutex<TurnAllocator>,
    /// Turns that this daemon used and that the limiters of the servers did not grant.
    stand_in_turns: Mutex<StandInTurns>,
    /// Signals a change of a limit that other daemons have to learn.
    limit_changed: Notify,
    line_budget: Mutex<LineBudget>,
}

impl Default for Pushback {
    fn default() -> Self {
        Pushback {
            table: Mutex::default(),
            limits: Mutex::default(),
            limiters: Mutex::default(),
            fallback_limiters: Mutex::default(),
            stand_in_turns: Mutex::new(StandInTurns::new(rand::random())),
            limit_changed: Notify::new(),
            line_budget: Mutex::default(),
        }
    }
}

/// A server that a request or probe is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendTarget {
    /// Server id and start time, which identify one run of the server.
    pub start: ServerStart,
    /// Epoch of the group that it is the head of, if any: its signals apply to the group.
    pub group: Option<u64>,
    /// Number of requests that it processes concurrently.
    pub places: u32,
    /// Its zone, if known.
    pub zone: Option<String>,
}

impl SendTarget {
    /// Returns the target for a server that registered itself.
    pub fn instance(row: &InstanceRow) -> SendTarget {
        SendTarget { start: start_of(row), group: None, places: row.slots, zone: Some(row.zone.clone()) }
    }

    /// Returns the target for the head of a group that processes `places` requests concurrently.
    pub fn head(row: &GroupRow, places: u32) -> SendTarget {
        SendTarget { start: head_of(row), group: Some(row.epoch), places, zone: Some(row.zone.clone()) }
    }

    /// Returns the target for a server of which only the name is known.
    pub fn named(name: &str, places: u32) -> SendTarget {
        let start = ServerStart { id: name.to_string(), started_ms: None };
        SendTarget { start, group: None, places, zone: None }
    }

    /// Returns the target for a server of which only the address is known.
    pub fn at(address: SocketAddr, places: u32) -> SendTarget {
        SendTarget::named(&address.to_string(), places)
    }
}

/// Returns the id and start time of a registered server.
pub fn start_of(row: &InstanceRow) -> ServerStart {
    ServerStart { id: row.id.clone(), started_ms: row.started_ms }
}

/// Returns the id and start time of the head of a group.
pub fn head_of(row: &GroupRow) -> ServerStart {
    let id = row.members.first().cloned().unwrap_or_default();
    ServerStart { id, started_ms: row.head_started_ms }
}

impl Pushback {
    /// Returns why a server is on hold; `None` if it may be selected.
    pub fn hold(&self, server: &ServerStart) -> Option<Hold> {
        let now = monotonic_ms();
        let held = lock(&self.table).hold(now, server);
        held.or_else(|| self.rate_limit_hold(now, server))
    }

    fn rate_limit_hold(&self, now: Millis, server: &ServerStart) -> Option<Hold> {
        lock(&self.limits).held_until(now, server).map(|until| Hold::AtLimit { until })
    }

    /// Returns the rate limit of a server for all daemons combined; `None` if it has none.
    pub fn limit(&self, server: &ServerStart) -> Option<RequestRate> {
        lock(&self.limits).rate(monotonic_ms(), server)
    }

    /// Separates servers that may be selected from those on hold. `start_of` returns the id and start time of a server.
    pub fn split<Server>(
        &self,
        servers: impl Iterator<Item = Server>,
        start_of: impl Fn(&Server) -> ServerStart,
    ) -> (Vec<Server>, HeldServers) {
        let mut held = HeldServers::default();
        if self.is_empty() {
            return (servers.collect(), held);
        }
        let mut open = Vec::new();
        for server in servers {
            let start = start_of(&server);
            match self.hold(&start) {
                Some(hold) => held.add(&start.id, hold),
                None => open.push(server),
            }
        }
        (open, held)
    }

    /// Returns whether no server has pushed back, so that callers can skip the lookups.
    pub fn is_empty(&self) -> bool {
        lock(&self.table).is_empty() && lock(&self.limits).is_empty()
    }

    /// Removes servers that no longer exist, and updates the metrics of servers on hold.
    pub fn follow(&self, metrics: &Metrics, tables: &GatewayTables) {
        let now = monotonic_ms();
        let heads = tables.groups.values().filter_map(|group| group.members.first());
        let known: HashSet<&str> = tables.instances.keys().chain(heads).map(String::as_str).collect();
        let mut limits = lock(&self.limits);
        limits.retain_known(now, |id| known.contains(id));
        update_limit_metric(metrics, &limits);
        drop(limits);
        lock(&self.limiters).forget_old(now);
        lock(&self.fallback_limiters).forget_old(now);
        lock(&self.stand_in_turns).forget_old(now);
        let mut table = lock(&self.table);
        table.retain_known(now, |id| known.contains(id));
        update_hold_metrics(metrics, &table);
    }
}

/// Updates the metric of servers with a rate limit.
fn update_limit_metric(metrics: &Metrics, limits: &LimitTable) {
    metrics.servers_held_back.with_label_values(&["limited"]).set(limits.count() as i64);
}

/// Updates the metrics of servers on hold for back-off or shutdown.
fn update_hold_metrics(metrics: &Metrics, table: &PushbackTable) {
    let (resting, leaving) = table.counts(monotonic_ms());
    metrics.servers_held_back.with_label_values(&["resting"]).set(resting as i64);
    metrics.servers_held_back.with_label_values(&["leaving"]).set(leaving as i64);
}
