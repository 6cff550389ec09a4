//! Voters over zones: the loss of any one zone, or of any two members, must leave a majority.

use dockwood_consensus::Voter;
use dockwood_control::{Candidates, Group, ZoneCounts, ZonesById, voters_to_lose};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yare::parameterized;

const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_MS: u64 = 250;
/// Longer than a voter may be silent before a newcomer takes its place, and than a request counts.
const SETTLING_TICKS: usize = 60;

/// A member's process: its place is its address, its id changes with its disk.
#[derive(Clone, Debug)]
struct Member {
    id: u64,
    place: u16,
    zone: &'static str,
    down_since: Option<u64>,
}

/// Members and the group that a leader among them makes of them.
struct Fleet {
    members: Vec<Member>,
    voters: Vec<Voter>,
    candidates: Candidates,
    losses: usize,
    now: u64,
    next_id: u64,
    /// Zones of all ids that ever were.
    zones: ZonesById,
    /// When an id was last heard.
    heard: BTreeMap<u64, u64>,
}

fn address(place: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + place))
}

impl Fleet {
    /// Members of these zones, of which the first three found the group.
    fn new(losses: usize, zones: &[&'static str]) -> Fleet {
        let mut fleet = Fleet {
            members: Vec::new(),
            voters: Vec::new(),
            candidates: Candidates::default(),
            losses,
            now: 1_000,
            next_id: 1,
            zones: ZonesById::new(),
            heard: BTreeMap::new(),
        };
        zones.iter().for_each(|zone| fleet.add(zone));
        let founders = fleet.members.iter().take(3);
        fleet.voters =
            founders.map(|member| Voter { id: member.id, address: address(member.place) }).collect();
        fleet
    }

    fn add(&mut self, zone: &'static str) {
        let id = self.take_id(zone);
        self.members.push(Member { id, place: id as u16, zone, down_since: None });
    }

    fn take_id(&mut self, zone: &str) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.zones.insert(id, zone.to_string());
        id
    }

    fn wipe(&mut self, index: usize) {
        let zone = self.members[index].zone;
        self.members[index].id = self.take_id(zone);
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

    /// One look of the leader: any sound voter, as long as a majority is sound.
    fn tick(&mut self) {
        self.now += TICK_MS;
        let up: Vec<Member> =
            self.members.iter().filter(|member| member.down_since.is_none()).cloned().collect();
        for member in &up {
            self.heard.insert(member.id, self.now);
        }
        assert!(self.has_majority_without(|_| false), "the group stands still: {:?}", self.voters);
        let Some(leader) = self.voters.iter().find(|voter| self.is_up(voter.id)).copied() else { return };
        for member in &up {
            if self.voters.iter().all(|voter| voter.id != member.id) {
                self.candidates.ask(self.now, member.id, address(member.place), member.zone);
            }
        }
        let others = self.voters.iter().filter(|voter| voter.id != leader.id);
        let silence = |voter: &Voter| self.now - self.heard.get(&voter.id).copied().unwrap_or(0);
        let silent_for = others.map(|voter| (voter.id, silence(voter))).collect();
        let group = Group {
            own_id: leader.id,
            voters: &self.voters,
            silent_for: &silent_for,
            usual_voters: voters_to_lose(self.losses),
            zones: &self.zones,
            bears_zone_loss: true,
        };
        if let Some(next) = self.candidates.next_voters(self.now, &group) {
            self.voters = next;
        }
    }

    fn settle(&mut self) {
        (0..SETTLING_TICKS).for_each(|_| self.tick());
    }

    /// Once all are back: what must hold.
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

/// What may happen at once and is to be borne.
fn trouble(fleet: &mut Fleet, random: &mut StdRng) -> String {
    let indices: Vec<usize> = (0..fleet.members.len()).collect();
    let count = random.random_range(1..=fleet.losses);
    let some: Vec<usize> = indices.sample(random, count).copied().collect();
    match random.random_range(0..5) {
        0 => {
            some.iter().for_each(|index| fleet.members[*index].down_since = Some(fleet.now));
            (0..random.random_range(1..30)).for_each(|_| fleet.tick());
            some.iter().for_each(|index| fleet.members[*index].down_since = None);
            format!("lost for a while {some:?}")
        }
        1 => {
            some.iter().for_each(|index| fleet.wipe(*index));
            format!("wiped {some:?}")
        }
        2 => {
            // Others come in their place, at other addresses, once they are gone.
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
            format!("zone {zone} lost for a while")
        }
        _ if fleet.members.len() < 9 => {
            let Some(zone) = ZONES.choose(random) else { return String::new() };
            fleet.add(zone);
            format!("added in {zone}")
        }
        _ => "nothing".to_string(),
    }
}

#[parameterized(
    two_in_each_zone_founded_apart = { 2, &["a", "b", "c", "a", "b", "c"] },
    two_in_each_zone_founded_in_two = { 2, &["a", "a", "b", "b", "c", "c"] },
    one_loss_and_two_in_each_zone = { 1, &["a", "a", "b", "b", "c", "c"] },
    one_in_each_zone = { 1, &["a", "b", "c"] },
)]
fn whatever_is_borne_leaves_every_zone_below_half(losses: usize, zones: &[&'static str]) {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(losses, zones);
        fleet.settle();
        let mut history = vec![format!("seed {seed}")];
        fleet.check(&history);
        for _ in 0..12 {
            history.push(trouble(&mut fleet, &mut random));
            fleet.settle();
            fleet.check(&history);
        }
    }
}

/// What the leader, voter 1, would do next in a group that may lose two; voters and candidates are (id, zone).
fn next(voters: &[(u64, &str)], candidates: &[(u64, &str)], silent: &[u64]) -> Option<Vec<u64>> {
    next_to_lose(2, voters, candidates, silent)
}

/// The same in a group that may lose so many members at once.
fn next_to_lose(
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
    let mut asking = Candidates::default();
    candidates.iter().for_each(|(id, zone)| asking.ask(900, *id, address(*id as u16), zone));
    let silence = |id: u64| if silent.contains(&id) { 2_000 } else { 50 };
    let silent_for = voters.iter().skip(1).map(|(id, _)| (*id, silence(*id))).collect();
    let group = Group {
        own_id: 1,
        voters: &group_voters,
        silent_for: &silent_for,
        usual_voters: voters_to_lose(losses),
        zones: &zones,
        bears_zone_loss: true,
    };
    let next = asking.next_voters(1_000, &group)?;
    Some(next.iter().map(|voter| voter.id).collect())
}

const SPREAD: [(u64, &str); 5] = [(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "b")];

#[parameterized(
    a_sixth_member_stands_by = { &SPREAD, &[(9, "c")], &[], None },
    it_replaces_a_silent_voter_of_another_zone = { &SPREAD, &[(9, "c")], &[4], Some(vec![1, 2, 3, 5]) },
    one_that_would_make_its_zone_too_full_stands_by = { &SPREAD, &[(9, "a")], &[3], None },
    two_of_a_zone_make_room_for_another_zone =
        { &[(1, "a"), (2, "a"), (3, "b")], &[(9, "c")], &[], Some(vec![1, 3]) },
    the_leader_stays = { &[(2, "b"), (1, "a"), (3, "a")], &[(9, "c")], &[], Some(vec![2, 1]) },
    no_sound_voter_leaves_while_one_is_silent =
        { &[(1, "a"), (2, "a"), (3, "b"), (4, "a"), (5, "c")], &[(9, "b")], &[5], None },
    four_are_passed_through_only_for_five =
        { &[(1, "a"), (2, "b"), (3, "c")], &[(8, "a"), (9, "b")], &[], Some(vec![1, 2, 3, 8]) },
    three_stay_where_only_a_fourth_asks = { &[(1, "a"), (2, "b"), (3, "c")], &[(8, "a")], &[], None },
    an_unknown_zone_may_be_the_same = { &[(1, "a"), (2, ""), (3, "b"), (4, "c")], &[(9, "a")], &[], None },
    with_two_zones_the_rule_cannot_be_kept =
        { &[(1, "a"), (2, "b"), (3, "a")], &[(9, "b")], &[], Some(vec![1, 2, 3, 9]) },
    two_voters_take_one_of_another_zone_first =
        { &[(1, "a"), (2, "b")], &[(8, "a"), (9, "c")], &[], Some(vec![1, 2, 9]) },
)]
fn zones_are_kept_apart(
    voters: &[(u64, &str)],
    candidates: &[(u64, &str)],
    silent: &[u64],
    expected: Option<Vec<u64>>,
) {
    assert_eq!(next(voters, candidates, silent), expected);
}

#[test]
fn a_fourth_voter_that_leaves_a_zone_with_half_goes_again() {
    let four = [(1, "a"), (2, "b"), (3, "c"), (4, "a")];
    assert_eq!(next_to_lose(1, &four, &[], &[]), Some(vec![1, 2, 3]));
    assert_eq!(next_to_lose(1, &four, &[(9, "a")], &[]), Some(vec![1, 2, 3]));
    assert_eq!(next_to_lose(1, &four, &[(9, "b")], &[]), Some(vec![1, 2, 3, 4, 9]));
}

#[test]
fn nobody_is_removed_on_a_guess() {
    let one_unknown = [(1, "a"), (2, "b"), (3, "c"), (4, "")];
    assert_eq!(next_to_lose(1, &one_unknown, &[], &[]), None);
}
