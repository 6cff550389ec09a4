//! Slots for requests that may end the engines that run them.

use super::run::Run;
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

/// Slots at replicas that are taken by other suspects, before a suspect waits for its turn: coordinators avoid a replica
/// only while another one serves.
const MOST_TAKEN: usize = 3;

/// The gate of a request.
pub(super) fn gate_of(traffic: &Traffic, job: &ChatJob) -> SuspectGate {
    let tried = SuspectAttempt {
        fingerprint: job.fingerprint,
        request: job.id.clone(),
        tenant: Some(job.tenant.clone()),
        route: job.model.clone(),
    };
    let left = Duration::from_millis(job.deadline.saturating_sub(monotonic_ms()));
    SuspectGate::new(&traffic.shared, tried, Instant::now() + left)
}

/// Where a granted slot is.
struct Place {
    head: String,
    zone: String,
}

impl Place {
    /// The head of a slot's replica; its address, where the replica is not known here.
    fn of(slot: &HeldSlot, tables: &Tables) -> Place {
        let row = tables.replicas.get(&slot.grant.replica);
        let head = row.and_then(|row| row.members.first().cloned());
        let zone = row.map(|row| row.zone.clone()).unwrap_or_default();
        Place { head: head.unwrap_or_else(|| slot.grant.head.to_string()), zone }
    }
}

impl Run {
    /// A slot at a replica to which the request may be sent.
    pub(super) async fn admitted_slot(&mut self) -> Result<HeldSlot, Failure> {
        let mut taken = 0;
        loop {
            let is_suspect = self.gate.is_suspect().await.map_err(|code| self.refused_by_gate(code))?;
            let slot = self.acquire().await?;
            if let Some(hold) = self.traffic.shared.pushback.hold(&self.addressee(&slot).start) {
                self.pass_over(&slot, hold)?;
                continue;
            }
            let place = Place::of(&slot, &self.traffic.shared.tables());
            match self.gate.admit(is_suspect, &place.head, &place.zone).await {
                Admission::Admitted => return Ok(slot),
                Admission::OtherServer => {
                    taken += 1;
                    self.avoid.push(slot.grant.replica.clone());
                }
                Admission::Wait => {}
                Admission::Refused(code) => return Err(self.refused_by_gate(code)),
            }
            drop(slot);
            if taken >= MOST_TAKEN {
                taken = 0;
                self.all_taken().await?;
            }
        }
    }

    /// The head of a slot's replica, as what is sent to it is answered for.
    pub(super) fn addressee(&self, slot: &HeldSlot) -> SendTarget {
        let tables = self.traffic.shared.tables();
        let places = tables.deployment(&self.pool()).map_or(1, |spec| spec.slots_per_replica);
        SendTarget::at(slot.grant.head, places)
    }

    /// Avoids a replica whose head rests or leaves. Coordinators grant slots of avoided replicas only where no other one
    /// serves: then nobody can take the request.
    fn pass_over(&mut self, slot: &HeldSlot, hold: Hold) -> Result<(), Failure> {
        if !self.avoid.contains(&slot.grant.replica) {
            self.avoid.push(slot.grant.replica.clone());
            return Ok(());
        }
        let mut held = HeldServers::default();
        held.add(&slot.grant.replica, hold);
        let failure = Failure::unavailable(held.refused());
        Err(if self.dispatched { self.refused_by_gate(failure.code) } else { failure })
    }

    /// Waits until replicas that were taken by other suspects may be looked at again.
    async fn all_taken(&mut self) -> Result<(), Failure> {
        self.avoid.clear();
        match self.gate.wait_for_free_server().await {
            Admission::Refused(code) => Err(self.refused_by_gate(code)),
            Admission::Admitted | Admission::OtherServer | Admission::Wait => Ok(()),
        }
    }

    fn refused_by_gate(&self, code: ResultCode) -> Failure {
        let is_untruthful = self.dispatched && code.is_not_run();
        let code = if is_untruthful { ResultCode::Interrupted } else { code };
        Failure::new(code, code.meaning())
    }
}
