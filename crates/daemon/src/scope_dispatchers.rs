//! The scopes for which this daemon is the dispatcher: it receives entries' load reports and requests for places, and
//! sends summaries of the reports to the control leader.

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

/// Time between two summaries of a scope. The leader's view of a group's progress is then only slightly older than with
/// direct reports from the entries, and a fleet of five zones with two models sends it a hundred calls per second.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two summaries, even if they are urgent.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_millis(15);
/// Time limit of a call to the leader.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a call after which a scope is removed, in milliseconds: another daemon dispatches it then.
const SCOPE_EXPIRY_MS: u64 = 3_000;

/// A scope and the time of the last call for it.
#[derive(Debug)]
struct ActiveScope {
    dispatch: ScopeDispatch,
    last_used_at: u64,
}

/// The scopes for which this daemon is the dispatcher.
#[derive(Debug, Default)]
pub struct ScopeDispatchers {
    /// By how much the declared rate of cold heads may be exceeded.
    cold_limit: ColdLimit,
    /// When this process started.
    started_at: u64,
    scopes: Mutex<BTreeMap<DispatchScope, ActiveScope>>,
    /// Notified when a group has stalled.
    urgent: Notify,
    /// Notified when the first scope is added.
    first_scope: Notify,
}

impl ScopeDispatchers {
    /// Creates an empty set of scopes; `cold_limit` is by how much the declared rate of cold heads may be exceeded.
    pub fn new(cold_limit: ColdLimit) -> Self {
        ScopeDispatchers { cold_limit, started_at: monotonic_ms(), ..ScopeDispatchers::default() }
    }

    fn scopes(&self) -> MutexGuard<'_, BTreeMap<DispatchScope, ActiveScope>> {
        lock(&self.scopes)
    }

    /// Calls `action` with the dispatcher of a scope, which is added if it is new.
    fn with_scope<T>(&self, scope: &DispatchScope, action: impl FnOnce(&mut ScopeDispatch) -> T) -> T {
        let mut scopes = self.scopes();
        if scopes.is_empty() {
            self.first_scope.notify_one();
        }
        let active = scopes.entry(scope.clone()).or_insert_with(|| ActiveScope {
            dispatch: ScopeDispatch::new(scope.clone()).with_cold_limit(self.cold_limit, self.started_at),
            last_used_at: 0,
        });
        active.last_used_at = monotonic_ms();
        action(&mut active.dispatch)
    }

    /// Handles an entry's load report on a scope and returns the digest for it.
    pub fn exchange(&self, scope: &DispatchScope, report: LoadReport, is_witness: bool) -> LoadDigest {
        let (digest, is_urgent) = self.with_scope(scope, |dispatch| {
            let digest = dispatch.exchange(monotonic_ms(), report, is_witness);
            (digest, dispatch.is_urgent())
        });
        if is_urgent {
            self.urgent.notify_one();
        }
        digest
    }

    /// Assigns a request to a group of a scope. Returns `None` without a lease, as the state of the groups may be outdated
    /// then.
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
        Some(self.with_scope(scope, |dispatch| dispatch.assign(monotonic_ms(), &tables.gateway, request)))
    }

    /// Waits until there is a scope: most daemons of a fleet dispatch none.
    async fn wait_for_scope(&self) {
        while self.scopes().is_empty() {
            self.first_scope.notified().await;
        }
    }

    /// Removes expired scopes and returns the summaries of the others.
    fn summaries(&self, shared: &Shared) -> Vec<(DispatchScope, LoadReport)> {
        let now = monotonic_ms();
        let tables = shared.tables();
        let mut scopes = self.scopes();
        scopes.retain(|_, active| now < active.last_used_at + SCOPE_EXPIRY_MS);
        let summary = |(scope, active): (&DispatchScope, &mut ActiveScope)| {
            (scope.clone(), active.dispatch.summary(monotonic_ms(), &shared.settings.name, &tables.gateway))
        };
        scopes.iter_mut().map(summary).collect()
    }
}

/// Sends summaries to the leader for the life of the process. Failures are not retried, because the next summary replaces
/// the lost one.
pub async fn run_summaries(shared: Arc<Shared>) {
    loop {
        shared.scope_dispatchers.wait_for_scope().await;
        tokio::select! {
            () = tokio::time::sleep(SUMMARY_INTERVAL) => {}
            () = shared.scope_dispatchers.urgent.notified() => tokio::time::sleep(MIN_SUMMARY_INTERVAL).await,
        }
        for (scope, report) in shared.scope_dispatchers.summaries(&shared) {
            tokio::spawn(send_summary(shared.clone(), scope, report));
        }
    }
}

async fn send_summary(shared: Arc<Shared>, scope: DispatchScope, report: LoadReport) {
    let Some(leader) = shared.leader() else { return };
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    match shared.peers.call(leader, ANSWER_TIMEOUT, call).await {
        Ok(Some(digest)) => {
            let mut scopes = shared.scope_dispatchers.scopes();
            if let Some(active) = scopes.get_mut(&scope) {
                active.dispatch.take_digest(monotonic_ms(), &digest);
            }
        }
        // The daemon no longer leads; the next summary is sent to its successor.
        Ok(None) => {}
        Err(PeerFailure::Unreachable | PeerFailure::NoAnswer) => shared.metrics.peer_failures.inc(),
    }
}
