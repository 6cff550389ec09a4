//! Reports server crashes observed by this entry to the replicated log.

use crate::clock::wall_ms;
use crate::lock::lock;
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::gateway::Fingerprint;
use dockwood_state::{CommandBody, CrashReport, GatewayCommand, SuspectAttempt, SuspectPrompt};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for which broken streams are collected, so that all streams of one crashed server go into one report.
const BATCH_WINDOW: Duration = Duration::from_millis(3);
/// Time limit of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before a failed report is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A report that could not be delivered for this long is dropped: an entry that had no lease for that long sends no
/// requests, and has refused those it had.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of attempts that wait to be reported; further ones are not recorded.
const MAX_PENDING: usize = 4_096;

/// A request attempt that a server was running when it crashed.
#[derive(Clone, Debug)]
pub struct CrashedAttempt {
    /// Instance id of the server.
    pub instance: String,
    /// Zone of the server.
    pub zone: String,
    /// The attempt.
    pub attempt: SuspectAttempt,
    /// Its prompt, if that has parts that other requests may share.
    pub prompt: Option<SuspectPrompt>,
}

/// The report of one crash that is to be submitted.
#[derive(Clone, Debug)]
struct PendingReport {
    report: CrashReport,
    prompts: Vec<SuspectPrompt>,
}

#[derive(Debug, Default)]
struct PendingReports {
    attempts: Vec<CrashedAttempt>,
    /// Number of reports on each request that this entry has not yet seen in the log.
    unconfirmed: HashMap<Fingerprint, u32>,
}

/// Server crashes that are not in the log yet.
#[derive(Debug, Default)]
pub struct UnreportedCrashes {
    pending: Mutex<PendingReports>,
    recorded: Notify,
    confirmed: Notify,
}

impl UnreportedCrashes {
    /// Records a request attempt that a server was running when it crashed.
    pub fn record(&self, crashed: CrashedAttempt) {
        let mut pending = lock(&self.pending);
        if pending.attempts.len() >= MAX_PENDING {
            return;
        }
        *pending.unconfirmed.entry(crashed.attempt.fingerprint).or_default() += 1;
        pending.attempts.push(crashed);
        self.recorded.notify_one();
    }

    /// Returns whether evidence against a request still has to reach the log.
    pub fn has_pending(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.pending).unconfirmed.contains_key(&fingerprint)
    }

    /// Waits until all evidence against a request has been read back from the log, or until a deadline.
    pub async fn wait_until_confirmed(&self, fingerprint: Fingerprint, deadline: Instant) {
        let wait_until_confirmed = async {
            loop {
                let confirmed = self.confirmed.notified();
                if !self.has_pending(fingerprint) {
                    return;
                }
                confirmed.await;
            }
        };
        // At the deadline the known evidence decides; the request remains a suspect on this entry.
        let _ = tokio::time::timeout_at(deadline, wait_until_confirmed).await;
    }

    /// Takes the pending attempts, grouped by server.
    fn take_pending(&self, daemon: &str) -> Vec<PendingReport> {
        let attempts = std::mem::take(&mut lock(&self.pending).attempts);
        let at_ms = wall_ms();
        let mut crashes: BTreeMap<String, PendingReport> = BTreeMap::new();
        for CrashedAttempt { instance, zone, attempt, prompt } in attempts {
            let daemon = daemon.to_string();
            let crash = crashes.entry(instance.clone()).or_insert_with(|| PendingReport {
                report: CrashReport { instance, zone, at_ms, daemon, tries: Vec::new() },
                prompts: Vec::new(),
            });
            crash.report.tries.push(attempt);
            crash.prompts.extend(prompt);
        }
        crashes.into_values().collect()
    }

    fn mark_confirmed(&self, report: &CrashReport) {
        let mut pending = lock(&self.pending);
        for attempt in &report.tries {
            if let Some(count) = pending.unconfirmed.get_mut(&attempt.fingerprint) {
                *count -= 1;
                if *count == 0 {
                    pending.unconfirmed.remove(&attempt.fingerprint);
                }
            }
        }
        drop(pending);
        self.confirmed.notify_waiters();
    }
}

/// Reports server crashes. Never returns.
pub async fn run(shared: Arc<Shared>) {
    loop {
        shared.suspects.unreported_crashes.recorded.notified().await;
        tokio::time::sleep(BATCH_WINDOW).await;
        for pending in shared.suspects.unreported_crashes.take_pending(&shared.settings.name) {
            tokio::spawn(submit_report(shared.clone(), pending));
        }
    }
}

/// Retries one report until it is in the log, and waits until this entry has read it back. A retry carries the time of the
/// crash, so that it counts as the same report.
async fn submit_report(shared: Arc<Shared>, pending: PendingReport) {
    let PendingReport { report, prompts } = pending;
    let started = Instant::now();
    while started.elapsed() < GIVE_UP_AFTER {
        let command = GatewayCommand::ServerCrashed { report: report.clone(), prompts: prompts.clone() };
        let submitted = submit(&shared, CommandBody::Gateway(command), REPORT_TIMEOUT).await;
        if let Ok((revision, _)) = submitted {
            shared.wait_for_revision(revision, REPORT_TIMEOUT).await;
            break;
        }
        shared.metrics.suspect_steps.with_label_values(&["reportFailed"]).inc();
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    shared.suspects.unreported_crashes.mark_confirmed(&report);
}
