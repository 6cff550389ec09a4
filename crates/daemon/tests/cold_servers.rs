//! The limits that one entry applies to its own requests to cold servers.

use dockwood_api::gateway::ColdStart;
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::gateway::ColdServers;
use dockwood_daemon::metrics::Metrics;
use dockwood_grouping::{ColdLimit, SendRate};

fn metrics() -> Metrics {
    Metrics::new().unwrap_or_else(|error| panic!("{error}"))
}

/// A slot that expired, as the process was suspended or the connection took too long, has to be requested again.
#[test]
fn an_expired_slot_is_not_used() {
    let (cold, metrics) = (ColdServers::default(), metrics());
    let may_send = |valid_until| cold.may_send(&metrics, "writer", "a", true, valid_until);
    assert!(may_send(Some(monotonic_ms() + 10_000)));
    assert!(!may_send(Some(monotonic_ms())));
    assert!(may_send(None), "without a declared limit a slot does not expire");
    assert_eq!(metrics.cold_limited.with_label_values(&["expired"]).get(), 1);
    assert_eq!(metrics.cold_sends.with_label_values(&["writer"]).get(), 2);
    assert_eq!(metrics.cold_sends_peak.get(), 2);
}

#[test]
fn concurrent_requests_do_not_share_one_slot() {
    let cold = ColdServers::new(ColdLimit { overshoot_percent: 100, extra: 0 }, 0);
    let rate = cold.warm_rate(&ColdStart { usual_ms: 1_000, requests_per_second: 8.0 });
    assert_eq!(rate, SendRate::of_dispatcher(8));
    let row = dockwood_state::InstanceRow {
        started_ms: None,
        id: "a".to_string(),
        service: "board".to_string(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".to_string(),
        slots: 1,
        state: dockwood_api::gateway::InstanceState::Ready,
        is_cold: true,
        domain: None,
    };
    cold.observe(10_000, &row);
    assert!(cold.has_capacity(10_000, "a", rate) && cold.has_capacity(10_000, "a", rate));
    assert!(cold.try_reserve(10_000, "a", rate));
    assert!(!cold.try_reserve(10_000, "a", rate));
    assert!(cold.try_reserve(10_300, "a", rate), "the next request is due");
}
