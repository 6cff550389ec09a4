//! Watches replicas: asks the head, which answers for its group, and each member only when something is amiss.

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

/// Time between probes of a head.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Unchanged evidence is sent on at least this often: well within the evidence window.
const REFRESH_MS: Millis = 400;
/// How long a coordinator may take to accept evidence.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// What was last sent on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sent {
    at: Millis,
    epoch: u64,
    complete: bool,
    recipients: BTreeSet<String>,
    /// Every recipient's clock was known, so the report could open its gate.
    echoed: bool,
}

/// Watches this daemon's replicas for ever.
pub async fn run_replica_watcher(
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
    engines: EngineClient,
    reporter: Arc<Reporter>,
) {
    let sent: Arc<Mutex<BTreeMap<String, Sent>>> = Arc::default();
    let echoes: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut ticks = tokio::time::interval(PROBE_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let tables = shared.tables();
        let own = Some(shared.settings.name.as_str());
        let mine: Vec<Arc<ReplicaRow>> =
            tables.replicas.values().filter(|row| row.watcher.as_deref() == own).cloned().collect();
        lock(&sent).retain(|name, _| tables.replicas.contains_key(name));
        let looks = mine.into_iter().map(|replica| {
            let watch = Watch {
                shared: shared.clone(),
                traffic: traffic.clone(),
                engines: engines.clone(),
                reporter: reporter.clone(),
                tables: tables.clone(),
                sent: sent.clone(),
                echoes: echoes.clone(),
            };
            async move { watch.look(&replica).await }
        });
        futures::future::join_all(looks).await;
    }
}

struct Watch {
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
    engines: EngineClient,
    reporter: Arc<Reporter>,
    tables: Arc<Tables>,
    sent: Arc<Mutex<BTreeMap<String, Sent>>>,
    /// The newest clock that each recipient has answered.
    echoes: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Watch {
    async fn look(&self, replica: &ReplicaRow) {
        // Taken before the look: what a recipient echoed until now is older than what is about to be seen.
        let echoes = self.echoes();
        let Some(head) = replica.members.first().and_then(|head| self.tables.server(head)) else { return };
        let health = self.engines.health(head.address).await.ok();
        let complete = health.as_ref().is_some_and(|health| shows_complete(replica, health));
        let missing = if complete {
            self.all_alive(replica);
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
        self.send(evidence, &echoes).await;
    }

    /// The head hears all members: each is alive and loaded for this epoch.
    fn all_alive(&self, replica: &ReplicaRow) {
        for server in &replica.members {
            self.reporter.machine(server, MachineState::alive(Some((&replica.name, replica.epoch))));
        }
    }

    async fn missing_members(&self, replica: &ReplicaRow, health: Option<&GroupHealth>) -> Vec<String> {
        let probes = replica.members.iter().filter_map(|server| {
            let address = self.tables.server(server)?.address;
            Some(async move {
                let answers = probe(&self.shared, &self.engines, &self.reporter, server, address).await;
                (server.clone(), answers)
            })
        });
        let mut missing: Vec<String> = futures::future::join_all(probes)
            .await
            .into_iter()
            .filter(|(_, answers)| !answers)
            .map(|(server, _)| server)
            .collect();
        let unheard = health.map(|health| health.missing.clone()).unwrap_or_default();
        missing.extend(unheard.into_iter().filter(|server| replica.members.contains(server)));
        missing.sort();
        missing.dedup();
        missing
    }

    async fn send(&self, evidence: ReplicaEvidence, echoes: &BTreeMap<String, u64>) {
        let recipients: BTreeSet<String> = match self.tables.pools.get(&evidence.pool) {
            Some(pool) => [&pool.coordinator, &pool.standby].into_iter().flatten().cloned().collect(),
            None => return,
        };
        let now = monotonic_ms();
        let echoed = recipients.iter().all(|daemon| echoes.get(daemon).is_some_and(|echo_ms| *echo_ms > 0));
        let next = Sent { at: now, epoch: evidence.epoch, complete: evidence.complete, recipients, echoed };
        if !self.is_due(&evidence, &next) {
            return;
        }
        let sends = next.recipients.iter().map(|daemon| {
            let echo_ms = echoes.get(daemon).copied().unwrap_or(0);
            self.send_to(daemon, vec![ReplicaEvidence { echo_ms, ..evidence.clone() }])
        });
        futures::future::join_all(sends).await;
    }

    /// Notes what is about to be sent; false if nothing has changed since and it is still fresh.
    fn is_due(&self, evidence: &ReplicaEvidence, next: &Sent) -> bool {
        let mut sent = lock(&self.sent);
        let before = sent.get(&evidence.replica).cloned();
        if let Some(before) = &before {
            let unchanged = (before.epoch, before.complete, &before.recipients)
                == (next.epoch, next.complete, &next.recipients);
            if unchanged && before.echoed && next.at < before.at + REFRESH_MS {
                return false;
            }
        }
        let was_complete = before.is_some_and(|before| before.complete && before.epoch == next.epoch);
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
            self.traffic.pools.evidence(reports);
            self.note_echo(daemon, monotonic_ms());
            return;
        }
        let Some(address) = self.shared.peer_address(daemon) else { return };
        let call = |client: PeerClient, context| async move { client.evidence(context, reports).await };
        match self.shared.peers.call(address, SEND_TIMEOUT, call).await {
            Ok(echo_ms) => self.note_echo(daemon, echo_ms),
            Err(_) => {
                // The daemon may be another process by now, with another clock.
                self.note_echo(daemon, 0);
                self.shared.metrics.peer_failures.inc();
            }
        }
    }

    fn echoes(&self) -> BTreeMap<String, u64> {
        lock(&self.echoes).clone()
    }

    fn note_echo(&self, daemon: &str, echo_ms: u64) {
        let mut echoes = lock(&self.echoes);
        echoes.insert(daemon.to_string(), echo_ms);
    }
}

fn shows_complete(replica: &ReplicaRow, health: &GroupHealth) -> bool {
    let right_group =
        health.replica.as_deref() == Some(replica.name.as_str()) && health.epoch == replica.epoch;
    right_group && health.loaded && health.version == replica.version && health.missing.is_empty()
}
