//! Which servers the leader probes.

use dockwood_api::gateway::{
    EngineProfile, EventPace, GatewayConfiguration, GroupCommand, GroupLoad, GroupOrder, InstanceReport,
    InstanceState, LoadReport, ModelProfile, OrderAnswer, ServiceProfile,
};
use dockwood_control::{GatewayLeaderState, ProbeResult};
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase};
use std::sync::Arc;

const SERVICE: &str = "writer";
const MODEL: &str = "small";

fn report(number: u16) -> InstanceReport {
    InstanceReport {
        started_ms: None,
        id: format!("s{number}"),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_string(),
        slots: 8,
        state: InstanceState::Ready,
        cold_ms: 0,
        sequence: 1,
        domain: Some("d".to_string()),
        staged: vec![MODEL.to_string()],
        membership: None,
    }
}

/// A leader that knows three servers, two of which are being formed into a group, and the join orders.
fn forming() -> (GatewayLeaderState, GatewayTables, Vec<GroupOrder>) {
    let model =
        ModelProfile { name: MODEL.into(), size: 2, share: 1.0, pace: 1.0, load_ms: 100, warm_ms: 100 };
    let engine = EngineProfile {
        slots: 8,
        step_ms: 8.0,
        per_sequence_ms: 0.1,
        read_per_second: 40_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 2.0,
        loads_at_once: 6,
        staged_models: 1,
        models: vec![model],
        ..EngineProfile::default()
    };
    let service = ServiceProfile {
        name: SERVICE.to_string(),
        health_path: "/health".to_string(),
        max_connections: 100,
        cold_start: None,
        engine: Some(engine),
    };
    let configuration =
        GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
    let mut tables = GatewayTables::default();
    tables.apply(&GatewayCommand::Configure(Arc::new(configuration)));
    let mut leader = GatewayLeaderState::default();
    for number in 0..3 {
        let command = leader.register(100, &tables, &report(number));
        command.iter().for_each(|command| {
            tables.apply(command);
        });
    }
    let policy = GroupingPolicy::default();
    let commands = leader.decide(2_000, &tables, policy);
    commands.iter().for_each(|command| {
        tables.apply(command);
    });
    let orders = leader.orders_to_send(2_000, &tables, policy, 1);
    (leader, tables, orders)
}

fn joins(orders: &[GroupOrder]) -> Vec<&GroupOrder> {
    orders.iter().filter(|order| matches!(order.command, GroupCommand::Join { .. })).collect()
}

/// Regression (unidos-despacho-now-grown): groups of 16 waited 3.3 s for members that had been cut off.
#[test]
fn a_member_that_does_not_answer_a_join_order_is_probed_and_replaced_if_it_is_silent() {
    let (mut leader, mut tables, orders) = forming();
    let joins = joins(&orders);
    assert!(joins.len() >= 2, "{orders:?}");
    let silent = joins[0].clone();
    joins.iter().skip(1).for_each(|order| leader.record_order_answer(2_005, order, OrderAnswer::Begun));
    assert!(leader.probes(2_010, &tables).is_empty());
    leader.record_order_answer(2_400, &silent, OrderAnswer::Silent);
    let probed: Vec<String> = leader.probes(2_400, &tables).into_iter().map(|probe| probe.instance).collect();
    assert_eq!(probed, std::slice::from_ref(&silent.instance));
    assert!(leader.probes(2_410, &tables).is_empty(), "one probe per order");
    leader.record_probe(2_700, &silent.instance, ProbeResult::Silent, None);
    let commands = leader.decide(2_700, &tables, GroupingPolicy::default());
    let ends = |command: &GatewayCommand| matches!(command, GatewayCommand::End { epoch, .. } if *epoch == silent.epoch);
    assert!(commands.iter().any(ends), "{commands:?}");
    commands.iter().for_each(|command| {
        tables.apply(command);
    });
    assert!(
        tables.groups.values().all(|group| group.phase != GroupPhase::Forming || group.epoch != silent.epoch)
    );
}

/// Servers may leave orders unanswered and carry them out late: a member that answers a probe is waited for.
#[test]
fn a_member_that_answers_the_probe_is_waited_for() {
    let (mut leader, tables, orders) = forming();
    let silent = joins(&orders)[0].clone();
    leader.record_order_answer(2_400, &silent, OrderAnswer::Silent);
    leader.probes(2_400, &tables);
    leader.record_probe(2_410, &silent.instance, ProbeResult::Answered, None);
    let commands = leader.decide(2_700, &tables, GroupingPolicy::default());
    assert!(!commands.iter().any(|command| matches!(command, GatewayCommand::End { .. })), "{commands:?}");
}

/// One member of a group is four times slower than declared, and slows down the whole group.
#[test]
fn the_members_of_a_group_whose_events_are_late_are_probed_and_the_slow_one_is_replaced() {
    let (mut leader, mut tables, orders) = forming();
    let epoch = joins(&orders)[0].epoch;
    for phase in [GroupPhase::Opening, GroupPhase::Open] {
        tables.apply(&GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
    }
    let pace = EventPace { events: 20, timely: 0 };
    let group = GroupLoad {
        epoch,
        in_flight: 4,
        silent: false,
        refuses: false,
        progressed: true,
        pace,
        held_for_ms: 0,
    };
    let report = LoadReport { daemon: "e".into(), scope: None, groups: vec![group], models: Vec::new() };
    leader.exchange_load(3_000, &tables, 1, report, true);
    let probed: Vec<String> = leader.probes(3_010, &tables).into_iter().map(|probe| probe.instance).collect();
    assert_eq!(probed, tables.groups[&epoch].members);
    leader.record_probe(3_020, &probed[0], ProbeResult::Answered, Some(4.0));
    leader.record_probe(3_020, &probed[1], ProbeResult::Answered, Some(1.0));
    let cuts = |command: &GatewayCommand| {
        matches!(command, GatewayCommand::SetPhase { phase: GroupPhase::Cutting, reason, .. }
            if reason.starts_with(&probed[0]))
    };
    let commands = leader.decide(3_020, &tables, GroupingPolicy::default());
    assert!(commands.iter().any(cuts), "{commands:?}");
}
