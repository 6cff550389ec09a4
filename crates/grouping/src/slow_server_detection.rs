//! Detects servers that are alive but slow. A group runs at the pace of its slowest member, and only the pace
//! of its streams reveals this: entries report how many events arrived within the time that the engines'
//! declared figures allow. If hardly any did, the members are asked how much slower than declared they are.
//!
//! Load pattern: one server in a group of twelve runs at a quarter of its speed for some seconds, and all
//! requests of its group are late meanwhile.

use crate::Millis;
use dockwood_api::gateway::EventPace;
use std::collections::{BTreeMap, VecDeque};

/// Window over which events are evaluated, in milliseconds: long enough for a group with few streams to show
/// [`MIN_EVENTS`], and short compared with the seconds for which a server is slow.
const WINDOW_MS: Millis = 1_000;
/// Minimum number of events for an evaluation. Long prompts delay several consecutive events, but not as many
/// as this.
const MIN_EVENTS: u32 = 12;
/// If fewer than this percentage of the events are timely, the members are asked. Events that were delayed on
/// the way arrive together and look timely, so a few timely events prove nothing.
const TIMELY_PERCENT: u32 = 10;
/// A group whose members were asked is not evaluated again for this long, in milliseconds: a group that reads
/// prompts all the time looks slow too, and each query costs its servers some work.
const QUERY_COOLDOWN_MS: Millis = 3_000;
/// A server counts as slow from this multiple of its declared times. A group of such servers shows first
/// events after twice the usual time, which is late for callers that allow no more than that.
const SLOW_FACTOR: f64 = 2.0;
/// A slow server is asked again at this interval, in milliseconds, until it is as fast as declared.
const RECHECK_MS: Millis = 1_000;

/// Maximum number of slow servers that are asked again in one turn: if a third of a fleet is slow at once,
/// the leader must keep time for its other work.
const MAX_RECHECKS: usize = 8;

/// One report on a group's events.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    pace: EventPace,
}

/// A server that reported to be slow.
#[derive(Clone, Copy, Debug)]
struct SlowServer {
    factor: f64,
    queried_at: Millis,
}

/// Event pace by group, and the servers that are slow.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowServerDetector {
    events: BTreeMap<u64, VecDeque<Sample>>,
    queried: BTreeMap<u64, Millis>,
    slow_servers: BTreeMap<String, SlowServer>,
}

impl SlowServerDetector {
    /// Records an entry's report on a group's events.
    pub fn record_events(&mut self, now: Millis, epoch: u64, pace: EventPace) {
        if pace.events == 0 {
            return;
        }
        let samples = self.events.entry(epoch).or_default();
        samples.push_back(Sample { at: now, pace });
        while samples.front().is_some_and(|sample| now >= sample.at + WINDOW_MS) {
            samples.pop_front();
        }
    }

    /// Groups whose members should be asked now; each is returned at most once in [`QUERY_COOLDOWN_MS`].
    pub fn claim_suspected_groups(&mut self, now: Millis) -> Vec<u64> {
        self.queried.retain(|_, at| now < *at + QUERY_COOLDOWN_MS);
        let suspected: Vec<u64> = self
            .events
            .iter()
            .filter(|(epoch, samples)| !self.queried.contains_key(epoch) && looks_slow(now, samples))
            .map(|(epoch, _)| *epoch)
            .collect();
        self.queried.extend(suspected.iter().map(|epoch| (*epoch, now)));
        suspected
    }

    /// Records the multiple of its declared times that a server reports to take.
    pub fn record_factor(&mut self, now: Millis, instance: &str, factor: f64) {
        if factor >= SLOW_FACTOR {
            self.slow_servers.insert(instance.to_string(), SlowServer { factor, queried_at: now });
        } else {
            self.slow_servers.remove(instance);
        }
    }

    /// The multiple of its declared times that a server takes, if it counts as slow.
    pub fn factor(&self, instance: &str) -> Option<f64> {
        self.slow_servers.get(instance).map(|slow| slow.factor)
    }

    /// Whether any server counts as slow.
    pub fn has_slow_servers(&self) -> bool {
        !self.slow_servers.is_empty()
    }

    /// Slow servers that should be asked again now.
    pub fn claim_rechecks(&mut self, now: Millis) -> Vec<String> {
        let due = self.slow_servers.iter_mut().filter(|(_, slow)| now >= slow.queried_at + RECHECK_MS);
        let claim = |(instance, slow): (&String, &mut SlowServer)| {
            slow.queried_at = now;
            instance.clone()
        };
        due.take(MAX_RECHECKS).map(claim).collect()
    }

    /// Removes groups and servers that no longer exist.
    pub fn retain(&mut self, has_group: impl Fn(u64) -> bool, has_instance: impl Fn(&str) -> bool) {
        self.events.retain(|epoch, _| has_group(*epoch));
        self.slow_servers.retain(|instance, _| has_instance(instance));
    }
}

fn looks_slow(now: Millis, samples: &VecDeque<Sample>) -> bool {
    let mut sum = EventPace::default();
    let recent = samples.iter().filter(|sample| now < sample.at + WINDOW_MS);
    recent.for_each(|sample| sum.add(sample.pace));
    sum.events >= MIN_EVENTS && sum.timely * 100 < sum.events * TIMELY_PERCENT
}
