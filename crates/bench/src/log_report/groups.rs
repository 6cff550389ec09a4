//! The lives of groups, as the control group's members tell them.

use dockwood_log_lines::{Body, Line};
use std::collections::BTreeMap;

/// When a group reached each phase, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupLife {
    /// Epoch.
    pub epoch: u64,
    /// It was formed.
    pub formed_at: Option<u64>,
    /// It takes requests.
    pub open_at: Option<u64>,
    /// It takes no more.
    pub closing_at: Option<u64>,
    /// Its members are free again.
    pub ended_at: Option<u64>,
}

impl GroupLife {
    /// Whether it takes requests at a time.
    pub fn is_open(&self, at_ms: u64) -> bool {
        let has_ended = self.closing_at.or(self.ended_at).is_some_and(|ended| ended <= at_ms);
        self.open_at.is_some_and(|open| open <= at_ms) && !has_ended
    }
}

/// The groups that the lines tell of, by epoch.
pub fn group_lives(lines: &[Line]) -> Vec<GroupLife> {
    let mut lives: BTreeMap<u64, GroupLife> = BTreeMap::new();
    for line in lines {
        let Body::Event(event) = &line.body else { continue };
        let Some(epoch) = event.group_epoch() else { continue };
        let life = lives.entry(epoch).or_insert_with(|| GroupLife { epoch, ..GroupLife::default() });
        let phase = match event.reason.as_str() {
            "Formed" => &mut life.formed_at,
            "Open" => &mut life.open_at,
            "Draining" | "Cutting" => &mut life.closing_at,
            "Ended" => &mut life.ended_at,
            _ => continue,
        };
        *phase = Some(phase.map_or(line.at_ms, |earlier| earlier.min(line.at_ms)));
    }
    lives.into_values().collect()
}
