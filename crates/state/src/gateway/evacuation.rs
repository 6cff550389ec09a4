//! Evacuated zones, whose servers are sent no requests.
//!
//! Invariant: of two calls that were decided on the same generation, and that ask for different things, only the first
//! takes effect.

use super::GatewayTables;
use super::rows::{Evacuation, GroupRow, InstanceRow};
use crate::machine::Applied;
use dockwood_api::ResultCode;
use std::sync::Arc;

impl GatewayTables {
    /// Whether requests are kept away from the servers of a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.get(zone).is_some_and(|held| held.evacuated)
    }

    /// How often a call has set a zone's evacuation: what the next call has to name.
    pub fn evacuation_generation(&self, zone: &str) -> u64 {
        self.evacuations.get(zone).map_or(0, |held| held.generation)
    }

    /// Zones that are evacuated now.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.evacuations.iter().filter(|(_, held)| held.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// A call that finds the zone as it asks for takes a generation too: an opposite call that was decided before it
    /// may still be on its way, and must not take effect after this one was acknowledged.
    pub(super) fn set_evacuation(&mut self, zone: &str, evacuated: bool, generation: u64) -> Applied {
        let was_evacuated = self.is_evacuated(zone);
        if self.evacuation_generation(zone) != generation {
            if was_evacuated == evacuated {
                return Applied::touching(Vec::new());
            }
            return Applied::refused(
                ResultCode::EvacuationOvertaken,
                "the zone's evacuation has changed since",
            );
        }
        let next = Evacuation { evacuated, generation: generation + 1 };
        self.evacuations.insert(zone.to_string(), next);
        if was_evacuated && !evacuated {
            self.presume_cold(zone);
        }
        Applied::touching(Vec::new())
    }

    /// Servers that were sent nothing for a while may have lost their caches; until their next report says otherwise
    /// they are taken to be cold. Followers hold fewer rows, and come to the same result for those that they hold.
    fn presume_cold(&mut self, zone: &str) {
        let instances: Vec<Arc<InstanceRow>> = self
            .instances
            .values()
            .filter(|row| row.zone == zone && self.cold_start(&row.service).is_some())
            .cloned()
            .collect();
        for row in instances {
            let cold = InstanceRow { is_cold: true, ..InstanceRow::clone(&row) };
            self.instances.insert(cold.id.clone(), Arc::new(cold));
        }
        let groups: Vec<Arc<GroupRow>> = self
            .groups
            .values()
            .filter(|row| row.zone == zone && self.cold_start(&row.service).is_some())
            .cloned()
            .collect();
        for row in groups {
            let cold = GroupRow { head_is_cold: true, ..GroupRow::clone(&row) };
            self.groups.insert(cold.epoch, Arc::new(cold));
        }
    }
}
