//! Shares the places at groups out among entries.
//!
//! Entries that look at the same figures, some tens of milliseconds old, all see the same free place and take it, so that
//! a full group gets a queue as long as there are entries. Here every place is promised to one entry at most: an entry
//! may hold as many requests at a group as its allowance says, and the allowances of all entries together never exceed
//! the group's places, but where an entry already held more. A place that an entry's request gives back stays the
//! entry's own until its next report.

use crate::Millis;
use dockwood_api::gateway::{GroupLoad, ModelLoad};
use std::collections::BTreeMap;

/// Allowances of an entry that has not reported for this long are free again.
const ALLOWANCE_VALID_MS: Millis = 1_500;
/// A group with this many free places for each entry gives every entry its even part.
const AMPLE_PLACES: u32 = 2;
/// A model with this many free places for each entry lets entries without requests keep one, for their next request.
const RESERVE_PLACES: u32 = 4;
/// Places that an entry is given for each request that arrived or found none lately, and one more: its next requests
/// choose among them.
const PLACES_FOR_A_REQUEST: u32 = 2;

/// A group that takes requests.
#[derive(Clone, Copy, Debug)]
pub struct GroupPlaces<'a> {
    /// Group epoch.
    pub epoch: u64,
    /// Service.
    pub service: &'a str,
    /// Model.
    pub model: &'a str,
    /// Requests that it may hold, over all entries.
    pub places: u32,
}

/// What one entry may hold.
#[derive(Clone, Debug, Default)]
struct EntryAllowance {
    reported_at: Millis,
    by_group: BTreeMap<u64, u32>,
}

/// Who may hold how many requests at each group.
#[derive(Clone, Debug, Default)]
pub struct PlaceLedger {
    entries: BTreeMap<String, EntryAllowance>,
    expected_entries: u32,
    promised: BTreeMap<u64, u32>,
}

impl PlaceLedger {
    /// Notes how many entries there are, of which some may not have reported yet: the first one must not get all.
    pub fn expect_entries(&mut self, entries: u32) {
        self.expected_entries = entries;
    }

    /// Takes an entry's requests in flight, and returns by group how many more it may take.
    pub fn exchange<'a>(
        &mut self,
        now: Millis,
        entry: &str,
        loads: &[GroupLoad],
        models: &[ModelLoad],
        groups: impl Iterator<Item = GroupPlaces<'a>>,
    ) -> BTreeMap<u64, u32> {
        self.forget_silent_entries(now);
        self.withdraw(entry);
        let entries = self.expected_entries.max(self.entries.len() as u32 + 1);
        let offered: Vec<Offer<'a>> = groups.map(|group| self.offer(group, loads)).collect();
        let mut grants = even_parts(&offered, entries);
        for wish in wishes(&offered, models, entries) {
            grant_freest(&offered, &wish, now, &mut grants);
        }
        let mut allowance = EntryAllowance { reported_at: now, by_group: BTreeMap::new() };
        for offer in &offered {
            let allowed = offer.in_flight + grants.get(&offer.group.epoch).copied().unwrap_or(0);
            *self.promised.entry(offer.group.epoch).or_default() += allowed;
            allowance.by_group.insert(offer.group.epoch, allowed);
        }
        self.entries.insert(entry.to_string(), allowance);
        grants
    }

    fn offer<'a>(&self, group: GroupPlaces<'a>, loads: &[GroupLoad]) -> Offer<'a> {
        let load = loads.iter().find(|load| load.epoch == group.epoch);
        let in_flight = load.map_or(0, |load| load.in_flight);
        let promised = self.promised.get(&group.epoch).copied().unwrap_or(0);
        Offer { group, in_flight, free: group.places.saturating_sub(promised + in_flight) }
    }

    fn forget_silent_entries(&mut self, now: Millis) {
        let is_silent = |entry: &EntryAllowance| now >= entry.reported_at + ALLOWANCE_VALID_MS;
        let silent: Vec<String> =
            self.entries.iter().filter(|(_, entry)| is_silent(entry)).map(|(name, _)| name.clone()).collect();
        silent.iter().for_each(|name| self.withdraw(name));
    }

    fn withdraw(&mut self, entry: &str) {
        let Some(former) = self.entries.remove(entry) else { return };
        for (epoch, allowance) in former.by_group {
            let Some(promised) = self.promised.get_mut(&epoch) else { continue };
            *promised = promised.saturating_sub(allowance);
            if *promised == 0 {
                self.promised.remove(&epoch);
            }
        }
    }
}

/// A group as one entry may use it.
#[derive(Clone, Copy, Debug)]
struct Offer<'a> {
    group: GroupPlaces<'a>,
    /// The entry's own requests there.
    in_flight: u32,
    /// Places that are promised to nobody.
    free: u32,
}

/// Places that an entry should get at groups of one model.
#[derive(Clone, Copy, Debug)]
struct Wish<'a> {
    service: &'a str,
    model: &'a str,
    places: u32,
}

impl Wish<'_> {
    fn concerns(&self, group: &GroupPlaces<'_>) -> bool {
        self.service == group.service && self.model == group.model
    }
}

/// Even parts of the groups that have ample places; every other group is granted nothing yet.
fn even_parts(offered: &[Offer<'_>], entries: u32) -> BTreeMap<u64, u32> {
    let part = |offer: &Offer<'_>| {
        let is_ample = offer.free >= entries * AMPLE_PLACES;
        (offer.group.epoch, if is_ample { offer.free / entries } else { 0 })
    };
    offered.iter().map(part).collect()
}

/// What an entry should get by its requests. No entry gets more than twice its even part of a model's free places.
fn wishes<'a>(offered: &[Offer<'a>], models: &[ModelLoad], entries: u32) -> Vec<Wish<'a>> {
    let mut free: BTreeMap<(&'a str, &'a str), u32> = BTreeMap::new();
    for offer in offered {
        *free.entry((offer.group.service, offer.group.model)).or_default() += offer.free;
    }
    let wish = |((service, model), free): ((&'a str, &'a str), u32)| {
        let load = models.iter().find(|load| load.service == service && load.model == model);
        let requests = load.map_or(0, |load| load.arrived + load.found_none);
        let places = match requests {
            0 => u32::from(free >= entries * RESERVE_PLACES),
            _ => 1 + requests * PLACES_FOR_A_REQUEST,
        };
        Wish { service, model, places: places.min((free * 2 / entries).max(1)) }
    };
    free.into_iter().map(wish).collect()
}

/// Grants single places at the groups that have the most of them, those without an even part only. Groups with equally
/// many take turns with time, so that entries don't all get theirs at the same one.
fn grant_freest(offered: &[Offer<'_>], wish: &Wish<'_>, now: Millis, grants: &mut BTreeMap<u64, u32>) {
    let has_even_part =
        offered.iter().any(|offer| wish.concerns(&offer.group) && grants[&offer.group.epoch] > 0);
    if has_even_part {
        return;
    }
    let mut candidates: Vec<&Offer<'_>> =
        offered.iter().filter(|offer| wish.concerns(&offer.group) && offer.free > 0).collect();
    if candidates.is_empty() {
        return;
    }
    let turn = now as usize % candidates.len();
    candidates.rotate_left(turn);
    candidates.sort_by_key(|offer| std::cmp::Reverse(offer.free));
    let mut left = wish.places;
    let mut round = 0;
    while left > 0 && candidates.iter().any(|offer| offer.free > round) {
        for offer in candidates.iter().filter(|offer| offer.free > round) {
            if left == 0 {
                return;
            }
            *grants.entry(offer.group.epoch).or_default() += 1;
            left -= 1;
        }
        round += 1;
    }
}
