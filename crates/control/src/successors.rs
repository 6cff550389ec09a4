//! Instances that report from an address where another one was seen recently. Usually the other one has crashed and this
//! is its next start. It may also be a former start whose reports reached nobody before it crashed, and one of them
//! now, late: it must not replace the instance that runs. So the address is asked who answers there, and only its word
//! that it is the one that reported brings that one in, or a silence of the other that is long enough.

use crate::Millis;
use crate::gateway::{InstanceProbe, ProbeQuestion};
use dockwood_api::gateway::InstanceState;
use dockwood_grouping::{Observations, ProbeResult};
use dockwood_state::{GatewayCommand, GatewayTables, InstanceRow};
use std::collections::BTreeMap;

/// An instance that is to be asked, or has been.
#[derive(Clone, Debug)]
struct Candidate {
    row: InstanceRow,
    is_asked: bool,
}

/// Instances whose report waits for the word of their address. Local to a leader: one that is not answered reports
/// again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Successors {
    candidates: BTreeMap<String, Candidate>,
    confirmed: Vec<GatewayCommand>,
}

impl Successors {
    /// Whether an unknown instance reports from the address of one that takes part and was seen recently.
    pub(crate) fn is_doubtful(
        &self,
        now: Millis,
        tables: &GatewayTables,
        observations: &Observations,
        row: &InstanceRow,
    ) -> bool {
        let was_heard = |held: &InstanceRow| {
            let seen = observations.instance(&held.id).filter(|seen| seen.silent_since.is_none());
            seen.is_some_and(|seen| now < seen.reported_at + observations.heartbeat().recent_ms())
        };
        let at_address = tables.instances.values().filter(|held| held.address == row.address);
        at_address.into_iter().any(|held| held.state == InstanceState::Ready && was_heard(held))
    }

    /// Notes that the address of an instance is to be asked. Of its reports the last counts; but one that is leaving
    /// doesn't come back, and a report that says so is a late one.
    pub(crate) fn ask_about(&mut self, mut row: InstanceRow) {
        let known = self.candidates.get(&row.id);
        let is_asked = known.is_some_and(|candidate| candidate.is_asked);
        if known.is_some_and(|candidate| candidate.row.state == InstanceState::Draining) {
            row.state = InstanceState::Draining;
        }
        self.candidates.insert(row.id.clone(), Candidate { row, is_asked });
    }

    /// Instances to be asked now, each once.
    pub(crate) fn due_probes(&mut self, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let waiting = self.candidates.values_mut().filter(|candidate| !candidate.is_asked);
        let probe = |candidate: &mut Candidate| {
            candidate.is_asked = true;
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
        waiting.map(probe).collect()
    }

    /// Takes the result of a probe; false if the instance was asked for another reason.
    pub(crate) fn answered(&mut self, instance: &str, result: ProbeResult) -> bool {
        let Some(candidate) = self.candidates.remove(instance) else { return false };
        // Taking the other's place bars it for good, and neither silence nor a refusal proves that it has gone. This
        // one reports again.
        if result == ProbeResult::Answered {
            self.confirmed.push(GatewayCommand::Register(candidate.row));
        }
        true
    }

    /// The instances that take the place of another one now.
    pub(crate) fn confirmed(&mut self) -> Vec<GatewayCommand> {
        std::mem::take(&mut self.confirmed)
    }
}
