//! Servers that start again under their id.

mod common;

use common::gateway::{apply, form, row};
use dockwood_api::gateway::InstanceState;
use dockwood_state::{Command, CommandBody, GatewayCommand, GroupPhase, InstanceRow, Outcome, State};

fn started(id: &str, started_ms: u64) -> InstanceRow {
    InstanceRow { started_ms: Some(started_ms), ..row(id, 1) }
}

fn register_row(state: &mut State, row: InstanceRow) -> Outcome {
    apply(state, GatewayCommand::Register(row))
}

/// The row of "b", the second member of a group.
fn member(started_ms: u64) -> InstanceRow {
    InstanceRow { started_ms: Some(started_ms), ..row("b", 2) }
}

/// A group of "a" and "b" that serves.
fn serving() -> State {
    let mut state = State::default();
    register_row(&mut state, started("a", 10));
    register_row(&mut state, member(10));
    form(&mut state, &["a", "b"]);
    for phase in [GroupPhase::Opening, GroupPhase::Open] {
        apply(&mut state, GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
    }
    state
}

#[test]
fn a_server_that_starts_again_under_its_id_holds_nothing_of_before() {
    let mut state = serving();
    assert_eq!(state.tables.gateway.last_model("b"), Some("m"));
    register_row(&mut state, member(20));
    let gateway = &state.tables.gateway;
    assert_eq!(gateway.groups[&1].phase, GroupPhase::Cutting, "its group has lost a member");
    assert_eq!(gateway.last_model("b"), None);
    assert_eq!(gateway.last_model("a"), Some("m"));
}

#[test]
fn daemons_that_route_learn_that_a_group_has_lost_a_member_that_started_again() {
    let mut state = serving();
    let again = GatewayCommand::Register(member(20));
    let command = Command { at_ms: 1, body: CommandBody::Gateway(again) };
    state.apply(&command);
    let sent = command.for_followers(&state.tables).map(|command| command.body);
    let cutting = |body: &CommandBody| {
        matches!(
            body,
            CommandBody::Gateway(GatewayCommand::SetPhase { epoch: 1, phase: GroupPhase::Cutting, .. })
        )
    };
    assert!(sent.as_ref().is_some_and(cutting), "{sent:?}");
}

#[test]
fn a_report_of_a_former_start_is_refused() {
    let mut state = State::default();
    register_row(&mut state, started("a", 20));
    let outcome = register_row(&mut state, InstanceRow { slots: 9, ..started("a", 10) });
    assert!(matches!(outcome, Outcome::Refused(_)));
    assert_eq!(state.tables.gateway.instances["a"].slots, 4);
}

#[test]
fn only_a_later_start_returns_after_it_was_removed() {
    let mut state = State::default();
    register_row(&mut state, started("a", 10));
    apply(&mut state, GatewayCommand::SignOff { id: "a".to_string() });
    apply(&mut state, GatewayCommand::Remove { id: "a".to_string() });
    let mut state = State::decode(&state.encode()).expect("as it was stored");
    for late in [started("a", 10), started("a", 9), row("a", 1)] {
        assert!(matches!(register_row(&mut state, late), Outcome::Refused(_)));
    }
    register_row(&mut state, started("a", 11));
    assert_eq!(state.tables.gateway.instances["a"].state, InstanceState::Ready);
    assert!(!state.tables.gateway.was_removed("a"));
}
