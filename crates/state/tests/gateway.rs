//! Invariants of the gateway's tables that hold whatever a controller requests.

mod common;

use common::gateway::{apply, form, register, row};
use dockwood_api::gateway::{ColdStart, GatewayConfiguration, InstanceState, ServiceProfile, TenantKeys};
use dockwood_state::{
    Command, CommandBody, GatewayCommand, GroupPhase, GroupPurpose, InstanceRow, Outcome, State,
};
use std::sync::Arc;

fn configure(state: &mut State, version: u64, document: &[u8]) {
    let configuration =
        GatewayConfiguration { version, document: document.to_vec(), ..GatewayConfiguration::default() };
    apply(state, GatewayCommand::Configure(Arc::new(configuration)));
}

fn current_configuration(state: &State) -> Option<(u64, Vec<u8>)> {
    let configuration = state.tables.gateway.configuration.as_ref();
    configuration.map(|current| (current.version, current.document.clone()))
}

#[test]
fn the_highest_configuration_version_wins_in_any_order() {
    let mut state = State::default();
    configure(&mut state, 5, b"five");
    configure(&mut state, 3, b"three");
    configure(&mut state, 5, b"other");
    assert_eq!(current_configuration(&state), Some((5, b"five".to_vec())));
    configure(&mut state, 9, b"nine");
    assert_eq!(current_configuration(&state), Some((9, b"nine".to_vec())));
}

fn with_tenants(version: u64, keys: &[&[&str]]) -> GatewayConfiguration {
    let tenant = |(number, keys): (usize, &&[&str])| TenantKeys {
        name: format!("tenant-{number}"),
        keys: keys.iter().map(|key| key.to_string()).collect(),
        priority: None,
        allowed_regions: Vec::new(),
    };
    let tenants = keys.iter().enumerate().map(tenant).collect();
    GatewayConfiguration { version, tenants, ..GatewayConfiguration::default() }
}

fn needs_keys_after(configurations: &[GatewayConfiguration]) -> bool {
    let mut state = State::default();
    for configuration in configurations {
        apply(&mut state, GatewayCommand::Configure(Arc::new(configuration.clone())));
    }
    let restored = State::decode(&state.encode()).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(restored, state);
    restored.tables.gateway.configuration.is_some_and(|configuration| !configuration.tenants.is_empty())
}

/// Otherwise the removal of the last tenant would admit requests with the removed keys.
#[test]
fn requests_need_keys_for_good_once_a_configuration_had_tenants() {
    let (open, closed) = (with_tenants(1, &[]), with_tenants(2, &[&["k1"]]));
    assert!(!needs_keys_after(std::slice::from_ref(&open)), "a fleet without tenants needs no keys");
    assert!(needs_keys_after(&[open.clone(), closed.clone()]));
    assert!(needs_keys_after(&[open.clone(), closed.clone(), with_tenants(3, &[])]));
    assert!(needs_keys_after(&[open, closed, with_tenants(3, &[]), with_tenants(4, &[])]));
}

/// A configuration that is not installed changes nothing.
#[test]
fn an_older_configuration_with_tenants_does_not_make_requests_need_keys() {
    assert!(!needs_keys_after(&[with_tenants(5, &[]), with_tenants(4, &[&["k1"]]), with_tenants(6, &[])]));
}

#[test]
fn non_voters_receive_the_configuration_without_the_operators_document() {
    let mut state = State::default();
    configure(&mut state, 5, b"five");
    let copy = State::decode(&state.encode_for_non_voters()).map(|copy| current_configuration(&copy));
    assert_eq!(copy, Ok(Some((5, Vec::new()))));
    assert_eq!(State::decode(&state.encode()), Ok(state));
}

#[test]
fn an_instance_is_in_at_most_one_group() {
    let mut state = State::default();
    for (id, port) in [("a", 1), ("b", 2), ("c", 3)] {
        register(&mut state, id, port);
    }
    assert_eq!(form(&mut state, &["a", "b"]), Outcome::Applied);
    assert!(matches!(form(&mut state, &["b", "c"]), Outcome::Refused(_)));
    assert!(matches!(form(&mut state, &["c", "unknown"]), Outcome::Refused(_)));
    apply(&mut state, GatewayCommand::End { epoch: 1, reason: String::new() });
    assert_eq!(form(&mut state, &["b", "c"]), Outcome::Applied);
    assert_eq!(state.tables.gateway.last_epoch, 2, "epochs are never reused");
}

#[test]
fn group_phases_only_move_forward() {
    let mut state = State::default();
    register(&mut state, "a", 1);
    form(&mut state, &["a"]);
    let set = |state: &mut State, phase| {
        apply(state, GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() })
    };
    assert_eq!(set(&mut state, GroupPhase::Open), Outcome::Applied);
    assert_eq!(set(&mut state, GroupPhase::Cutting), Outcome::Applied);
    for phase in [GroupPhase::Opening, GroupPhase::Open, GroupPhase::Draining] {
        assert!(matches!(set(&mut state, phase), Outcome::Refused(_)), "{phase:?}");
    }
}

#[test]
fn a_delayed_report_does_not_restore_a_removed_instance() {
    let mut state = State::default();
    register(&mut state, "a", 1);
    apply(&mut state, GatewayCommand::SignOff { id: "a".to_string() });
    register(&mut state, "a", 1);
    let row = &state.tables.gateway.instances["a"];
    assert_eq!(row.state, InstanceState::Draining);
    apply(&mut state, GatewayCommand::Remove { id: "a".to_string() });
    assert!(matches!(register(&mut state, "a", 1), Outcome::Refused(_)));
    assert!(state.tables.gateway.instances.is_empty());
}

#[test]
fn a_draining_instance_stays_draining() {
    let mut state = State::default();
    let draining = InstanceRow { state: InstanceState::Draining, ..row("a", 1) };
    apply(&mut state, GatewayCommand::Register(draining));
    register(&mut state, "a", 1);
    assert_eq!(state.tables.gateway.instances["a"].state, InstanceState::Draining);
}

#[test]
fn a_new_process_at_an_address_replaces_the_previous_one() {
    let mut state = State::default();
    register(&mut state, "a", 1);
    register(&mut state, "b", 1);
    let ids: Vec<&String> = state.tables.gateway.instances.keys().collect();
    assert_eq!(ids, ["b"]);
    assert!(state.tables.gateway.was_removed("a"));
}

/// Guards against a heartbeat that a network partition delays until its sender has crashed and a new process has
/// registered at the same address.
#[test]
fn a_delayed_report_of_an_earlier_process_does_not_replace_its_successor() {
    let mut state = State::default();
    configure(&mut state, 1, b"1");
    register(&mut state, "before", 1);
    register(&mut state, "after", 1);
    register(&mut state, "before", 1);
    let tables = &state.tables.gateway;
    assert!(tables.instances.contains_key("after"));
    assert!(!tables.instances.contains_key("before"));
}

#[test]
fn only_members_of_a_cutting_group_are_released_and_never_its_head() {
    let mut state = State::default();
    register(&mut state, "a", 1);
    register(&mut state, "b", 2);
    form(&mut state, &["a", "b"]);
    let release = |state: &mut State, member: &str| {
        apply(state, GatewayCommand::Release { epoch: 1, member: member.to_string() })
    };
    assert!(matches!(release(&mut state, "b"), Outcome::Refused(_)));
    let phase = GroupPhase::Cutting;
    apply(&mut state, GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
    assert!(matches!(release(&mut state, "a"), Outcome::Refused(_)));
    assert_eq!(release(&mut state, "b"), Outcome::Applied);
    assert!(state.tables.gateway.group_of("b").is_none() && state.tables.gateway.group_of("a").is_some());
}

/// The state of a non-voter that applied these commands, at the leader's revision.
fn non_voter_state(leader: &State, commands: &[Command]) -> State {
    let mut non_voter = State::default();
    commands.iter().for_each(|command| {
        non_voter.apply(command);
    });
    non_voter.tables.revision = leader.tables.revision;
    non_voter
}

/// Guards against saturating the leader's network link: on unidos-despacho-large, each of 760 registrations was sent to
/// each of 327 daemons.
#[test]
fn non_voters_receive_only_serving_groups_and_plain_servers() {
    let mut leader = State::default();
    let mut sent = Vec::new();
    let mut apply_and_send = |leader: &mut State, command: GatewayCommand| {
        let command = Command { at_ms: 1, body: CommandBody::Gateway(command) };
        leader.apply(&command);
        sent.extend(command.for_non_voters(&leader.tables));
    };
    for (id, port) in [("a", 1), ("b", 2), ("c", 3)] {
        apply_and_send(&mut leader, GatewayCommand::Register(row(id, port)));
    }
    apply_and_send(&mut leader, GatewayCommand::Register(InstanceRow { domain: None, ..row("plain", 4) }));
    let form = |members: &[&str]| GatewayCommand::Form {
        service: "s".to_string(),
        model: "m".to_string(),
        purpose: GroupPurpose::Serve,
        members: members.iter().map(|id| id.to_string()).collect(),
        reason: String::new(),
    };
    let phase = |epoch, phase| GatewayCommand::SetPhase { epoch, phase, reason: String::new() };
    apply_and_send(&mut leader, form(&["a", "b"]));
    apply_and_send(&mut leader, phase(1, GroupPhase::Opening));
    apply_and_send(&mut leader, phase(1, GroupPhase::Open));
    apply_and_send(&mut leader, form(&["c"]));
    let serving = |state: &State| -> Vec<(u64, GroupPhase)> {
        state.tables.gateway.groups.values().map(|group| (group.epoch, group.phase)).collect()
    };
    let non_voter = non_voter_state(&leader, &sent);
    assert_eq!(serving(&non_voter), [(1, GroupPhase::Open)]);
    let ids: Vec<&String> = non_voter.tables.gateway.instances.keys().collect();
    assert_eq!(ids, ["plain"]);
    assert_eq!(sent.len(), 2, "{sent:?}");
    let knows = |port| non_voter.tables.gateway.zone_of_server(row("", port).address).is_some();
    assert_eq!(
        [1, 2, 3, 4].map(knows),
        [true, false, false, true],
        "heads of serving groups and plain servers"
    );
    let copy = State::decode(&leader.encode_for_non_voters()).expect("the encoded state is readable");
    assert_eq!(serving(&copy), [(1, GroupPhase::Open)]);
    assert_eq!(copy.tables.gateway.instances, non_voter.tables.gateway.instances);

    let mut apply_and_send = |leader: &mut State, command: GatewayCommand| {
        let command = Command { at_ms: 1, body: CommandBody::Gateway(command) };
        leader.apply(&command);
        sent.extend(command.for_non_voters(&leader.tables));
    };
    apply_and_send(&mut leader, phase(1, GroupPhase::Draining));
    apply_and_send(&mut leader, phase(2, GroupPhase::Cutting));
    assert_eq!(serving(&non_voter_state(&leader, &sent)), [(1, GroupPhase::Draining)]);
}

#[test]
fn a_decoded_state_knows_the_group_of_each_instance() {
    let mut state = State::default();
    for (id, port) in [("a", 1), ("b", 2)] {
        register(&mut state, id, port);
    }
    assert_eq!(form(&mut state, &["a", "b"]), Outcome::Applied);
    let mut copy = State::decode(&state.encode()).expect("the encoded state is readable");
    assert_eq!(copy.tables.gateway.group_of("b").map(|group| group.epoch), Some(1));
    apply(&mut copy, GatewayCommand::End { epoch: 1, reason: String::new() });
    assert!(copy.tables.gateway.group_of("b").is_none());
}

fn evacuate(state: &mut State, evacuated: bool, generation: u64) -> Outcome {
    apply(state, GatewayCommand::SetEvacuation { zone: "z".to_string(), evacuated, generation })
}

#[test]
fn a_delayed_evacuation_call_does_not_undo_its_withdrawal() {
    let mut state = State::default();
    assert_eq!(evacuate(&mut state, true, 0), Outcome::Applied);
    assert_eq!(evacuate(&mut state, true, 0), Outcome::Applied, "a repetition finds the zone evacuated");
    assert_eq!(evacuate(&mut state, false, 1), Outcome::Applied);
    assert!(matches!(evacuate(&mut state, true, 0), Outcome::Refused(_)));
    assert!(!state.tables.gateway.is_evacuated("z"));
    assert_eq!(evacuate(&mut state, true, 2), Outcome::Applied);
    let copy =
        State::decode(&state.encode_for_non_voters()).map(|copy| copy.tables.gateway.is_evacuated("z"));
    assert_eq!(copy, Ok(true), "non-voters receive the evacuation");
}

/// Non-voters hold no engine rows: they learn from the group row whether its head is cold.
#[test]
fn a_group_is_as_cold_as_its_head_also_on_non_voters() {
    let mut leader = State::default();
    let mut sent = Vec::new();
    let mut apply_and_send = |leader: &mut State, command: GatewayCommand| {
        let command = Command { at_ms: 1, body: CommandBody::Gateway(command) };
        leader.apply(&command);
        sent.extend(command.for_non_voters(&leader.tables));
        let non_voter = non_voter_state(leader, &sent);
        let is_cold = |state: &State| state.tables.gateway.groups.get(&1).map(|group| group.head_is_cold);
        (is_cold(leader), is_cold(&non_voter))
    };
    let report = |id: &str, port, is_cold| GatewayCommand::Register(InstanceRow { is_cold, ..row(id, port) });
    apply_and_send(&mut leader, report("head", 1, true));
    apply_and_send(&mut leader, report("member", 2, false));
    let members = vec!["head".to_string(), "member".to_string()];
    let (service, model, purpose) = ("s".to_string(), "m".to_string(), GroupPurpose::Serve);
    apply_and_send(
        &mut leader,
        GatewayCommand::Form { service, model, members, purpose, reason: String::new() },
    );
    assert_eq!(
        apply_and_send(&mut leader, report("head", 1, false)),
        (Some(false), None),
        "the group does not serve yet"
    );
    assert_eq!(apply_and_send(&mut leader, report("head", 1, true)), (Some(true), None));
    let open = GatewayCommand::SetPhase { epoch: 1, phase: GroupPhase::Open, reason: String::new() };
    assert_eq!(apply_and_send(&mut leader, open), (Some(true), Some(true)));
    assert_eq!(apply_and_send(&mut leader, report("head", 1, false)), (Some(false), Some(false)));
    assert_eq!(
        apply_and_send(&mut leader, report("member", 2, true)),
        (Some(false), Some(false)),
        "the instance is not the head"
    );
    assert_eq!(apply_and_send(&mut leader, report("head", 1, true)), (Some(true), Some(true)));
    let copy = State::decode(&leader.encode_for_non_voters()).expect("the encoded state is readable");
    assert!(copy.tables.gateway.groups[&1].head_is_cold);
}

/// A call may still be in flight when its caller times out and requests the opposite, which finds the zone already in
/// the requested state.
#[test]
fn a_withdrawal_overtakes_an_evacuation_that_is_still_in_flight() {
    let mut state = State::default();
    assert_eq!(evacuate(&mut state, false, 0), Outcome::Applied);
    let overtaken = evacuate(&mut state, true, 0);
    let code = match overtaken {
        Outcome::Refused(error) => Some(error.code()),
        _ => None,
    };
    assert_eq!(code, Some(dockwood_api::ResultCode::EvacuationOvertaken));
    assert!(!state.tables.gateway.is_evacuated("z"));
    assert_eq!(evacuate(&mut state, true, 1), Outcome::Applied);
    assert_eq!(state.tables.gateway.evacuated_zones().collect::<Vec<&str>>(), ["z"]);
}

/// A state with one service that has cold starts, one that has none, and an open group.
fn services_with_and_without_cold_starts() -> State {
    let service = |name: &str, cold_start| ServiceProfile {
        name: name.to_string(),
        health_path: "/".to_string(),
        max_connections: 1,
        cold_start,
        engine: None,
    };
    let cold_start = Some(ColdStart { usual_ms: 5_000, requests_per_second: 1.0 });
    let services = vec![service("s", cold_start), service("even", None)];
    let configuration = GatewayConfiguration { version: 1, services, ..GatewayConfiguration::default() };
    let mut state = State::default();
    apply(&mut state, GatewayCommand::Configure(Arc::new(configuration)));
    register(&mut state, "head", 1);
    let plain = |id: &str, port| InstanceRow { domain: None, ..row(id, port) };
    let rows = [
        plain("plain", 2),
        InstanceRow { service: "even".to_string(), ..plain("even", 3) },
        InstanceRow { zone: "y".to_string(), ..plain("elsewhere", 4) },
    ];
    for row in rows {
        apply(&mut state, GatewayCommand::Register(row));
    }
    form(&mut state, &["head"]);
    for phase in [GroupPhase::Opening, GroupPhase::Open] {
        apply(&mut state, GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
    }
    state
}

#[test]
fn servers_of_a_zone_are_presumed_cold_after_its_evacuation() {
    let mut state = services_with_and_without_cold_starts();
    let mut non_voter = State::decode(&state.encode_for_non_voters()).expect("the encoded state is readable");
    let is_cold = |state: &State, id: &str| state.tables.gateway.instances.get(id).map(|row| row.is_cold);
    let heads = |state: &State| -> Vec<bool> {
        state.tables.gateway.groups.values().map(|group| group.head_is_cold).collect()
    };
    for (generation, evacuated) in [(0, true), (1, false)] {
        assert_eq!(
            (is_cold(&state, "head"), heads(&state)),
            (Some(false), vec![false]),
            "not before the evacuation ends"
        );
        let zone = "z".to_string();
        let body = CommandBody::Gateway(GatewayCommand::SetEvacuation { zone, evacuated, generation });
        let command = Command { at_ms: 1, body };
        state.apply(&command);
        let sent = command.for_non_voters(&state.tables).expect("the command is sent to non-voters");
        non_voter.apply(&sent);
    }
    let cold = |state: &State| ["head", "plain", "even", "elsewhere"].map(|id| is_cold(state, id));
    assert_eq!(cold(&state), [Some(true), Some(true), Some(false), Some(false)]);
    assert_eq!(cold(&non_voter), [None, Some(true), Some(false), Some(false)]);
    assert_eq!((heads(&state), heads(&non_voter)), (vec![true], vec![true]));
    apply(&mut state, GatewayCommand::Register(InstanceRow { domain: None, ..row("plain", 2) }));
    assert_eq!(is_cold(&state, "plain"), Some(false), "the next report overrides the presumption");
}
