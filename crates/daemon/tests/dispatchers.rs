//! Selection of the dispatcher of a scope: all entries must select the same daemon without communication.

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

/// A member of the control group on the machine of an entry.
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

fn dispatcher_of(tables: &Tables, scope: &DispatchScope) -> DaemonRecord {
    let address = Dispatchers::new(64).of_scope(tables, scope).expect("a dispatcher");
    let records = tables.daemons.values().map(|daemon| &daemon.record);
    records.into_iter().find(|record| record.peer == address).cloned().expect("a daemon of the fleet")
}

#[test]
fn the_leader_dispatches_all_scopes_of_a_small_fleet() {
    let dispatchers = Dispatchers::new(64);
    assert_eq!(dispatchers.mode(&fleet(64).tables), DispatchMode::Leader);
    assert_eq!(dispatchers.mode(&fleet(65).tables), DispatchMode::Scopes);
}

#[test]
fn a_scope_is_dispatched_by_an_entry_of_its_zone_off_the_machines_of_the_control_group() {
    let tables = fleet(300).tables;
    for zone in 0..ZONES {
        for model in ["large", "small"] {
            let record = dispatcher_of(&tables, &scope(zone, model));
            assert_eq!((record.zone, record.frontend.is_some()), (format!("zone-{zone}"), true));
            assert!(
                record.peer.ip() != address(zone, 4).ip(),
                "the machine of a member of the control group was selected"
            );
        }
    }
}

#[test]
fn a_lost_dispatcher_is_replaced_without_moving_other_scopes() {
    let mut state = fleet(300);
    let scopes: Vec<DispatchScope> = (0..ZONES).map(|zone| scope(zone, "large")).collect();
    let before: Vec<DaemonRecord> = scopes.iter().map(|scope| dispatcher_of(&state.tables, scope)).collect();
    set_liveness(&mut state, before[0].name.clone(), Liveness::Silent);
    let after: Vec<DaemonRecord> = scopes.iter().map(|scope| dispatcher_of(&state.tables, scope)).collect();
    assert_ne!(before[0].name, after[0].name);
    assert_eq!(before[1..], after[1..]);
}

#[test]
fn an_unresponsive_dispatcher_is_replaced() {
    let tables = fleet(300).tables;
    let dispatchers = Dispatchers::new(64);
    let scope = scope(1, "small");
    let first = dispatchers.of_scope(&tables, &scope).expect("a dispatcher");
    dispatchers.mark_unresponsive(first);
    let second = dispatchers.of_scope(&tables, &scope).expect("another dispatcher");
    assert_ne!(first, second);
}

/// The first dispatchers may still be in use by other entries when some already use the third.
#[test]
fn only_the_first_two_dispatchers_of_a_scope_may_assign_cold_heads() {
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
fn an_entry_on_a_machine_of_the_control_group_is_not_a_witness() {
    let tables = fleet(300).tables;
    let dispatchers = Dispatchers::new(64);
    assert!(!dispatchers.is_witness(&tables, &name(0)));
    assert!(dispatchers.is_witness(&tables, &name(100)));
    assert!(!dispatchers.is_witness(&tables, "unknown"));
}
