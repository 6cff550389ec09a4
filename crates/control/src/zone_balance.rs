//! How the voters are spread over zones, and whether a majority outlives the loss of any one zone.
//!
//! A voter whose zone is unknown is counted in every zone: a group is never taken for safer than it may be.

use dockwood_consensus::{NodeId, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// With fewer zones one of them always holds half of the voters: then the rule can't be kept, and is not applied.
const LEAST_ZONES: usize = 3;

/// The zones of voters and candidates, by their ids.
pub type ZonesById = BTreeMap<NodeId, String>;

/// Voters by zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Voters of each known zone.
    pub by_zone: BTreeMap<String, usize>,
    /// Voters whose zone is unknown.
    pub unknown: usize,
}

impl ZoneCounts {
    /// Counts voters.
    pub fn of<'a>(voters: impl IntoIterator<Item = &'a Voter>, zones: &ZonesById) -> ZoneCounts {
        let mut counts = ZoneCounts { by_zone: BTreeMap::new(), unknown: 0 };
        for voter in voters {
            match zones.get(&voter.id) {
                Some(zone) => *counts.by_zone.entry(zone.clone()).or_default() += 1,
                None => counts.unknown += 1,
            }
        }
        counts
    }

    /// Voters of a zone, by what is known.
    pub fn in_zone(&self, zone: &str) -> usize {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// All voters.
    pub fn total(&self) -> usize {
        self.by_zone.values().sum::<usize>() + self.unknown
    }

    /// Whether a majority remains whichever zone is lost.
    pub fn is_balanced(&self) -> bool {
        let fullest = self.by_zone.values().max().copied().unwrap_or(0);
        2 * (fullest + self.unknown) < self.total()
    }

    /// The zone that surely holds half of the voters or more; the fullest, if two do.
    pub fn too_full(&self) -> Option<(&str, usize)> {
        let fullest = self.by_zone.iter().max_by_key(|(_, count)| **count)?;
        (2 * fullest.1 >= self.total()).then_some((fullest.0.as_str(), *fullest.1))
    }
}

/// Whether the rule can be kept by the voters and candidates of these zones.
pub fn has_enough_zones(zones: &ZonesById) -> bool {
    zones.values().collect::<BTreeSet<_>>().len() >= LEAST_ZONES
}
