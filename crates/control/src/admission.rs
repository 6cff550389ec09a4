//! Admits members to the control group, and replaces those that are gone for good.
//!
//! A member that lost its disk comes back under another id, so that it can't vote twice. One voter is added or
//! removed at a time. Where a voter has to go, it goes first: then the newcomer, which has still to catch up, never
//! counts towards a majority that needs it.

use crate::Millis;
use dockwood_consensus::{NodeId, Voter};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A request to be admitted counts for this long.
const CANDIDATE_VALID_MS: Millis = 2_000;
/// A voter that has been silent for this long makes room for a newcomer.
const REPLACEABLE_AFTER_MS: Millis = 1_500;
/// A voter beyond the usual number that has been silent for this long is removed.
const SURPLUS_AFTER_MS: Millis = 5_000;
/// Up to so many voters, a newcomer is added beside sound ones; in a larger group it stands by until one is silent, so
/// that the number stays odd and a group that is cut in two keeps a majority on one side.
const ADDED_BESIDE_SOUND: usize = 5;
/// A group is never meant to be smaller.
const LEAST_VOTERS: usize = 3;
/// Nor larger: each voter costs every commit a message.
const MOST_VOTERS: usize = 7;

/// Who asked to be admitted, and when.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    asked: BTreeMap<NodeId, (SocketAddr, Millis)>,
}

/// What the leader knows of the group.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    /// The leader.
    pub own_id: NodeId,
    /// All voters with their addresses.
    pub voters: &'a [Voter],
    /// For each other voter, since when it has not answered.
    pub silent_for: &'a BTreeMap<NodeId, Millis>,
    /// Voters that the group keeps when it can.
    pub usual_voters: usize,
}

/// Voters that a group needs so that so many may be lost at once, with their disks, and a majority remains.
pub fn voters_to_lose(losses: usize) -> usize {
    (2 * losses + 1).clamp(LEAST_VOTERS, MOST_VOTERS)
}

impl Candidates {
    /// Notes a request.
    pub fn ask(&mut self, now: Millis, id: NodeId, address: SocketAddr) {
        self.asked.insert(id, (address, now));
    }

    /// The voters that should be next, if they should change.
    pub fn next_voters(&mut self, now: Millis, group: &Group<'_>) -> Option<Vec<Voter>> {
        self.asked.retain(|id, (_, at)| {
            now < *at + CANDIDATE_VALID_MS && group.voters.iter().all(|voter| voter.id != *id)
        });
        let candidate =
            self.asked.iter().next().map(|(id, (address, _))| Voter { id: *id, address: *address });
        match candidate {
            Some(candidate) => {
                let outgoing = predecessor(group, candidate).or_else(|| silent(group, REPLACEABLE_AFTER_MS));
                match outgoing {
                    Some(id) if group.voters.len() > 2 => Some(without(group, id)),
                    _ if group.voters.len() < group.usual_voters.max(ADDED_BESIDE_SOUND) => {
                        Some(with(group, candidate))
                    }
                    _ => None,
                }
            }
            None if group.voters.len() > group.usual_voters => {
                silent(group, SURPLUS_AFTER_MS).map(|id| without(group, id))
            }
            None => None,
        }
    }
}

/// The voter whose address the newcomer has: its process or disk is gone.
fn predecessor(group: &Group<'_>, candidate: Voter) -> Option<NodeId> {
    let same_place = |voter: &&Voter| voter.address == candidate.address && voter.id != group.own_id;
    group.voters.iter().find(same_place).map(|voter| voter.id)
}

/// The voter that has been silent longest, if for at least `limit`.
fn silent(group: &Group<'_>, limit: Millis) -> Option<NodeId> {
    let longest = group.silent_for.iter().max_by_key(|(_, silent_for)| **silent_for);
    longest.filter(|(_, silent_for)| **silent_for >= limit).map(|(id, _)| *id)
}

fn without(group: &Group<'_>, id: NodeId) -> Vec<Voter> {
    group.voters.iter().filter(|voter| voter.id != id).copied().collect()
}

fn with(group: &Group<'_>, candidate: Voter) -> Vec<Voter> {
    let mut voters = group.voters.to_vec();
    voters.push(candidate);
    voters
}
