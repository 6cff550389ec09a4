//! Which daemon dispatches a scope: all entries must find the same one without asking.

use dockwood_api::gateway::DispatchScope;
use dockwood_api::peer::DaemonRecord;
use dockwood_daemon::gateway::{DispatchMode, Dispatchers};
use dockwood_state::{Command, CommandBody, Liveness, State, Tables};
use std::net::SocketAddr;

const ZONES: usize = 5;

fn address(number: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], port))
}

fn name(number: usize) -> String {
    format!("entry-{number}")
}

fn entry(number: usize) -> DaemonRecord {
    DaemonRecord {
        name: name(number),
        http: address(number, 1),
        peer: address(number, 2),
        zone: format!("zone-{}", number % ZONES),
        region: "r".to_string(),
        frontend: Some(address(number, 3)),
        operators: None,
    }
}

/// A daemon of the control group on the machine of an entry.
fn control(number: usize) -> DaemonRecord {
    DaemonRecord {
        name: format!("control-{number}"),
        peer: address(number, 4),
        frontend: None,
        operators: Some(address(number, 5)),
        ..entry(number)
    }
}

fn fleet(entries: usize) -> State {
    let mut state = State::default();
    let records = (0..entries).map(entry).chain((0..ZONES).map(control));
    for record in records {
        state.apply(&Command { at_ms: 1, body: CommandBody::JoinDaemon { record, incarnation: 1 } });
    }
    state
}

fn set_liveness(state: &mut State, daemon: String, liveness: Liveness) {
    let body = CommandBody::SetLiveness { daemon, incarnation: 1, liveness };
    state.apply(&Command { at_ms: 2, body });
}

fn scope(zone: usize, model: &str) -> DispatchScope {
    DispatchScope { zone: format!("zone-{zone}"), service: "s".to_string(), model: model.to_string() }
}

fn chosen(tables: &Tables, scope: &DispatchScope) -> DaemonRecord {
    let address = Dispatchers::new(64).of_scope(tables, scope).expect("a dispatcher");
    let records = tables.daemons.values().map(|daemon| &daemon.record);
    records.into_iter().find(|record| record.peer == address).cloned().expect("a daemon of the fleet")
}

#[test]
fn the_leader_dispatches_in_a_small_fleet_alone() {
    let dispatchers = Dispatchers::new(64);
    assert_eq!(dispatchers.mode(&fleet(64).tables), DispatchMode::Leader);
    assert_eq!(dispatchers.mode(&fleet(65).tables), DispatchMode::Scopes);
}

#[test]
fn a_scope_is_dispatched_by_a_live_entry_of_its_zone_on_a_machine_of_its_own() {
    let tables = fleet(300).tables;
    for zone in 0..ZONES {
        for model in ["large", "small"] {
            let record = chosen(&tables, &scope(zone, model));
            assert_eq!((record.zone, record.frontend.is_some()), (format!("zone-{zone}"), true));
            assert!(record.peer.ip() != address(zone, 4).ip(), "the control group needs that machine");
        }
    }
}

#[test]
fn a_dispatcher_that_is_lost_is_replaced_and_the_others_stay() {
    let mut state = fleet(300);
    let scopes: Vec<DispatchScope> = (0..ZONES).map(|zone| scope(zone, "large")).collect();
    let before: Vec<DaemonRecord> = scopes.iter().map(|scope| chosen(&state.tables, scope)).collect();
    set_liveness(&mut state, before[0].name.clone(), Liveness::Silent);
    let after: Vec<DaemonRecord> = scopes.iter().map(|scope| chosen(&state.tables, scope)).collect();
    assert_ne!(before[0].name, after[0].name);
    assert_eq!(before[1..], after[1..]);
}

#[test]
fn the_next_one_is_asked_where_a_dispatcher_does_not_answer() {
    let tables = fleet(300).tables;
    let dispatchers = Dispatchers::new(64);
    let scope = scope(1, "small");
    let first = dispatchers.of_scope(&tables, &scope).expect("a dispatcher");
    dispatchers.mark_unresponsive(first);
    let second = dispatchers.of_scope(&tables, &scope).expect("another dispatcher");
    assert_ne!(first, second);
}

/// The first ones may still work for other entries while the third is asked by some.
#[test]
fn only_two_dispatchers_of_a_scope_give_requests_to_cold_heads() {
    let tables = fleet(300).tables;
    let dispatchers = Dispatchers::new(64);
    let scope = scope(1, "small");
    for may_assign_cold in [true, true, false] {
        let next = dispatchers.of_scope(&tables, &scope).expect("a dispatcher");
        assert_eq!(dispatchers.may_assign_cold(&tables, &scope, next), may_assign_cold);
        dispatchers.mark_unresponsive(next);
    }
}

#[test]
fn an_entry_on_a_machine_of_the_control_group_is_no_witness() {
    let tables = fleet(300).tables;
    let dispatchers = Dispatchers::new(64);
    assert!(!dispatchers.is_witness(&tables, &name(0)));
    assert!(dispatchers.is_witness(&tables, &name(100)));
    assert!(!dispatchers.is_witness(&tables, "unknown"));
}
