//! The cost of a request for a group, according to the figures that its service declares for its engines.
//!
//! A pass runs `stride` decoding steps for all requests that are generating, and each of them emits one
//! event. Prompts are read between passes. An answer therefore occupies a group for its share of as many
//! passes as it has events, and for the reading of its prompt.

use dockwood_api::gateway::{EngineProfile, ModelProfile};

/// Fraction of a group's slots that is planned to generate at the same time. Measured on days without faults
/// with increasing load: a group that needs all of it serves 97% in time, one that needs a tenth less serves
/// everything in time, and one that needs a quarter more serves two thirds.
const PLANNED_SLOT_FILL: f64 = 0.75;

/// Fraction of its time that a group may spend on reading prompts, so that first events and the pauses of
/// generating requests stay in time: reading pauses all generating requests, and an arriving request waits
/// for the prompts before it. Measured with mostly three, four and five groups of a model with long prompts,
/// which then read for 44%, 33% and 27% of their time: the median first event came after 239, 180 and 150 ms,
/// and 47%, 75% and 90% of the requests were in time.
const PLANNED_READING_FRACTION: f64 = 0.5;

/// Requests that may be queued at a group in addition to those in its slots.
const QUEUE_LENGTH_PER_GROUP: u32 = 1;

/// Maximum number of requests at a group.
pub fn places_of_group(engine: &EngineProfile) -> u32 {
    engine.slots + QUEUE_LENGTH_PER_GROUP
}

/// Average work of the requests of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Prompt tokens to read.
    pub prompt_tokens: f64,
    /// Events of the answer.
    pub events: f64,
}

/// Duration of one pass with `generating` requests, in milliseconds.
fn pass_ms(engine: &EngineProfile, model: &ModelProfile, generating: f64) -> f64 {
    model.pace * f64::from(engine.stride.max(1)) * (engine.step_ms + engine.per_sequence_ms * generating)
}

/// Time that a group takes to read this many prompt tokens, in milliseconds.
pub fn reading_ms(engine: &EngineProfile, model: &ModelProfile, tokens: f64) -> f64 {
    model.pace * tokens * 1_000.0 / engine.read_per_second.max(1.0)
}

/// Expected time to the first event of a new request at a group with `generating` requests and `reading`
/// milliseconds of prompts to read, including the new one: half of the current pass, and one pass for every
/// `stride` chunks to read.
pub fn first_event_ms(engine: &EngineProfile, model: &ModelProfile, reading: f64, generating: f64) -> f64 {
    let reading_ms_per_pass =
        reading_ms(engine, model, f64::from(engine.chunk * engine.stride.max(1))).max(1.0);
    let passes = (reading / reading_ms_per_pass).ceil();
    reading + (passes + 0.5) * pass_ms(engine, model, generating)
}

/// Group time that one request takes, in milliseconds, at the planned fill and the planned fraction of
/// reading.
pub fn group_time_ms(engine: &EngineProfile, model: &ModelProfile, work: &RequestWork) -> f64 {
    let reading = reading_ms(engine, model, work.prompt_tokens);
    let generating = (f64::from(engine.slots) * PLANNED_SLOT_FILL).max(1.0);
    reading / PLANNED_READING_FRACTION + work.events * pass_ms(engine, model, generating) / generating
}
