//! The period of a quarantine and of the probation after it.

use serde::{Deserialize, Serialize};

/// Durations of quarantines.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineDurations {
    /// Duration of the first one, in milliseconds.
    pub first_ms: u64,
    /// Each further one without having been cleared doubles the duration, at most this many times.
    pub max_doublings: u32,
}

/// The period of a quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinePeriod {
    /// Start of the quarantine, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// End of the quarantine, in milliseconds since the Unix epoch; a probation of the same length follows.
    pub until_ms: u64,
    /// Number of consecutive quarantines without having been cleared.
    pub offences: u32,
}

impl QuarantinePeriod {
    /// The first quarantine, from `at_ms` on.
    pub(crate) fn first(at_ms: u64, durations: QuarantineDurations) -> QuarantinePeriod {
        QuarantinePeriod { since_ms: at_ms, until_ms: at_ms + durations.first_ms, offences: 1 }
    }

    /// The next quarantine after a crash during the probation.
    pub(crate) fn next(&self, at_ms: u64, durations: QuarantineDurations) -> QuarantinePeriod {
        let doublings = self.offences.min(durations.max_doublings);
        QuarantinePeriod {
            since_ms: at_ms,
            until_ms: at_ms + (durations.first_ms << doublings),
            offences: self.offences + 1,
        }
    }

    /// Whether the quarantine is in force at `at_ms`, as opposed to the probation.
    pub fn is_active(&self, at_ms: u64) -> bool {
        at_ms < self.until_ms
    }

    /// Duration of the quarantine, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.until_ms.saturating_sub(self.since_ms)
    }

    /// When the probation ends, in milliseconds since the Unix epoch.
    pub fn probation_ends_ms(&self) -> u64 {
        self.until_ms + self.duration_ms()
    }
}
