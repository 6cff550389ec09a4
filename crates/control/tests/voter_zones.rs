//! Distribution of voters over zones: the loss of any one zone, or of any two members, must leave a majority.

use dockwood_consensus::Voter;
use dockwood_control::{Candidates, VoterGroup, ZoneCounts, ZonesById, voters_for_losses};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yare::parameterized;

const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_MS: u64 = 250;
/// Longer than a voter may be silent before it is replaced, and longer than an admission request is valid.
const SETTLE_TICKS: usize = 60;

/// A member's process: `place` determines its address; a new disk gives it a new id.
#[derive(Clone, Debug)]
struct Member {
    id: u64,
    port_offset: u16,
    zone: &'static str,
    down_since: Option<u64>,
}

/// Members, and the group that a leader among them selects.
struct Fleet {
    members: Vec<Member>,
    voters: Vec<Voter>,
    candidates: Candidates,
    losses: usize,
    now: u64,
    next_id: u64,
    /// Zones of all ids, including former ones.
    zones: ZonesById,
    /// When each id was last heard from.
    last_heard: BTreeMap<u64, u64>,
}

fn address(port_offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + port_offset))
}

impl Fleet {
    /// Members in these zones; the first three found the group.
    fn new(losses: usize, zones: &[&'static str]) -> Fleet {
        let mut fleet = Fleet {
            members: Vec::new(),
            voters: Vec::new(),
            candidates: Candidates::default(),
            losses,
            now: 1_000,
            next_id: 1,
            zones: ZonesById::new(),
            last_heard: BTreeMap::new(),
        };
        zones.iter().for_each(|zone| fleet.add(zone));
        let founders = fleet.members.iter().take(3);
        fleet.voters =
            founders.map(|member| Voter { id: member.id, address: address(member.port_offset) }).collect();
        fleet
    }

    fn add(&mut self, zone: &'static str) {
        let id = self.allocate_id(zone);
        self.members.push(Member { id, port_offset: id as u16, zone, down_since: None });
    }

    fn allocate_id(&mut self, zone: &str) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.zones.insert(id, zone.to_string());
        id
    }

    fn wipe_disk(&mut self, index: usize) {
        let zone = self.members[index].zone;
        self.members[index].id = self.allocate_id(zone);
    }

    fn is_up(&self, id: u64) -> bool {
        self.members.iter().any(|member| member.id == id && member.down_since.is_none())
    }

    fn has_majority_without(&self, is_lost: impl Fn(&Member) -> bool) -> bool {
        let remains = |voter: &&Voter| {
            self.members
                .iter()
                .any(|member| member.id == voter.id && member.down_since.is_none() && !is_lost(member))
        };
        2 * self.voters.iter().filter(remains).count() > self.voters.len()
    }

    /// One decision of the leader, which is any healthy voter while there is a majority of them.
    fn tick(&mut self) {
        self.now += TICK_MS;
        let up: Vec<Member> =
            self.members.iter().filter(|member| member.down_since.is_none()).cloned().collect();
        for member in &up {
            self.last_heard.insert(member.id, self.now);
        }
        assert!(self.has_majority_without(|_| false), "the group has no majority: {:?}", self.voters);
        let Some(leader) = self.voters.iter().find(|voter| self.is_up(voter.id)).copied() else { return };
        for member in &up {
            if self.voters.iter().all(|voter| voter.id != member.id) {
                self.candidates.add_request(self.now, member.id, address(member.port_offset), member.zone);
            }
        }
        let others = self.voters.iter().filter(|voter| voter.id != leader.id);
        let silence = |voter: &Voter| self.now - self.last_heard.get(&voter.id).copied().unwrap_or(0);
        let silent_for = others.map(|voter| (voter.id, silence(voter))).collect();
        let group = VoterGroup {
            own_id: leader.id,
            voters: &self.voters,
            silent_for: &silent_for,
            target_voters: voters_for_losses(self.losses),
            zones: &self.zones,
            tolerates_zone_loss: true,
        };
        if let Some(next) = self.candidates.next_voters(self.now, &group) {
            self.voters = next;
        }
    }

    fn settle(&mut self) {
        (0..SETTLE_TICKS).for_each(|_| self.tick());
    }

    /// Invariants once all members are back.
    fn check(&self, history: &[String]) {
        let counts = ZoneCounts::of(&self.voters, &self.zones);
        assert!(counts.is_balanced(), "{counts:?} after {history:?}");
        for zone in ZONES {
            assert!(self.has_majority_without(|member| member.zone == zone), "zone {zone} after {history:?}");
        }
        for one in &self.members {
            for other in self.members.iter().filter(|_| self.losses == 2) {
                let is_lost = |member: &Member| [one.id, other.id].contains(&member.id);
                assert!(self.has_majority_without(is_lost), "{one:?} and {other:?} after {history:?}");
            }
        }
    }
}

/// A fault that the group has to tolerate.
fn inject_fault(fleet: &mut Fleet, random: &mut StdRng) -> String {
    let indices: Vec<usize> = (0..fleet.members.len()).collect();
    let count = random.random_range(1..=fleet.losses);
    let some: Vec<usize> = indices.sample(random, count).copied().collect();
    match random.random_range(0..5) {
        0 => {
            some.iter().for_each(|index| fleet.members[*index].down_since = Some(fleet.now));
            (0..random.random_range(1..30)).for_each(|_| fleet.tick());
            some.iter().for_each(|index| fleet.members[*index].down_since = None);
            format!("temporarily lost {some:?}")
        }
        1 => {
            some.iter().for_each(|index| fleet.wipe_disk(*index));
            format!("disks wiped {some:?}")
        }
        2 => {
            // Replacements start at other addresses once the old members are gone.
            let zones: Vec<&str> = some.iter().map(|index| fleet.members[*index].zone).collect();
            let gone: Vec<u64> = some.iter().map(|index| fleet.members[*index].id).collect();
            fleet.members.retain(|member| !gone.contains(&member.id));
            (0..random.random_range(0..12)).for_each(|_| fleet.tick());
            zones.iter().for_each(|zone| fleet.add(zone));
            format!("replaced {zones:?}")
        }
        3 => {
            let Some(zone) = ZONES.choose(random) else { return String::new() };
            let set_down = |fleet: &mut Fleet, down| {
                let inside = fleet.members.iter_mut().filter(|member| member.zone == *zone);
                inside.for_each(|member| member.down_since = down);
            };
            set_down(fleet, Some(fleet.now));
            (0..random.random_range(1..30)).for_each(|_| fleet.tick());
            set_down(fleet, None);
            format!("zone {zone} temporarily lost")
        }
        _ if fleet.members.len() < 9 => {
            let Some(zone) = ZONES.choose(random) else { return String::new() };
            fleet.add(zone);
            format!("added in {zone}")
        }
        _ => "no fault".to_string(),
    }
}

#[parameterized(
    two_per_zone_founded_in_three_zones = { 2, &["a", "b", "c", "a", "b", "c"] },
    two_per_zone_founded_in_two_zones = { 2, &["a", "a", "b", "b", "c", "c"] },
    one_loss_with_two_per_zone = { 1, &["a", "a", "b", "b", "c", "c"] },
    one_per_zone = { 1, &["a", "b", "c"] },
)]
fn tolerated_faults_leave_every_zone_below_half(losses: usize, zones: &[&'static str]) {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(losses, zones);
        fleet.settle();
        let mut history = vec![format!("seed {seed}")];
        fleet.check(&history);
        for _ in 0..12 {
            history.push(inject_fault(&mut fleet, &mut random));
            fleet.settle();
            fleet.check(&history);
        }
    }
}

/// The next voter ids chosen by the leader, voter 1, of a group that has to tolerate two losses. Voters and
/// candidates are given as (id, zone).
fn next(voters: &[(u64, &str)], candidates: &[(u64, &str)], silent: &[u64]) -> Option<Vec<u64>> {
    next_for_losses(2, voters, candidates, silent)
}

/// The same for a group that has to tolerate `losses` members lost at once.
fn next_for_losses(
    losses: usize,
    voters: &[(u64, &str)],
    candidates: &[(u64, &str)],
    silent: &[u64],
) -> Option<Vec<u64>> {
    let group_voters: Vec<Voter> =
        voters.iter().map(|(id, _)| Voter { id: *id, address: address(*id as u16) }).collect();
    let known = |list: &[(u64, &str)]| -> Vec<(u64, String)> {
        let known = list.iter().filter(|(_, zone)| !zone.is_empty());
        known.map(|(id, zone)| (*id, zone.to_string())).collect()
    };
    let zones: ZonesById = known(voters).into_iter().collect();
    let mut candidate_requests = Candidates::default();
    candidates
        .iter()
        .for_each(|(id, zone)| candidate_requests.add_request(900, *id, address(*id as u16), zone));
    let silence = |id: u64| if silent.contains(&id) { 2_000 } else { 50 };
    let silent_for = voters.iter().skip(1).map(|(id, _)| (*id, silence(*id))).collect();
    let group = VoterGroup {
        own_id: 1,
        voters: &group_voters,
        silent_for: &silent_for,
        target_voters: voters_for_losses(losses),
        zones: &zones,
        tolerates_zone_loss: true,
    };
    let next = candidate_requests.next_voters(1_000, &group)?;
    Some(next.iter().map(|voter| voter.id).collect())
}

const BALANCED: [(u64, &str); 5] = [(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "b")];

#[parameterized(
    a_sixth_member_stays_on_standby = { &BALANCED, &[(9, "c")], &[], None },
    it_replaces_a_silent_voter_of_another_zone = { &BALANCED, &[(9, "c")], &[4], Some(vec![1, 2, 3, 5]) },
    one_that_would_overfill_its_zone_stays_on_standby = { &BALANCED, &[(9, "a")], &[3], None },
    one_of_two_in_a_zone_makes_room_for_another_zone =
        { &[(1, "a"), (2, "a"), (3, "b")], &[(9, "c")], &[], Some(vec![1, 3]) },
    the_leader_stays = { &[(2, "b"), (1, "a"), (3, "a")], &[(9, "c")], &[], Some(vec![2, 1]) },
    no_healthy_voter_is_removed_while_one_is_silent =
        { &[(1, "a"), (2, "a"), (3, "b"), (4, "a"), (5, "c")], &[(9, "b")], &[5], None },
    a_fourth_is_added_only_if_a_fifth_can_follow =
        { &[(1, "a"), (2, "b"), (3, "c")], &[(8, "a"), (9, "b")], &[], Some(vec![1, 2, 3, 8]) },
    three_are_kept_if_only_a_fourth_asks = { &[(1, "a"), (2, "b"), (3, "c")], &[(8, "a")], &[], None },
    an_unknown_zone_may_be_the_same = { &[(1, "a"), (2, ""), (3, "b"), (4, "c")], &[(9, "a")], &[], None },
    with_two_zones_the_rule_cannot_be_met =
        { &[(1, "a"), (2, "b"), (3, "a")], &[(9, "b")], &[], Some(vec![1, 2, 3, 9]) },
    two_voters_first_add_one_of_another_zone =
        { &[(1, "a"), (2, "b")], &[(8, "a"), (9, "c")], &[], Some(vec![1, 2, 9]) },
)]
fn next_voters_keep_zones_balanced(
    voters: &[(u64, &str)],
    candidates: &[(u64, &str)],
    silent: &[u64],
    expected: Option<Vec<u64>>,
) {
    assert_eq!(next(voters, candidates, silent), expected);
}

#[test]
fn a_fourth_voter_that_unbalances_the_zones_is_removed() {
    let four = [(1, "a"), (2, "b"), (3, "c"), (4, "a")];
    assert_eq!(next_for_losses(1, &four, &[], &[]), Some(vec![1, 2, 3]));
    assert_eq!(next_for_losses(1, &four, &[(9, "a")], &[]), Some(vec![1, 2, 3]));
    assert_eq!(next_for_losses(1, &four, &[(9, "b")], &[]), Some(vec![1, 2, 3, 4, 9]));
}

#[test]
fn no_voter_is_removed_while_a_zone_is_unknown() {
    let one_unknown = [(1, "a"), (2, "b"), (3, "c"), (4, "")];
    assert_eq!(next_for_losses(1, &one_unknown, &[], &[]), None);
}
