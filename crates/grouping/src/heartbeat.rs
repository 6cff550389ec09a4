//! How long a server may be silent before it counts as missing, lost or gone.

use crate::Millis;

/// Maximum delay of a heartbeat.
const MAX_HEARTBEAT_DELAY_MS: Millis = 1_600;
/// Added before a member of an idle group counts as lost: an idle group gives no other evidence of whether it
/// still works.
const OVERDUE_MARGIN_MS: Millis = 6_000;
/// Added before a server in no group is removed.
const REMOVAL_MARGIN_MS: Millis = 16_000;
/// Added to two intervals for a server that is very likely still running.
const RECENT_MARGIN_MS: Millis = 100;

/// The interval at which servers send heartbeats. All limits on their silence derive from it: in a fleet with
/// thousands of servers the interval is long, and a fixed limit would declare healthy servers missing between
/// two heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatInterval {
    interval_ms: Millis,
}

impl HeartbeatInterval {
    /// Creates an interval from milliseconds.
    pub const fn from_millis(interval_ms: Millis) -> Self {
        HeartbeatInterval { interval_ms }
    }

    /// The interval in milliseconds.
    pub const fn as_millis(self) -> Millis {
        self.interval_ms
    }

    /// Silence after which a server counts as missing: one heartbeat lost and the next one delayed.
    pub const fn missing_after_ms(self) -> Millis {
        2 * self.interval_ms + MAX_HEARTBEAT_DELAY_MS
    }

    /// Silence after which a member of an idle group counts as lost.
    pub const fn overdue_after_ms(self) -> Millis {
        self.missing_after_ms() + OVERDUE_MARGIN_MS
    }

    /// Silence after which a server in no group is removed.
    pub const fn forgotten_after_ms(self) -> Millis {
        self.missing_after_ms() + REMOVAL_MARGIN_MS
    }

    /// Silence up to which a server is very likely still running.
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
