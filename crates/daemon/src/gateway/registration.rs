//! Brings servers' reports to the control leader. In a large fleet the leader can't take each server's heartbeat by
//! itself: daemons near the servers gather those without news, and pass them on together. A report of
//! a change goes on at once, with all that wait.

use super::Gateway;
use super::dispatchers::Dispatch;
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

/// How long a report may take: callers go to another daemon after a second.
const CALL_LIMIT: Duration = Duration::from_millis(850);
/// How long reports without news are gathered. With what a call may take, an answer still comes in time; the
/// leader takes five calls a second of each daemon.
const GATHER_FOR: Duration = Duration::from_millis(200);
/// Servers whose last report is kept, to distinguish news from repetition; beyond, all are forgotten.
const MOST_KNOWN: usize = 4_096;

/// A report that waits to be passed on.
struct Waiting {
    report: InstanceReport,
    answer: oneshot::Sender<Result<(), ApiError>>,
}

/// Reports on their way to the leader.
#[derive(Default)]
pub struct Registrations {
    waiting: Mutex<Vec<Waiting>>,
    /// The last report of each server that the leader has noted.
    known: Mutex<HashMap<String, InstanceReport>>,
    has_news: Notify,
}

/// Passes a report on; returns once the leader has noted what it changes.
pub async fn pass_on(gateway: &Arc<Gateway>, report: InstanceReport) -> Result<(), ApiError> {
    let shared = &gateway.shared;
    if passes_singly(shared) {
        let results = register(shared, vec![report], CALL_LIMIT).await?;
        return results.into_iter().next().unwrap_or(Ok(()));
    }
    let registrations = &gateway.registrations;
    let is_news = registrations.is_news(&report);
    let (answer, answered) = oneshot::channel();
    let is_first = {
        let mut waiting = lock(&registrations.waiting);
        waiting.push(Waiting { report, answer });
        waiting.len() == 1
    };
    if is_first {
        tokio::spawn(gather(gateway.clone()));
    }
    if is_news {
        registrations.has_news.notify_one();
    }
    let dropped = || Err(ApiError::new(ResultCode::ProposalDropped, "the report was not passed on"));
    answered.await.unwrap_or_else(|_| dropped())
}

/// Whether each report goes to the leader by itself: in a fleet that is known to be small. A member of the control group
/// that has no tables yet gathers reports: without a leader each of them would be tried again and again.
fn passes_singly(shared: &Shared) -> bool {
    let tables = shared.tables();
    tables.revision > 0 && shared.dispatchers.mode(&tables) == Dispatch::Leader
}

impl Registrations {
    /// Whether a report holds more than that its server lives.
    fn is_news(&self, report: &InstanceReport) -> bool {
        let known = lock(&self.known);
        known.get(&report.id).is_none_or(|last| !report.is_unchanged_since(last))
    }

    fn noted(&self, report: InstanceReport) {
        let mut known = lock(&self.known);
        if known.len() >= MOST_KNOWN {
            known.clear();
        }
        known.insert(report.id.clone(), report);
    }
}

/// Gathers reports for a while, and passes them on together.
async fn gather(gateway: Arc<Gateway>) {
    let registrations = &gateway.registrations;
    // Without news in that time, what has been gathered goes on all the same.
    let _ = tokio::time::timeout(GATHER_FOR, registrations.has_news.notified()).await;
    let waiting = std::mem::take(&mut *lock(&registrations.waiting));
    let reports: Vec<InstanceReport> = waiting.iter().map(|waiting| waiting.report.clone()).collect();
    let results = match register(&gateway.shared, reports, CALL_LIMIT - GATHER_FOR).await {
        Ok(results) => results,
        Err(error) => vec![Err(error); waiting.len()],
    };
    for (waiting, result) in waiting.into_iter().zip(results) {
        if result.is_ok() {
            registrations.noted(waiting.report);
        }
        // A server that has given up no longer waits; it reports again.
        let _ = waiting.answer.send(result);
    }
}

/// Where a server should report next: in a small fleet to the leader, which spares the way; in a large one to one of the
/// daemons of its zone that take reports, so that each passes on its part.
pub fn report_target(gateway: &Gateway, report_id: &str, zone: &str) -> Option<SocketAddr> {
    let shared = &gateway.shared;
    let leader = shared.leader()?;
    let addresses = shared.control_addresses();
    if shared.dispatchers.mode(&shared.tables()) == Dispatch::Leader {
        return addresses.members.iter().find(|member| member.peer == leader).map(|member| member.operators);
    }
    let near = addresses
        .members
        .iter()
        .filter(|member| member.is_reachable && member.zone == zone && member.peer != leader);
    let chosen = near.max_by_key(|member| rendezvous_weight(report_id, &member.name));
    chosen.map(|member| member.operators)
}
