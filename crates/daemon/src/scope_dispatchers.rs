//! The scopes that this daemon dispatches: it takes entries' reports and requests for places, and sums up for the control
//! leader what entries told it.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::peer::PeerFailure;
use crate::shared::Shared;
use dockwood_api::gateway::{DispatchScope, LoadDigest, LoadReport, PlaceReply, PlaceRequest};
use dockwood_api::peer::PeerClient;
use dockwood_grouping::{ColdLimit, ScopeDispatch};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two summaries of a scope: what the leader knows of a group's progress is little older than by the
/// entries' own reports, and a fleet of five zones with two models sends it a hundred calls a second.
const SUMMARY_EVERY: Duration = Duration::from_millis(100);
/// Least time between two summaries, however urgent.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
/// How long the leader may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// A scope that nobody has asked for in this time is dispatched elsewhere, in milliseconds.
const FORGET_MS: u64 = 3_000;

/// One scope, and when it was last asked for.
#[derive(Debug)]
struct Held {
    dispatch: ScopeDispatch,
    asked_at: u64,
}

/// The scopes dispatched here.
#[derive(Debug, Default)]
pub struct ScopeDispatchers {
    /// By how much the rate that cold heads declare may be exceeded.
    cold_limit: ColdLimit,
    scopes: Mutex<BTreeMap<DispatchScope, Held>>,
    /// A group has been found to stand still.
    urgent: Notify,
    /// The first scope has been asked for.
    begun: Notify,
}

impl ScopeDispatchers {
    /// No scope yet; cold heads may get so much more than they declare.
    pub fn new(cold_limit: ColdLimit) -> Self {
        ScopeDispatchers { cold_limit, ..ScopeDispatchers::default() }
    }

    fn scopes(&self) -> MutexGuard<'_, BTreeMap<DispatchScope, Held>> {
        lock(&self.scopes)
    }

    fn with<T>(&self, scope: &DispatchScope, act: impl FnOnce(&mut ScopeDispatch) -> T) -> T {
        let mut scopes = self.scopes();
        if scopes.is_empty() {
            self.begun.notify_one();
        }
        let held = scopes.entry(scope.clone()).or_insert_with(|| Held {
            dispatch: ScopeDispatch::new(scope.clone()).with_cold_limit(self.cold_limit),
            asked_at: 0,
        });
        held.asked_at = monotonic_ms();
        act(&mut held.dispatch)
    }

    /// Takes an entry's report on one scope.
    pub fn exchange(&self, scope: &DispatchScope, report: LoadReport, is_witness: bool) -> LoadDigest {
        let (digest, is_urgent) = self.with(scope, |dispatch| {
            let digest = dispatch.exchange(monotonic_ms(), report, is_witness);
            (digest, dispatch.is_urgent())
        });
        if is_urgent {
            self.urgent.notify_one();
        }
        digest
    }

    /// Assigns a request to a group of one scope. Without a lease, what is known of the groups may be long past.
    pub fn assign(
        &self,
        shared: &Shared,
        scope: &DispatchScope,
        request: &PlaceRequest,
    ) -> Option<PlaceReply> {
        if !shared.holds_lease() {
            return None;
        }
        let tables = shared.tables();
        Some(self.with(scope, |dispatch| dispatch.assign(monotonic_ms(), &tables.gateway, request)))
    }

    /// Waits until there is a scope to sum up: most daemons of a fleet dispatch none.
    async fn any(&self) {
        while self.scopes().is_empty() {
            self.begun.notified().await;
        }
    }

    fn summaries(&self, shared: &Shared) -> Vec<(DispatchScope, LoadReport)> {
        let now = monotonic_ms();
        let tables = shared.tables();
        let mut scopes = self.scopes();
        scopes.retain(|_, held| now < held.asked_at + FORGET_MS);
        let summary = |(scope, held): (&DispatchScope, &mut Held)| {
            (scope.clone(), held.dispatch.summary(monotonic_ms(), &shared.settings.name, &tables.gateway))
        };
        scopes.iter_mut().map(summary).collect()
    }
}

/// Sums up for the leader, for ever. What goes wrong is mended by the next summary.
pub async fn run_summaries(shared: Arc<Shared>) {
    loop {
        shared.scope_dispatchers.any().await;
        tokio::select! {
            () = tokio::time::sleep(SUMMARY_EVERY) => {}
            () = shared.scope_dispatchers.urgent.notified() => tokio::time::sleep(LEAST_PAUSE).await,
        }
        for (scope, report) in shared.scope_dispatchers.summaries(&shared) {
            tokio::spawn(tell_leader(shared.clone(), scope, report));
        }
    }
}

async fn tell_leader(shared: Arc<Shared>, scope: DispatchScope, report: LoadReport) {
    let Some(leader) = shared.leader() else { return };
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    match shared.peers.call(leader, ANSWER_TIMEOUT, call).await {
        Ok(Some(digest)) => {
            let mut scopes = shared.scope_dispatchers.scopes();
            if let Some(held) = scopes.get_mut(&scope) {
                held.dispatch.take_digest(monotonic_ms(), &digest);
            }
        }
        // It has ceased to lead; the next summary goes to its successor.
        Ok(None) => {}
        Err(PeerFailure::Unreachable | PeerFailure::NoAnswer) => shared.metrics.peer_failures.inc(),
    }
}
