//! Demand for each model, and the cost of a request for a group.

mod common;

use common::{LARGE, SERVICE, SMALL, TestCluster};
use dockwood_grouping::{RequestWork, group_time_ms};

/// Found on norrstrom-klubb: four of eleven entries were partitioned for seven seconds, fewer requests
/// arrived, and a group that was lost meanwhile was not formed again.
#[test]
fn demand_decreases_slowly() {
    let mut cluster = TestCluster::new(1, 2);
    cluster.send_requests(8, 8);
    cluster.send_requests(8, 8);
    let per_second = |cluster: &TestCluster| {
        cluster.observations.demand().of_service(SERVICE).map(|demand| demand[LARGE].per_second)
    };
    let before = per_second(&cluster).unwrap_or(0.0);
    for _ in 0..3 {
        cluster.send_requests(3, 3);
    }
    let after = per_second(&cluster).unwrap_or(0.0);
    assert!(before > 70.0 && after > before * 0.7, "{before} {after}");
    for _ in 0..40 {
        cluster.send_requests(3, 3);
    }
    let later = per_second(&cluster).unwrap_or(f64::MAX);
    assert!(later < 40.0, "{later}");
}

#[test]
fn demand_consists_of_arrivals_prompts_and_answers() {
    let mut cluster = TestCluster::new(1, 2);
    assert_eq!(cluster.observations.demand().of_service(SERVICE), None, "no request was reported");
    cluster.send_requests(3, 1);
    let demand = cluster.observations.demand().of_service(SERVICE).unwrap_or_default();
    let work = RequestWork { prompt_tokens: common::PROMPT_TOKENS as f64, events: common::EVENTS as f64 };
    assert!((demand[LARGE].per_second - 30.0).abs() < 3.0, "{demand:?}");
    assert!((demand[SMALL].per_second - 10.0).abs() < 1.0, "{demand:?}");
    assert!((demand[LARGE].work.prompt_tokens - work.prompt_tokens).abs() < 1.0, "{demand:?}");
    assert!((demand[SMALL].work.events - work.events).abs() < 0.1, "{demand:?}");
}

#[test]
fn the_cost_of_a_request_is_its_prompt_reading_and_its_share_of_the_passes() {
    let engine = common::engine();
    let model = engine.model(LARGE).expect("a model of the engine");
    let reading = group_time_ms(&engine, model, &RequestWork { prompt_tokens: 40_000.0, events: 0.0 });
    assert!((reading - 2_000.0).abs() < 1.0, "40,000 tokens per second in half of its time: {reading}");
    let generating = group_time_ms(&engine, model, &RequestWork { prompt_tokens: 0.0, events: 10.0 });
    // 6 of 8 slots generate; a pass is 5 steps of 8 ms plus 0.1 ms per request.
    assert!((generating - 10.0 * 5.0 * 8.6 / 6.0).abs() < 1.0, "{generating}");
}

/// Callers choose their deadlines themselves, so no request reveals whether it was refused before. Of 100 new
/// requests per second, all refused and retried once, 200 attempts per second arrive.
#[test]
fn retries_after_a_refusal_are_not_counted_as_demand() {
    let mut cluster = TestCluster::new(1, 2);
    cluster.send_requests_with_refusals(10, 0);
    let per_second = |cluster: &TestCluster| {
        cluster.observations.demand().of_service(SERVICE).map(|demand| demand[SMALL].per_second)
    };
    let rate_without_refusals = per_second(&cluster).unwrap_or(0.0);
    assert!((rate_without_refusals - 100.0).abs() < 10.0, "{rate_without_refusals}");
    cluster.send_requests_with_refusals(20, 20);
    cluster.send_requests_with_refusals(20, 20);
    let rate_with_refusals = per_second(&cluster).unwrap_or(0.0);
    assert!((rate_with_refusals - 100.0).abs() < 15.0, "{rate_with_refusals}");
}
