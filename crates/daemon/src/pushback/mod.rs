//! Servers that asked for rest, said that they leave, or named a limit, as a daemon that sends to servers deals with them.
//! Whatever sends something to a server passes over those that are held back when it chooses, and asks for a [`SendPermit`]
//! at the moment of writing; the permit learns from the answer's head, whatever becomes of the answer.
//!
//! For rest and departures each daemon goes by what it was told itself: a server asks the one that it answers, and may ask
//! others for another time or not at all. A limit is the whole fleet's: daemons tell each other of it, and ask one of them
//! before each request to that server.

mod headers;
mod permit;
mod sharing;
mod telling;
mod turns;
mod unavailable;

pub use headers::{SignalHeaders, signals_of};
pub use permit::{SendPermit, SendPurpose};
pub use sharing::run_sharing;
pub use unavailable::{AllHeld, Unavailable};

use crate::clock::monotonic_ms;
use crate::line_budget::LineBudget;
use crate::lock::lock;
use crate::metrics::Metrics;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{Hold, LimitTable, PushbackTable, RequestRate, ServerStart, TurnAllocator};
use dockwood_state::{GatewayTables, GroupRow, InstanceRow};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::sync::Notify;

/// Servers that this daemon holds back.
#[derive(Debug, Default)]
pub struct Pushback {
    table: Mutex<PushbackTable>,
    limits: Mutex<LimitTable>,
    /// Turns that are given here, to servers whose limits this daemon shares out.
    turns: Mutex<TurnAllocator>,
    /// Turns that this daemon takes by itself, as nobody gives it any.
    own_turns: Mutex<TurnAllocator>,
    /// Other daemons are to be told of a limit.
    news: Notify,
    line_budget: Mutex<LineBudget>,
}

/// A server that something is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addressee {
    /// Which start of it.
    pub start: ServerStart,
    /// Epoch of the group that it heads, if it heads one: it speaks for the group.
    pub group: Option<u64>,
    /// Requests that it works on at once.
    pub places: u32,
    /// Its zone, where it is known.
    pub zone: Option<String>,
}

impl Addressee {
    /// A server that registered itself.
    pub fn instance(row: &InstanceRow) -> Addressee {
        Addressee { start: start_of(row), group: None, places: row.slots, zone: Some(row.zone.clone()) }
    }

    /// The head of a group that works on so many requests at once.
    pub fn head(row: &GroupRow, places: u32) -> Addressee {
        Addressee { start: head_of(row), group: Some(row.epoch), places, zone: Some(row.zone.clone()) }
    }

    /// A server that is known by its name alone.
    pub fn named(name: &str, places: u32) -> Addressee {
        let start = ServerStart { id: name.to_string(), started_ms: None };
        Addressee { start, group: None, places, zone: None }
    }

    /// A server that is known by its address alone.
    pub fn at(address: SocketAddr, places: u32) -> Addressee {
        Addressee::named(&address.to_string(), places)
    }
}

/// Which start of a registered server a row is about.
pub fn start_of(row: &InstanceRow) -> ServerStart {
    ServerStart { id: row.id.clone(), started_ms: row.started_ms }
}

/// The head of a group.
pub fn head_of(row: &GroupRow) -> ServerStart {
    let id = row.members.first().cloned().unwrap_or_default();
    ServerStart { id, started_ms: row.head_started_ms }
}

impl Pushback {
    /// Why a server is sent nothing now; `None` if it may be chosen.
    pub fn hold(&self, server: &ServerStart) -> Option<Hold> {
        let now = monotonic_ms();
        let held = lock(&self.table).hold(now, server);
        held.or_else(|| self.at_limit(now, server))
    }

    fn at_limit(&self, now: Millis, server: &ServerStart) -> Option<Hold> {
        lock(&self.limits).held_until(now, server).map(|until| Hold::AtLimit { until })
    }

    /// How many requests a second a server takes from all daemons together; `None` for whatever comes.
    pub fn limit(&self, server: &ServerStart) -> Option<RequestRate> {
        lock(&self.limits).rate(monotonic_ms(), server)
    }

    /// Tells servers that may be asked from those that are held back. `start_of` gives which start of a server is meant.
    pub fn split<Server>(
        &self,
        servers: impl Iterator<Item = Server>,
        start_of: impl Fn(&Server) -> ServerStart,
    ) -> (Vec<Server>, AllHeld) {
        let mut held = AllHeld::default();
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

    /// Whether nobody asked for anything: then there is nothing to look up.
    pub fn is_empty(&self) -> bool {
        lock(&self.table).is_empty() && lock(&self.limits).is_empty()
    }

    /// Forgets servers that are gone, and shows how many are held back.
    pub fn follow(&self, metrics: &Metrics, tables: &GatewayTables) {
        let now = monotonic_ms();
        let heads = tables.groups.values().filter_map(|group| group.members.first());
        let known: HashSet<&str> = tables.instances.keys().chain(heads).map(String::as_str).collect();
        let mut limits = lock(&self.limits);
        limits.retain_known(now, |id| known.contains(id));
        show_limits(metrics, &limits);
        drop(limits);
        lock(&self.turns).forget_old(now);
        lock(&self.own_turns).forget_old(now);
        let mut table = lock(&self.table);
        table.retain_known(now, |id| known.contains(id));
        show(metrics, &table);
    }
}

/// Shows how many servers name a limit.
fn show_limits(metrics: &Metrics, limits: &LimitTable) {
    metrics.servers_held_back.with_label_values(&["limited"]).set(limits.count() as i64);
}

/// Shows how many servers are held back.
fn show(metrics: &Metrics, table: &PushbackTable) {
    let (resting, leaving) = table.counts(monotonic_ms());
    metrics.servers_held_back.with_label_values(&["resting"]).set(resting as i64);
    metrics.servers_held_back.with_label_values(&["leaving"]).set(leaving as i64);
}
