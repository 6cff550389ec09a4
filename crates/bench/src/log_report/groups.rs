//! Lifecycles of groups, from the events that the voters log.

use dockwood_log_lines::{Body, Line};
use std::collections::BTreeMap;

/// When a group reached each phase, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupLifecycle {
    /// Epoch.
    pub epoch: u64,
    /// Formed.
    pub formed_at: Option<u64>,
    /// Started to accept requests.
    pub open_at: Option<u64>,
    /// Stopped accepting requests.
    pub closing_at: Option<u64>,
    /// Ended; its members are free again.
    pub ended_at: Option<u64>,
}

impl GroupLifecycle {
    /// Whether the group accepts requests at a time.
    pub fn is_open(&self, at_ms: u64) -> bool {
        let has_closed = self.closing_at.or(self.ended_at).is_some_and(|ended| ended <= at_ms);
        self.open_at.is_some_and(|open| open <= at_ms) && !has_closed
    }
}

/// Collects the lifecycles of all groups in the log, ordered by epoch. The earliest line on a phase counts.
pub fn group_lifecycles(lines: &[Line]) -> Vec<GroupLifecycle> {
    let mut lifecycles: BTreeMap<u64, GroupLifecycle> = BTreeMap::new();
    for line in lines {
        let Body::Event(event) = &line.body else { continue };
        let Some(epoch) = event.group_epoch() else { continue };
        let lifecycle =
            lifecycles.entry(epoch).or_insert_with(|| GroupLifecycle { epoch, ..GroupLifecycle::default() });
        let phase = match event.reason.as_str() {
            "Formed" => &mut lifecycle.formed_at,
            "Open" => &mut lifecycle.open_at,
            "Draining" | "Cutting" => &mut lifecycle.closing_at,
            "Ended" => &mut lifecycle.ended_at,
            _ => continue,
        };
        *phase = Some(phase.map_or(line.at_ms, |earlier| earlier.min(line.at_ms)));
    }
    lifecycles.into_values().collect()
}
