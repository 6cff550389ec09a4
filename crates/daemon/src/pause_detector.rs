//! Detects that this process did not run for a while, because it was stopped or its machine was suspended. Its state is
//! outdated by that time, even if its lease has not expired, and no other daemon could notify it meanwhile.

use crate::lock::lock;
use dockwood_routing::Millis;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// Minimum time without an observation that counts as a pause, in milliseconds: five times the interval between two checks of
/// the lease. Decisions take about as long to reach all daemons of a large fleet.
pub const PAUSE_THRESHOLD_MS: Millis = 250;

#[derive(Debug, Default)]
struct State {
    /// Time of the last observation; 0 before the first one.
    last_observed_at: Millis,
    /// Time of the first observation after the last pause; 0 if there was none.
    resumed_at: Millis,
    /// Duration of the last pause, until it is reported.
    unreported: Option<Millis>,
}

/// Detects pauses of this process by a clock that advances while the machine is suspended.
#[derive(Debug, Default)]
pub struct PauseDetector {
    state: Mutex<State>,
    resumed: Notify,
}

impl PauseDetector {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Records that the process runs at `now`. Returns when it last resumed after a pause: information that was received or
    /// requested before that time must not be relied on.
    pub fn observe(&self, now: Millis) -> Millis {
        let mut state = self.state();
        if state.last_observed_at != 0 && now >= state.last_observed_at + PAUSE_THRESHOLD_MS {
            state.unreported = Some(now - state.last_observed_at);
            state.resumed_at = now;
            self.resumed.notify_one();
        }
        state.last_observed_at = state.last_observed_at.max(now);
        state.resumed_at
    }

    /// Returns the duration of the last pause, unless it was returned before.
    pub fn take_unreported_pause(&self) -> Option<Millis> {
        self.state().unreported.take()
    }

    /// Completes once the process has resumed after a pause.
    pub async fn resumed(&self) {
        self.resumed.notified().await;
    }
}
