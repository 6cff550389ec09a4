//! Probes replicas: the head, which reports on its whole group, and each member only if the head does not report the group
//! as complete.

use super::engine_client::EngineClient;
use super::machine_prober::probe;
use super::reporter::Reporter;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use crate::traffic::Traffic;
use dockwood_api::engine::GroupHealth;
use dockwood_api::event::Subject;
use dockwood_api::peer::{MachineState, ReplicaEvidence};
use dockwood_api::{ResultCode, peer::PeerClient};
use dockwood_routing::Millis;
use dockwood_state::{ReplicaRow, Tables};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between probes of a head.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which unchanged evidence is sent again, in milliseconds: well within the evidence window.
const REFRESH_INTERVAL_MS: Millis = 400;
/// Time limit for a coordinator to accept evidence.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// The evidence that was last sent on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentEvidence {
    sent_at: Millis,
    epoch: u64,
    complete: bool,
    recipients: BTreeSet<String>,
    /// The clock of every recipient was known, so that the evidence could open the dispatch gate.
    clocks_known: bool,
}

/// Probes the replicas that this daemon watches. Never returns.
pub async fn run_replica_watcher(
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
    engines: EngineClient,
    reporter: Arc<Reporter>,
) {
    let sent: Arc<Mutex<BTreeMap<String, SentEvidence>>> = Arc::default();
    let recipient_clocks: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let tables = shared.tables();
        let own_name = Some(shared.settings.name.as_str());
        let watched: Vec<Arc<ReplicaRow>> =
            tables.replicas.values().filter(|row| row.watcher.as_deref() == own_name).cloned().collect();
        lock(&sent).retain(|name, _| tables.replicas.contains_key(name));
        let probes = watched.into_iter().map(|replica| {
            let replica_probe = ReplicaProbe {
                shared: shared.clone(),
                traffic: traffic.clone(),
                engines: engines.clone(),
                reporter: reporter.clone(),
                tables: tables.clone(),
                sent: sent.clone(),
                recipient_clocks: recipient_clocks.clone(),
            };
            async move { replica_probe.probe_replica(&replica).await }
        });
        futures::future::join_all(probes).await;
    }
}

struct ReplicaProbe {
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
    engines: EngineClient,
    reporter: Arc<Reporter>,
    tables: Arc<Tables>,
    sent: Arc<Mutex<BTreeMap<String, SentEvidence>>>,
    /// The latest clock value that each recipient returned.
    recipient_clocks: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl ReplicaProbe {
    async fn probe_replica(&self, replica: &ReplicaRow) {
        // Read before the probe: the clock values returned so far are older than the state that the probe observes.
        let recipient_clocks = self.recipient_clocks();
        let Some(head) = replica.members.first().and_then(|head| self.tables.server(head)) else { return };
        let health = self.engines.health(head.address).await.ok();
        let complete = health.as_ref().is_some_and(|health| is_complete(replica, health));
        let missing = if complete {
            self.record_all_alive(replica);
            Vec::new()
        } else {
            self.missing_members(replica, health.as_ref()).await
        };
        let evidence = ReplicaEvidence {
            replica: replica.name.clone(),
            pool: replica.deployment.clone(),
            epoch: replica.epoch,
            complete,
            missing,
            echo_ms: 0,
        };
        self.send(evidence, &recipient_clocks).await;
    }

    /// Records every member as alive and loaded for this epoch, as the head is in contact with all of them.
    fn record_all_alive(&self, replica: &ReplicaRow) {
        for server in &replica.members {
            self.reporter.record_machine(server, MachineState::alive(Some((&replica.name, replica.epoch))));
        }
    }

    async fn missing_members(&self, replica: &ReplicaRow, health: Option<&GroupHealth>) -> Vec<String> {
        let probes = replica.members.iter().filter_map(|server| {
            let address = self.tables.server(server)?.address;
            Some(async move {
                let responds = probe(&self.shared, &self.engines, &self.reporter, server, address).await;
                (server.clone(), responds)
            })
        });
        let mut missing: Vec<String> = futures::future::join_all(probes)
            .await
            .into_iter()
            .filter(|(_, responds)| !responds)
            .map(|(server, _)| server)
            .collect();
        let missing_at_head = health.map(|health| health.missing.clone()).unwrap_or_default();
        missing.extend(missing_at_head.into_iter().filter(|server| replica.members.contains(server)));
        missing.sort();
        missing.dedup();
        missing
    }

    async fn send(&self, evidence: ReplicaEvidence, recipient_clocks: &BTreeMap<String, u64>) {
        let recipients: BTreeSet<String> = match self.tables.pools.get(&evidence.pool) {
            Some(pool) => [&pool.coordinator, &pool.standby].into_iter().flatten().cloned().collect(),
            None => return,
        };
        let now = monotonic_ms();
        let clocks_known =
            recipients.iter().all(|daemon| recipient_clocks.get(daemon).is_some_and(|echo_ms| *echo_ms > 0));
        let next = SentEvidence {
            sent_at: now,
            epoch: evidence.epoch,
            complete: evidence.complete,
            recipients,
            clocks_known,
        };
        if !self.is_due(&evidence, &next) {
            return;
        }
        let sends = next.recipients.iter().map(|daemon| {
            let echo_ms = recipient_clocks.get(daemon).copied().unwrap_or(0);
            self.send_to(daemon, vec![ReplicaEvidence { echo_ms, ..evidence.clone() }])
        });
        futures::future::join_all(sends).await;
    }

    /// Records the evidence to be sent; returns false if it is unchanged and was sent recently.
    fn is_due(&self, evidence: &ReplicaEvidence, next: &SentEvidence) -> bool {
        let mut sent = lock(&self.sent);
        let previous = sent.get(&evidence.replica).cloned();
        if let Some(previous) = &previous {
            let is_unchanged = (previous.epoch, previous.complete, &previous.recipients)
                == (next.epoch, next.complete, &next.recipients);
            if is_unchanged && previous.clocks_known && next.sent_at < previous.sent_at + REFRESH_INTERVAL_MS
            {
                return false;
            }
        }
        let was_complete = previous.is_some_and(|previous| previous.complete && previous.epoch == next.epoch);
        if was_complete != next.complete {
            self.record_change(evidence);
        }
        sent.insert(evidence.replica.clone(), next.clone());
        true
    }

    fn record_change(&self, evidence: &ReplicaEvidence) {
        let subject = Subject::new("replica", &evidence.replica);
        let (reason, message) = if evidence.complete {
            ("EvidenceComplete", format!("every machine is alive at epoch {}", evidence.epoch))
        } else {
            ("EvidenceLost", format!("no sign of life from: {}", evidence.missing.join(" ")))
        };
        self.shared.timeline.record(subject, reason, &message, Some(self.tables.revision), ResultCode::Ok);
    }

    async fn send_to(&self, daemon: &str, reports: Vec<ReplicaEvidence>) {
        if daemon == self.shared.settings.name {
            self.traffic.pools.record_evidence(reports);
            self.record_clock(daemon, monotonic_ms());
            return;
        }
        let Some(address) = self.shared.peer_address(daemon) else { return };
        let call = |client: PeerClient, context| async move { client.evidence(context, reports).await };
        match self.shared.peers.call(address, SEND_TIMEOUT, call).await {
            Ok(echo_ms) => self.record_clock(daemon, echo_ms),
            Err(_) => {
                // The daemon may have restarted, and its clock with it.
                self.record_clock(daemon, 0);
                self.shared.metrics.peer_failures.inc();
            }
        }
    }

    fn recipient_clocks(&self) -> BTreeMap<String, u64> {
        lock(&self.recipient_clocks).clone()
    }

    fn record_clock(&self, daemon: &str, echo_ms: u64) {
        let mut recipient_clocks = lock(&self.recipient_clocks);
        recipient_clocks.insert(daemon.to_string(), echo_ms);
    }
}

fn is_complete(replica: &ReplicaRow, health: &GroupHealth) -> bool {
    let is_expected_group =
        health.replica.as_deref() == Some(replica.name.as_str()) && health.epoch == replica.epoch;
    is_expected_group && health.loaded && health.version == replica.version && health.missing.is_empty()
}
