//! How long a group may be silent before it counts as standing still.
//!
//! By the figures that its service declares, a pass plays `stride` steps for all that write, and in each step reads at
//! most one chunk of prompt; a stream shows an event a pass. So no pass takes longer than that. Most take far less,
//! which the largest time seen lately tells.

use crate::Millis;
use dockwood_api::gateway::{EngineProfile, ModelProfile, Route};

/// What is declared or seen is exceeded by this much before it counts, in hundredths: timers and networks are not
/// that exact.
const MARGIN_HUNDREDTHS: f64 = 125.0;
/// Never sooner than this.
const LEAST_MS: f64 = 90.0;
/// What the largest time seen lately loses with each sample.
const PEAK_DECAY: f64 = 0.9995;
/// Samples before what was seen counts.
const ENOUGH_SAMPLES: u32 = 50;
/// Samples after which a larger time than all of them shows that something is wrong: one in a thousand events is late
/// by chance then, three in a hundred streams of thirty events.
const SURE_SAMPLES: u32 = 1_000;
/// The margin for what so many samples tell, in hundredths.
const SURE_MARGIN_HUNDREDTHS: f64 = 110.0;
/// Part of a new sample in the mean.
const SAMPLE_PART: f64 = 1.0 / 16.0;
/// The least time for which a stream waits on after its source has become suspicious, unless it is sure, in milliseconds.
const LEAST_PATIENCE_MS: f64 = 150.0;
/// The same where it is sure, as a part of the bound: the rest of its group may show something meanwhile.
const SURE_PATIENCE_PART: f64 = 0.125;

/// Times of the longest pass that reads no prompt within which an event came in time: what a group writes beside
/// reading takes longer now and then, and a server that is twice as slow in each.
const TIMELY_PASSES: f64 = 2.0;

/// An event that comes no later than this after the one before it came in time, in milliseconds.
pub fn timely_event_ms(engine: &EngineProfile, model: &ModelProfile) -> f64 {
    let step = engine.step_ms + engine.per_sequence_ms * f64::from(engine.slots);
    TIMELY_PASSES * model.pace * f64::from(engine.stride.max(1)) * step
}

/// The largest time seen lately, and the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentPeak {
    peak_ms: f64,
    mean_ms: f64,
    samples: u32,
}

impl RecentPeak {
    /// Takes a sample, in milliseconds.
    pub fn record(&mut self, sample_ms: f64) {
        self.peak_ms = (self.peak_ms * PEAK_DECAY).max(sample_ms);
        let part = if self.samples == 0 { 1.0 } else { SAMPLE_PART };
        self.mean_ms += part * (sample_ms - self.mean_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// The peak, once there are enough samples.
    pub fn peak_ms(&self) -> Option<f64> {
        (self.samples >= ENOUGH_SAMPLES).then_some(self.peak_ms)
    }

    /// Whether there are so many samples that hardly any time is larger than their peak by chance.
    fn is_sure(&self) -> bool {
        self.samples >= SURE_SAMPLES
    }
}

/// What was seen of one model's groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceEstimates {
    /// From sending a request to its first event.
    pub first_event: RecentPeak,
    /// Between two events.
    pub between_events: RecentPeak,
}

/// How long one stream's source may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// After this the group is suspicious: it is avoided for new requests, and its members are asked.
    pub suspicious_ms: Millis,
    /// After so much more the stream moves on.
    pub patience_ms: Millis,
}

impl Silence {
    /// A stream waits as long again until it is sure.
    fn patient(suspicious_ms: f64) -> Silence {
        let patience_ms = suspicious_ms.max(LEAST_PATIENCE_MS);
        Silence { suspicious_ms: suspicious_ms as Millis, patience_ms: patience_ms as Millis }
    }

    /// A stream moves on soon.
    fn sure(suspicious_ms: f64) -> Silence {
        let patience_ms = suspicious_ms * SURE_PATIENCE_PART;
        Silence { suspicious_ms: suspicious_ms as Millis, patience_ms: patience_ms as Millis }
    }

    /// The whole time after which the stream moves on.
    fn whole_ms(&self) -> f64 {
        (self.suspicious_ms + self.patience_ms) as f64
    }
}

/// Bounds on the silence of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Between events.
    pub between_events: Silence,
    /// Before the first event.
    pub first_event: Silence,
}

impl Pace {
    /// Bounds for a request of a route at a model's groups.
    pub fn expected(
        engine: &EngineProfile,
        model: &ModelProfile,
        route: &Route,
        seen: &PaceEstimates,
    ) -> Pace {
        let step = engine.step_ms + engine.per_sequence_ms * f64::from(engine.slots);
        let reading = f64::from(engine.chunk) * 1_000.0 / engine.read_per_second.max(1.0);
        let slowest_pass = model.pace * f64::from(engine.stride.max(1)) * (step + reading);
        let seen_gap = seen.between_events.peak_ms().unwrap_or(slowest_pass).min(slowest_pass);
        let between = (seen_gap * MARGIN_HUNDREDTHS / 100.0).max(LEAST_MS);
        let target = route.target_latency_ms as f64;
        let first = seen.first_event.peak_ms().unwrap_or(target) * MARGIN_HUNDREDTHS / 100.0;
        Pace {
            between_events: sure_between(route, seen, seen_gap).unwrap_or(Silence::patient(between)),
            first_event: Silence::patient(first.max(between)),
        }
    }
}

/// The bound between events where a stream that moves at once is still in time: it costs another reading of the prompt, and
/// so is worth it only then. Measured at a model with passes of 30 ms and pauses of 200 ms in time: streams that waited
/// until they were sure had paused for 310 to 600 ms.
fn sure_between(route: &Route, seen: &PaceEstimates, seen_gap: f64) -> Option<Silence> {
    let is_sure = seen.between_events.is_sure() && seen.first_event.peak_ms().is_some();
    let silence = Silence::sure((seen_gap * SURE_MARGIN_HUNDREDTHS / 100.0).max(LEAST_MS));
    let pause_ms = silence.whole_ms() + seen.first_event.mean_ms;
    (is_sure && pause_ms <= route.target_gap_ms as f64).then_some(silence)
}
