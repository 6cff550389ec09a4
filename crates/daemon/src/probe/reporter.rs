//! Reports probe results to the control leader: changes only, and the complete state to a new leader.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::peer::{MachineState, Observation};
use dockwood_routing::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time for which observations are collected, so that they are sent in one message.
const BATCH_WINDOW: Duration = Duration::from_millis(50);
/// Time limit of one report to the leader.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of complete reports, in milliseconds: the leader loses the state of a machine that is declared again, and no
/// change would be reported that restores it.
const FULL_REPORT_INTERVAL_MS: Millis = 10_000;
/// Pause after a report that the leader did not accept.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Observations {
    machines: BTreeMap<String, MachineState>,
    idle_replicas: BTreeSet<(String, u64)>,
    /// Machines and replicas that have not been reported to the leader yet.
    unreported_machines: BTreeSet<String>,
    unreported_replicas: BTreeSet<(String, u64)>,
    reported_term: u64,
    full_report_at: Millis,
}

/// Collects the observations of this daemon.
#[derive(Debug, Default)]
pub struct Reporter {
    observations: Mutex<Observations>,
    changed: tokio::sync::Notify,
}

impl Reporter {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Records the state of a machine, which is reported only if it has changed.
    pub fn record_machine(&self, server: &str, state: MachineState) {
        let mut observations = self.observations();
        if observations.machines.get(server) == Some(&state) {
            return;
        }
        observations.machines.insert(server.to_string(), state);
        observations.unreported_machines.insert(server.to_string());
        drop(observations);
        self.changed.notify_one();
    }

    /// Records that a draining replica is idle, as reported by a coordinator on this daemon.
    pub fn replica_idle(&self, replica: &str, epoch: u64) {
        let key = (replica.to_string(), epoch);
        let mut observations = self.observations();
        if !observations.idle_replicas.insert(key.clone()) {
            return;
        }
        observations.unreported_replicas.insert(key);
        drop(observations);
        self.changed.notify_one();
    }

    /// Removes machines that this daemon no longer probes, and replicas that no longer exist: stale observations of this
    /// daemon must not contradict those of the current prober.
    pub fn retain(&self, owns_machine: impl Fn(&str) -> bool, replica_exists: impl Fn(&str, u64) -> bool) {
        let mut observations = self.observations();
        observations.machines.retain(|server, _| owns_machine(server));
        observations.unreported_machines.retain(|server| owns_machine(server));
        observations.idle_replicas.retain(|(replica, epoch)| replica_exists(replica, *epoch));
        observations.unreported_replicas.retain(|(replica, epoch)| replica_exists(replica, *epoch));
    }

    /// Takes the observations to report to the leader of `term`: all of them for a new term or if a complete
    /// report is due.
    fn take_unreported(&self, now: Millis, term: u64) -> Vec<Observation> {
        let mut observations = self.observations();
        if observations.reported_term != term || now >= observations.full_report_at {
            observations.reported_term = term;
            observations.full_report_at = now + FULL_REPORT_INTERVAL_MS;
            observations.unreported_machines = observations.machines.keys().cloned().collect();
            observations.unreported_replicas = observations.idle_replicas.clone();
        }
        let machines = std::mem::take(&mut observations.unreported_machines);
        let replicas = std::mem::take(&mut observations.unreported_replicas);
        let machines = machines.into_iter().filter_map(|server| {
            let state = *observations.machines.get(&server)?;
            Some(Observation::Machine { server, state })
        });
        let replicas =
            replicas.into_iter().map(|(replica, epoch)| Observation::ReplicaIdle { replica, epoch });
        machines.chain(replicas).collect()
    }

    /// Requests a complete report after the leader did not accept one.
    fn request_full_report(&self) {
        self.observations().reported_term = 0;
    }
}

/// Reports observations to the leader. Never returns.
pub async fn run_reporter(shared: Arc<Shared>, reporter: Arc<Reporter>) {
    loop {
        let _ = tokio::time::timeout(RETRY_PAUSE, reporter.changed.notified()).await;
        tokio::time::sleep(BATCH_WINDOW).await;
        let term = shared.leader_term();
        let Some(leader) = shared.leader() else { continue };
        let observations = reporter.take_unreported(monotonic_ms(), term);
        if observations.is_empty() {
            continue;
        }
        let call = |client: dockwood_api::peer::PeerClient, context| async move {
            client.observe(context, term, observations).await
        };
        let accepted = shared.peers.call(leader, REPORT_TIMEOUT, call).await.unwrap_or(false);
        if !accepted {
            reporter.request_full_report();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
