//! How long a server may be silent before its silence means something.

use crate::Millis;

/// How much later than usual a heartbeat may arrive.
const LATE_HEARTBEAT_MS: Millis = 1_600;
/// Added before a member of an idle group counts as lost: nothing else shows whether such a group still works.
const OVERDUE_MARGIN_MS: Millis = 6_000;
/// Added before a server in no group is forgotten.
const FORGET_MARGIN_MS: Millis = 16_000;
/// Added to two intervals for a server that most likely still runs.
const RECENT_MARGIN_MS: Millis = 100;

/// The interval at which servers send heartbeats. All bounds on their silence follow from it: a fleet with thousands of
/// servers has them report seldom, and a fixed bound would take sound servers for missing between two heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatInterval {
    interval_ms: Millis,
}

impl HeartbeatInterval {
    /// An interval of so many milliseconds.
    pub const fn from_millis(interval_ms: Millis) -> Self {
        HeartbeatInterval { interval_ms }
    }

    /// The interval in milliseconds.
    pub const fn as_millis(self) -> Millis {
        self.interval_ms
    }

    /// Silence after which a server counts as missing: one heartbeat is lost and the next one late.
    pub const fn missing_after_ms(self) -> Millis {
        2 * self.interval_ms + LATE_HEARTBEAT_MS
    }

    /// Silence after which a member of an idle group counts as lost.
    pub const fn overdue_after_ms(self) -> Millis {
        self.missing_after_ms() + OVERDUE_MARGIN_MS
    }

    /// Silence after which a server in no group is forgotten.
    pub const fn forgotten_after_ms(self) -> Millis {
        self.missing_after_ms() + FORGET_MARGIN_MS
    }

    /// Silence up to which a server most likely still runs.
    pub const fn recent_ms(self) -> Millis {
        2 * self.interval_ms + RECENT_MARGIN_MS
    }
}

impl Default for HeartbeatInterval {
    fn default() -> Self {
        const DEFAULT_INTERVAL_MS: Millis = 1_200;
        HeartbeatInterval::from_millis(DEFAULT_INTERVAL_MS)
    }
}
