//! Regions in which requests may run, as their route and tenant name them, and the zones that lie there.

use std::collections::{BTreeMap, BTreeSet};

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Everywhere.
    #[default]
    All,
    /// In these regions; in none if the set is empty.
    Only(BTreeSet<String>),
}

impl AllowedRegions {
    /// The regions that a route or a tenant names; naming none allows all.
    pub fn named(regions: &[String]) -> AllowedRegions {
        if regions.is_empty() {
            return AllowedRegions::All;
        }
        AllowedRegions::Only(regions.iter().cloned().collect())
    }

    /// The regions that both allow.
    pub fn and(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::All, allowed) | (allowed, AllowedRegions::All) => allowed.clone(),
            (AllowedRegions::Only(left), AllowedRegions::Only(right)) => {
                AllowedRegions::Only(left.intersection(right).cloned().collect())
            }
        }
    }

    /// The zones that lie in these regions. A zone whose region is not known is not among them.
    pub fn zones(&self, region_of: &BTreeMap<String, String>) -> AllowedZones {
        let AllowedRegions::Only(regions) = self else { return AllowedZones::default() };
        let lies_there = region_of.iter().filter(|(_, region)| regions.contains(*region));
        AllowedZones { only: Some(lies_there.map(|(zone, _)| zone.clone()).collect()) }
    }
}

/// Zones whose servers may take a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedZones {
    only: Option<Vec<String>>,
}

impl AllowedZones {
    /// Whether a server of this zone may take the request.
    pub fn contains(&self, zone: &str) -> bool {
        self.only.as_ref().is_none_or(|zones| zones.iter().any(|allowed| allowed == zone))
    }

    /// Those of these zones that are allowed.
    pub fn among<'a>(&self, zones: impl Iterator<Item = &'a str>) -> AllowedZones {
        let allowed = zones.filter(|zone| self.contains(zone));
        AllowedZones { only: Some(allowed.map(str::to_string).collect()) }
    }

    /// Whether some zones are not allowed, or may not be.
    pub fn are_restricted(&self) -> bool {
        self.only.is_some()
    }

    /// Whether no zone is allowed.
    pub fn are_none(&self) -> bool {
        self.only.as_ref().is_some_and(Vec::is_empty)
    }

    /// The allowed zones by name; `None` for all.
    pub fn names(&self) -> Option<&[String]> {
        self.only.as_deref()
    }
}
