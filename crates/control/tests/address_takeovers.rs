//! Reports of an unknown instance from the address of one that was seen recently.

use dockwood_api::gateway::{GatewayConfiguration, InstanceReport, InstanceState, ServiceProfile};
use dockwood_control::{GatewayLeaderState, InstanceProbe, ProbeQuestion, ProbeResult};
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables};
use std::sync::Arc;
use yare::parameterized;

/// Longer than the interval between two reports of a running instance.
const LONG_SILENCE_MS: u64 = 2_600;

fn report(id: &str, state: InstanceState) -> InstanceReport {
    InstanceReport {
        started_ms: None,
        id: id.to_string(),
        service: "board".to_string(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "z".to_string(),
        slots: 8,
        state,
        cold_ms: 0,
        sequence: 1,
        domain: None,
        staged: Vec::new(),
        membership: None,
    }
}

/// A leader and its tables.
struct Fixture {
    leader: GatewayLeaderState,
    tables: GatewayTables,
}

impl Fixture {
    /// An instance is registered at 100 ms.
    fn with_instance(state: InstanceState) -> Fixture {
        let service = ServiceProfile {
            name: "board".to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: None,
        };
        let configuration =
            GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
        let mut fixture = Fixture { leader: GatewayLeaderState::default(), tables: GatewayTables::default() };
        fixture.tables.apply(&GatewayCommand::Configure(Arc::new(configuration)));
        fixture.report(100, "running", state);
        fixture
    }

    fn report(&mut self, now: u64, id: &str, state: InstanceState) {
        let command = self.leader.register(now, &self.tables, &report(id, state));
        command.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    fn decide(&mut self, now: u64) -> Vec<InstanceProbe> {
        let commands = self.leader.decide(now, &self.tables, GroupingPolicy::default());
        commands.iter().for_each(|command| {
            self.tables.apply(command);
        });
        self.leader.probes(now, &self.tables)
    }

    fn is_registered(&self, id: &str) -> bool {
        self.tables.instances.contains_key(id)
    }
}

/// The report of the earlier start reached nobody before the crash. Replacing an instance excludes it for
/// good, so this requires an answer from the address itself.
#[parameterized(
    the_known_instance_answers = { ProbeResult::OtherInstance, "running" },
    the_new_instance_answers = { ProbeResult::Answered, "other" },
    nobody_answers = { ProbeResult::Silent, "running" },
    the_address_refuses = { ProbeResult::Refused, "running" },
)]
fn an_address_is_probed_for_the_instance_that_answers(result: ProbeResult, holder: &str) {
    let mut fixture = Fixture::with_instance(InstanceState::Ready);
    fixture.report(600, "other", InstanceState::Ready);
    assert!(
        fixture.is_registered("running") && !fixture.is_registered("other"),
        "nothing changes before the probe is answered"
    );
    let probes = fixture.decide(610);
    assert_eq!(probes.len(), 1, "{probes:?}");
    assert_eq!(probes[0].instance, "other");
    assert_eq!(probes[0].question, ProbeQuestion::AnswersAt("/health".to_string()));
    fixture.report(620, "other", InstanceState::Ready);
    assert!(fixture.decide(630).is_empty(), "the address is probed once");
    fixture.leader.record_probe(640, "other", result, None);
    fixture.decide(640);
    assert_eq!(
        ["running", "other"].map(|id| fixture.is_registered(id)),
        ["running", "other"].map(|id| id == holder)
    );
    fixture.report(700, holder, InstanceState::Ready);
    assert!(fixture.is_registered(holder), "later reports of the instance are accepted");
}

#[test]
fn an_instance_that_starts_to_leave_while_its_address_is_probed_stays_leaving() {
    let mut fixture = Fixture::with_instance(InstanceState::Ready);
    fixture.report(600, "other", InstanceState::Draining);
    fixture.report(605, "other", InstanceState::Ready);
    fixture.decide(610);
    fixture.leader.record_probe(640, "other", ProbeResult::Answered, None);
    fixture.decide(640);
    assert_eq!(fixture.tables.instances.get("other").map(|row| row.state), Some(InstanceState::Draining));
}

#[test]
fn an_instance_that_was_silent_for_long_is_replaced_at_once() {
    let mut fixture = Fixture::with_instance(InstanceState::Ready);
    fixture.report(100 + LONG_SILENCE_MS, "other", InstanceState::Ready);
    assert!(fixture.is_registered("other") && !fixture.is_registered("running"));
}

#[test]
fn a_leaving_instance_is_replaced_at_once() {
    let mut fixture = Fixture::with_instance(InstanceState::Draining);
    fixture.report(600, "other", InstanceState::Ready);
    assert!(fixture.is_registered("other") && !fixture.is_registered("running"));
}

#[parameterized(
    nobody_answers = { ProbeResult::Silent },
    the_address_refuses = { ProbeResult::Refused },
)]
fn an_address_that_did_not_answer_is_taken_over_once_the_other_instance_was_silent_for_long(
    result: ProbeResult,
) {
    let mut fixture = Fixture::with_instance(InstanceState::Ready);
    fixture.report(600, "other", InstanceState::Ready);
    fixture.decide(610);
    fixture.leader.record_probe(640, "other", result, None);
    fixture.decide(640);
    fixture.report(640 + LONG_SILENCE_MS, "other", InstanceState::Ready);
    assert!(fixture.is_registered("other") && !fixture.is_registered("running"));
}
