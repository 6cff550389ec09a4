//! Clocks of the process.

use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Monotonic milliseconds since the machine's start, the time that it slept included: what others rely on, such as a
/// lease, ends for them while this machine sleeps. They start well above zero, so that "long ago" never runs into it.
pub fn monotonic_ms() -> u64 {
    const OFFSET_MS: u64 = 3_600_000;
    let now = clock_gettime(ClockId::Boottime);
    // Neither part is ever negative by this clock.
    OFFSET_MS + now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Milliseconds since the Unix epoch, by the system's clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
