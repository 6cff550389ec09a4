//! Announcements of a new leader to daemons that have not found it.

mod common;

use common::leader::Leader;
use common::{record, request};
use dockwood_api::peer::DaemonRecord;
use dockwood_control::{Announcements, Input, LEASE_MS, LeaseTable, Output};
use dockwood_state::{Command, CommandBody, State, Tables, encode_command};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ROUND_MS: u64 = 100;
/// Number of daemons in a large fleet.
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

/// Announcements by time, in rounds of 100 ms.
fn announcement_rounds(tables: &Tables, leases: &LeaseTable<()>, until: u64) -> Vec<(u64, Vec<SocketAddr>)> {
    let mut announcements = Announcements::new(0);
    let times = (0..until).step_by(ROUND_MS as usize);
    times.map(|now| (now, announcements.due(now, "leader", tables, leases))).collect()
}

#[test]
fn hundreds_of_daemons_are_announced_to_a_few_at_a_time_and_each_within_a_second() {
    let rounds = announcement_rounds(&tables_of(DAEMONS), &no_leases(), 10_000);
    let busiest = rounds.iter().map(|(_, announced)| announced.len()).max();
    assert!(busiest.is_some_and(|most| most <= 40), "{busiest:?} announcements in one round");
    let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for (now, announced) in &rounds {
        for address in announced {
            let before = last.insert(*address, *now);
            assert!(before.is_none_or(|before| now - before >= 1_000), "{address} is announced to too often");
        }
        if *now == 2_000 {
            assert_eq!(last.len(), usize::from(DAEMONS), "all daemons are announced to within a second");
        }
    }
}

#[test]
fn daemons_have_time_to_find_the_leader_by_themselves() {
    assert!(
        announcement_rounds(&tables_of(3), &no_leases(), 900)
            .iter()
            .all(|(_, announced)| announced.is_empty())
    );
}

#[test]
fn a_daemon_that_never_answers_gets_fewer_announcements() {
    let rounds = announcement_rounds(&tables_of(1), &no_leases(), 60_000);
    let count = rounds.iter().filter(|(_, announced)| !announced.is_empty()).count();
    assert!((18..=22).contains(&count), "{count} announcements in a minute");
}

#[test]
fn announcements_go_to_daemons_without_a_lease_and_never_to_the_leader() {
    let mut leases = no_leases();
    let asking = dockwood_api::peer::LeaseRequest { daemon: daemon(1), ..request("daemon-1", 0) };
    leases.renew(900, &asking);
    let mut announcements = Announcements::new(0);
    assert_eq!(announcements.due(1_000, "daemon-2", &tables_of(4), &leases), [address(0), address(3)]);
    let expired = leases.row("daemon-1").map_or(0, |lease| lease.expires);
    assert!(expired >= 900 + LEASE_MS);
    // Its lease has expired: it may have restarted without knowing any member.
    let mut announcements = Announcements::new(0);
    let announced = announcements.due(expired, "daemon-2", &tables_of(4), &leases);
    assert_eq!(announced, [address(0), address(1), address(3)]);
}

#[test]
fn a_leader_announces_itself_to_a_daemon_of_its_tables_in_its_term() {
    let mut leader = Leader::elected();
    let body = CommandBody::JoinDaemon { record: daemon(7), incarnation: 1 };
    let command = encode_command(&Command { at_ms: 0, body });
    leader.step(Input::Submit(vec![(command, "caller".to_string())]));
    let mut announced = Vec::new();
    for _ in 0..200 {
        leader.now += 20;
        for output in leader.node.step(leader.moment(), Input::Tick) {
            if let Output::AnnounceLeader { to, term } = output {
                announced.push((to, term));
            }
        }
    }
    assert_eq!(announced.first(), Some(&(vec![address(7)], 1)));
}
