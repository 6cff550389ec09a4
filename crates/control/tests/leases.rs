//! Leases, and what is in force by them.

use dockwood_api::peer::{DaemonRecord, LeaseRequest};
use dockwood_control::{LEASE_MS, LeaseTable};
use dockwood_state::{Command, CommandBody, Liveness, State};

fn record(name: &str) -> DaemonRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    DaemonRecord {
        name: name.to_string(),
        http: address,
        peer: address,
        zone: "z".to_string(),
        region: "r".to_string(),
        frontend: None,
        operators: None,
    }
}

fn request(name: &str, applied_revision: u64) -> LeaseRequest {
    LeaseRequest {
        daemon: record(name),
        incarnation: 1,
        applied_revision,
        in_force_revision: 0,
        wants_commands: true,
        leaving: false,
        in_flight: 0,
        stamp: Default::default(),
    }
}

fn state() -> State {
    let mut state = State::default();
    for name in ["a", "b"] {
        state.apply(&Command {
            at_ms: 1,
            body: CommandBody::JoinDaemon { record: record(name), incarnation: 1 },
        });
    }
    state
}

#[test]
fn a_revision_is_in_force_once_all_have_applied_it_or_hold_no_lease() {
    let state = state();
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.extend(10, &request("a", 2));
    assert_eq!(leases.in_force_revision(20, &state.tables), None, "b may hold a lease of an earlier leader");
    leases.extend(20, &request("b", 1));
    assert_eq!(leases.in_force_revision(30, &state.tables), Some(1));
    leases.extend(1_500, &request("a", 2));
    assert_eq!(
        leases.in_force_revision(30 + LEASE_MS + LEASE_MS / 10, &state.tables),
        Some(2),
        "b's lease has run out"
    );
}

/// Found by the simulator: with clocks that run apart by a hundredth, a daemon's lease outlasted the leader's
/// idea of it, and a change counted as in force that the daemon had not seen.
#[test]
fn the_leader_allows_for_clocks_that_drift() {
    let state = state();
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.extend(100, &request("a", 2));
    leases.extend(100, &request("b", 1));
    let slow_clock = LEASE_MS + LEASE_MS / 50;
    assert_eq!(leases.in_force_revision(100 + slow_clock, &state.tables), Some(1));
    assert_eq!(leases.liveness(100 + slow_clock, "b"), Some(Liveness::Live));
}
