//! Handles instances that report from an address that was recently used by another instance. Usually the
//! other one has crashed and this is its restart. But it may also be an earlier start whose reports reached
//! nobody before it crashed, and one of them arrives late: it must not replace the running instance. So the
//! address is probed, and the instance is only admitted if the address confirms its identity, or if the other
//! one has been silent for long enough.

use crate::Millis;
use crate::gateway::{InstanceProbe, ProbeQuestion};
use dockwood_api::gateway::InstanceState;
use dockwood_grouping::{Observations, ProbeResult};
use dockwood_state::{GatewayCommand, GatewayTables, InstanceRow};
use std::collections::BTreeMap;

/// An instance that waits for a probe or its result.
#[derive(Clone, Debug)]
struct Candidate {
    row: InstanceRow,
    is_probed: bool,
}

/// Instances whose report waits for the confirmation of their address. Local to a leader: an instance whose
/// report is not answered reports again.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressTakeovers {
    candidates: BTreeMap<String, Candidate>,
    confirmed: Vec<GatewayCommand>,
}

impl AddressTakeovers {
    /// Whether an unknown instance reports from the address of an active one that was seen recently.
    pub(crate) fn needs_probe(
        &self,
        now: Millis,
        tables: &GatewayTables,
        observations: &Observations,
        row: &InstanceRow,
    ) -> bool {
        let is_recent = |held: &InstanceRow| {
            let seen = observations.instance(&held.id).filter(|seen| seen.absence.is_none());
            seen.is_some_and(|seen| now < seen.reported_at + observations.heartbeat().recent_ms())
        };
        let at_address = tables.instances.values().filter(|held| held.address == row.address);
        at_address.into_iter().any(|held| held.state == InstanceState::Ready && is_recent(held))
    }

    /// Records an instance whose address has to be probed. Its latest report counts, except that an instance
    /// that is leaving can't become ready again: a report that says so is a late one.
    pub(crate) fn add(&mut self, mut row: InstanceRow) {
        let known = self.candidates.get(&row.id);
        let is_probed = known.is_some_and(|candidate| candidate.is_probed);
        if known.is_some_and(|candidate| candidate.row.state == InstanceState::Draining) {
            row.state = InstanceState::Draining;
        }
        self.candidates.insert(row.id.clone(), Candidate { row, is_probed });
    }

    /// Returns the probes to send now, one per instance.
    pub(crate) fn due_probes(&mut self, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let unprobed = self.candidates.values_mut().filter(|candidate| !candidate.is_probed);
        let probe = |candidate: &mut Candidate| {
            candidate.is_probed = true;
            let row = &candidate.row;
            let service = tables.configuration.as_ref().and_then(|held| held.service(&row.service));
            let health_path = service.map_or("/", |service| &service.health_path);
            InstanceProbe {
                instance: row.id.clone(),
                service: row.service.clone(),
                address: row.address,
                question: ProbeQuestion::AnswersAt(health_path.to_string()),
            }
        };
        unprobed.map(probe).collect()
    }

    /// Records a probe result; false if the instance was probed for another reason.
    pub(crate) fn record_probe_result(&mut self, instance: &str, result: ProbeResult) -> bool {
        let Some(candidate) = self.candidates.remove(instance) else { return false };
        // Replacing the other instance excludes it for good, and neither silence nor a refused connection
        // proves that it is gone. If it is, this instance reports again.
        if result == ProbeResult::Answered {
            self.confirmed.push(GatewayCommand::Register(candidate.row));
        }
        true
    }

    /// Takes the registrations of instances that replace another one now.
    pub(crate) fn take_confirmed(&mut self) -> Vec<GatewayCommand> {
        std::mem::take(&mut self.confirmed)
    }
}
