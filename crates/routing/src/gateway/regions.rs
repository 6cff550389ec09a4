//! Regions in which requests may run, as configured for routes and tenants, and the zones of these regions.

use std::collections::{BTreeMap, BTreeSet};

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region.
    #[default]
    All,
    /// Only these regions; none if the set is empty.
    Only(BTreeSet<String>),
}

impl AllowedRegions {
    /// The regions configured for a route or a tenant; an empty list allows all.
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

    /// The zones in these regions. Zones whose region is unknown are excluded.
    pub fn zones(&self, region_of: &BTreeMap<String, String>) -> AllowedZones {
        let AllowedRegions::Only(regions) = self else { return AllowedZones::default() };
        let in_regions = region_of.iter().filter(|(_, region)| regions.contains(*region));
        AllowedZones { only: Some(in_regions.map(|(zone, _)| zone.clone()).collect()) }
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

    /// The given zones that are allowed.
    pub fn among<'a>(&self, zones: impl Iterator<Item = &'a str>) -> AllowedZones {
        let allowed = zones.filter(|zone| self.contains(zone));
        AllowedZones { only: Some(allowed.map(str::to_string).collect()) }
    }

    /// Whether the allowed zones are limited to a list.
    pub fn are_restricted(&self) -> bool {
        self.only.is_some()
    }

    /// Whether no zone is allowed.
    pub fn are_none(&self) -> bool {
        self.only.as_ref().is_some_and(Vec::is_empty)
    }

    /// Names of the allowed zones; `None` if all are allowed.
    pub fn names(&self) -> Option<&[String]> {
        self.only.as_deref()
    }
}
