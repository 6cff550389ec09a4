//! Which servers are alive and slow. A group moves at the pace of its slowest member, and nothing but the pace of its
//! streams shows it: entries tell how many events came in the time that the engines' declared figures allow. Where
//! hardly any did, the members are asked how much slower than declared they are.
//!
//! Load pattern: one server in a group of twelve takes four times as long for some seconds, and all requests of its
//! group are late meanwhile.

use crate::Millis;
use dockwood_api::gateway::EventPace;
use std::collections::{BTreeMap, VecDeque};

/// Events are looked at over this time, in milliseconds: long enough for a group with few streams to show
/// [`ENOUGH_EVENTS`], and short against the seconds for which a server is slow.
const WINDOW_MS: Millis = 1_000;
/// Events that tell something. Long prompts delay several events one after the other; not as many as this.
const ENOUGH_EVENTS: u32 = 12;
/// With fewer timely events than this in a hundred, the members are asked. Events that were held up on the way arrive
/// together and look timely, so that a few prove nothing.
const TIMELY_PERCENT: u32 = 10;
/// A group whose members were asked is not looked at again for this long, in milliseconds: one that reads prompts all
/// the time looks slow too, and each question costs its servers something.
const ASK_AGAIN_MS: Millis = 3_000;
/// From this many times its declared times on, a server counts as slow. A group of such servers shows first events in
/// twice the usual time, which is late for callers that allow as much.
const SLOW_FACTOR: f64 = 2.0;
/// A slow server is asked again after this long, in milliseconds, until it is as fast as declared.
const RECHECK_MS: Millis = 1_000;

/// Slow servers that are asked again in one turn, at most: where a third of a fleet is slow at once, its leader has
/// better things to do.
const MOST_RECHECKS: usize = 8;

/// One look at a group's events.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    pace: EventPace,
}

/// A server that said that it is slow.
#[derive(Clone, Copy, Debug)]
struct SlowServer {
    factor: f64,
    asked_at: Millis,
}

/// What is known of slow groups and servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowness {
    events: BTreeMap<u64, VecDeque<Sample>>,
    asked: BTreeMap<u64, Millis>,
    servers: BTreeMap<String, SlowServer>,
}

impl Slowness {
    /// Takes what an entry saw of a group's events.
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

    /// Groups whose members should be asked now; each is named once in [`ASK_AGAIN_MS`].
    pub fn claim_suspicious(&mut self, now: Millis) -> Vec<u64> {
        self.asked.retain(|_, at| now < *at + ASK_AGAIN_MS);
        let suspicious: Vec<u64> = self
            .events
            .iter()
            .filter(|(epoch, samples)| !self.asked.contains_key(epoch) && looks_slow(now, samples))
            .map(|(epoch, _)| *epoch)
            .collect();
        self.asked.extend(suspicious.iter().map(|epoch| (*epoch, now)));
        suspicious
    }

    /// Takes a server's word on how many times its declared times it takes.
    pub fn record_factor(&mut self, now: Millis, instance: &str, factor: f64) {
        if factor >= SLOW_FACTOR {
            self.servers.insert(instance.to_string(), SlowServer { factor, asked_at: now });
        } else {
            self.servers.remove(instance);
        }
    }

    /// How many times its declared times a server takes, if it counts as slow.
    pub fn factor(&self, instance: &str) -> Option<f64> {
        self.servers.get(instance).map(|slow| slow.factor)
    }

    /// Whether any server counts as slow.
    pub fn is_any(&self) -> bool {
        !self.servers.is_empty()
    }

    /// Slow servers to ask again now.
    pub fn claim_due(&mut self, now: Millis) -> Vec<String> {
        let due = self.servers.iter_mut().filter(|(_, slow)| now >= slow.asked_at + RECHECK_MS);
        let claim = |(instance, slow): (&String, &mut SlowServer)| {
            slow.asked_at = now;
            instance.clone()
        };
        due.take(MOST_RECHECKS).map(claim).collect()
    }

    /// Forgets groups and servers that are gone.
    pub fn retain(&mut self, has_group: impl Fn(u64) -> bool, has_instance: impl Fn(&str) -> bool) {
        self.events.retain(|epoch, _| has_group(*epoch));
        self.servers.retain(|instance, _| has_instance(instance));
    }
}

fn looks_slow(now: Millis, samples: &VecDeque<Sample>) -> bool {
    let mut sum = EventPace::default();
    let recent = samples.iter().filter(|sample| now < sample.at + WINDOW_MS);
    recent.for_each(|sample| sum.add(sample.pace));
    sum.events >= ENOUGH_EVENTS && sum.timely * 100 < sum.events * TIMELY_PERCENT
}
