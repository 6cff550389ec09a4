//! What a request costs a group, by the figures that its service declares for its engines.
//!
//! A pass plays `stride` steps for all requests that write, and each of them shows one event; in between, prompts are
//! read. So an answer holds a group for its share of as many passes as it has events, and for the reading of its prompt.

use dockwood_api::gateway::{EngineProfile, ModelProfile};

/// Part of a group's slots that is planned to write at a time. Measured on days without faults with more and more
/// requests: a group that needs it all serves 97 in 100 in time, one that needs a tenth less all, one a quarter more two
/// thirds.
const PLANNED_FILL: f64 = 0.75;

/// Part of its time that a group may read prompts, so that first events and the pauses of those that write stay in time:
/// all that write stand still meanwhile, and what arrives waits for what is read before it. Measured with mostly three,
/// four and five groups of a model whose prompts are long, which then read 44, 33 and 27 in 100 of their time: first
/// events at the median after 239, 180 and 150 ms, and 47, 75 and 90 in 100 requests in time.
const PLANNED_READING: f64 = 0.5;

/// Requests that may wait at a group beyond those that it works on.
const QUEUED_AT_GROUP: u32 = 1;

/// Requests that a group may hold.
pub fn places_of_group(engine: &EngineProfile) -> u32 {
    engine.slots + QUEUED_AT_GROUP
}

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

/// Time in which a group reads so many prompt tokens, in milliseconds.
pub fn reading_ms(engine: &EngineProfile, model: &ModelProfile, tokens: f64) -> f64 {
    model.pace * tokens * 1_000.0 / engine.read_per_second.max(1.0)
}

/// Time until a group at which `writing` requests write, and which has `reading` milliseconds of prompts to read up to
/// the end of a new one, shows the new request's first event: half of the pass that runs now, and one for every
/// `stride` chunks to be read.
pub fn first_event_ms(engine: &EngineProfile, model: &ModelProfile, reading: f64, writing: f64) -> f64 {
    let read_in_a_pass = reading_ms(engine, model, f64::from(engine.chunk * engine.stride.max(1))).max(1.0);
    let passes = (reading / read_in_a_pass).ceil();
    reading + (passes + 0.5) * pass_ms(engine, model, writing)
}

/// Time of a whole group that one request takes, in milliseconds, at the planned fill and the planned part of reading.
pub fn group_ms(engine: &EngineProfile, model: &ModelProfile, work: &RequestWork) -> f64 {
    let reading = reading_ms(engine, model, work.prompt_tokens);
    let writing = (f64::from(engine.slots) * PLANNED_FILL).max(1.0);
    reading / PLANNED_READING + work.events * pass_ms(engine, model, writing) / writing
}
