//! A report of an unknown instance from the address of one that was heard lately.

use dockwood_api::gateway::{GatewayConfiguration, InstanceReport, InstanceState, ServiceProfile};
use dockwood_control::{GatewayLeadership, InstanceProbe, ProbeQuestion, ProbeResult};
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables};
use std::sync::Arc;
use yare::parameterized;

/// Longer than a running instance is ever silent between two reports.
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

/// A leader with its tables.
struct World {
    leader: GatewayLeadership,
    tables: GatewayTables,
}

impl World {
    /// One instance is registered at 100 ms.
    fn with(state: InstanceState) -> World {
        let service = ServiceProfile {
            name: "board".to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: None,
        };
        let configuration =
            GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
        let mut world = World { leader: GatewayLeadership::default(), tables: GatewayTables::default() };
        world.tables.apply(&GatewayCommand::Configure(Arc::new(configuration)));
        world.report(100, "running", state);
        world
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

    fn holds(&self, id: &str) -> bool {
        self.tables.instances.contains_key(id)
    }
}

/// The former start's report reached nobody before it crashed. Who replaces another instance bars it for good, so
/// nothing short of the address's own word does.
#[parameterized(
    the_one_that_is_known_answers = { ProbeResult::OtherInstance, "running" },
    the_new_one_answers = { ProbeResult::Answered, "other" },
    nobody_answers = { ProbeResult::Silent, "running" },
    the_address_refuses = { ProbeResult::Refused, "running" },
)]
fn an_address_is_asked_who_answers_there(result: ProbeResult, holder: &str) {
    let mut world = World::with(InstanceState::Ready);
    world.report(600, "other", InstanceState::Ready);
    assert!(
        world.holds("running") && !world.holds("other"),
        "nothing changes before the address has answered"
    );
    let probes = world.decide(610);
    assert_eq!(probes.len(), 1, "{probes:?}");
    assert_eq!(probes[0].instance, "other");
    assert_eq!(probes[0].question, ProbeQuestion::AnswersAt("/health".to_string()));
    world.report(620, "other", InstanceState::Ready);
    assert!(world.decide(630).is_empty(), "it is asked once");
    world.leader.probed(640, "other", result, None);
    world.decide(640);
    assert_eq!(["running", "other"].map(|id| world.holds(id)), ["running", "other"].map(|id| id == holder));
    world.report(700, holder, InstanceState::Ready);
    assert!(world.holds(holder), "and its later reports count");
}

#[test]
fn an_instance_that_said_that_it_leaves_while_its_address_was_asked_stays_so() {
    let mut world = World::with(InstanceState::Ready);
    world.report(600, "other", InstanceState::Draining);
    world.report(605, "other", InstanceState::Ready);
    world.decide(610);
    world.leader.probed(640, "other", ProbeResult::Answered, None);
    world.decide(640);
    assert_eq!(world.tables.instances.get("other").map(|row| row.state), Some(InstanceState::Draining));
}

#[test]
fn an_instance_that_was_not_heard_for_long_is_replaced_at_once() {
    let mut world = World::with(InstanceState::Ready);
    world.report(100 + LONG_SILENCE_MS, "other", InstanceState::Ready);
    assert!(world.holds("other") && !world.holds("running"));
}

#[test]
fn an_instance_that_was_leaving_is_replaced_at_once() {
    let mut world = World::with(InstanceState::Draining);
    world.report(600, "other", InstanceState::Ready);
    assert!(world.holds("other") && !world.holds("running"));
}

#[parameterized(
    nobody_answers = { ProbeResult::Silent },
    the_address_refuses = { ProbeResult::Refused },
)]
fn an_instance_whose_address_did_not_answer_takes_it_once_the_other_was_silent_for_long(result: ProbeResult) {
    let mut world = World::with(InstanceState::Ready);
    world.report(600, "other", InstanceState::Ready);
    world.decide(610);
    world.leader.probed(640, "other", result, None);
    world.decide(640);
    world.report(640 + LONG_SILENCE_MS, "other", InstanceState::Ready);
    assert!(world.holds("other") && !world.holds("running"));
}
