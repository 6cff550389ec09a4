//! Which daemon assigns a request to a group. In a small fleet that is the control leader, which sees every request. In a
//! large one each scope has a dispatcher of its own, found by rendezvous hashing over the live entries of its zone, so
//! that all entries find the same one without asking; if it doesn't answer, the next in that order takes its place.

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

/// Daemons that may dispatch a scope: the first that answers does.
const CANDIDATES: usize = 3;
/// A dispatcher that has not answered in time is not asked for this long, in milliseconds: it would hold up every request.
const REST_MS: u64 = 300;

/// Who dispatches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// The control leader, for all groups.
    Leader,
    /// A dispatcher for each scope.
    Scopes,
}

/// What follows from the daemons' rows.
#[derive(Debug, Default)]
struct Fleet {
    census: EntrySummary,
    /// Dispatchers of the scopes that were asked for.
    ranked: HashMap<DispatchScope, Arc<[SocketAddr]>>,
    /// Who shares out the limits of servers, by server id.
    turn_givers: HashMap<String, Arc<[SocketAddr]>>,
}

impl Fleet {
    fn of(tables: &Tables) -> Fleet {
        Fleet { census: EntrySummary::of(tables), ranked: HashMap::new(), turn_givers: HashMap::new() }
    }
}

/// Finds dispatchers, and remembers which of them have not answered.
#[derive(Debug)]
pub struct Dispatchers {
    leader_dispatches_up_to: usize,
    fleet: Mutex<DaemonDerived<Fleet>>,
    resting: Mutex<HashMap<SocketAddr, u64>>,
}

impl Dispatchers {
    /// The leader dispatches in fleets of so many entries.
    pub fn new(leader_dispatches_up_to: usize) -> Self {
        Dispatchers { leader_dispatches_up_to, fleet: Mutex::default(), resting: Mutex::default() }
    }

    /// Entries of the fleet, whether or not they were heard lately.
    pub fn entries(&self, tables: &Tables) -> u32 {
        lock(&self.fleet).get(tables, Fleet::of).census.entries
    }

    /// Who dispatches in this fleet.
    pub fn mode(&self, tables: &Tables) -> Dispatch {
        let is_large = self.entries(tables) as usize > self.leader_dispatches_up_to;
        if is_large { Dispatch::Scopes } else { Dispatch::Leader }
    }

    /// The dispatcher of a scope, by its peer address; `None` if none is known, or none answers lately.
    pub fn of_scope(&self, tables: &Tables, scope: &DispatchScope) -> Option<SocketAddr> {
        let ranked = self.ranked(tables, scope);
        ranked.iter().copied().find(|address| self.may_ask(*address))
    }

    /// Whether a dispatcher may give requests to cold heads: only so many have a part of what a cold server may get.
    /// The others take over for some entries at a time, while the first ones still work for the rest.
    pub fn may_assign_cold(&self, tables: &Tables, scope: &DispatchScope, dispatcher: SocketAddr) -> bool {
        let ranked = self.ranked(tables, scope);
        ranked.iter().take(SENDERS_AT_ONCE as usize).any(|address| *address == dispatcher)
    }

    /// Daemons that may share out the limit that a server named, the first choice first: the first that answers does.
    /// `zone` is the server's, where it is known.
    pub fn turn_givers(&self, tables: &Tables, server: &str, zone: Option<&str>) -> Arc<[SocketAddr]> {
        let mut fleet = lock(&self.fleet);
        let Fleet { census, turn_givers, .. } = fleet.get(tables, Fleet::of);
        match turn_givers.get(server) {
            Some(givers) => givers.clone(),
            None => {
                let givers: Arc<[SocketAddr]> = rank_turn_givers(tables, census, server, zone).into();
                turn_givers.entry(server.to_string()).or_insert(givers).clone()
            }
        }
    }

    /// Whether a daemon has not failed to answer lately.
    pub fn may_ask(&self, address: SocketAddr) -> bool {
        lock(&self.resting).get(&address).is_none_or(|until| monotonic_ms() >= *until)
    }

    /// A daemon has not answered in time.
    pub fn rest(&self, address: SocketAddr) {
        lock(&self.resting).insert(address, monotonic_ms() + REST_MS);
    }

    /// Whether an entry sees the servers by another machine's network than members of the control group do.
    pub fn is_witness(&self, tables: &Tables, entry: &str) -> bool {
        lock(&self.fleet).get(tables, Fleet::of).census.is_witness(tables, entry)
    }

    fn ranked(&self, tables: &Tables, scope: &DispatchScope) -> Arc<[SocketAddr]> {
        let mut fleet = lock(&self.fleet);
        let Fleet { census, ranked, .. } = fleet.get(tables, Fleet::of);
        match ranked.get(scope) {
            Some(ranked) => ranked.clone(),
            None => ranked.entry(scope.clone()).or_insert(rank(tables, census, scope).into()).clone(),
        }
    }
}

/// Daemons that may dispatch a scope, the first choice first: live entries of its zone on machines that no member of the
/// control group needs.
fn rank(tables: &Tables, census: &EntrySummary, scope: &DispatchScope) -> Vec<SocketAddr> {
    let key = format!("{}/{}/{}", scope.zone, scope.service, scope.model);
    let suits = |daemon: &&Arc<DaemonRow>| {
        let record = &daemon.record;
        let is_near = record.frontend.is_some() && record.zone == scope.zone;
        is_near && census.is_on_separate_host(daemon)
    };
    first_by_weight(&key, tables.reachable_daemons().filter(suits))
}

/// Daemons that may share out a server's limit, the first choice first: entries near it on machines that no member of the
/// control group needs, else any entries, else any daemons.
fn rank_turn_givers(
    tables: &Tables,
    census: &EntrySummary,
    server: &str,
    zone: Option<&str>,
) -> Vec<SocketAddr> {
    let is_entry = |daemon: &&Arc<DaemonRow>| daemon.record.frontend.is_some();
    let is_near = |daemon: &&Arc<DaemonRow>| zone.is_some_and(|zone| daemon.record.zone == zone);
    let suits =
        |daemon: &&Arc<DaemonRow>| is_entry(daemon) && is_near(daemon) && census.is_on_separate_host(daemon);
    let near = first_by_weight(server, tables.reachable_daemons().filter(suits));
    if !near.is_empty() {
        return near;
    }
    let entries = first_by_weight(server, tables.reachable_daemons().filter(is_entry));
    if !entries.is_empty() {
        return entries;
    }
    first_by_weight(server, tables.reachable_daemons())
}

/// The first few of these daemons by rendezvous hashing: all that know the same daemons find the same ones.
fn first_by_weight<'a>(key: &str, daemons: impl Iterator<Item = &'a Arc<DaemonRow>>) -> Vec<SocketAddr> {
    let mut suited: Vec<&Arc<DaemonRow>> = daemons.collect();
    suited.sort_by_cached_key(|daemon| std::cmp::Reverse(rendezvous_weight(key, &daemon.record.name)));
    suited.iter().take(CANDIDATES).map(|daemon| daemon.record.peer).collect()
}
