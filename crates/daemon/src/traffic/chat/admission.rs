//! Search for a replica that a request may be sent to: its slot, and its admission in case the request is suspected of
//! crashing the engines that run it.

use super::{ChatJob, Failure};
use crate::clock::monotonic_ms;
use crate::pushback::{HeldServers, SendTarget};
use crate::suspects::{Admission, SuspectGate};
use crate::traffic::Traffic;
use crate::traffic::slots::HeldSlot;
use dockwood_api::ResultCode;
use dockwood_api::peer::AcquireRequest;
use dockwood_routing::prefix_blocks;
use dockwood_routing::pushback::Hold;
use dockwood_state::{SuspectAttempt, Tables};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of slots granted at replicas that run other suspects, after which a suspect waits: coordinators skip an
/// avoided replica only while another one serves.
const MAX_BUSY_REPLICAS: usize = 3;

/// Search for replicas that one request may be sent to.
pub(super) struct ReplicaSearch {
    pub(super) traffic: Arc<Traffic>,
    pub(super) job: Arc<ChatJob>,
    /// Decides whether the request may be sent to a replica, in case it crashes servers.
    pub(super) gate: SuspectGate,
    pub(super) avoided_replicas: Vec<String>,
    /// Whether a back end may have run the request; if so, it can no longer be reported as not run.
    pub(super) dispatched: bool,
}

/// Creates the suspect gate of a request.
fn create_gate(traffic: &Traffic, job: &ChatJob) -> SuspectGate {
    let suspect_attempt = SuspectAttempt {
        fingerprint: job.fingerprint,
        request: job.id.clone(),
        tenant: Some(job.tenant.clone()),
        route: job.model.clone(),
    };
    let left = Duration::from_millis(job.deadline.saturating_sub(monotonic_ms()));
    let gate = SuspectGate::new(&traffic.shared, suspect_attempt, Instant::now() + left);
    gate.with_shared_parts(job.shared_parts.clone())
}

/// Location of the replica of a granted slot.
struct ReplicaLocation {
    head: String,
    zone: String,
}

impl ReplicaLocation {
    /// Returns the name of the replica's head, or its address if the replica is not in the tables.
    fn of(slot: &HeldSlot, tables: &Tables) -> ReplicaLocation {
        let row = tables.replicas.get(&slot.grant.replica);
        let head = row.and_then(|row| row.members.first().cloned());
        let zone = row.map(|row| row.zone.clone()).unwrap_or_default();
        ReplicaLocation { head: head.unwrap_or_else(|| slot.grant.head.to_string()), zone }
    }
}

impl ReplicaSearch {
    /// Creates the search of a request that was not sent yet.
    pub(super) fn new(traffic: Arc<Traffic>, job: Arc<ChatJob>) -> ReplicaSearch {
        let gate = create_gate(&traffic, &job);
        ReplicaSearch { traffic, job, gate, avoided_replicas: Vec::new(), dispatched: false }
    }

    /// Creates a search for another replica, beside the one that has the request.
    pub(super) fn beside(&self, replica: &str) -> ReplicaSearch {
        let mut other = ReplicaSearch::new(self.traffic.clone(), self.job.clone());
        other.dispatched = true;
        other.avoided_replicas = self.avoided_replicas.clone();
        other.avoid(Some(replica.to_string()));
        other
    }

    /// Adds a replica to the avoided ones.
    pub(super) fn avoid(&mut self, replica: Option<String>) {
        let new = replica.filter(|replica| !self.avoided_replicas.contains(replica));
        self.avoided_replicas.extend(new);
    }

    /// Acquires a slot at a replica to which the request may be sent.
    pub(super) async fn acquire_admitted_slot(&mut self) -> Result<HeldSlot, Failure> {
        let mut busy_replicas = 0;
        loop {
            let is_suspect = self.gate.is_suspect().await.map_err(|code| self.gate_failure(code))?;
            let slot = self.acquire().await?;
            if let Some(hold) = self.traffic.shared.pushback.hold(&self.send_target(&slot).start) {
                self.avoid_held_replica(&slot, hold)?;
                continue;
            }
            let location = ReplicaLocation::of(&slot, &self.traffic.shared.tables());
            match self.gate.admit(is_suspect, &location.head, &location.zone, slot.grant.head).await {
                Admission::Admitted => return Ok(slot),
                Admission::OtherServer => {
                    busy_replicas += 1;
                    self.avoided_replicas.push(slot.grant.replica.clone());
                }
                Admission::Wait => {}
                Admission::Refused(code) => return Err(self.gate_failure(code)),
            }
            drop(slot);
            if busy_replicas >= MAX_BUSY_REPLICAS {
                busy_replicas = 0;
                self.wait_for_free_replica().await?;
            }
        }
    }

    async fn acquire(&self) -> Result<HeldSlot, Failure> {
        let request = AcquireRequest {
            request_id: self.job.engine_id(),
            entry: self.traffic.shared.settings.name.clone(),
            tenant: self.job.tenant.clone(),
            cost_tokens: self.job.cost_tokens(),
            prefix_blocks: prefix_blocks(&self.job.prompt),
            wait_ms: 0,
            avoid: self.avoided_replicas.clone(),
            pool: self.pool(),
            search: rand::random(),
            call: 0,
            returned: Vec::new(),
        };
        let acquired = self.traffic.slots.acquire(request, self.job.deadline).await;
        acquired.map_err(|refusal| {
            let code = if self.dispatched { ResultCode::Interrupted } else { refusal.code };
            Failure {
                code,
                message: refusal.message,
                retry_after_ms: Some(u64::from(refusal.retry_after_ms)),
            }
        })
    }

    /// Returns the pool of the first route whose deployment still exists.
    pub(super) fn pool(&self) -> String {
        let tables = self.traffic.shared.tables();
        let routes = &self.job.routes;
        let existing = routes.iter().find(|route| tables.deployment(&route.pool).is_some());
        existing.or(routes.first()).map(|route| route.pool.clone()).unwrap_or_default()
    }

    /// Returns the head of a slot's replica as the target that its pushback signals apply to.
    pub(super) fn send_target(&self, slot: &HeldSlot) -> SendTarget {
        let tables = self.traffic.shared.tables();
        let concurrency = tables.deployment(&self.pool()).map_or(1, |spec| spec.slots_per_replica);
        SendTarget::at(slot.grant.head, concurrency)
    }

    /// Adds a replica whose head is on hold to the avoided replicas. Coordinators grant slots of avoided replicas only
    /// if no other one serves: then no replica can accept the request, which fails.
    fn avoid_held_replica(&mut self, slot: &HeldSlot, hold: Hold) -> Result<(), Failure> {
        if !self.avoided_replicas.contains(&slot.grant.replica) {
            self.avoided_replicas.push(slot.grant.replica.clone());
            return Ok(());
        }
        let mut held = HeldServers::default();
        held.add(&slot.grant.replica, hold);
        let failure = Failure::unavailable(held.refused());
        Err(if self.dispatched { self.gate_failure(failure.code) } else { failure })
    }

    /// Waits until replicas that were running other suspects may be tried again.
    async fn wait_for_free_replica(&mut self) -> Result<(), Failure> {
        self.avoided_replicas.clear();
        match self.gate.wait_for_free_server().await {
            Admission::Refused(code) => Err(self.gate_failure(code)),
            Admission::Admitted | Admission::OtherServer | Admission::Wait => Ok(()),
        }
    }

    fn gate_failure(&self, code: ResultCode) -> Failure {
        let contradicts_dispatch = self.dispatched && code.is_not_run();
        let code = if contradicts_dispatch { ResultCode::Interrupted } else { code };
        Failure::new(code, code.meaning())
    }
}
