//! Acquisition of slots for requests, in case they are suspected of crashing the engines that run them.

use super::run::ChatRun;
use super::{ChatJob, Failure};
use crate::clock::monotonic_ms;
use crate::pushback::{HeldServers, SendTarget};
use crate::suspects::{Admission, SuspectGate};
use crate::traffic::Traffic;
use crate::traffic::slots::HeldSlot;
use dockwood_api::ResultCode;
use dockwood_routing::pushback::Hold;
use dockwood_state::{SuspectAttempt, Tables};
use std::time::Duration;
use tokio::time::Instant;

/// Number of slots granted at replicas that run other suspects, after which a suspect waits: coordinators skip an
/// avoided replica only while another one serves.
const MAX_BUSY_REPLICAS: usize = 3;

/// Creates the suspect gate of a request.
pub(super) fn create_gate(traffic: &Traffic, job: &ChatJob) -> SuspectGate {
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

impl ChatRun {
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
