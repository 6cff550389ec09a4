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
/// With fewer free places than this many for each entry, only entries that have requests get any.
const AMPLE_PLACES: u32 = 2;

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
    promised: BTreeMap<u64, u32>,
}

impl PlaceLedger {
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
        let entries = self.entries.len() as u32 + 1;
        let mut allowance = EntryAllowance { reported_at: now, by_group: BTreeMap::new() };
        let mut grants = BTreeMap::new();
        for group in groups {
            let load = loads.iter().find(|load| load.epoch == group.epoch);
            let in_flight = load.map_or(0, |load| load.in_flight);
            let promised = self.promised.entry(group.epoch).or_default();
            let free = group.places.saturating_sub(*promised + in_flight);
            let granted = share_of(free, entries, asks_for(models, &group));
            *promised += in_flight + granted;
            allowance.by_group.insert(group.epoch, in_flight + granted);
            grants.insert(group.epoch, granted);
        }
        self.entries.insert(entry.to_string(), allowance);
        grants
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

/// Whether an entry has requests for a group's model.
fn asks_for(models: &[ModelLoad], group: &GroupPlaces<'_>) -> bool {
    let mut same = models.iter().filter(|load| load.service == group.service && load.model == group.model);
    same.any(|load| load.arrived > 0 || load.found_none > 0)
}

/// An entry's part of the free places: an even one while there are enough, else one for an entry that has requests.
fn share_of(free: u32, entries: u32, asks: bool) -> u32 {
    if free >= entries * AMPLE_PLACES {
        free / entries
    } else if asks {
        free.min(1)
    } else {
        0
    }
}
