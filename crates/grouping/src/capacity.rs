//! What a request costs a group, by the figures that its service declares for its engines.
//!
//! A pass plays `stride` steps for all requests that write, and each of them shows one event; in between, prompts are
//! read. So an answer holds a group for its share of as many passes as it has events, and for the reading of its prompt.

use dockwood_api::gateway::{EngineProfile, ModelProfile};

/// Part of a group's slots that is planned to write at a time. Measured on norrstrom-klubb: above some six tenths, first
/// events and pauses begin to miss their targets.
const PLANNED_FILL: f64 = 0.6;

/// What requests of one model ask for on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Prompt tokens to read.
    pub prompt_tokens: f64,
    /// Events of the answer.
    pub events: f64,
}

/// Length of one pass at which `writing` requests write, in milliseconds.
fn pass_ms(engine: &EngineProfile, model: &ModelProfile, writing: f64) -> f64 {
    model.pace * f64::from(engine.stride.max(1)) * (engine.step_ms + engine.per_sequence_ms * writing)
}

/// Time of a whole group that one request takes, in milliseconds, at the planned fill.
pub fn group_ms(engine: &EngineProfile, model: &ModelProfile, work: &RequestWork) -> f64 {
    let reading = model.pace * work.prompt_tokens * 1_000.0 / engine.read_per_second.max(1.0);
    let writing = (f64::from(engine.slots) * PLANNED_FILL).max(1.0);
    reading + work.events * pass_ms(engine, model, writing) / writing
}
