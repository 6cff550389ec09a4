//! A new leader calls the daemons that have not found it.

mod common;

use common::leader::Leader;
use common::{record, request};
use dockwood_api::peer::DaemonRecord;
use dockwood_control::{Announcements, Input, LEASE_MS, LeaseTable, Output};
use dockwood_state::{Command, CommandBody, State, Tables, encode_command};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ROUND_MS: u64 = 100;
/// Daemons of a large fleet.
const DAEMONS: u16 = 330;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + number))
}

fn daemon(number: u16) -> DaemonRecord {
    DaemonRecord { peer: address(number), ..record(&format!("daemon-{number}")) }
}

fn tables_of(daemons: u16) -> Tables {
    let mut state = State::default();
    for number in 0..daemons {
        let body = CommandBody::JoinDaemon { record: daemon(number), incarnation: 1 };
        state.apply(&Command { at_ms: 0, body });
    }
    state.tables
}

fn no_leases() -> LeaseTable<()> {
    LeaseTable::new(0)
}

/// Calls by time, in rounds of a tenth of a second.
fn calls(tables: &Tables, leases: &LeaseTable<()>, until: u64) -> Vec<(u64, Vec<SocketAddr>)> {
    let mut announcements = Announcements::new(0);
    let times = (0..until).step_by(ROUND_MS as usize);
    times.map(|now| (now, announcements.due(now, "leader", tables, leases))).collect()
}

#[test]
fn hundreds_of_daemons_are_called_a_few_at_a_time_and_each_within_a_second() {
    let made = calls(&tables_of(DAEMONS), &no_leases(), 10_000);
    let busiest = made.iter().map(|(_, called)| called.len()).max();
    assert!(busiest.is_some_and(|most| most <= 40), "{busiest:?} calls at once");
    let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for (now, called) in &made {
        for address in called {
            let before = last.insert(*address, *now);
            assert!(before.is_none_or(|before| now - before >= 1_000), "{address} is called too often");
        }
        if *now == 2_000 {
            assert_eq!(last.len(), usize::from(DAEMONS), "all are called within a second");
        }
    }
}

#[test]
fn daemons_have_time_to_find_the_leader_by_themselves() {
    assert!(calls(&tables_of(3), &no_leases(), 900).iter().all(|(_, called)| called.is_empty()));
}

#[test]
fn a_daemon_that_never_answers_is_called_less_often() {
    let made = calls(&tables_of(1), &no_leases(), 60_000);
    let count = made.iter().filter(|(_, called)| !called.is_empty()).count();
    assert!((18..=22).contains(&count), "{count} calls in a minute");
}

#[test]
fn only_those_that_hold_no_lease_of_this_leader_are_called_and_never_the_leader() {
    let mut leases = no_leases();
    let asking = dockwood_api::peer::LeaseRequest { daemon: daemon(1), ..request("daemon-1", 0) };
    leases.extend(900, &asking);
    let mut announcements = Announcements::new(0);
    assert_eq!(announcements.due(1_000, "daemon-2", &tables_of(4), &leases), [address(0), address(3)]);
    let expired = leases.row("daemon-1").map_or(0, |lease| lease.expires);
    assert!(expired >= 900 + LEASE_MS);
    // Its lease ran out: it may have started anew, and know nobody.
    let mut announcements = Announcements::new(0);
    let called = announcements.due(expired, "daemon-2", &tables_of(4), &leases);
    assert_eq!(called, [address(0), address(1), address(3)]);
}

#[test]
fn a_leader_calls_a_daemon_of_its_tables_in_its_term() {
    let mut leader = Leader::elected();
    let body = CommandBody::JoinDaemon { record: daemon(7), incarnation: 1 };
    let command = encode_command(&Command { at_ms: 0, body });
    leader.step(Input::Submit(vec![(command, "caller".to_string())]));
    let mut called = Vec::new();
    for _ in 0..200 {
        leader.now += 20;
        for output in leader.node.step(leader.moment(), Input::Tick) {
            if let Output::AnnounceLeader { to, term } = output {
                called.push((to, term));
            }
        }
    }
    assert_eq!(called.first(), Some(&(vec![address(7)], 1)));
}
