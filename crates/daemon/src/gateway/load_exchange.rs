//! Tells of this entry's load, and learns of the others': the control leader, or in a large fleet the dispatcher of each
//! scope that has requests of this entry's.

use super::Gateway;
use super::dispatchers::Dispatch;
use super::loads::ScopeLoad;
use crate::clock::monotonic_ms;
use dockwood_api::gateway::{DispatchScope, GroupLoad, LoadReport};
use dockwood_api::peer::PeerClient;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two exchanges with the leader while requests are in flight.
const BUSY_EVERY: Duration = Duration::from_millis(60);
/// Time between two exchanges with the leader otherwise.
const IDLE_EVERY: Duration = Duration::from_millis(600);
/// Time between two exchanges with a dispatcher while nothing begins or ends: it learns of that at once, and only needs to
/// see that the streams go on.
const STEADY_EVERY_MS: u64 = 300;
/// Time between two looks at which dispatchers have to be told, unless a request ends.
const SCOPES_EVERY: Duration = Duration::from_millis(150);
/// Least time between two exchanges, however urgent.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
/// How long the leader or a dispatcher may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// What a dispatcher was last told.
#[derive(Clone, Debug)]
struct Told {
    at: u64,
    /// Requests in flight by group epoch, as they stood in the report itself.
    in_flight: Vec<(u64, u32)>,
}

impl Told {
    fn by(report: &LoadReport, at: u64) -> Told {
        let busy = report.groups.iter().filter(|load| load.in_flight > 0);
        Told { at, in_flight: busy.map(|load| (load.epoch, load.in_flight)).collect() }
    }

    /// Whether a dispatcher that was told this has to be told again.
    fn is_outdated(&self, now: u64, load: &ScopeLoad) -> bool {
        load.stands_still || load.in_flight != self.in_flight || now >= self.at + STEADY_EVERY_MS
    }
}

/// Exchanges for ever. What goes wrong is mended by the next exchange.
pub async fn run(gateway: Arc<Gateway>) {
    let shared = gateway.shared.clone();
    let mut pause = IDLE_EVERY;
    let mut told = BTreeMap::new();
    loop {
        let mode = shared.dispatchers.mode(&shared.tables());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.loads.urgent.notified() => {}
            () = gateway.loads.ended.notified(), if mode == Dispatch::Scopes => {}
        }
        match mode {
            Dispatch::Leader => pause = tell_leader(&gateway).await,
            Dispatch::Scopes => {
                pause = SCOPES_EVERY;
                tell_dispatchers(&gateway, &mut told);
            }
        }
        tokio::time::sleep(LEAST_PAUSE).await;
    }
}

/// Exchanges loads with the leader; returns the pause until the next time.
async fn tell_leader(gateway: &Gateway) -> Duration {
    let shared = &gateway.shared;
    let Some(leader) = shared.leader() else { return IDLE_EVERY };
    let report = gateway.loads.report(&shared.settings.name, &shared.pushback);
    let is_busy = shared.in_flight() > 0
        || report.groups.iter().any(GroupLoad::has_activity)
        || !report.models.is_empty();
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    if let Ok(Some(digest)) = shared.peers.call(leader, ANSWER_TIMEOUT, call).await {
        gateway.loads.take_digest(&digest);
    }
    if is_busy { BUSY_EVERY } else { IDLE_EVERY }
}

/// Tells each dispatcher to whom something has changed.
fn tell_dispatchers(gateway: &Arc<Gateway>, told: &mut BTreeMap<DispatchScope, Told>) {
    let now = monotonic_ms();
    let settings = &gateway.shared.settings;
    let pushback = &gateway.shared.pushback;
    let mut loads = gateway.loads.scopes(&settings.zone, pushback);
    // A scope in which the last request has ended is told so, once.
    for (scope, _) in told.iter().filter(|(_, last)| !last.in_flight.is_empty()) {
        loads.entry(scope.clone()).or_default();
    }
    told.retain(|scope, _| loads.contains_key(scope));
    for (scope, load) in loads {
        if told.get(&scope).is_none_or(|last| last.is_outdated(now, &load)) {
            // What it says is remembered, not what was seen a moment before: a request that begins in between and ends
            // before the next look would be told of and never taken back.
            let report = gateway.loads.report_scope(&settings.name, &settings.zone, &scope, pushback);
            told.insert(scope.clone(), Told::by(&report, now));
            tokio::spawn(tell_dispatcher(gateway.clone(), scope, report));
        }
    }
}

async fn tell_dispatcher(gateway: Arc<Gateway>, scope: DispatchScope, report: LoadReport) {
    let shared = &gateway.shared;
    let Some(dispatcher) = shared.dispatchers.of_scope(&shared.tables(), &scope) else { return };
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    match shared.peers.call(dispatcher, ANSWER_TIMEOUT, call).await {
        Ok(Some(digest)) => gateway.loads.take_scope_digest(&scope, &digest),
        _ => {
            shared.metrics.peer_failures.inc();
            shared.dispatchers.rest(dispatcher);
        }
    }
}
