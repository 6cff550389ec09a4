//! How the voters are distributed over zones, and whether a majority survives the loss of any one zone.
//!
//! A voter whose zone is unknown is counted in every zone, so that the safety of a group is never
//! overestimated.

use dockwood_consensus::{NodeId, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// With fewer zones, one of them always holds half of the voters: then the rule can't be met and is not
/// applied.
const MIN_ZONES: usize = 3;

/// Zones of voters and candidates by id.
pub type ZonesById = BTreeMap<NodeId, String>;

/// Number of voters by zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Voters per known zone.
    pub by_zone: BTreeMap<String, usize>,
    /// Voters whose zone is unknown.
    pub unknown: usize,
}

impl ZoneCounts {
    /// Counts the voters by zone.
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

    /// Number of voters known to be in a zone.
    pub fn in_zone(&self, zone: &str) -> usize {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Total number of voters.
    pub fn total(&self) -> usize {
        self.by_zone.values().sum::<usize>() + self.unknown
    }

    /// Whether a majority remains after the loss of any one zone.
    pub fn is_balanced(&self) -> bool {
        let fullest = self.by_zone.values().max().copied().unwrap_or(0);
        2 * (fullest + self.unknown) < self.total()
    }

    /// The zone that holds half of all voters or more, counting unknown zones as others, with its number of voters; the
    /// fullest if there are two.
    pub fn overfull_zone(&self) -> Option<(&str, usize)> {
        let fullest = self.by_zone.iter().max_by_key(|(_, count)| **count)?;
        (2 * fullest.1 >= self.total()).then_some((fullest.0.as_str(), *fullest.1))
    }
}

/// Whether there are enough zones among these voters and candidates to apply the rule.
pub fn has_enough_zones(zones: &ZonesById) -> bool {
    zones.values().collect::<BTreeSet<_>>().len() >= MIN_ZONES
}
