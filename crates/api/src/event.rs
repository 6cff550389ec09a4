//! Events of the time line: every change of state, with its subject, cause and result code.

use crate::code::ResultCode;
use serde::{Deserialize, Serialize};

/// A hybrid logical clock stamp: wall clock in milliseconds, then a counter that orders what happened within
/// one millisecond or after a message from a process whose clock is ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClockStamp {
    /// Milliseconds since the Unix epoch, never less than any stamp seen before.
    pub wall_ms: u64,
    /// Orders stamps with equal `wall_ms`.
    pub logical: u32,
}

impl ClockStamp {
    /// The next stamp of a process that last used `self` and whose clock reads `wall_ms`.
    pub fn tick(self, wall_ms: u64) -> ClockStamp {
        if wall_ms > self.wall_ms {
            ClockStamp { wall_ms, logical: 0 }
        } else {
            ClockStamp { wall_ms: self.wall_ms, logical: self.logical + 1 }
        }
    }

    /// The next stamp after a message that carried `other`.
    pub fn merge(self, other: ClockStamp, wall_ms: u64) -> ClockStamp {
        self.max(other).tick(wall_ms)
    }
}

/// What an event is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// Lower-case resource kind, such as `replica` or `daemon`.
    pub kind: String,
    /// Resource name.
    pub name: String,
}

impl Subject {
    /// A subject from its kind and name.
    pub fn new(kind: &str, name: impl Into<String>) -> Self {
        Subject { kind: kind.to_string(), name: name.into() }
    }
}

/// One change of state as one process saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// When, in the order of causes.
    pub stamp: ClockStamp,
    /// The daemon that recorded it.
    pub process: String,
    /// Its number within that daemon, from 1.
    pub sequence: u64,
    /// What changed.
    pub subject: Subject,
    /// What happened, as a short fixed word such as `Formed`.
    pub reason: String,
    /// Details for people.
    pub message: String,
    /// The revision that led to it, where one did.
    pub cause_revision: Option<u64>,
    /// The result.
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

/// Puts events of many daemons in order of their stamps. Changes of the replicated state are recorded by every
/// voter; of these, the first record stands.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
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
