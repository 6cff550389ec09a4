//! Tells the leader what was found out: changes only, and everything anew to a new leader.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::peer::{MachineState, Observation};
use dockwood_routing::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Findings wait this long for others, so that one message carries them.
const GATHER: Duration = Duration::from_millis(50);
/// How long the leader may take to answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Everything is told again this often: the leader may have forgotten a machine that was declared anew, and
/// nothing else would remind it.
const RETELL_MS: Millis = 10_000;
/// Pause after a report that was not taken.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Findings {
    machines: BTreeMap<String, MachineState>,
    idle_replicas: BTreeSet<(String, u64)>,
    /// Machines and replicas that the leader has not been told of.
    untold_machines: BTreeSet<String>,
    untold_replicas: BTreeSet<(String, u64)>,
    told_term: u64,
    retell_at: Millis,
}

/// Gathers findings of this daemon.
#[derive(Debug, Default)]
pub struct Reporter {
    findings: Mutex<Findings>,
    news: tokio::sync::Notify,
}

impl Reporter {
    fn findings(&self) -> MutexGuard<'_, Findings> {
        lock(&self.findings)
    }

    /// Takes a finding on a machine; told on only if it is news.
    pub fn machine(&self, server: &str, state: MachineState) {
        let mut findings = self.findings();
        if findings.machines.get(server) == Some(&state) {
            return;
        }
        findings.machines.insert(server.to_string(), state);
        findings.untold_machines.insert(server.to_string());
        drop(findings);
        self.news.notify_one();
    }

    /// Takes the word of a coordinator here that a draining replica is idle.
    pub fn replica_idle(&self, replica: &str, epoch: u64) {
        let key = (replica.to_string(), epoch);
        let mut findings = self.findings();
        if !findings.idle_replicas.insert(key.clone()) {
            return;
        }
        findings.untold_replicas.insert(key);
        drop(findings);
        self.news.notify_one();
    }

    /// Forgets machines that are no longer this daemon's to probe, and replicas that are gone: another prober's
    /// word must not be contradicted by an old one of ours.
    pub fn retain(&self, owns_machine: impl Fn(&str) -> bool, replica_exists: impl Fn(&str, u64) -> bool) {
        let mut findings = self.findings();
        findings.machines.retain(|server, _| owns_machine(server));
        findings.untold_machines.retain(|server| owns_machine(server));
        findings.idle_replicas.retain(|(replica, epoch)| replica_exists(replica, *epoch));
        findings.untold_replicas.retain(|(replica, epoch)| replica_exists(replica, *epoch));
    }

    /// What to tell the leader of `term`: everything if it was never told, or not for long.
    fn take_untold(&self, now: Millis, term: u64) -> Vec<Observation> {
        let mut findings = self.findings();
        if findings.told_term != term || now >= findings.retell_at {
            findings.told_term = term;
            findings.retell_at = now + RETELL_MS;
            findings.untold_machines = findings.machines.keys().cloned().collect();
            findings.untold_replicas = findings.idle_replicas.clone();
        }
        let machines = std::mem::take(&mut findings.untold_machines);
        let replicas = std::mem::take(&mut findings.untold_replicas);
        let machines = machines.into_iter().filter_map(|server| {
            let state = *findings.machines.get(&server)?;
            Some(Observation::Machine { server, state })
        });
        let replicas =
            replicas.into_iter().map(|(replica, epoch)| Observation::ReplicaIdle { replica, epoch });
        machines.chain(replicas).collect()
    }

    /// A report was not taken: tell it all again.
    fn untell(&self) {
        self.findings().told_term = 0;
    }
}

/// Reports for ever.
pub async fn run_reporter(shared: Arc<Shared>, reporter: Arc<Reporter>) {
    loop {
        let _ = tokio::time::timeout(RETRY_PAUSE, reporter.news.notified()).await;
        tokio::time::sleep(GATHER).await;
        let term = shared.leader_term();
        let Some(leader) = shared.leader() else { continue };
        let observations = reporter.take_untold(monotonic_ms(), term);
        if observations.is_empty() {
            continue;
        }
        let call = |client: dockwood_api::peer::PeerClient, context| async move {
            client.observe(context, term, observations).await
        };
        let taken = shared.peers.call(leader, REPORT_TIMEOUT, call).await.unwrap_or(false);
        if !taken {
            reporter.untell();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
