//! Timeline events: state changes with their subject, cause and result code.

use crate::code::ResultCode;
use serde::{Deserialize, Serialize};

/// Timestamp of a hybrid logical clock: the wall clock in milliseconds, and a counter that orders events within
/// one millisecond or after a message from a process whose clock is ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClockStamp {
    /// Milliseconds since the Unix epoch, never less than in any timestamp seen before.
    pub wall_ms: u64,
    /// Orders timestamps with equal `wall_ms`.
    pub logical: u32,
}

impl ClockStamp {
    /// Returns the next timestamp of a process whose last one is `self`, at wall clock time `wall_ms`.
    pub fn tick(self, wall_ms: u64) -> ClockStamp {
        if wall_ms > self.wall_ms {
            ClockStamp { wall_ms, logical: 0 }
        } else {
            ClockStamp { wall_ms: self.wall_ms, logical: self.logical + 1 }
        }
    }

    /// Returns the next timestamp after receiving a message with the timestamp `other`.
    pub fn merge(self, other: ClockStamp, wall_ms: u64) -> ClockStamp {
        self.max(other).tick(wall_ms)
    }
}

/// Subject of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// Lower-case resource kind, such as `replica` or `daemon`.
    pub kind: String,
    /// Resource name.
    pub name: String,
}

impl Subject {
    /// Creates a subject from its kind and name.
    pub fn new(kind: &str, name: impl Into<String>) -> Self {
        Subject { kind: kind.to_string(), name: name.into() }
    }
}

/// A state change as recorded by one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// When it was recorded; timestamps order events by causality.
    pub stamp: ClockStamp,
    /// Name of the daemon that recorded it.
    pub process: String,
    /// Sequence number within that daemon, from 1.
    pub sequence: u64,
    /// What changed.
    pub subject: Subject,
    /// What happened, as a fixed identifier such as `Formed`.
    pub reason: String,
    /// Human-readable details.
    pub message: String,
    /// The revision that caused it, if any.
    pub cause_revision: Option<u64>,
    /// Result code.
    pub code: ResultCode,
}

impl std::fmt::Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (kind, name) = (&self.subject.kind, &self.subject.name);
        write!(f, "{}.{:03} ", self.stamp.wall_ms, self.stamp.logical)?;
        write!(f, "{:<10} {kind}/{name} {}", self.process, self.reason)?;
        if let Some(revision) = self.cause_revision {
            write!(f, " (revision {revision})")?;
        }
        if !self.message.is_empty() {
            write!(f, ": {}", self.message)?;
        }
        Ok(())
    }
}

/// Merges events of several daemons in the order of their timestamps. Changes of the replicated state are
/// recorded by every voter; only the first record of each is kept.
pub fn merge_events(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    let mut seen = std::collections::HashSet::new();
    events.retain(|event| match event.cause_revision {
        None => true,
        Some(revision) => {
            let subject = (event.subject.kind.clone(), event.subject.name.clone());
            seen.insert((revision, subject, event.reason.clone()))
        }
    });
    events
}
