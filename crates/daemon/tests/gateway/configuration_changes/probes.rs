//! Requests that show which configuration an entry has in force.

use super::change::{key_only, route_only, route_rival, route_since};
use super::operator::{Operator, Submission};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROBE_INTERVAL: Duration = Duration::from_millis(120);
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
/// A route of the first configuration, and a key of it.
const FIRST_ROUTE: &str = "plain";
const FIRST_KEY: &str = "key-1";

/// What a probe asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbedRoute {
    /// A route that all versions have.
    First,
    /// A route that this version and all later ones have.
    Since(u64),
    /// A route that only this version has.
    Only(u64),
    /// A route of all versions, with a key that only this version has.
    Key(u64),
    /// A route of a second configuration with this version, which is never in force.
    Rival(u64),
}

impl ProbedRoute {
    fn route_and_key(self) -> (String, String) {
        let (first_route, first_key) = (FIRST_ROUTE.to_string(), FIRST_KEY.to_string());
        match self {
            ProbedRoute::First => (first_route, first_key),
            ProbedRoute::Since(version) => (route_since(version), first_key),
            ProbedRoute::Only(version) => (route_only(version), first_key),
            ProbedRoute::Key(version) => (first_route, key_only(version)),
            ProbedRoute::Rival(version) => (route_rival(version), first_key),
        }
    }
}

/// A request that shows which configuration an entry has in force.
#[derive(Clone, Debug)]
pub struct Probe {
    pub entry: usize,
    pub route: ProbedRoute,
    pub sent: Instant,
    pub ended: Instant,
    pub status: Option<u16>,
}

/// Probes an entry until the run is over. `applied_within` is the time in which an accepted configuration is in force.
pub async fn keep_probing(
    operator: Arc<Operator>,
    entry: usize,
    entry_url: String,
    applied_within: Duration,
    is_over: Arc<AtomicBool>,
) -> Vec<Probe> {
    let mut probes = Vec::new();
    for turn in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let in_force = Instant::now().checked_sub(applied_within).and_then(|at| operator.accepted_before(at));
        if let Some(route) = next_route(&operator.submissions(), in_force, turn) {
            probes.push(probe(&operator, entry, &entry_url, route, turn).await);
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    probes
}

async fn probe(operator: &Operator, entry: usize, entry_url: &str, route: ProbedRoute, turn: usize) -> Probe {
    let sent = Instant::now();
    let (path, key) = route.route_and_key();
    let request = operator
        .http
        .post(format!("{entry_url}/{path}/probe"))
        .header("host", "h.example")
        .header("authorization", format!("Bearer {key}"))
        .header("dockwood-attempt", format!("probe-{entry}-{turn}"))
        .timeout(PROBE_TIMEOUT);
    let status = request.send().await.ok().map(|response| response.status().as_u16());
    Probe { entry, route, sent, ended: Instant::now(), status }
}

/// Selects the route of the next probe: one that must be there, one that may be there, or one that must not be there.
fn next_route(submissions: &[Submission], in_force: Option<u64>, turn: usize) -> Option<ProbedRoute> {
    let valid = || submissions.iter().filter(|submission| submission.is_valid);
    let dropped = || {
        let is_dropped = |submission: &&Submission| in_force.is_some_and(|held| submission.version < held);
        valid().rfind(is_dropped).map(|submission| submission.version)
    };
    let refused = || submissions.iter().rfind(|submission| submission.refused.is_some());
    match turn % 8 {
        0 | 4 => in_force.map(ProbedRoute::Since),
        1 => valid().next_back().map(|newest| ProbedRoute::Since(newest.version)),
        2 => Some(ProbedRoute::First),
        3 => dropped().map(ProbedRoute::Key),
        5 => refused().map(|refused| ProbedRoute::Only(refused.version)),
        6 => in_force.map(ProbedRoute::Rival),
        _ => dropped().map(ProbedRoute::Only),
    }
}
