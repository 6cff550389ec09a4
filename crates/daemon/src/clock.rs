//! Clocks of the process.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Monotonic milliseconds. They start well above zero, so that "long ago" never runs into it.
pub fn monotonic_ms() -> u64 {
    const OFFSET_MS: u64 = 3_600_000;
    let start = START.get_or_init(Instant::now);
    OFFSET_MS + start.elapsed().as_millis() as u64
}

/// Milliseconds since the Unix epoch, by the system's clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
