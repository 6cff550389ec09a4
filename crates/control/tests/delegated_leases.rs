//! In a large fleet voters grant leases in the leader's name: the leader's work doesn't grow with the daemons, and what a
//! lease promises stays the same.

mod common;

use common::group::ControlGroup;
use dockwood_state::Liveness;

const VOTERS: usize = 5;
/// Time in which a started group elects a leader and all daemons find their voters, in milliseconds.
const START_MS: u64 = 4_000;
/// Messages on leases that a leader may take in a second, however many daemons there are: each voter sends one in 40 ms.
const MOST_MESSAGES_A_SECOND: u64 = 120;
/// Time in which a change must have reached every daemon, in milliseconds.
const REACHES_ALL_MS: u64 = 1_000;

/// What is in force everywhere is applied by each daemon that may act on its lease.
fn assert_in_force_is_applied(group: &ControlGroup) {
    let Some(node) = group.leader_node() else { return };
    let in_force = node.in_force_revision();
    let holders = group.followers.all.iter().filter(|follower| group.now < follower.lease_until);
    let oldest = holders.map(|follower| follower.applied).min();
    assert!(oldest.is_none_or(|oldest| oldest >= in_force), "{oldest:?} is applied, {in_force} is in force");
}

fn started(daemons: usize) -> ControlGroup {
    let mut group = ControlGroup::new(VOTERS, daemons);
    group.pass(START_MS, assert_in_force_is_applied);
    assert!(group.leader().is_some());
    assert_eq!(group.followers.without_lease(group.now), 0, "all hold leases");
    group
}

fn daemons_not_live(group: &ControlGroup) -> usize {
    let node = group.leader_node().expect("a leader");
    node.tables().daemons.values().filter(|daemon| daemon.liveness != Liveness::Live).count()
}

fn leader_takes_few_messages(daemons: usize) {
    const SPAN_S: u64 = 4;
    let mut group = started(daemons);
    let before = group.work;
    group.pass(SPAN_S * 1_000, assert_in_force_is_applied);
    let direct = group.work.direct - before.direct;
    let delegated = group.work.delegated - before.delegated;
    let figures = format!("{direct} requests of daemons and {delegated} messages of voters in {SPAN_S} s");
    assert!(direct + delegated <= MOST_MESSAGES_A_SECOND * SPAN_S, "{figures}");
    assert_eq!(group.followers.without_lease(group.now), 0);
    assert_eq!(daemons_not_live(&group), 0);
}

#[test]
fn the_leader_of_a_thousand_daemons_takes_few_messages() {
    leader_takes_few_messages(1_000);
}

#[test]
fn the_leader_of_two_thousand_daemons_takes_no_more() {
    leader_takes_few_messages(2_000);
}

#[test]
fn a_change_reaches_every_daemon_within_a_second() {
    let mut group = started(1_000);
    let before = group.leader_node().expect("a leader").tables().revision;
    group.change();
    group.pass(REACHES_ALL_MS, assert_in_force_is_applied);
    let revision = group.leader_node().expect("a leader").tables().revision;
    assert!(revision > before, "it is committed");
    let behind = group.followers.all.iter().filter(|follower| follower.applied < revision).count();
    assert_eq!(behind, 0, "daemons that have not applied it");
}

/// Ends a voter, and lets changes go on for some seconds.
fn leases_outlast(gone: impl Fn(&ControlGroup) -> usize) {
    let mut group = started(1_000);
    let gone = gone(&group);
    group.kill(gone);
    for _ in 0..20 {
        group.change();
        group.pass(200, |group| {
            assert_in_force_is_applied(group);
            assert_eq!(group.followers.without_lease(group.now), 0);
        });
    }
    assert!(group.leader().is_some());
    assert_eq!(daemons_not_live(&group), 0);
}

#[test]
fn daemons_of_a_voter_that_is_gone_keep_their_leases() {
    leases_outlast(ControlGroup::follower_voter);
}

#[test]
fn daemons_keep_their_leases_through_an_election() {
    leases_outlast(|group| group.leader().expect("a leader"));
}
