//! Notices that this process did not run for a while: it was stopped, or its machine slept. What it believes is as old as
//! that, though no lease may have run out, and nobody could tell it meanwhile.

use crate::lock::lock;
use dockwood_routing::Millis;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::Notify;

/// A process that nothing was seen of for this long did not run, in milliseconds: five times the pause between two looks
/// at its lease. What others decide takes about as long to reach each daemon of a large fleet.
pub const STOOD_STILL_MS: Millis = 250;

#[derive(Debug, Default)]
struct Seen {
    /// When the process was last seen to run; 0 before the first time.
    at: Millis,
    /// When it was first seen to run after it last stood still; 0 if it never did.
    woke_at: Millis,
    /// For how long it last stood still, until that is told.
    untold: Option<Millis>,
}

/// Whether this process runs without a break, by a clock that goes on while the machine sleeps.
#[derive(Debug, Default)]
pub struct Wakefulness {
    seen: Mutex<Seen>,
    woken: Notify,
}

impl Wakefulness {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        lock(&self.seen)
    }

    /// Notes that the process runs now. Returns when it last woke: what was learnt or asked for before is not to be relied
    /// on.
    pub fn observe(&self, now: Millis) -> Millis {
        let mut seen = self.seen();
        if seen.at != 0 && now >= seen.at + STOOD_STILL_MS {
            seen.untold = Some(now - seen.at);
            seen.woke_at = now;
            self.woken.notify_one();
        }
        seen.at = seen.at.max(now);
        seen.woke_at
    }

    /// For how long the process last stood still, once.
    pub fn take_untold(&self) -> Option<Millis> {
        self.seen().untold.take()
    }

    /// Completes once the process has woken.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }
}
