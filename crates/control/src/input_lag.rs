//! Measures whether this process handles incoming messages in time.
//!
//! A leader that was busy finds all others silent, and would dissolve working groups; forming them again
//! would delay it even more. So the part of the process that receives calls also sends pulses, through the
//! same queue as the calls. While pulses are late, silence is judged as of the last one that was in time; when
//! they arrive again, all deadlines are extended by the lost time.

use crate::Millis;

/// Interval between two pulses.
pub const PULSE_INTERVAL_MS: Millis = 100;
/// A pulse that is later than this is not ordinary jitter: it is a multiple of the usual turn time.
const MAX_PULSE_DELAY_MS: Millis = 200;

/// Tracks the pulses of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct InputLag {
    last_pulse_at: Option<Millis>,
}

impl InputLag {
    /// Records a pulse. If it was late, returns the time for which nothing may have been received. Time
    /// before the first pulse does not count.
    pub fn record_pulse(&mut self, now: Millis) -> Option<Millis> {
        let previous = self.last_pulse_at.replace(now)?;
        let delay = now.saturating_sub(previous + PULSE_INTERVAL_MS);
        (delay > MAX_PULSE_DELAY_MS).then_some(delay)
    }

    /// The time up to which silence of others can be judged.
    pub fn observed_until(&self, now: Millis) -> Millis {
        match self.last_pulse_at {
            Some(last_pulse_at) => now.min(last_pulse_at + PULSE_INTERVAL_MS + MAX_PULSE_DELAY_MS),
            None => now,
        }
    }
}
