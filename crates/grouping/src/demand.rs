//! The demand for each model: arriving requests, the tokens of their prompts, and the events of their
//! answers.
//!
//! Requests in flight don't measure demand: when groups are full, they only show how many groups there are,
//! and a model that has lost most of its groups would seem to need the fewest.

use crate::Millis;
use crate::capacity::RequestWork;
use dockwood_api::gateway::ModelLoad;
use std::collections::BTreeMap;

/// Time constant of the exponential decay of past samples.
const DECAY_MS: f64 = 4_000.0;
/// Time constant of the decay of a model's peak demand. When entries or the paths to them fail, fewer
/// requests arrive, and they return as soon as they can, so that the peak is kept for longer.
const PEAK_DECAY_MS: f64 = 20_000.0;
/// Minimum decayed number of requests of a service from which its demand can be estimated.
const MIN_SERVICE_REQUESTS: f64 = 20.0;
/// Decayed number of requests from which on a model counts as requested.
const MIN_MODEL_REQUESTS: f64 = 0.5;
/// Time for which reports must have arrived before demand can be estimated.
const MIN_OBSERVED_MS: f64 = 1_000.0;

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ModelKey {
    service: String,
    model: String,
}

/// The demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that arrive per second.
    pub per_second: f64,
    /// Average work of each request.
    pub work: RequestWork,
}

/// Exponentially decayed sums of one model's requests.
#[derive(Clone, Copy, Debug, Default)]
struct DemandEstimate {
    arrived: f64,
    refused: f64,
    prompt_tokens: f64,
    answered: f64,
    events: f64,
    /// The time that the sums cover, in milliseconds.
    span_ms: f64,
    updated_at: Option<Millis>,
    /// The decayed peak of requests per millisecond.
    peak_rate: f64,
    /// Average work of a request when last observed; `None` until an answer has completed.
    work: Option<RequestWork>,
}

impl DemandEstimate {
    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now)) as f64;
        let decay_factor = (-elapsed / DECAY_MS).exp();
        for sum in [
            &mut self.arrived,
            &mut self.refused,
            &mut self.prompt_tokens,
            &mut self.answered,
            &mut self.events,
        ] {
            *sum *= decay_factor;
        }
        self.span_ms = self.span_ms * decay_factor + DECAY_MS * (1.0 - decay_factor);
        self.peak_rate *= (-elapsed / PEAK_DECAY_MS).exp();
        self.updated_at = Some(now);
    }

    /// Recent new requests per millisecond, without retries after a refusal.
    ///
    /// Nothing in a request tells a first attempt from a retry: callers choose their deadlines themselves, so
    /// a short deadline proves nothing. The rate of refusals does: if a fraction `p` of the attempts is
    /// refused and each refused caller retries once, `n` new requests make `n (1 + p)` attempts.
    fn arrival_rate(&self) -> f64 {
        let refused_fraction = (self.refused / self.arrived.max(f64::MIN_POSITIVE)).min(1.0);
        self.arrived / (1.0 + refused_fraction) / self.span_ms.max(1.0)
    }

    fn add(&mut self, load: &ModelLoad) {
        self.arrived += f64::from(load.arrived);
        self.refused += f64::from(load.refused);
        if self.span_ms >= MIN_OBSERVED_MS {
            self.peak_rate = self.peak_rate.max(self.arrival_rate());
        }
        self.prompt_tokens += load.prompt_tokens as f64;
        self.answered += f64::from(load.answered);
        self.events += load.events as f64;
        if self.answered >= 1.0 && self.arrived >= 1.0 {
            let prompt_tokens = self.prompt_tokens / self.arrived;
            self.work = Some(RequestWork { prompt_tokens, events: self.events / self.answered });
        }
    }

    fn demand(&self) -> Option<ModelDemand> {
        let per_second = self.arrival_rate().max(self.peak_rate) * 1_000.0;
        self.work.map(|work| ModelDemand { per_second, work })
    }
}

/// Demand of all models, over all entries.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    estimates: BTreeMap<ModelKey, DemandEstimate>,
}

impl Demand {
    /// Adds one entry's report.
    pub fn record(&mut self, now: Millis, loads: &[ModelLoad]) {
        self.estimates.values_mut().for_each(|estimate| estimate.decay(now));
        for load in loads {
            let key = ModelKey { service: load.service.clone(), model: load.model.clone() };
            let estimate = self.estimates.entry(key).or_default();
            estimate.decay(now);
            estimate.add(load);
        }
    }

    /// The demand for each model of a service; `None` until enough requests, and an answer of every requested
    /// model, have been seen.
    pub fn of_service(&self, service: &str) -> Option<BTreeMap<String, ModelDemand>> {
        let estimates = || self.estimates.iter().filter(|(key, _)| key.service == service);
        let arrived: f64 = estimates().map(|(_, estimate)| estimate.arrived).sum();
        let longest_span_ms = estimates().map(|(_, estimate)| estimate.span_ms).fold(0.0, f64::max);
        let is_sufficient = arrived >= MIN_SERVICE_REQUESTS && longest_span_ms >= MIN_OBSERVED_MS;
        let requested = estimates().filter(|(_, estimate)| estimate.arrived >= MIN_MODEL_REQUESTS);
        let demands = requested.map(|(key, estimate)| Some((key.model.clone(), estimate.demand()?)));
        is_sufficient.then(|| demands.collect()).flatten()
    }
}
