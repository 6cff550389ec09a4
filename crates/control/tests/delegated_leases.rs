//! In a large fleet, voters grant leases on behalf of the leader: the leader's work doesn't grow with the
//! number of daemons, and the guarantees of a lease are unchanged.

mod common;

use common::group::ControlGroup;
use dockwood_state::Liveness;

const VOTERS: usize = 5;
/// Time for the election after a start, and for all daemons to find their voters, in milliseconds.
const STARTUP_MS: u64 = 4_000;
/// Maximum number of lease messages to the leader per second, whatever the number of daemons: each voter
/// sends one per 40 ms.
const MAX_MESSAGES_PER_SECOND: u64 = 120;
/// Maximum time until a change has reached every daemon, in milliseconds.
const MAX_PROPAGATION_MS: u64 = 1_000;

/// Each daemon with a valid lease has applied the in-force revision.
fn assert_in_force_is_applied(group: &ControlGroup) {
    let Some(node) = group.leader_node() else { return };
    let in_force = node.in_force_revision();
    let holders = group.followers.all.iter().filter(|follower| group.now < follower.lease_until);
    let oldest = holders.map(|follower| follower.applied).min();
    assert!(
        oldest.is_none_or(|oldest| oldest >= in_force),
        "oldest applied revision {oldest:?}, in-force revision {in_force}"
    );
}

fn started(daemons: usize) -> ControlGroup {
    let mut group = ControlGroup::new(VOTERS, daemons);
    group.advance(STARTUP_MS, assert_in_force_is_applied);
    assert!(group.leader().is_some());
    assert_eq!(group.followers.without_lease(group.now), 0, "daemons without a lease");
    group
}

fn daemons_not_live(group: &ControlGroup) -> usize {
    let node = group.leader_node().expect("a leader is elected");
    node.tables().daemons.values().filter(|daemon| daemon.liveness != Liveness::Live).count()
}

fn leader_handles_few_messages(daemons: usize) {
    const SPAN_S: u64 = 4;
    let mut group = started(daemons);
    let before = group.leader_load;
    group.advance(SPAN_S * 1_000, assert_in_force_is_applied);
    let direct = group.leader_load.direct - before.direct;
    let delegated = group.leader_load.delegated - before.delegated;
    let figures = format!("{direct} requests from daemons and {delegated} batches from voters in {SPAN_S} s");
    assert!(direct + delegated <= MAX_MESSAGES_PER_SECOND * SPAN_S, "{figures}");
    assert_eq!(group.followers.without_lease(group.now), 0);
    assert_eq!(daemons_not_live(&group), 0);
}

#[test]
fn the_leader_of_a_thousand_daemons_handles_few_messages() {
    leader_handles_few_messages(1_000);
}

#[test]
fn the_leader_of_two_thousand_daemons_handles_no_more_messages() {
    leader_handles_few_messages(2_000);
}

#[test]
fn a_change_reaches_every_daemon_within_a_second() {
    let mut group = started(1_000);
    let before = group.leader_node().expect("a leader is elected").tables().revision;
    group.change();
    group.advance(MAX_PROPAGATION_MS, assert_in_force_is_applied);
    let revision = group.leader_node().expect("a leader is elected").tables().revision;
    assert!(revision > before, "the change is committed");
    let behind = group.followers.all.iter().filter(|follower| follower.applied < revision).count();
    assert_eq!(behind, 0, "daemons that have not applied the change");
}

/// Stops a voter, and applies changes for some seconds.
fn leases_survive_loss_of(lost: impl Fn(&ControlGroup) -> usize) {
    let mut group = started(1_000);
    let lost = lost(&group);
    group.kill(lost);
    for _ in 0..20 {
        group.change();
        group.advance(200, |group| {
            assert_in_force_is_applied(group);
            assert_eq!(group.followers.without_lease(group.now), 0);
        });
    }
    assert!(group.leader().is_some());
    assert_eq!(daemons_not_live(&group), 0);
}

#[test]
fn daemons_of_a_failed_voter_keep_their_leases() {
    leases_survive_loss_of(ControlGroup::follower_voter);
}

#[test]
fn daemons_keep_their_leases_through_an_election() {
    leases_survive_loss_of(|group| group.leader().expect("a leader is elected"));
}
