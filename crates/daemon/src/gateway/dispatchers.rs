//! Which daemon assigns a request to a group. In a small fleet that is the control leader, which sees every request. In a
//! large one each scope has a dispatcher of its own, found by rendezvous hashing over the live entries of its zone, so
//! that all entries find the same one without asking; if it doesn't answer, the next in that order takes its place.

use crate::clock::monotonic_ms;
use crate::shared::Shared;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::gateway::DispatchScope;
use dockwood_state::{DaemonRow, Tables};
use imbl::OrdMap;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use super::lock;

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
struct Made {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    entries: usize,
    control_hosts: BTreeSet<IpAddr>,
    ranked: HashMap<DispatchScope, Arc<[SocketAddr]>>,
}

/// Finds dispatchers, and remembers which of them have not answered.
#[derive(Debug)]
pub struct Dispatchers {
    leader_dispatches_up_to: usize,
    made: Mutex<Made>,
    resting: Mutex<HashMap<SocketAddr, u64>>,
}

impl Dispatchers {
    /// The leader dispatches in fleets of so many entries.
    pub fn new(leader_dispatches_up_to: usize) -> Self {
        Dispatchers { leader_dispatches_up_to, made: Mutex::default(), resting: Mutex::default() }
    }

    /// Who dispatches in this fleet.
    pub fn mode(&self, tables: &Tables) -> Dispatch {
        let made = self.made(tables);
        if made.entries > self.leader_dispatches_up_to { Dispatch::Scopes } else { Dispatch::Leader }
    }

    /// The dispatcher of a scope, by its peer address; `None` if none is known, or none answers lately.
    pub fn of_scope(&self, tables: &Tables, scope: &DispatchScope) -> Option<SocketAddr> {
        let ranked = self.ranked(tables, scope);
        ranked.iter().copied().find(|address| self.may_ask(*address))
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
        let Some(row) = tables.daemons.get(entry) else { return false };
        !self.made(tables).control_hosts.contains(&row.record.peer.ip())
    }

    fn ranked(&self, tables: &Tables, scope: &DispatchScope) -> Arc<[SocketAddr]> {
        let mut made = self.made(tables);
        if let Some(ranked) = made.ranked.get(scope) {
            return ranked.clone();
        }
        let ranked: Arc<[SocketAddr]> = rank(tables, &made.control_hosts, scope).into();
        made.ranked.insert(scope.clone(), ranked.clone());
        ranked
    }

    fn made(&self, tables: &Tables) -> std::sync::MutexGuard<'_, Made> {
        let mut made = lock(&self.made);
        if !made.daemons.ptr_eq(&tables.daemons) {
            *made = Made::from(tables);
        }
        made
    }
}

impl From<&Tables> for Made {
    fn from(tables: &Tables) -> Made {
        let records = || tables.daemons.values().map(|daemon| &daemon.record);
        let members = records().filter(|record| record.operators.is_some());
        Made {
            daemons: tables.daemons.clone(),
            entries: records().filter(|record| record.frontend.is_some()).count(),
            control_hosts: members.map(|record| record.peer.ip()).collect(),
            ranked: HashMap::new(),
        }
    }
}

/// Daemons that may dispatch a scope, the first choice first: live entries of its zone on machines that no member of the
/// control group needs.
fn rank(tables: &Tables, control_hosts: &BTreeSet<IpAddr>, scope: &DispatchScope) -> Vec<SocketAddr> {
    let key = format!("{}/{}/{}", scope.zone, scope.service, scope.model);
    let suits = |daemon: &&Arc<DaemonRow>| {
        let record = &daemon.record;
        let is_near = record.frontend.is_some() && record.zone == scope.zone;
        is_near && !control_hosts.contains(&record.peer.ip())
    };
    let mut suited: Vec<&Arc<DaemonRow>> = tables.reachable_daemons().filter(suits).collect();
    suited.sort_by_cached_key(|daemon| std::cmp::Reverse(rendezvous_weight(&key, &daemon.record.name)));
    suited.iter().take(CANDIDATES).map(|daemon| daemon.record.peer).collect()
}

/// Whether the leader, by its peer address, may be asked.
pub fn leader_to_ask(shared: &Shared, dispatchers: &Dispatchers) -> Option<SocketAddr> {
    shared.leader().filter(|leader| dispatchers.may_ask(*leader))
}
