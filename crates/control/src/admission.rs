//! Admits members to the control group, and replaces those that are gone for good.
//!
//! A member that lost its disk comes back under another id, so that it can't vote twice. One voter is added or
//! removed at a time. Where a voter has to go, it goes first: then the newcomer, which has still to catch up, never
//! counts towards a majority that needs it.
//!
//! Where the loss of a zone is to be borne, no zone may hold half of the voters or more: a newcomer that would bring
//! this about stands by, and a voter of a zone that holds too many makes room for one of another zone.

use crate::Millis;
use crate::zone_balance::{ZoneCounts, ZonesById, has_enough_zones};
use dockwood_consensus::{NodeId, Voter};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A request to be admitted counts for this long.
const CANDIDATE_VALID_MS: Millis = 2_000;
/// A voter that has been silent for this long makes room for a newcomer.
const REPLACEABLE_AFTER_MS: Millis = 1_500;
/// A voter beyond the usual number that has been silent for this long is removed.
const SURPLUS_AFTER_MS: Millis = 5_000;
/// A sound voter is removed only if all others answered this lately: the smaller group needs nearly each of them.
const ALL_ANSWER_WITHIN_MS: Millis = 400;
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
    /// The zones that candidates named, kept for those that became voters: their daemons' rows come later.
    zones: ZonesById,
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
    /// The voters' zones, as far as they are known.
    pub zones: &'a ZonesById,
    /// Whether the loss of a whole zone is to be borne.
    pub bears_zone_loss: bool,
}

/// Voters that a group needs so that so many may be lost at once, with their disks, and a majority remains.
pub fn voters_to_lose(losses: usize) -> usize {
    (2 * losses + 1).clamp(LEAST_VOTERS, MOST_VOTERS)
}

impl Candidates {
    /// Notes a request.
    pub fn ask(&mut self, now: Millis, id: NodeId, address: SocketAddr, zone: &str) {
        self.asked.insert(id, (address, now));
        if !zone.is_empty() {
            self.zones.insert(id, zone.to_string());
        }
    }

    /// The zone that a process named when it asked to be admitted.
    pub fn zone_of(&self, id: NodeId) -> Option<&String> {
        self.zones.get(&id)
    }

    /// The voters that should be next, if they should change.
    pub fn next_voters(&mut self, now: Millis, group: &Group<'_>) -> Option<Vec<Voter>> {
        let is_voter = |id: &NodeId| group.voters.iter().any(|voter| voter.id == *id);
        self.asked.retain(|id, (_, at)| now < *at + CANDIDATE_VALID_MS && !is_voter(id));
        let asked = &self.asked;
        self.zones.retain(|id, _| asked.contains_key(id) || is_voter(id));
        Choice::new(group, self).next()
    }
}

/// One decision on the next voters.
struct Choice<'a> {
    group: &'a Group<'a>,
    candidates: Vec<Voter>,
    /// Zones of voters and candidates.
    zones: ZonesById,
    keeps_zones_apart: bool,
    /// Voters beyond which the group is not meant to grow.
    limit: usize,
}

impl<'a> Choice<'a> {
    fn new(group: &'a Group<'a>, candidates: &Candidates) -> Self {
        let mut zones = candidates.zones.clone();
        zones.extend(group.zones.iter().map(|(id, zone)| (*id, zone.clone())));
        let asked = candidates.asked.iter();
        Choice {
            group,
            candidates: asked.map(|(id, (address, _))| Voter { id: *id, address: *address }).collect(),
            keeps_zones_apart: group.bears_zone_loss && has_enough_zones(&zones),
            zones,
            limit: group.usual_voters.max(ADDED_BESIDE_SOUND),
        }
    }

    fn next(&self) -> Option<Vec<Voter>> {
        let voters = self.group.voters;
        if !self.candidates.is_empty() {
            let outgoing = self.predecessor().or_else(|| self.replaceable());
            if let Some(id) = outgoing.filter(|_| voters.len() > 2) {
                return Some(without(voters, id));
            }
            if voters.len() < self.limit
                && let Some(candidate) = self.addable(voters).or_else(|| self.any_of_too_few())
            {
                return Some(with(voters, candidate));
            }
            if let Some(id) = self.too_many_in_zone() {
                return Some(without(voters, id));
            }
        }
        // Where zones are kept apart, a candidate may stand by that can't take a silent voter's place.
        let may_shrink = voters.len() > self.group.usual_voters;
        let is_last_resort = self.candidates.is_empty() || self.keeps_zones_apart;
        let outgoing = self.surplus().or_else(|| self.uneven()).filter(|_| may_shrink && is_last_resort);
        outgoing.map(|id| without(voters, id))
    }

    /// A voter whose address a newcomer has: its process or disk is gone.
    fn predecessor(&self) -> Option<NodeId> {
        let is_succeeded = |voter: &&Voter| {
            let has_its_address = |candidate: &Voter| candidate.address == voter.address;
            voter.id != self.group.own_id && self.candidates.iter().any(has_its_address)
        };
        self.group.voters.iter().find(is_succeeded).map(|voter| voter.id)
    }

    /// The voter that has been silent longest, among those whose place a candidate may take.
    fn replaceable(&self) -> Option<NodeId> {
        let silent = self.group.silent_for.iter().filter(|(_, silent)| **silent >= REPLACEABLE_AFTER_MS);
        let has_successor =
            |(id, _): &(&NodeId, &Millis)| self.addable(&without(self.group.voters, **id)).is_some();
        silent.filter(has_successor).max_by_key(|(_, silent)| **silent).map(|(id, _)| *id)
    }

    /// The candidate to add to these voters: one with which, or with which and another one, no zone holds half.
    fn addable(&self, voters: &[Voter]) -> Option<Voter> {
        if !self.keeps_zones_apart {
            return self.candidates.first().copied();
        }
        let alone = self.candidates.iter().find(|candidate| self.is_balanced(&with(voters, **candidate)));
        let in_pair = |candidate: &&Voter| {
            let both = with(voters, **candidate);
            let others = self.candidates.iter().filter(|other| other.id != candidate.id);
            others.copied().any(|other| self.is_balanced(&with(&both, other)))
        };
        let fits_two = voters.len() + 2 <= self.limit;
        alone.or_else(|| self.candidates.iter().filter(|_| fits_two).find(in_pair)).copied()
    }

    /// Where there are fewer voters than any group needs, a candidate of whichever zone.
    fn any_of_too_few(&self) -> Option<Voter> {
        let too_few = self.group.voters.len() < LEAST_VOTERS;
        self.candidates.first().filter(|_| too_few).copied()
    }

    /// A voter of a zone that holds too many, if a candidate would make the zones more even. Only while all are sound
    /// and known: the group is smaller until the newcomer is in.
    fn too_many_in_zone(&self) -> Option<NodeId> {
        let counts = ZoneCounts::of(self.group.voters, &self.zones);
        let may_shrink = self.group.voters.len() > 2 && self.are_all_sound() && counts.unknown == 0;
        let (full_zone, held) = counts.too_full().filter(|_| self.keeps_zones_apart && may_shrink)?;
        let is_better = |candidate: &Voter| {
            self.zones.get(&candidate.id).is_some_and(|zone| counts.in_zone(zone) + 1 < held)
        };
        if !self.candidates.iter().any(is_better) {
            return None;
        }
        let leaves = |voter: &&Voter| {
            voter.id != self.group.own_id && self.zones.get(&voter.id).is_some_and(|zone| zone == full_zone)
        };
        self.group.voters.iter().rfind(leaves).map(|voter| voter.id)
    }

    /// A voter that has been silent for long, and that the group can do without.
    fn surplus(&self) -> Option<NodeId> {
        let longest = self.group.silent_for.iter().max_by_key(|(_, silent)| **silent);
        let (id, _) = longest.filter(|(_, silent)| **silent >= SURPLUS_AFTER_MS)?;
        let remaining = without(self.group.voters, *id);
        let can_be_even = || remaining.len() > self.group.usual_voters && self.evens(&remaining).is_some();
        let is_missed = self.keeps_zones_apart && !self.is_balanced(&remaining) && !can_be_even();
        (!is_missed).then_some(*id)
    }

    /// A sound voter without which no zone holds half, where one surely does and nobody came to change that.
    fn uneven(&self) -> Option<NodeId> {
        let counts = ZoneCounts::of(self.group.voters, &self.zones);
        let is_uneven = self.keeps_zones_apart && counts.unknown == 0 && !counts.is_balanced();
        self.evens(self.group.voters).filter(|_| is_uneven && self.are_all_sound())
    }

    /// A voter, not the leader, without which no zone holds half of the rest.
    fn evens(&self, voters: &[Voter]) -> Option<NodeId> {
        let leaves =
            |voter: &&Voter| voter.id != self.group.own_id && self.is_balanced(&without(voters, voter.id));
        voters.iter().rfind(leaves).map(|voter| voter.id)
    }

    fn are_all_sound(&self) -> bool {
        self.group.silent_for.values().all(|silent| *silent < ALL_ANSWER_WITHIN_MS)
    }

    fn is_balanced(&self, voters: &[Voter]) -> bool {
        ZoneCounts::of(voters, &self.zones).is_balanced()
    }
}

fn without(voters: &[Voter], id: NodeId) -> Vec<Voter> {
    voters.iter().filter(|voter| voter.id != id).copied().collect()
}

fn with(voters: &[Voter], candidate: Voter) -> Vec<Voter> {
    let mut voters = voters.to_vec();
    voters.push(candidate);
    voters
}
