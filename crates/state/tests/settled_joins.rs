//! Groups that no server can join any more by an order that was sent before.

mod common;

use common::gateway::{apply, form, row};
use dockwood_state::{GatewayCommand, GroupPhase, State};

/// First byte of a state that daemons of earlier versions can read.
const EARLIER_FORMAT: u8 = 6;

/// A state with a group of `a` and `b` that is forming.
fn forming_group() -> State {
    let mut state = State::default();
    apply(&mut state, GatewayCommand::Register(row("a", 1)));
    apply(&mut state, GatewayCommand::Register(row("b", 2)));
    form(&mut state, &["a", "b"]);
    state
}

fn settled_group() -> State {
    let mut state = forming_group();
    let reason = String::new();
    apply(&mut state, GatewayCommand::SetPhase { epoch: 1, phase: GroupPhase::Opening, reason });
    apply(&mut state, GatewayCommand::SettleJoins { epoch: 1 });
    state
}

#[test]
fn the_joins_of_a_group_that_is_forming_are_not_settled() {
    let mut state = forming_group();
    apply(&mut state, GatewayCommand::SettleJoins { epoch: 1 });
    assert!(!state.tables.gateway.has_settled_joins(1));
}

#[test]
fn settled_joins_are_stored_and_end_with_their_group() {
    let mut state = settled_group();
    assert!(state.tables.gateway.has_settled_joins(1));
    assert_eq!(State::decode(&state.encode()), Ok(state.clone()));
    apply(&mut state, GatewayCommand::End { epoch: 1, reason: String::new() });
    assert!(!state.tables.gateway.has_settled_joins(1));
}

#[test]
fn states_without_settled_joins_can_be_read_by_earlier_versions() {
    assert_eq!(forming_group().encode().first(), Some(&EARLIER_FORMAT));
    assert_eq!(settled_group().encode_for_non_voters().first(), Some(&EARLIER_FORMAT));
    assert_ne!(settled_group().encode().first(), Some(&EARLIER_FORMAT));
}
