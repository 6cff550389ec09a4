//! Servers that restart under the same id.

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

/// A row of `b`, the second member of the group.
fn member(started_ms: u64) -> InstanceRow {
    InstanceRow { started_ms: Some(started_ms), ..row("b", 2) }
}

/// A state with an open group of `a` and `b`.
fn open_group() -> State {
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
fn a_restarted_server_loses_its_model_and_group() {
    let mut state = open_group();
    assert_eq!(state.tables.gateway.last_model("b"), Some("m"));
    register_row(&mut state, member(20));
    let gateway = &state.tables.gateway;
    assert_eq!(gateway.groups[&1].phase, GroupPhase::Cutting, "the group has lost a member");
    assert_eq!(gateway.last_model("b"), None);
    assert_eq!(gateway.last_model("a"), Some("m"));
}

#[test]
fn non_voters_learn_that_a_group_lost_a_restarted_member() {
    let mut state = open_group();
    let restarted = GatewayCommand::Register(member(20));
    let command = Command { at_ms: 1, body: CommandBody::Gateway(restarted) };
    state.apply(&command);
    let sent = command.for_non_voters(&state.tables).map(|command| command.body);
    let is_cutting = |body: &CommandBody| {
        matches!(
            body,
            CommandBody::Gateway(GatewayCommand::SetPhase { epoch: 1, phase: GroupPhase::Cutting, .. })
        )
    };
    assert!(sent.as_ref().is_some_and(is_cutting), "{sent:?}");
}

#[test]
fn a_report_of_an_earlier_process_is_refused() {
    let mut state = State::default();
    register_row(&mut state, started("a", 20));
    let outcome = register_row(&mut state, InstanceRow { slots: 9, ..started("a", 10) });
    assert!(matches!(outcome, Outcome::Refused(_)));
    assert_eq!(state.tables.gateway.instances["a"].slots, 4);
}

#[test]
fn after_a_removal_only_a_later_process_may_register() {
    let mut state = State::default();
    register_row(&mut state, started("a", 10));
    apply(&mut state, GatewayCommand::SignOff { id: "a".to_string() });
    apply(&mut state, GatewayCommand::Remove { id: "a".to_string() });
    let mut state = State::decode(&state.encode()).expect("the encoded state is readable");
    for outdated in [started("a", 10), started("a", 9), row("a", 1)] {
        assert!(matches!(register_row(&mut state, outdated), Outcome::Refused(_)));
    }
    register_row(&mut state, started("a", 11));
    assert_eq!(state.tables.gateway.instances["a"].state, InstanceState::Ready);
    assert!(!state.tables.gateway.was_removed("a"));
}
