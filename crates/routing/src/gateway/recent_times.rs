//! Median of the most recent durations, which a few very long ones do not distort.

use crate::Millis;
use std::collections::VecDeque;

/// Number of durations that are kept.
const MAX_TIMES: usize = 31;

/// The most recent durations.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes {
    times: VecDeque<Millis>,
}

impl RecentTimes {
    /// Adds a duration, in milliseconds.
    pub fn record(&mut self, time_ms: Millis) {
        self.times.push_back(time_ms);
        if self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
    }

    /// The median, in milliseconds; 0 if there is none.
    pub fn median(&self) -> Millis {
        let mut sorted: Vec<Millis> = self.times.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}
