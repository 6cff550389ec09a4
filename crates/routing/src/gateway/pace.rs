//! How long a group may be silent, by the figures that its service declares.
//!
//! A pass plays `stride` steps for all that write, and reads at most one chunk of prompt; a stream shows an event a
//! pass. A group whose streams show nothing for clearly longer than its slowest pass stands still.

use crate::Millis;
use dockwood_api::gateway::{EngineProfile, ModelProfile, Route};

/// Silence counts as standing still after this many of the slowest passes, in hundredths.
const PASSES_HUNDREDTHS: f64 = 190.0;
/// Never sooner than this: timers and networks are not that exact.
const LEAST_MS: f64 = 90.0;
/// Part of the target for the first event after which another group is tried, in hundredths.
const FIRST_EVENT_HUNDREDTHS: u64 = 55;

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
    pub fn expected(engine: &EngineProfile, model: &ModelProfile, route: &Route) -> Pace {
        let step = engine.step_ms + engine.per_sequence_ms * f64::from(engine.slots);
        let reading = f64::from(engine.chunk) * 1_000.0 / engine.read_per_second.max(1.0);
        let slowest_pass = model.pace * (f64::from(engine.stride.max(1)) * step + reading);
        let between = (slowest_pass * PASSES_HUNDREDTHS / 100.0).max(LEAST_MS) as Millis;
        let first = route.target_latency_ms * FIRST_EVENT_HUNDREDTHS / 100;
        Pace { between_events_ms: between, first_event_ms: first.max(between) }
    }
}
