//! Allocates the places at groups among entries.
//!
//! Entries that use the same load figures, some tens of milliseconds old, all see the same free place and
//! take it, so that a full group gets a queue as long as there are entries. Here every place is granted to at
//! most one entry: an entry may hold as many requests at a group as its allowance permits, and the allowances
//! of all entries together never exceed the group's places, except where an entry already held more. A place
//! that becomes free when an entry's request ends remains that entry's until its next report.

use crate::Millis;
use dockwood_api::gateway::{GroupLoad, ModelLoad};
use std::collections::BTreeMap;

/// Allowances of an entry expire if it has not reported for this long.
const ALLOWANCE_VALID_MS: Millis = 1_500;
/// A group with at least this many free places per entry gives every entry an even share.
const EVEN_SHARE_MIN_PLACES: u32 = 2;
/// A model with at least this many free places per entry grants one place also to entries without requests,
/// for their next request.
const IDLE_GRANT_MIN_PLACES: u32 = 4;
/// Places granted to an entry for each recent request that arrived or found no place; one more is added, so
/// that its next requests can choose among groups.
const PLACES_PER_REQUEST: u32 = 2;

/// A group that accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct GroupPlaces<'a> {
    /// Group epoch.
    pub epoch: u64,
    /// Service.
    pub service: &'a str,
    /// Model.
    pub model: &'a str,
    /// Maximum number of requests at the group, over all entries.
    pub places: u32,
}

/// The number of requests that one entry may hold at each group.
#[derive(Clone, Debug, Default)]
struct EntryAllowance {
    reported_at: Millis,
    by_group: BTreeMap<u64, u32>,
}

/// The allowances of all entries at each group.
#[derive(Clone, Debug, Default)]
pub struct PlaceAllocator {
    entries: BTreeMap<String, EntryAllowance>,
    expected_entries: u32,
    granted: BTreeMap<u64, u32>,
}

impl PlaceAllocator {
    /// Sets the number of entries, including those that have not reported yet, so that the first one to
    /// report isn't granted all places.
    pub fn expect_entries(&mut self, entries: u32) {
        self.expected_entries = entries;
    }

    /// Records an entry's requests in flight, and returns how many more it may send to each group.
    pub fn exchange<'a>(
        &mut self,
        now: Millis,
        entry: &str,
        loads: &[GroupLoad],
        models: &[ModelLoad],
        groups: impl Iterator<Item = GroupPlaces<'a>>,
    ) -> BTreeMap<u64, u32> {
        self.expire_silent_entries(now);
        self.remove_allowance(entry);
        let entries = self.expected_entries.max(self.entries.len() as u32 + 1);
        let offered: Vec<OfferedGroup<'a>> = groups.map(|group| self.offer(group, loads)).collect();
        let mut grants = even_shares(&offered, entries);
        for entitlement in entitlements(&offered, models, entries) {
            grant_most_free(&offered, &entitlement, now, &mut grants);
        }
        let mut allowance = EntryAllowance { reported_at: now, by_group: BTreeMap::new() };
        for offer in &offered {
            let allowed = offer.in_flight + grants.get(&offer.group.epoch).copied().unwrap_or(0);
            *self.granted.entry(offer.group.epoch).or_default() += allowed;
            allowance.by_group.insert(offer.group.epoch, allowed);
        }
        self.entries.insert(entry.to_string(), allowance);
        grants
    }

    fn offer<'a>(&self, group: GroupPlaces<'a>, loads: &[GroupLoad]) -> OfferedGroup<'a> {
        let load = loads.iter().find(|load| load.epoch == group.epoch);
        let in_flight = load.map_or(0, |load| load.in_flight);
        let granted = self.granted.get(&group.epoch).copied().unwrap_or(0);
        OfferedGroup { group, in_flight, free: group.places.saturating_sub(granted + in_flight) }
    }

    fn expire_silent_entries(&mut self, now: Millis) {
        let is_silent = |entry: &EntryAllowance| now >= entry.reported_at + ALLOWANCE_VALID_MS;
        let silent: Vec<String> =
            self.entries.iter().filter(|(_, entry)| is_silent(entry)).map(|(name, _)| name.clone()).collect();
        silent.iter().for_each(|name| self.remove_allowance(name));
    }

    fn remove_allowance(&mut self, entry: &str) {
        let Some(former) = self.entries.remove(entry) else { return };
        for (epoch, allowance) in former.by_group {
            let Some(granted) = self.granted.get_mut(&epoch) else { continue };
            *granted = granted.saturating_sub(allowance);
            if *granted == 0 {
                self.granted.remove(&epoch);
            }
        }
    }
}

/// A group's places from the point of view of one entry.
#[derive(Clone, Copy, Debug)]
struct OfferedGroup<'a> {
    group: GroupPlaces<'a>,
    /// The entry's own requests at the group.
    in_flight: u32,
    /// Places that are not granted to any entry.
    free: u32,
}

/// Places that an entry should be granted at groups of one model.
#[derive(Clone, Copy, Debug)]
struct Entitlement<'a> {
    service: &'a str,
    model: &'a str,
    places: u32,
}

impl Entitlement<'_> {
    fn applies_to(&self, group: &GroupPlaces<'_>) -> bool {
        self.service == group.service && self.model == group.model
    }
}

/// Even shares of the groups that have enough free places; every other group grants nothing at this stage.
fn even_shares(offered: &[OfferedGroup<'_>], entries: u32) -> BTreeMap<u64, u32> {
    let share = |offer: &OfferedGroup<'_>| {
        let has_enough = offer.free >= entries * EVEN_SHARE_MIN_PLACES;
        (offer.group.epoch, if has_enough { offer.free / entries } else { 0 })
    };
    offered.iter().map(share).collect()
}

/// What an entry should be granted according to its requests: at most twice its even share of a model's free
/// places.
fn entitlements<'a>(
    offered: &[OfferedGroup<'a>],
    models: &[ModelLoad],
    entries: u32,
) -> Vec<Entitlement<'a>> {
    let mut free: BTreeMap<(&'a str, &'a str), u32> = BTreeMap::new();
    for offer in offered {
        *free.entry((offer.group.service, offer.group.model)).or_default() += offer.free;
    }
    let entitlement = |((service, model), free): ((&'a str, &'a str), u32)| {
        let load = models.iter().find(|load| load.service == service && load.model == model);
        let requests = load.map_or(0, |load| load.arrived + load.found_none);
        let places = match requests {
            0 => u32::from(free >= entries * IDLE_GRANT_MIN_PLACES),
            _ => 1 + requests * PLACES_PER_REQUEST,
        };
        Entitlement { service, model, places: places.min((free * 2 / entries).max(1)) }
    };
    free.into_iter().map(entitlement).collect()
}

/// Grants single places at the groups with the most free places, if the model has no group with an even
/// share. The order of groups with equally many free places rotates with time, so that not all entries are
/// granted places at the same one.
fn grant_most_free(
    offered: &[OfferedGroup<'_>],
    entitlement: &Entitlement<'_>,
    now: Millis,
    grants: &mut BTreeMap<u64, u32>,
) {
    let has_even_share =
        offered.iter().any(|offer| entitlement.applies_to(&offer.group) && grants[&offer.group.epoch] > 0);
    if has_even_share {
        return;
    }
    let mut candidates: Vec<&OfferedGroup<'_>> =
        offered.iter().filter(|offer| entitlement.applies_to(&offer.group) && offer.free > 0).collect();
    if candidates.is_empty() {
        return;
    }
    let offset = now as usize % candidates.len();
    candidates.rotate_left(offset);
    candidates.sort_by_key(|offer| std::cmp::Reverse(offer.free));
    let mut left = entitlement.places;
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
