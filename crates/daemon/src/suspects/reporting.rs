//! Brings what this entry saw of servers' ends to the log.

use crate::clock::wall_ms;
use crate::lock::lock;
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::gateway::Fingerprint;
use dockwood_state::{CommandBody, CrashReport, GatewayCommand, SuspectAttempt};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Streams of one server that break together are told together: their ends are seen within this time.
const GATHER: Duration = Duration::from_millis(3);
/// How long one report may take.
const REPORT_LIMIT: Duration = Duration::from_millis(600);
/// Pause before a report that failed is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// A report that could not be brought to the log for this long is given up: without a lease for so long, this entry sends
/// nothing, and has refused what it had.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Tries whose evidence waits to be told, at most; more are not noted.
const MOST_WAITING: usize = 4_096;

/// A try that a server had when it ended.
#[derive(Clone, Debug)]
pub struct EndedTry {
    /// Instance id of the server.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// The try.
    pub tried: SuspectAttempt,
}

#[derive(Debug, Default)]
struct Waiting {
    tries: Vec<EndedTry>,
    /// How many reports on each request are not known everywhere yet.
    unknown: HashMap<Fingerprint, u32>,
}

/// Ends of servers that the log doesn't tell of yet.
#[derive(Debug, Default)]
pub struct UnreportedEnds {
    waiting: Mutex<Waiting>,
    noted: Notify,
    reported: Notify,
}

impl UnreportedEnds {
    /// Notes a try that a server had when it ended.
    pub fn note(&self, ended: EndedTry) {
        let mut waiting = lock(&self.waiting);
        if waiting.tries.len() >= MOST_WAITING {
            return;
        }
        *waiting.unknown.entry(ended.tried.fingerprint).or_default() += 1;
        waiting.tries.push(ended);
        self.noted.notify_one();
    }

    /// Whether evidence against a request is on its way.
    pub fn concerns(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.waiting).unknown.contains_key(&fingerprint)
    }

    /// Waits until all evidence against a request is known here by the log, or until a deadline.
    pub async fn known(&self, fingerprint: Fingerprint, deadline: Instant) {
        let known = async {
            loop {
                let reported = self.reported.notified();
                if !self.concerns(fingerprint) {
                    return;
                }
                reported.await;
            }
        };
        // At the deadline the request is judged by what is known: it stays a suspect here.
        let _ = tokio::time::timeout_at(deadline, known).await;
    }

    /// What is to be told, by server.
    fn take(&self, daemon: &str) -> Vec<CrashReport> {
        let tries = std::mem::take(&mut lock(&self.waiting).tries);
        let at_ms = wall_ms();
        let mut ends: BTreeMap<String, CrashReport> = BTreeMap::new();
        for EndedTry { instance, zone, tried } in tries {
            let end = ends.entry(instance.clone()).or_insert_with(|| CrashReport {
                instance,
                zone,
                at_ms,
                daemon: daemon.to_string(),
                tries: Vec::new(),
            });
            end.tries.push(tried);
        }
        ends.into_values().collect()
    }

    fn settle(&self, end: &CrashReport) {
        let mut waiting = lock(&self.waiting);
        for tried in &end.tries {
            if let Some(count) = waiting.unknown.get_mut(&tried.fingerprint) {
                *count -= 1;
                if *count == 0 {
                    waiting.unknown.remove(&tried.fingerprint);
                }
            }
        }
        drop(waiting);
        self.reported.notify_waiters();
    }
}

/// Reports for ever.
pub async fn run(shared: Arc<Shared>) {
    loop {
        shared.suspects.unreported_ends.noted.notified().await;
        tokio::time::sleep(GATHER).await;
        for end in shared.suspects.unreported_ends.take(&shared.settings.name) {
            tokio::spawn(report(shared.clone(), end));
        }
    }
}

/// Repeats one report until it is in the log, and waits until this entry knows it from there. A repetition carries the
/// time of the end, so that it counts as the same one.
async fn report(shared: Arc<Shared>, end: CrashReport) {
    let begun = Instant::now();
    while begun.elapsed() < GIVE_UP_AFTER {
        let command = CommandBody::Gateway(GatewayCommand::ServerEnded(end.clone()));
        if let Ok((revision, _)) = submit(&shared, command, REPORT_LIMIT).await {
            shared.wait_for_revision(revision, REPORT_LIMIT).await;
            break;
        }
        shared.metrics.suspect_steps.with_label_values(&["reportFailed"]).inc();
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    shared.suspects.unreported_ends.settle(&end);
}
