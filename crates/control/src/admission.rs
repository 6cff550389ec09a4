//! Selects the voters of the control group: admits new members and replaces failed ones.
//!
//! A member that lost its disk comes back under a new id, so that it can't vote twice. Voters are added or
//! removed one at a time. A voter that is replaced is removed first: the new voter, which still has to catch
//! up, is then never needed for a majority. Each candidate replaces one voter: another one is removed only once the
//! vacant place is taken, as a smaller group survives fewer losses.
//!
//! If the group has to tolerate the loss of a zone, no zone may hold half of the voters or more. A candidate
//! that would violate this stays on standby, and a voter in an overfull zone is replaced by one in another
//! zone.

use crate::Millis;
use crate::zone_balance::{ZoneCounts, ZonesById, has_enough_zones};
use dockwood_consensus::{NodeId, Voter};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Validity of an admission request; candidates repeat it.
const CANDIDATE_VALID_MS: Millis = 2_000;
/// A voter that has been silent for this long may be replaced by a candidate.
const REPLACEABLE_AFTER_MS: Millis = 1_500;
/// A voter beyond the target number is removed once it has been silent for this long.
const SURPLUS_AFTER_MS: Millis = 5_000;
/// A healthy voter is removed only if all others answered within this time, as the smaller group depends on
/// nearly all of them.
const HEALTHY_WITHIN_MS: Millis = 400;
/// Up to this size, a candidate is added to a group of healthy voters. In a larger group it stays on standby
/// until a voter is silent, so that the number of voters stays odd and one side keeps a majority when the
/// group is partitioned in two.
const GROWTH_LIMIT: usize = 5;
/// Minimum size of the group.
const MIN_VOTERS: usize = 3;
/// Maximum size of the group: each voter costs one message per commit.
const MAX_VOTERS: usize = 7;

/// Admission requests with the time of the latest one.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    requests: BTreeMap<NodeId, (SocketAddr, Millis)>,
    /// Zones that candidates reported. Kept after a candidate becomes a voter, as its daemon's row arrives
    /// later.
    zones: ZonesById,
}

/// The leader's view of the control group.
#[derive(Clone, Copy, Debug)]
pub struct VoterGroup<'a> {
    /// Id of the leader.
    pub own_id: NodeId,
    /// All voters with their addresses.
    pub voters: &'a [Voter],
    /// For each other voter, the time since its last answer.
    pub silent_for: &'a BTreeMap<NodeId, Millis>,
    /// Number of voters to keep if enough members are available.
    pub target_voters: usize,
    /// Zones of the voters, as far as known.
    pub zones: &'a ZonesById,
    /// Whether the group has to tolerate the loss of a whole zone.
    pub tolerates_zone_loss: bool,
}

/// Number of voters needed to keep a majority after `losses` of them fail at once, disks included.
pub fn voters_for_losses(losses: usize) -> usize {
    (2 * losses + 1).clamp(MIN_VOTERS, MAX_VOTERS)
}

impl Candidates {
    /// Records an admission request.
    pub fn add_request(&mut self, now: Millis, id: NodeId, address: SocketAddr, zone: &str) {
        self.requests.insert(id, (address, now));
        if !zone.is_empty() {
            self.zones.insert(id, zone.to_string());
        }
    }

    /// The zone that a process reported with its admission request.
    pub fn zone_of(&self, id: NodeId) -> Option<&String> {
        self.zones.get(&id)
    }

    /// Returns the next set of voters, or `None` if it should not change.
    pub fn next_voters(&mut self, now: Millis, group: &VoterGroup<'_>) -> Option<Vec<Voter>> {
        let is_voter = |id: &NodeId| group.voters.iter().any(|voter| voter.id == *id);
        self.requests.retain(|id, (_, at)| now < *at + CANDIDATE_VALID_MS && !is_voter(id));
        let requests = &self.requests;
        self.zones.retain(|id, _| requests.contains_key(id) || is_voter(id));
        VoterSelection::new(group, self).next()
    }
}

/// One decision on the next set of voters.
struct VoterSelection<'a> {
    group: &'a VoterGroup<'a>,
    candidates: Vec<Voter>,
    /// Zones of voters and candidates.
    zones: ZonesById,
    balances_zones: bool,
    /// The group does not grow beyond this number of voters.
    max_voters: usize,
}

impl<'a> VoterSelection<'a> {
    fn new(group: &'a VoterGroup<'a>, candidates: &Candidates) -> Self {
        let mut zones = candidates.zones.clone();
        zones.extend(group.zones.iter().map(|(id, zone)| (*id, zone.clone())));
        let requests = candidates.requests.iter();
        VoterSelection {
            group,
            candidates: requests.map(|(id, (address, _))| Voter { id: *id, address: *address }).collect(),
            balances_zones: group.tolerates_zone_loss && has_enough_zones(&zones),
            zones,
            max_voters: group.target_voters.max(GROWTH_LIMIT),
        }
    }

    fn next(&self) -> Option<Vec<Voter>> {
        let voters = self.group.voters;
        if !self.candidates.is_empty() {
            if let Some(id) = self.predecessor().filter(|_| voters.len() > 2) {
                return Some(without(voters, id));
            }
            // A candidate takes a vacant place before another voter is removed for it.
            if let Some(candidate) = self.addable(voters).filter(|_| self.has_vacancy()) {
                return Some(with(voters, candidate));
            }
            if let Some(id) = self.replaceable().filter(|_| voters.len() > 2) {
                return Some(without(voters, id));
            }
            if voters.len() < self.max_voters
                && let Some(candidate) = self.addable(voters).or_else(|| self.any_below_minimum())
            {
                return Some(with(voters, candidate));
            }
            if let Some(id) = self.overfull_zone_voter() {
                return Some(without(voters, id));
            }
        }
        // With zone balancing, a candidate that can't replace a silent voter may remain on standby.
        let may_shrink = voters.len() > self.group.target_voters;
        let is_last_resort = self.candidates.is_empty() || self.balances_zones;
        let removed =
            self.surplus().or_else(|| self.unbalancing_voter()).filter(|_| may_shrink && is_last_resort);
        removed.map(|id| without(voters, id))
    }

    /// A voter whose address is now used by a candidate: its process or disk is gone.
    fn predecessor(&self) -> Option<NodeId> {
        let is_replaced = |voter: &&Voter| {
            let has_its_address = |candidate: &Voter| candidate.address == voter.address;
            voter.id != self.group.own_id && self.candidates.iter().any(has_its_address)
        };
        self.group.voters.iter().find(is_replaced).map(|voter| voter.id)
    }

    /// Whether the group lacks voters, and the voters that answer are a majority also once one has joined.
    fn has_vacancy(&self) -> bool {
        let answering = self.group.voters.len() - self.silent_voters().count();
        let enlarged = self.group.voters.len() + 1;
        self.group.voters.len() < self.group.target_voters && 2 * answering > enlarged
    }

    /// The voters that may be replaced, with the time since their last answers.
    fn silent_voters(&self) -> impl Iterator<Item = (&NodeId, &Millis)> {
        self.group.silent_for.iter().filter(|(_, silent)| **silent >= REPLACEABLE_AFTER_MS)
    }

    /// The voter that has been silent longest among those that a candidate can replace.
    fn replaceable(&self) -> Option<NodeId> {
        let has_successor =
            |(id, _): &(&NodeId, &Millis)| self.addable(&without(self.group.voters, **id)).is_some();
        self.silent_voters().filter(has_successor).max_by_key(|(_, silent)| **silent).map(|(id, _)| *id)
    }

    /// Selects the candidate to add to these voters: one with which, alone or together with a second
    /// candidate, no zone holds half of the voters.
    fn addable(&self, voters: &[Voter]) -> Option<Voter> {
        if !self.balances_zones {
            return self.candidates.first().copied();
        }
        let balanced_alone =
            self.candidates.iter().find(|candidate| self.is_balanced(&with(voters, **candidate)));
        let balanced_in_pair = |candidate: &&Voter| {
            let both = with(voters, **candidate);
            let others = self.candidates.iter().filter(|other| other.id != candidate.id);
            others.copied().any(|other| self.is_balanced(&with(&both, other)))
        };
        let fits_pair = voters.len() + 2 <= self.max_voters;
        balanced_alone
            .or_else(|| self.candidates.iter().filter(|_| fits_pair).find(balanced_in_pair))
            .copied()
    }

    /// Below the minimum group size, any candidate, whatever its zone.
    fn any_below_minimum(&self) -> Option<Voter> {
        let is_below_minimum = self.group.voters.len() < MIN_VOTERS;
        self.candidates.first().filter(|_| is_below_minimum).copied()
    }

    /// A voter of an overfull zone, if a candidate would improve the balance. Only while all voters are
    /// healthy and their zones known, as the group is smaller until the candidate has joined.
    fn overfull_zone_voter(&self) -> Option<NodeId> {
        let counts = ZoneCounts::of(self.group.voters, &self.zones);
        let may_shrink = self.group.voters.len() > 2 && self.all_healthy() && counts.unknown == 0;
        let (overfull_zone, count) = counts.overfull_zone().filter(|_| self.balances_zones && may_shrink)?;
        let improves_balance = |candidate: &Voter| {
            self.zones.get(&candidate.id).is_some_and(|zone| counts.in_zone(zone) + 1 < count)
        };
        if !self.candidates.iter().any(improves_balance) {
            return None;
        }
        let can_be_removed = |voter: &&Voter| {
            voter.id != self.group.own_id
                && self.zones.get(&voter.id).is_some_and(|zone| zone == overfull_zone)
        };
        self.group.voters.iter().rfind(can_be_removed).map(|voter| voter.id)
    }

    /// A voter that has been silent for long and that the group does not need.
    fn surplus(&self) -> Option<NodeId> {
        let longest = self.group.silent_for.iter().max_by_key(|(_, silent)| **silent);
        let (id, _) = longest.filter(|(_, silent)| **silent >= SURPLUS_AFTER_MS)?;
        let remaining = without(self.group.voters, *id);
        let can_rebalance =
            || remaining.len() > self.group.target_voters && self.balancing_removal(&remaining).is_some();
        let is_needed = self.balances_zones && !self.is_balanced(&remaining) && !can_rebalance();
        (!is_needed).then_some(*id)
    }

    /// A healthy voter whose removal restores the zone balance. Only if the group is known to be unbalanced
    /// and no candidate can fix that.
    fn unbalancing_voter(&self) -> Option<NodeId> {
        let counts = ZoneCounts::of(self.group.voters, &self.zones);
        let is_unbalanced = self.balances_zones && counts.unknown == 0 && !counts.is_balanced();
        self.balancing_removal(self.group.voters).filter(|_| is_unbalanced && self.all_healthy())
    }

    /// A voter other than the leader without which no zone holds half of the remaining voters.
    fn balancing_removal(&self, voters: &[Voter]) -> Option<NodeId> {
        let can_be_removed =
            |voter: &&Voter| voter.id != self.group.own_id && self.is_balanced(&without(voters, voter.id));
        voters.iter().rfind(can_be_removed).map(|voter| voter.id)
    }

    fn all_healthy(&self) -> bool {
        self.group.silent_for.values().all(|silent| *silent < HEALTHY_WITHIN_MS)
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
