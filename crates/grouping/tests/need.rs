//! What is asked of each model, and what a request costs a group.

mod common;

use common::{LARGE, SERVICE, SMALL, World};
use dockwood_grouping::{RequestWork, group_ms};

/// Found on norrstrom-klubb: four of eleven entries were cut off for seven seconds, fewer requests arrived, and a group
/// that was lost meanwhile was not formed again.
#[test]
fn need_falls_slowly() {
    let mut world = World::new(1, 2);
    world.ask_for(8, 8);
    world.ask_for(8, 8);
    let per_second = |world: &World| {
        world.observations.demand().of_service(SERVICE).map(|demand| demand[LARGE].per_second)
    };
    let before = per_second(&world).unwrap_or(0.0);
    for _ in 0..3 {
        world.ask_for(3, 3);
    }
    let after = per_second(&world).unwrap_or(0.0);
    assert!(before > 70.0 && after > before * 0.7, "{before} {after}");
    for _ in 0..40 {
        world.ask_for(3, 3);
    }
    let later = per_second(&world).unwrap_or(f64::MAX);
    assert!(later < 40.0, "{later}");
}

#[test]
fn demand_is_what_arrives_with_its_prompts_and_answers() {
    let mut world = World::new(1, 2);
    assert_eq!(world.observations.demand().of_service(SERVICE), None, "nothing was seen");
    world.ask_for(3, 1);
    let demand = world.observations.demand().of_service(SERVICE).unwrap_or_default();
    let work = RequestWork { prompt_tokens: common::PROMPT_TOKENS as f64, events: common::EVENTS as f64 };
    assert!((demand[LARGE].per_second - 30.0).abs() < 3.0, "{demand:?}");
    assert!((demand[SMALL].per_second - 10.0).abs() < 1.0, "{demand:?}");
    assert!((demand[LARGE].work.prompt_tokens - work.prompt_tokens).abs() < 1.0, "{demand:?}");
    assert!((demand[SMALL].work.events - work.events).abs() < 0.1, "{demand:?}");
}

#[test]
fn a_request_costs_the_reading_of_its_prompt_and_its_part_of_the_passes() {
    let engine = common::engine();
    let model = engine.model(LARGE).expect("a model of the engine");
    let reading = group_ms(&engine, model, &RequestWork { prompt_tokens: 40_000.0, events: 0.0 });
    assert!((reading - 2_000.0).abs() < 1.0, "40,000 tokens a second, in half of its time: {reading}");
    let writing = group_ms(&engine, model, &RequestWork { prompt_tokens: 0.0, events: 10.0 });
    // 6 of 8 slots write; a pass is 5 steps of 8 ms and 0.1 ms a request.
    assert!((writing - 10.0 * 5.0 * 8.6 / 6.0).abs() < 1.0, "{writing}");
}

/// Callers choose their deadlines themselves, so that no request tells whether it was refused before: of 100 new requests a
/// second, all refused once and coming back once, 200 tries a second arrive.
#[test]
fn callers_that_come_back_after_a_refusal_count_once() {
    let mut world = World::new(1, 2);
    world.ask_with_refusals(10, 0);
    let per_second = |world: &World| {
        world.observations.demand().of_service(SERVICE).map(|demand| demand[SMALL].per_second)
    };
    let calm = per_second(&world).unwrap_or(0.0);
    assert!((calm - 100.0).abs() < 10.0, "{calm}");
    world.ask_with_refusals(20, 20);
    world.ask_with_refusals(20, 20);
    let refused = per_second(&world).unwrap_or(0.0);
    assert!((refused - 100.0).abs() < 15.0, "{refused}");
}
