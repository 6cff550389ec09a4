//! What is asked of each model: requests that arrive, the tokens of their prompts, and the events of their answers.
//!
//! Requests in flight don't tell it: where groups are full, they only tell how many groups there are, and a model that
//! has lost most of its groups would seem to need the fewest.

use crate::Millis;
use crate::capacity::RequestWork;
use dockwood_api::gateway::ModelLoad;
use std::collections::BTreeMap;

/// What was seen loses all but a third of its weight in this time.
const MEMORY_MS: f64 = 4_000.0;
/// The most that was asked of a model loses all but a third of its weight in this time: where entries or the paths to them
/// are lost, fewer requests arrive, and come back as soon as they can.
const PEAK_MEMORY_MS: f64 = 20_000.0;
/// Requests of a service within that memory from which on they tell what each model needs.
const TELLING_REQUESTS: f64 = 20.0;
/// Requests of a model within that memory from which on it counts as asked for.
const ASKED_FOR: f64 = 0.5;
/// Time for which reports must have come before they tell.
const TELLING_SPAN_MS: f64 = 1_000.0;

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ModelKey {
    service: String,
    model: String,
}

/// What is asked of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that arrive in a second.
    pub per_second: f64,
    /// What each asks for on average.
    pub work: RequestWork,
}

/// Decayed sums.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    arrived: f64,
    refused: f64,
    prompt_tokens: f64,
    answered: f64,
    events: f64,
    /// The time that the sums stand for, in milliseconds.
    span_ms: f64,
    updated_at: Option<Millis>,
    /// The most requests in a millisecond, decayed.
    peak_rate: f64,
    /// What a request asked for, when last seen; nothing until an answer was seen whole.
    work: Option<RequestWork>,
}

impl Flow {
    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now)) as f64;
        let kept = (-elapsed / MEMORY_MS).exp();
        for sum in [
            &mut self.arrived,
            &mut self.refused,
            &mut self.prompt_tokens,
            &mut self.answered,
            &mut self.events,
        ] {
            *sum *= kept;
        }
        self.span_ms = self.span_ms * kept + MEMORY_MS * (1.0 - kept);
        self.peak_rate *= (-elapsed / PEAK_MEMORY_MS).exp();
        self.updated_at = Some(now);
    }

    /// New requests in a millisecond lately, without those of callers that came back after a refusal.
    ///
    /// Nothing in a request tells a first try from a second one: callers choose their deadlines themselves, so that a short
    /// one says nothing. What tells is how many were refused. Where a part `p` of the tries is refused and each of
    /// those callers comes back once, `n` new requests make `n (1 + p)` tries.
    fn rate(&self) -> f64 {
        let refused_part = (self.refused / self.arrived.max(f64::MIN_POSITIVE)).min(1.0);
        self.arrived / (1.0 + refused_part) / self.span_ms.max(1.0)
    }

    fn add(&mut self, load: &ModelLoad) {
        self.arrived += f64::from(load.arrived);
        self.refused += f64::from(load.refused);
        if self.span_ms >= TELLING_SPAN_MS {
            self.peak_rate = self.peak_rate.max(self.rate());
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
        let per_second = self.rate().max(self.peak_rate) * 1_000.0;
        self.work.map(|work| ModelDemand { per_second, work })
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

    /// What is asked of each model of a service; `None` until enough requests, and an answer of every model that is
    /// asked for, have been seen to tell.
    pub fn of_service(&self, service: &str) -> Option<BTreeMap<String, ModelDemand>> {
        let flows = || self.flows.iter().filter(|(key, _)| key.service == service);
        let arrived: f64 = flows().map(|(_, flow)| flow.arrived).sum();
        let longest = flows().map(|(_, flow)| flow.span_ms).fold(0.0, f64::max);
        let is_telling = arrived >= TELLING_REQUESTS && longest >= TELLING_SPAN_MS;
        let asked_for = flows().filter(|(_, flow)| flow.arrived >= ASKED_FOR);
        let demands = asked_for.map(|(key, flow)| Some((key.model.clone(), flow.demand()?)));
        is_telling.then(|| demands.collect()).flatten()
    }
}
