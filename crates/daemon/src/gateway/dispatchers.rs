//! Selects the daemon that assigns requests to groups. In a small fleet this is the control leader, which sees every
//! request. In a large one, each scope has its own dispatcher, selected by rendezvous hashing over the live entries of
//! its zone, so that all entries select the same one without communication. If it doesn't respond, the next one in that
//! order is used.

use crate::clock::monotonic_ms;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::gateway::DispatchScope;
use dockwood_control::{DaemonDerived, EntrySummary};
use dockwood_grouping::SENDERS_AT_ONCE;
use dockwood_state::{DaemonRow, Tables};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::lock::lock;

/// Number of candidates for the dispatcher of a scope, or the limiter of a server: the first that responds is used.
const CANDIDATES: usize = 3;
/// A dispatcher that has not responded in time is not called for this long, in milliseconds, because it would delay every
/// request.
const UNRESPONSIVE_MS: u64 = 300;

/// Which daemons dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchMode {
    /// The control leader, for all groups.
    Leader,
    /// One dispatcher per scope.
    Scopes,
}

/// Data derived from the daemons' rows.
#[derive(Debug, Default)]
struct FleetSummary {
    summary: EntrySummary,
    /// Candidates for the dispatcher of each scope that was looked up, in order of preference.
    ranked_dispatchers: HashMap<DispatchScope, Arc<[SocketAddr]>>,
    /// Candidates for the limiter of each server that was looked up, by server id.
    limiters: HashMap<String, Arc<[SocketAddr]>>,
}

impl FleetSummary {
    fn of(tables: &Tables) -> FleetSummary {
        FleetSummary {
            summary: EntrySummary::of(tables),
            ranked_dispatchers: HashMap::new(),
            limiters: HashMap::new(),
        }
    }
}

/// Selects dispatchers and limiters, and tracks which of them are unresponsive.
#[derive(Debug)]
pub struct Dispatchers {
    leader_dispatches_up_to: usize,
    fleet: Mutex<DaemonDerived<FleetSummary>>,
    unresponsive: Mutex<HashMap<SocketAddr, u64>>,
}

impl Dispatchers {
    /// Creates the state. The leader dispatches in fleets of up to `leader_dispatches_up_to` entries.
    pub fn new(leader_dispatches_up_to: usize) -> Self {
        Dispatchers { leader_dispatches_up_to, fleet: Mutex::default(), unresponsive: Mutex::default() }
    }

    /// Returns the number of entries of the fleet, including those that are not live.
    pub fn entries(&self, tables: &Tables) -> u32 {
        lock(&self.fleet).get(tables, FleetSummary::of).summary.entries
    }

    /// Returns which daemons dispatch in this fleet.
    pub fn mode(&self, tables: &Tables) -> DispatchMode {
        let is_large = self.entries(tables) as usize > self.leader_dispatches_up_to;
        if is_large { DispatchMode::Scopes } else { DispatchMode::Leader }
    }

    /// Returns the peer address of the dispatcher of a scope; `None` if there is none, or all candidates are
    /// unresponsive.
    pub fn of_scope(&self, tables: &Tables, scope: &DispatchScope) -> Option<SocketAddr> {
        let ranked_dispatchers = self.ranked_dispatchers(tables, scope);
        ranked_dispatchers.iter().copied().find(|address| self.is_responsive(*address))
    }

    /// Returns whether a dispatcher may assign requests to cold heads: only [`SENDERS_AT_ONCE`] dispatchers have a
    /// share of a cold server's rate. The other candidates may serve some of the entries while the first ones still
    /// serve the rest.
    pub fn may_assign_cold(&self, tables: &Tables, scope: &DispatchScope, dispatcher: SocketAddr) -> bool {
        let ranked_dispatchers = self.ranked_dispatchers(tables, scope);
        ranked_dispatchers.iter().take(SENDERS_AT_ONCE as usize).any(|address| *address == dispatcher)
    }

    /// Returns the candidates for the limiter of a server, in order of preference: the first that responds is used.
    /// `zone` is the server's zone, if known.
    pub fn limiters(&self, tables: &Tables, server: &str, zone: Option<&str>) -> Arc<[SocketAddr]> {
        let mut fleet = lock(&self.fleet);
        let FleetSummary { summary, limiters, .. } = fleet.get(tables, FleetSummary::of);
        match limiters.get(server) {
            Some(candidates) => candidates.clone(),
            None => {
                let candidates: Arc<[SocketAddr]> = limiter_candidates(tables, summary, server, zone).into();
                limiters.entry(server.to_string()).or_insert(candidates).clone()
            }
        }
    }

    /// Returns whether a daemon has not failed to respond recently.
    pub fn is_responsive(&self, address: SocketAddr) -> bool {
        lock(&self.unresponsive).get(&address).is_none_or(|until| monotonic_ms() >= *until)
    }

    /// Records that a daemon has not responded in time.
    pub fn mark_unresponsive(&self, address: SocketAddr) {
        lock(&self.unresponsive).insert(address, monotonic_ms() + UNRESPONSIVE_MS);
    }

    /// Returns whether an entry runs on another host than all members of the control group, and thus reaches the
    /// servers over another network path.
    pub fn is_witness(&self, tables: &Tables, entry: &str) -> bool {
        lock(&self.fleet).get(tables, FleetSummary::of).summary.is_witness(tables, entry)
    }

    fn ranked_dispatchers(&self, tables: &Tables, scope: &DispatchScope) -> Arc<[SocketAddr]> {
        let mut fleet = lock(&self.fleet);
        let FleetSummary { summary, ranked_dispatchers, .. } = fleet.get(tables, FleetSummary::of);
        match ranked_dispatchers.get(scope) {
            Some(ranked_dispatchers) => ranked_dispatchers.clone(),
            None => ranked_dispatchers
                .entry(scope.clone())
                .or_insert(dispatcher_candidates(tables, summary, scope).into())
                .clone(),
        }
    }
}

/// Returns the candidates for the dispatcher of a scope, in order of preference: live entries of its zone on hosts
/// without a member of the control group.
fn dispatcher_candidates(tables: &Tables, summary: &EntrySummary, scope: &DispatchScope) -> Vec<SocketAddr> {
    let key = format!("{}/{}/{}", scope.zone, scope.service, scope.model);
    let is_eligible = |daemon: &&Arc<DaemonRow>| {
        let record = &daemon.record;
        let is_in_zone = record.frontend.is_some() && record.zone == scope.zone;
        is_in_zone && summary.is_on_separate_host(daemon)
    };
    top_by_weight(&key, tables.reachable_daemons().filter(is_eligible))
}

/// Returns the candidates for the limiter of a server, in order of preference: entries in its zone on hosts without a
/// member of the control group; if there are none, any entries; if there are none, any daemons.
fn limiter_candidates(
    tables: &Tables,
    summary: &EntrySummary,
    server: &str,
    zone: Option<&str>,
) -> Vec<SocketAddr> {
    let is_entry = |daemon: &&Arc<DaemonRow>| daemon.record.frontend.is_some();
    let is_in_zone = |daemon: &&Arc<DaemonRow>| zone.is_some_and(|zone| daemon.record.zone == zone);
    let is_eligible = |daemon: &&Arc<DaemonRow>| {
        is_entry(daemon) && is_in_zone(daemon) && summary.is_on_separate_host(daemon)
    };
    let eligible = top_by_weight(server, tables.reachable_daemons().filter(is_eligible));
    if !eligible.is_empty() {
        return eligible;
    }
    let entries = top_by_weight(server, tables.reachable_daemons().filter(is_entry));
    if !entries.is_empty() {
        return entries;
    }
    top_by_weight(server, tables.reachable_daemons())
}

/// Returns the first [`CANDIDATES`] of the daemons by rendezvous hashing, so that all daemons with the same tables
/// select the same ones.
fn top_by_weight<'a>(key: &str, daemons: impl Iterator<Item = &'a Arc<DaemonRow>>) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Arc<DaemonRow>> = daemons.collect();
    ranked.sort_by_cached_key(|daemon| std::cmp::Reverse(rendezvous_weight(key, &daemon.record.name)));
    ranked.iter().take(CANDIDATES).map(|daemon| daemon.record.peer).collect()
}
