//! Selection of the next set of voters.

use dockwood_consensus::Voter;
use dockwood_control::{Candidates, VoterGroup, voters_for_losses};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn voter(id: u64) -> Voter {
    voter_at(id, id as u16)
}

fn voter_at(id: u64, port_offset: u16) -> Voter {
    Voter { id, address: SocketAddr::from(([127, 0, 0, 1], 1_000 + port_offset)) }
}

/// The next voter ids chosen by the leader, voter 1, of a group that has to tolerate the loss of one member.
fn next(candidates: &mut Candidates, voters: &[Voter], silent: &[(u64, u64)]) -> Option<Vec<u64>> {
    next_for_losses(1, candidates, voters, silent)
}

/// The same for a group that has to tolerate `losses` members lost at once.
fn next_for_losses(
    losses: usize,
    candidates: &mut Candidates,
    voters: &[Voter],
    silent: &[(u64, u64)],
) -> Option<Vec<u64>> {
    let mut silent_for: BTreeMap<u64, u64> =
        voters.iter().filter(|voter| voter.id != 1).map(|voter| (voter.id, 50)).collect();
    silent_for.extend(silent.iter().copied());
    let target_voters = voters_for_losses(losses);
    let zones = BTreeMap::new();
    let group = VoterGroup {
        own_id: 1,
        voters,
        silent_for: &silent_for,
        target_voters,
        zones: &zones,
        tolerates_zone_loss: false,
    };
    let next = candidates.next_voters(1_000, &group)?;
    Some(next.iter().map(|voter| voter.id).collect())
}

fn candidates_from(voters: &[Voter]) -> Candidates {
    let mut candidates = Candidates::default();
    voters.iter().for_each(|voter| candidates.add_request(900, voter.id, voter.address, "z"));
    candidates
}

const THREE_VOTERS: fn() -> Vec<Voter> = || vec![voter(1), voter(2), voter(3)];

#[test]
fn no_request_changes_nothing() {
    assert_eq!(next(&mut Candidates::default(), &THREE_VOTERS(), &[(3, 60_000)]), None);
}

#[test]
fn a_voter_that_asks_again_changes_nothing() {
    assert_eq!(next(&mut candidates_from(&[voter(2)]), &THREE_VOTERS(), &[]), None);
}

#[test]
fn a_member_that_lost_its_disk_replaces_its_predecessor_which_is_removed_first() {
    let mut candidates = candidates_from(&[voter_at(9, 3)]);
    assert_eq!(next(&mut candidates, &THREE_VOTERS(), &[]), Some(vec![1, 2]));
    assert_eq!(next(&mut candidates, &[voter(1), voter(2)], &[]), Some(vec![1, 2, 9]));
}

#[test]
fn a_candidate_at_another_address_replaces_a_silent_voter() {
    let mut candidates = candidates_from(&[voter(9)]);
    assert_eq!(next(&mut candidates, &THREE_VOTERS(), &[(2, 5_000)]), Some(vec![1, 3]));
}

#[test]
fn a_candidate_is_added_to_healthy_voters() {
    assert_eq!(next(&mut candidates_from(&[voter(9)]), &THREE_VOTERS(), &[]), Some(vec![1, 2, 3, 9]));
}

#[test]
fn a_group_of_two_never_shrinks() {
    let two = [voter(1), voter(2)];
    assert_eq!(next(&mut candidates_from(&[voter(9)]), &two, &[(2, 60_000)]), Some(vec![1, 2, 9]));
}

#[test]
fn a_surplus_voter_is_removed_only_after_long_silence() {
    let four = [voter(1), voter(2), voter(3), voter(4)];
    assert_eq!(next(&mut Candidates::default(), &four, &[(3, 3_000)]), None);
    assert_eq!(next(&mut Candidates::default(), &four, &[(3, 6_000)]), Some(vec![1, 2, 4]));
}

#[test]
fn a_request_expires_unless_it_is_repeated() {
    let mut candidates = Candidates::default();
    candidates.add_request(0, 9, voter(9).address, "z");
    let silent_for = BTreeMap::new();
    let voters = THREE_VOTERS();
    let zones = BTreeMap::new();
    let group = VoterGroup {
        own_id: 1,
        voters: &voters,
        silent_for: &silent_for,
        target_voters: voters_for_losses(1),
        zones: &zones,
        tolerates_zone_loss: false,
    };
    assert_eq!(candidates.next_voters(3_000, &group), None);
}

/// Regression (grown deployments, which may lose two members with their disks): the group stayed at three
/// voters, and two losses left it with one.
#[test]
fn a_group_that_may_lose_two_members_grows_to_five_voters() {
    let mut candidates = candidates_from(&[voter(8), voter(9)]);
    assert_eq!(next_for_losses(2, &mut candidates, &THREE_VOTERS(), &[]), Some(vec![1, 2, 3, 8]));
    let four = [voter(1), voter(2), voter(3), voter(8)];
    assert_eq!(next_for_losses(2, &mut candidates, &four, &[]), Some(vec![1, 2, 3, 8, 9]));
}

#[test]
fn a_sixth_member_stays_on_standby_until_a_voter_is_silent() {
    let five: Vec<Voter> = (1..=5).map(voter).collect();
    let mut candidates = candidates_from(&[voter(9)]);
    assert_eq!(
        next_for_losses(2, &mut candidates, &five, &[]),
        None,
        "a group with an even number of voters has no majority after an even split"
    );
    assert_eq!(next_for_losses(2, &mut candidates, &five, &[(4, 2_000)]), Some(vec![1, 2, 3, 5]));
    let four = [voter(1), voter(2), voter(3), voter(5)];
    assert_eq!(next_for_losses(2, &mut candidates, &four, &[]), Some(vec![1, 2, 3, 5, 9]));
}

/// While two members pause, a single candidate must not cost the group two voters: with four, it has no majority once two
/// members lose their disks.
#[test]
fn one_candidate_replaces_one_of_two_silent_voters() {
    let mut candidates = candidates_from(&[voter(9)]);
    let silent = [(4, 2_000), (5, 1_900)];
    let five: Vec<Voter> = (1..=5).map(voter).collect();
    assert_eq!(next_for_losses(2, &mut candidates, &five, &silent), Some(vec![1, 2, 3, 5]));
    let four = [voter(1), voter(2), voter(3), voter(5)];
    assert_eq!(next_for_losses(2, &mut candidates, &four, &silent[1..]), Some(vec![1, 2, 3, 5, 9]));
    let five = [voter(1), voter(2), voter(3), voter(5), voter(9)];
    assert_eq!(next_for_losses(2, &mut candidates, &five, &silent[1..]), None);
}

#[test]
fn a_silent_voter_is_removed_first_where_its_successor_would_be_needed_for_a_majority() {
    let mut candidates = candidates_from(&[voter(9)]);
    assert_eq!(next_for_losses(2, &mut candidates, &THREE_VOTERS(), &[(2, 2_000)]), Some(vec![1, 3]));
}

#[test]
fn five_target_voters_are_no_surplus() {
    let five: Vec<Voter> = (1..=5).map(voter).collect();
    assert_eq!(next_for_losses(2, &mut Candidates::default(), &five, &[(4, 60_000)]), None);
}
