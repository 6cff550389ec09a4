//! Stall detection: how long a group may send nothing before it is considered stalled.
//!
//! According to the figures that its service declares, one engine pass runs `stride` decode steps for all
//! running sequences, and each step prefills at most one chunk of prompt; a stream emits one event per pass.
//! This bounds the time of a pass. Most passes take far less, so that the recent maximum gives a tighter
//! bound.

use crate::Millis;
use dockwood_api::gateway::{EngineProfile, ModelProfile, Route};

/// Declared and observed times are scaled to this percentage, because timers and networks are not exact.
const MARGIN_PERCENT: f64 = 125.0;
/// Minimum threshold, in milliseconds.
const MIN_THRESHOLD_MS: f64 = 90.0;
/// Factor by which the recent maximum decays with each sample.
const PEAK_DECAY: f64 = 0.9995;
/// Number of samples from which on observed times are used.
const MIN_SAMPLES: u32 = 50;
/// Number of samples after which a time above the observed maximum indicates a fault. One event in a thousand
/// is late by chance then, which affects three in a hundred streams of thirty events.
const CONFIDENT_SAMPLES: u32 = 1_000;
/// The scaling percentage for observed times after that many samples.
const CONFIDENT_MARGIN_PERCENT: f64 = 110.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Minimum time for which a stream keeps waiting for a suspected source while confidence is low, in
/// milliseconds.
const MIN_GRACE_MS: f64 = 150.0;
/// With high confidence, the grace period as a fraction of the threshold: other streams of the group may show
/// progress meanwhile.
const CONFIDENT_GRACE_FACTOR: f64 = 0.125;

/// An event is on time within this many of the longest passes without prefill. Decoding alongside prefill
/// takes longer than one such pass now and then; on a server that is half as fast, every pass does.
const ON_TIME_PASSES: f64 = 2.0;

/// Maximum gap to the preceding event for an event to be on time, in milliseconds.
pub fn timely_event_ms(engine: &EngineProfile, model: &ModelProfile) -> f64 {
    let step = engine.step_ms + engine.per_sequence_ms * f64::from(engine.slots);
    ON_TIME_PASSES * model.pace * f64::from(engine.stride.max(1)) * step
}

/// Decaying maximum and moving average of a latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyStats {
    peak_ms: f64,
    mean_ms: f64,
    samples: u32,
}

impl LatencyStats {
    /// Adds a sample, in milliseconds.
    pub fn record(&mut self, sample_ms: f64) {
        self.peak_ms = (self.peak_ms * PEAK_DECAY).max(sample_ms);
        let weight = if self.samples == 0 { 1.0 } else { SAMPLE_WEIGHT };
        self.mean_ms += weight * (sample_ms - self.mean_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// The decaying maximum, once there are enough samples.
    pub fn peak_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.peak_ms)
    }

    /// Whether there are so many samples that a time above the maximum is unlikely to be chance.
    fn is_confident(&self) -> bool {
        self.samples >= CONFIDENT_SAMPLES
    }
}

/// Latencies observed for the groups of one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservedLatency {
    /// From sending a request to its first event.
    pub first_event: LatencyStats,
    /// Between two consecutive events.
    pub between_events: LatencyStats,
}

/// How long the source of one stream may send nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeout {
    /// After this time the group is suspected: it is avoided for new requests, and its members are probed.
    pub suspect_after_ms: Millis,
    /// Grace period after that, before the stream fails over to another group.
    pub grace_ms: Millis,
}

impl StallTimeout {
    /// Low confidence: the stream waits for the same time again before it fails over.
    fn with_full_grace(suspect_after_ms: f64) -> StallTimeout {
        let grace_ms = suspect_after_ms.max(MIN_GRACE_MS);
        StallTimeout { suspect_after_ms: suspect_after_ms as Millis, grace_ms: grace_ms as Millis }
    }

    /// High confidence: the stream fails over after a short grace period.
    fn with_short_grace(suspect_after_ms: f64) -> StallTimeout {
        let grace_ms = suspect_after_ms * CONFIDENT_GRACE_FACTOR;
        StallTimeout { suspect_after_ms: suspect_after_ms as Millis, grace_ms: grace_ms as Millis }
    }

    /// Total time until the stream fails over.
    fn total_ms(&self) -> f64 {
        (self.suspect_after_ms + self.grace_ms) as f64
    }
}

/// Stall timeouts of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Between events.
    pub between_events: StallTimeout,
    /// Before the first event.
    pub first_event: StallTimeout,
}

impl StallTimeouts {
    /// The timeout before the first event, or between events.
    pub fn of(&self, awaits_first_event: bool) -> StallTimeout {
        if awaits_first_event { self.first_event } else { self.between_events }
    }

    /// Timeouts for a request of this route on the groups of a model.
    pub fn expected(
        engine: &EngineProfile,
        model: &ModelProfile,
        route: &Route,
        observed: &ObservedLatency,
    ) -> StallTimeouts {
        let step = engine.step_ms + engine.per_sequence_ms * f64::from(engine.slots);
        let prefill = f64::from(engine.chunk) * 1_000.0 / engine.read_per_second.max(1.0);
        let slowest_pass = model.pace * f64::from(engine.stride.max(1)) * (step + prefill);
        let observed_gap = observed.between_events.peak_ms().unwrap_or(slowest_pass).min(slowest_pass);
        let between = (observed_gap * MARGIN_PERCENT / 100.0).max(MIN_THRESHOLD_MS);
        let target = route.target_latency_ms as f64;
        let first = observed.first_event.peak_ms().unwrap_or(target) * MARGIN_PERCENT / 100.0;
        StallTimeouts {
            between_events: confident_between_events(route, observed, observed_gap)
                .unwrap_or(StallTimeout::with_full_grace(between)),
            first_event: StallTimeout::with_full_grace(first.max(between)),
        }
    }
}

/// The timeout between events with high confidence, provided that a stream that fails over at once still
/// meets the route's target gap. Failing over costs another prefill of the prompt, so it pays off only then.
/// Measured on a model with 30 ms passes and a 200 ms target gap: streams that waited for the full grace
/// period had gaps of 310 to 600 ms.
fn confident_between_events(
    route: &Route,
    observed: &ObservedLatency,
    observed_gap: f64,
) -> Option<StallTimeout> {
    let is_confident = observed.between_events.is_confident() && observed.first_event.peak_ms().is_some();
    let timeout = StallTimeout::with_short_grace(
        (observed_gap * CONFIDENT_MARGIN_PERCENT / 100.0).max(MIN_THRESHOLD_MS),
    );
    let expected_gap_ms = timeout.total_ms() + observed.first_event.mean_ms;
    (is_confident && expected_gap_ms <= route.target_gap_ms as f64).then_some(timeout)
}
