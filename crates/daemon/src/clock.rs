//! Monotonic and wall-clock time.

use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns monotonic milliseconds since the machine was booted, including the time that it was suspended: for other daemons,
/// a lease expires while this machine is suspended. The values start at an offset, so that a duration subtracted from one
/// never reaches zero.
pub fn monotonic_ms() -> u64 {
    const OFFSET_MS: u64 = 3_600_000;
    let now = clock_gettime(ClockId::Boottime);
    // Both fields of this clock are non-negative.
    OFFSET_MS + now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Returns milliseconds since the Unix epoch by the system clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
