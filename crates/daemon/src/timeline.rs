//! The timeline of this daemon: a ring buffer of events, each of which is also logged.

use crate::clock::wall_ms;
use crate::lock::lock;
use crate::log_line::{EventLine, LineBody};
use crate::logging;
use dockwood_api::ResultCode;
use dockwood_api::event::{ClockStamp, Event, Subject};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Maximum number of retained events.
pub const TIMELINE_CAPACITY: usize = 8_192;

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    next_sequence: u64,
    stamp: ClockStamp,
}

/// Records events in a ring buffer.
#[derive(Debug)]
pub struct Timeline {
    process: String,
    ring: Mutex<Ring>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub fn new(process: &str) -> Self {
        Timeline { process: process.to_string(), ring: Mutex::default() }
    }

    fn ring(&self) -> std::sync::MutexGuard<'_, Ring> {
        lock(&self.ring)
    }

    /// Advances the clock and returns its stamp, for a message to another daemon.
    pub fn stamp(&self) -> ClockStamp {
        let mut ring = self.ring();
        ring.stamp = ring.stamp.tick(wall_ms());
        ring.stamp
    }

    /// Merges the clock stamp of a received message.
    pub fn observe(&self, other: ClockStamp) {
        let mut ring = self.ring();
        ring.stamp = ring.stamp.merge(other, wall_ms());
    }

    /// Records and logs an event.
    pub fn record(
        &self,
        subject: Subject,
        reason: &str,
        message: &str,
        cause_revision: Option<u64>,
        code: ResultCode,
    ) {
        let name = format!("{}/{}", subject.kind, subject.name);
        let line = EventLine::new(name, reason, message, code, cause_revision);
        logging::write(&self.process, LineBody::Event(line));
        let mut ring = self.ring();
        ring.stamp = ring.stamp.tick(wall_ms());
        ring.next_sequence += 1;
        let event = Event {
            stamp: ring.stamp,
            process: self.process.clone(),
            sequence: ring.next_sequence,
            subject,
            reason: reason.to_string(),
            message: message.to_string(),
            cause_revision,
            code,
        };
        ring.events.push_back(event);
        if ring.events.len() > TIMELINE_CAPACITY {
            ring.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after`.
    pub fn since(&self, after: u64) -> Vec<Event> {
        self.ring().events.iter().filter(|event| event.sequence > after).cloned().collect()
    }
}
