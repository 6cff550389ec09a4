//! Exchanges load reports with the control leader, or in a large fleet with the dispatcher of each scope in which this
//! entry has requests: reports this entry's load, and receives that of the other entries.

use super::Gateway;
use super::dispatchers::DispatchMode;
use super::loads::ScopeLoad;
use crate::clock::monotonic_ms;
use dockwood_api::gateway::{DispatchScope, GroupLoad, LoadReport};
use dockwood_api::peer::PeerClient;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the exchanges with the leader while requests are in flight.
const BUSY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval of the exchanges with the leader otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of the exchanges with a dispatcher while no request begins or ends, in milliseconds. Changes are reported
/// immediately; the exchanges in between only show that the streams continue.
const STEADY_INTERVAL_MS: u64 = 300;
/// Interval at which outdated reports to dispatchers are looked for, unless a request ends.
const SCOPES_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum pause between two exchanges, even urgent ones.
const MIN_PAUSE: Duration = Duration::from_millis(15);
/// Time limit for a call to the leader or a dispatcher.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The last report to a dispatcher.
#[derive(Clone, Debug)]
struct LastReport {
    at: u64,
    /// Requests in flight by group epoch, as stated in the report.
    in_flight: Vec<(u64, u32)>,
}

impl LastReport {
    fn of(report: &LoadReport, at: u64) -> LastReport {
        let busy = report.groups.iter().filter(|load| load.in_flight > 0);
        LastReport { at, in_flight: busy.map(|load| (load.epoch, load.in_flight)).collect() }
    }

    /// Returns whether the dispatcher needs a new report.
    fn is_outdated(&self, now: u64, load: &ScopeLoad) -> bool {
        load.is_stalled || load.in_flight != self.in_flight || now >= self.at + STEADY_INTERVAL_MS
    }
}

/// Runs exchanges indefinitely. After a failed exchange, the next one reports the current state.
pub async fn run(gateway: Arc<Gateway>) {
    let shared = gateway.shared.clone();
    let mut pause = IDLE_INTERVAL;
    let mut last_reports = BTreeMap::new();
    loop {
        let mode = shared.dispatchers.mode(&shared.tables());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.loads.urgent.notified() => {}
            () = gateway.loads.leader_asked.notified(), if pause == IDLE_INTERVAL => {}
            () = gateway.loads.ended.notified(), if mode == DispatchMode::Scopes => {}
        }
        match mode {
            DispatchMode::Leader => pause = report_to_leader(&gateway).await,
            DispatchMode::Scopes => {
                pause = SCOPES_INTERVAL;
                report_to_dispatchers(&gateway, &mut last_reports);
            }
        }
        tokio::time::sleep(MIN_PAUSE).await;
    }
}

/// Exchanges loads with the leader; returns the pause until the next exchange.
async fn report_to_leader(gateway: &Gateway) -> Duration {
    let shared = &gateway.shared;
    let Some(leader) = shared.leader() else { return IDLE_INTERVAL };
    let report = gateway.loads.report(&shared.settings.name, &shared.pushback);
    // The leader counts an assigned place until a report that it receives some time later: the reply may have come too late
    // to be used.
    let is_busy = gateway.loads.take_asked_since_report()
        || shared.in_flight() > 0
        || report.groups.iter().any(GroupLoad::has_activity)
        || !report.models.is_empty();
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    if let Ok(Some(digest)) = shared.peers.call(leader, CALL_TIMEOUT, call).await {
        gateway.loads.apply_digest(&digest);
    }
    if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL }
}

/// Sends a new report to each dispatcher whose last report is outdated.
fn report_to_dispatchers(gateway: &Arc<Gateway>, last_reports: &mut BTreeMap<DispatchScope, LastReport>) {
    let now = monotonic_ms();
    let settings = &gateway.shared.settings;
    let pushback = &gateway.shared.pushback;
    let mut loads = gateway.loads.scopes(&settings.zone, pushback);
    // After the last request of a scope has ended, one more report says so.
    for (scope, _) in last_reports.iter().filter(|(_, last)| !last.in_flight.is_empty()) {
        loads.entry(scope.clone()).or_default();
    }
    last_reports.retain(|scope, _| loads.contains_key(scope));
    for (scope, load) in loads {
        if last_reports.get(&scope).is_none_or(|last| last.is_outdated(now, &load)) {
            // The state in the report is stored, not the state read before: a request that begins in between and ends
            // before the next check would otherwise be reported and never retracted.
            let report = gateway.loads.report_scope(&settings.name, &settings.zone, &scope, pushback);
            last_reports.insert(scope.clone(), LastReport::of(&report, now));
            tokio::spawn(report_to_dispatcher(gateway.clone(), scope, report));
        }
    }
}

async fn report_to_dispatcher(gateway: Arc<Gateway>, scope: DispatchScope, report: LoadReport) {
    let shared = &gateway.shared;
    let Some(dispatcher) = shared.dispatchers.of_scope(&shared.tables(), &scope) else { return };
    let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
    match shared.peers.call(dispatcher, CALL_TIMEOUT, call).await {
        Ok(Some(digest)) => gateway.loads.apply_scope_digest(&scope, &digest),
        _ => {
            shared.metrics.peer_failures.inc();
            shared.dispatchers.mark_unresponsive(dispatcher);
        }
    }
}
