//! Whether this process itself hears in time what others send it.
//!
//! A leader that was busy finds everybody silent, and would dissolve what serves: the work of forming it anew makes the
//! leader later still. So the thread that takes calls sends itself a pulse on the same way as the calls. While pulses are
//! late, silence is judged as of the last one that was in time; when they come again, everybody is given the time that was
//! lost.

use crate::Millis;

/// Time between two pulses.
pub const PULSE_EVERY_MS: Millis = 100;
/// A pulse that is this late is no chance delay: some times the length of a usual turn.
const LATE_MS: Millis = 200;

/// The pulses of this process's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hearing {
    pulse_at: Option<Millis>,
}

impl Hearing {
    /// Takes a pulse. Returns the time for which nothing may have been heard, if it was late; that which is not known
    /// before the first pulse is none.
    pub fn pulse(&mut self, now: Millis) -> Option<Millis> {
        let before = self.pulse_at.replace(now)?;
        let late = now.saturating_sub(before + PULSE_EVERY_MS);
        (late > LATE_MS).then_some(late)
    }

    /// The time up to which silence means something.
    pub fn heard_until(&self, now: Millis) -> Millis {
        match self.pulse_at {
            Some(pulse_at) => now.min(pulse_at + PULSE_EVERY_MS + LATE_MS),
            None => now,
        }
    }
}
