//! Who becomes a voter, and who makes room.

use dockwood_consensus::Voter;
use dockwood_control::{Candidates, Group, voters_to_lose};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn voter(id: u64) -> Voter {
    at(id, id as u16)
}

fn at(id: u64, place: u16) -> Voter {
    Voter { id, address: SocketAddr::from(([127, 0, 0, 1], 1_000 + place)) }
}

/// What the leader, voter 1, would do next in a group that may lose one member.
fn next(candidates: &mut Candidates, voters: &[Voter], silent: &[(u64, u64)]) -> Option<Vec<u64>> {
    next_to_lose(1, candidates, voters, silent)
}

/// The same in a group that may lose so many members at once.
fn next_to_lose(
    losses: usize,
    candidates: &mut Candidates,
    voters: &[Voter],
    silent: &[(u64, u64)],
) -> Option<Vec<u64>> {
    let mut silent_for: BTreeMap<u64, u64> =
        voters.iter().filter(|voter| voter.id != 1).map(|voter| (voter.id, 50)).collect();
    silent_for.extend(silent.iter().copied());
    let usual_voters = voters_to_lose(losses);
    let zones = BTreeMap::new();
    let group = Group {
        own_id: 1,
        voters,
        silent_for: &silent_for,
        usual_voters,
        zones: &zones,
        bears_zone_loss: false,
    };
    let next = candidates.next_voters(1_000, &group)?;
    Some(next.iter().map(|voter| voter.id).collect())
}

fn asking(voters: &[Voter]) -> Candidates {
    let mut candidates = Candidates::default();
    voters.iter().for_each(|voter| candidates.ask(900, voter.id, voter.address, "z"));
    candidates
}

const THREE: fn() -> Vec<Voter> = || vec![voter(1), voter(2), voter(3)];

#[test]
fn nobody_asks_and_nothing_changes() {
    assert_eq!(next(&mut Candidates::default(), &THREE(), &[(3, 60_000)]), None);
}

#[test]
fn a_voter_that_asks_again_changes_nothing() {
    assert_eq!(next(&mut asking(&[voter(2)]), &THREE(), &[]), None);
}

#[test]
fn a_member_that_lost_its_disk_replaces_its_predecessor_which_goes_first() {
    let mut candidates = asking(&[at(9, 3)]);
    assert_eq!(next(&mut candidates, &THREE(), &[]), Some(vec![1, 2]));
    assert_eq!(next(&mut candidates, &[voter(1), voter(2)], &[]), Some(vec![1, 2, 9]));
}

#[test]
fn a_newcomer_at_another_address_takes_the_place_of_a_silent_voter() {
    let mut candidates = asking(&[voter(9)]);
    assert_eq!(next(&mut candidates, &THREE(), &[(2, 5_000)]), Some(vec![1, 3]));
}

#[test]
fn a_newcomer_beside_sound_voters_is_added() {
    assert_eq!(next(&mut asking(&[voter(9)]), &THREE(), &[]), Some(vec![1, 2, 3, 9]));
}

#[test]
fn two_voters_are_never_made_fewer() {
    let two = [voter(1), voter(2)];
    assert_eq!(next(&mut asking(&[voter(9)]), &two, &[(2, 60_000)]), Some(vec![1, 2, 9]));
}

#[test]
fn a_surplus_voter_goes_only_after_long_silence() {
    let four = [voter(1), voter(2), voter(3), voter(4)];
    assert_eq!(next(&mut Candidates::default(), &four, &[(3, 3_000)]), None);
    assert_eq!(next(&mut Candidates::default(), &four, &[(3, 6_000)]), Some(vec![1, 2, 4]));
}

#[test]
fn a_request_counts_only_while_it_is_repeated() {
    let mut candidates = Candidates::default();
    candidates.ask(0, 9, voter(9).address, "z");
    let silent_for = BTreeMap::new();
    let voters = THREE();
    let zones = BTreeMap::new();
    let group = Group {
        own_id: 1,
        voters: &voters,
        silent_for: &silent_for,
        usual_voters: voters_to_lose(1),
        zones: &zones,
        bears_zone_loss: false,
    };
    assert_eq!(candidates.next_voters(3_000, &group), None);
}

/// Found on the grown deployments, which may lose two members with their disks: three voters were left with one.
#[test]
fn a_group_that_may_lose_two_members_grows_to_five_voters() {
    let mut candidates = asking(&[voter(8), voter(9)]);
    assert_eq!(next_to_lose(2, &mut candidates, &THREE(), &[]), Some(vec![1, 2, 3, 8]));
    let four = [voter(1), voter(2), voter(3), voter(8)];
    assert_eq!(next_to_lose(2, &mut candidates, &four, &[]), Some(vec![1, 2, 3, 8, 9]));
}

#[test]
fn a_sixth_member_stands_by_until_a_voter_is_silent() {
    let five: Vec<Voter> = (1..=5).map(voter).collect();
    let mut candidates = asking(&[voter(9)]);
    assert_eq!(
        next_to_lose(2, &mut candidates, &five, &[]),
        None,
        "an even group has no majority when halved"
    );
    assert_eq!(next_to_lose(2, &mut candidates, &five, &[(4, 2_000)]), Some(vec![1, 2, 3, 5]));
    let four = [voter(1), voter(2), voter(3), voter(5)];
    assert_eq!(next_to_lose(2, &mut candidates, &four, &[]), Some(vec![1, 2, 3, 5, 9]));
}

#[test]
fn five_usual_voters_are_no_surplus() {
    let five: Vec<Voter> = (1..=5).map(voter).collect();
    assert_eq!(next_to_lose(2, &mut Candidates::default(), &five, &[(4, 60_000)]), None);
}
