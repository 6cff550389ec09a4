//! Forwards servers' reports to the control leader. In a large fleet the leader can't handle each server's heartbeat
//! separately: daemons near the servers collect unchanged reports and forward them in batches. A report with a change is
//! forwarded immediately, together with all pending ones.

use super::Gateway;
use super::dispatchers::DispatchMode;
use crate::lock::lock;
use crate::peer::register;
use crate::shared::Shared;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::gateway::InstanceReport;
use dockwood_api::{ApiError, ResultCode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Time limit for a report: callers try another daemon after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);
/// Time for which unchanged reports are collected. The call still completes within [`CALL_TIMEOUT`], and the leader
/// receives five calls per second from each daemon.
const BATCH_WINDOW: Duration = Duration::from_millis(200);
/// Maximum number of servers whose last report is kept to detect changes; when it is reached, all are removed.
const MAX_KNOWN: usize = 4_096;

/// A report that is waiting to be forwarded.
struct PendingReport {
    report: InstanceReport,
    result_sender: oneshot::Sender<Result<(), ApiError>>,
}

/// Reports that are being forwarded to the leader.
#[derive(Default)]
pub struct ReportForwarder {
    pending: Mutex<Vec<PendingReport>>,
    /// The last report of each server that the leader has acknowledged.
    known: Mutex<HashMap<String, InstanceReport>>,
    change_arrived: Notify,
}

/// Forwards a report; returns once the leader has recorded the changes in it.
pub async fn forward_report(gateway: &Arc<Gateway>, report: InstanceReport) -> Result<(), ApiError> {
    let shared = &gateway.shared;
    if forwards_individually(shared) {
        let results = register(shared, vec![report], CALL_TIMEOUT).await?;
        return results.into_iter().next().unwrap_or(Ok(()));
    }
    let report_forwarder = &gateway.report_forwarder;
    let is_change = report_forwarder.is_change(&report);
    let (result_sender, result_receiver) = oneshot::channel();
    let is_first = {
        let mut pending = lock(&report_forwarder.pending);
        pending.push(PendingReport { report, result_sender });
        pending.len() == 1
    };
    if is_first {
        tokio::spawn(forward_batch(gateway.clone()));
    }
    if is_change {
        report_forwarder.change_arrived.notify_one();
    }
    let dropped = || Err(ApiError::new(ResultCode::ProposalDropped, "the report was not passed on"));
    result_receiver.await.unwrap_or_else(|_| dropped())
}

/// Returns whether each report is forwarded separately: in a fleet that is known to be small. A member of the control
/// group that has no tables yet batches reports, because without a leader each of them would be retried repeatedly.
fn forwards_individually(shared: &Shared) -> bool {
    let tables = shared.tables();
    tables.revision > 0 && shared.dispatchers.mode(&tables) == DispatchMode::Leader
}

impl ReportForwarder {
    /// Returns whether a report differs from the last acknowledged one of its server.
    fn is_change(&self, report: &InstanceReport) -> bool {
        let known = lock(&self.known);
        known.get(&report.id).is_none_or(|last| !report.is_unchanged_since(last))
    }

    fn record_acknowledged(&self, report: InstanceReport) {
        let mut known = lock(&self.known);
        if known.len() >= MAX_KNOWN {
            known.clear();
        }
        known.insert(report.id.clone(), report);
    }
}

/// Collects reports for [`BATCH_WINDOW`] or until one with a change arrives, and forwards them in one call.
async fn forward_batch(gateway: Arc<Gateway>) {
    let report_forwarder = &gateway.report_forwarder;
    // On a timeout no report has a change, and the batch is forwarded anyway.
    let _ = tokio::time::timeout(BATCH_WINDOW, report_forwarder.change_arrived.notified()).await;
    let pending = std::mem::take(&mut *lock(&report_forwarder.pending));
    let reports: Vec<InstanceReport> = pending.iter().map(|pending| pending.report.clone()).collect();
    let results = match register(&gateway.shared, reports, CALL_TIMEOUT - BATCH_WINDOW).await {
        Ok(results) => results,
        Err(error) => vec![Err(error); pending.len()],
    };
    for (pending, result) in pending.into_iter().zip(results) {
        if result.is_ok() {
            report_forwarder.record_acknowledged(pending.report);
        }
        // The receiver is gone if the server's call timed out; the server reports again.
        let _ = pending.result_sender.send(result);
    }
}

/// Returns the address for a server's next report: in a small fleet that of the leader, which saves a hop; in a large one
/// that of a daemon in the server's zone that accepts reports, so that the load is spread over these daemons.
pub fn report_target(gateway: &Gateway, report_id: &str, zone: &str) -> Option<SocketAddr> {
    let shared = &gateway.shared;
    let leader = shared.leader()?;
    let addresses = shared.control_addresses();
    if shared.dispatchers.mode(&shared.tables()) == DispatchMode::Leader {
        return addresses.members.iter().find(|member| member.peer == leader).map(|member| member.operators);
    }
    let in_zone = addresses
        .members
        .iter()
        .filter(|member| member.is_reachable && member.zone == zone && member.peer != leader);
    let selected = in_zone.max_by_key(|member| rendezvous_weight(report_id, &member.name));
    selected.map(|member| member.operators)
}
