//! Evacuated zones, to whose servers no requests are routed.
//!
//! Invariant: of two calls that are based on the same generation and request opposite states, only the first takes
//! effect.

use super::GatewayTables;
use super::rows::{Evacuation, GroupRow, InstanceRow};
use crate::machine::Applied;
use dockwood_api::ResultCode;
use std::sync::Arc;

impl GatewayTables {
    /// Whether a zone is evacuated, so that no requests are routed to its servers.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.get(zone).is_some_and(|row| row.evacuated)
    }

    /// The zone's evacuation generation, which the next call has to carry.
    pub fn evacuation_generation(&self, zone: &str) -> u64 {
        self.evacuations.get(zone).map_or(0, |row| row.generation)
    }

    /// Zones that are currently evacuated.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.evacuations.iter().filter(|(_, row)| row.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// Sets a zone's evacuation. A call that finds the zone already in the requested state also increments the
    /// generation: an opposite call that was issued earlier may still be in flight, and must not take effect after this
    /// one was acknowledged.
    pub(super) fn set_evacuation(&mut self, zone: &str, evacuated: bool, generation: u64) -> Applied {
        let was_evacuated = self.is_evacuated(zone);
        if self.evacuation_generation(zone) != generation {
            if was_evacuated == evacuated {
                return Applied::with_changes(Vec::new());
            }
            return Applied::refused(
                ResultCode::EvacuationOvertaken,
                "the zone's evacuation has changed since",
            );
        }
        let next = Evacuation { evacuated, generation: generation + 1 };
        self.evacuations.insert(zone.to_string(), next);
        if was_evacuated && !evacuated {
            self.mark_zone_cold(zone);
        }
        Applied::with_changes(Vec::new())
    }

    /// Marks a zone's servers as cold until their next report says otherwise: they may have lost their caches while they
    /// received no requests. Non-voters hold fewer rows, and get the same result for those that they hold.
    fn mark_zone_cold(&mut self, zone: &str) {
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
