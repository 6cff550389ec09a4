//! What is asked of each model: requests that arrive, and how long each holds its place.
//!
//! Requests in flight don't tell it: where groups are full, they only tell how many groups there are, and a model that
//! has lost most of its groups would seem to need the fewest.

use crate::Millis;
use dockwood_api::gateway::ModelLoad;
use std::collections::BTreeMap;

/// What was seen loses all but a third of its weight in this time.
const MEMORY_MS: f64 = 4_000.0;
/// Requests of a service within that memory from which on they tell what each model needs.
const TELLING_REQUESTS: f64 = 20.0;
/// Time for which reports must have come before they tell.
const TELLING_SPAN_MS: f64 = 1_000.0;

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ModelKey {
    service: String,
    model: String,
}

/// Decayed sums.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    arrived: f64,
    ended: f64,
    held_ms: f64,
    /// The time that the sums stand for, in milliseconds.
    span_ms: f64,
    updated_at: Option<Millis>,
    /// How long a place was held, when last seen, in milliseconds.
    last_hold_ms: f64,
}

impl Flow {
    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now)) as f64;
        let kept = (-elapsed / MEMORY_MS).exp();
        for sum in [&mut self.arrived, &mut self.ended, &mut self.held_ms] {
            *sum *= kept;
        }
        self.span_ms = self.span_ms * kept + MEMORY_MS * (1.0 - kept);
        self.updated_at = Some(now);
    }

    fn add(&mut self, load: &ModelLoad) {
        self.arrived += f64::from(load.arrived);
        self.ended += f64::from(load.ended);
        self.held_ms += load.held_ms as f64;
        if self.ended >= 1.0 {
            self.last_hold_ms = self.held_ms / self.ended;
        }
    }

    /// Places that are held on average once every request gets one (Little's law).
    fn places(&self) -> f64 {
        self.arrived / self.span_ms.max(1.0) * self.last_hold_ms
    }
}

/// All entries' requests.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    flows: BTreeMap<ModelKey, Flow>,
}

impl Demand {
    /// Takes one entry's report.
    pub fn record(&mut self, now: Millis, loads: &[ModelLoad]) {
        self.flows.values_mut().for_each(|flow| flow.decay(now));
        for load in loads {
            let key = ModelKey { service: load.service.clone(), model: load.model.clone() };
            let flow = self.flows.entry(key).or_default();
            flow.decay(now);
            flow.add(load);
        }
    }

    /// Places that each model of a service needs; `None` until enough requests have been seen to tell.
    pub fn places(&self, service: &str) -> Option<BTreeMap<String, f64>> {
        let flows = || self.flows.iter().filter(|(key, _)| key.service == service);
        let arrived: f64 = flows().map(|(_, flow)| flow.arrived).sum();
        let longest = flows().map(|(_, flow)| flow.span_ms).fold(0.0, f64::max);
        let is_telling = arrived >= TELLING_REQUESTS && longest >= TELLING_SPAN_MS;
        is_telling.then(|| flows().map(|(key, flow)| (key.model.clone(), flow.places())).collect())
    }
}
