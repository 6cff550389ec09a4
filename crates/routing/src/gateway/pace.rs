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

/// The largest time seen lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentPeak {
    peak_ms: f64,
    samples: u32,
}

impl RecentPeak {
    /// Takes a sample, in milliseconds.
    pub fn record(&mut self, sample_ms: f64) {
        self.peak_ms = (self.peak_ms * PEAK_DECAY).max(sample_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// The peak, once there are enough samples.
    pub fn peak_ms(&self) -> Option<f64> {
        (self.samples >= ENOUGH_SAMPLES).then_some(self.peak_ms)
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

/// Bounds on the silence of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Between events.
    pub between_events_ms: Millis,
    /// Before the first event.
    pub first_event_ms: Millis,
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
        Pace { between_events_ms: between as Millis, first_event_ms: first.max(between) as Millis }
    }
}
