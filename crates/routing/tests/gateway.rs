//! Decisions of the gateway's traffic.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{
    EngineProfile, GatewayConfiguration, ModelProfile, Route, RouteKind, ServiceProfile, TenantKeys,
    WeightedService,
};
use dockwood_routing::gateway::{
    AllowedRegions, Candidate, Course, EventSplitter, KeyVerdict, Pace, PaceEstimates, RouteTable,
    SendBudget, SendBudgetLimits, SendOutcome, Silence, Verdict, choose,
};
use proptest::prelude::*;
use yare::parameterized;

fn route(name: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_string(),
        host: "Host.Example".to_string(),
        path_prefix: prefix.to_string(),
        kind,
        services: vec![
            WeightedService { service: "s".to_string(), weight: 9 },
            WeightedService { service: "t".to_string(), weight: 1 },
        ],
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        max_attempts: 2,
        priority: 1,
        anonymous: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}

fn table() -> RouteTable {
    let service = |name: &str| ServiceProfile {
        name: name.to_string(),
        health_path: String::new(),
        max_connections: 1,
        cold_start: None,
        engine: None,
    };
    let open = Route { anonymous: true, ..route("open", "/open/", RouteKind::Repeatable) };
    let tenants = vec![TenantKeys {
        name: "x".to_string(),
        keys: vec!["k1".into(), "k2".into()],
        priority: Some(3),
        allowed_regions: Vec::new(),
    }];
    RouteTable::compile(&GatewayConfiguration {
        version: 4,
        routes: vec![
            route("short", "/a/", RouteKind::Repeatable),
            route("long", "/a/b/", RouteKind::Repeatable),
            open,
        ],
        services: vec![service("s"), service("t")],
        tenants,
        ..GatewayConfiguration::default()
    })
}

#[parameterized(
    longest_prefix = { "host.example", "/a/b/c", Some("long") },
    shorter_prefix = { "host.example", "/a/x", Some("short") },
    with_port = { "host.example:8080", "/a/x", Some("short") },
    other_case = { "HOST.example", "/a/x", Some("short") },
    no_slash_after_prefix = { "host.example", "/ab", None },
    other_host = { "other.example", "/a/x", None },
    no_prefix = { "host.example", "/", None },
)]
fn a_route_is_found_by_host_and_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), expected);
}

#[test]
fn only_known_keys_open_a_route_that_is_not_anonymous() {
    let table = table();
    let closed = table.route("host.example", "/a/x").cloned();
    let open = table.route("host.example", "/open/x").cloned();
    let check =
        |route: &Option<std::sync::Arc<Route>>, key| route.as_ref().map(|route| table.check_key(route, key));
    let allowed_regions = AllowedRegions::All;
    let tenant = KeyVerdict::Passes {
        tenant: Some("x".to_string()),
        priority: Some(3),
        allowed_regions: allowed_regions.clone(),
    };
    let nobody = KeyVerdict::Passes { tenant: None, priority: None, allowed_regions };
    assert_eq!(check(&closed, Some("k2")), Some(tenant.clone()));
    assert_eq!(check(&closed, Some("k3")), Some(KeyVerdict::Refused));
    assert_eq!(check(&closed, None), Some(KeyVerdict::Refused));
    assert_eq!(check(&open, None), Some(nobody));
    assert_eq!(check(&open, Some("k1")), Some(tenant));
}

#[test]
fn requests_follow_the_weights() {
    let table = table();
    let route = route("r", "/a/", RouteKind::Repeatable);
    let names =
        (0..100).filter_map(|drawn| table.destination(&route, drawn)).map(|service| service.name.clone());
    let to_second = names.filter(|name| name == "t").count();
    assert_eq!(to_second, 10);
}

#[parameterized(
    refused_connection = { SendOutcome::NotSent, true },
    said_not_run = { SendOutcome::SaidNotRun, true },
    no_answer = { SendOutcome::Unknown, false },
    failed = { SendOutcome::Failed, false },
)]
fn what_may_run_once_is_sent_again_only_if_it_surely_did_not_run(outcome: SendOutcome, again: bool) {
    let mut course = Course::new(&route("r", "/a/", RouteKind::AtMostOnce));
    assert!(!course.may_move());
    assert_eq!(course.ended(outcome) == Verdict::SendAgain, again);
}

proptest! {
    /// Whatever happens to a request: no more servers may have run it than allowed, and "not run" is said only if
    /// none can have.
    #[test]
    fn a_course_never_runs_too_often_nor_lies(outcomes in prop::collection::vec(0_u8..5, 1..12), kind in 0_u8..3, resumable: bool) {
        let kinds = [RouteKind::Repeatable, RouteKind::AtMostOnce, RouteKind::Stream];
        let route = Route { resumable, ..route("r", "/a/", kinds[kind as usize]) };
        let most = if route.is_repeatable() { route.max_attempts } else { 1 };
        let mut course = Course::new(&route);
        let mut may_have_run = 0;
        for number in outcomes {
            let outcome = [
                SendOutcome::NotSent,
                SendOutcome::SaidNotRun,
                SendOutcome::Unknown,
                SendOutcome::Failed,
                SendOutcome::Abandoned,
            ][number as usize];
            may_have_run += u32::from(!matches!(outcome, SendOutcome::NotSent | SendOutcome::SaidNotRun));
            match course.ended(outcome) {
                Verdict::SendAgain => prop_assert!(may_have_run < most),
                Verdict::GiveUp(told) => {
                    prop_assert_eq!(told.not_run, may_have_run == 0);
                    prop_assert_eq!(told.code.is_not_run(), told.not_run);
                    break;
                }
            }
        }
    }

    /// Events come out whole and unchanged however the bytes arrive.
    #[test]
    fn events_are_split_alike_however_they_arrive(lengths in prop::collection::vec(1_usize..40, 1..20), cut in 0_usize..9) {
        let events: Vec<String> = (1..30).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id))).collect();
        let stream = events.concat();
        let whole = &stream.as_bytes()[..stream.len() - cut];
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        let mut position = 0;
        let mut turn = 0;
        while position < whole.len() {
            let end = (position + lengths[turn % lengths.len()]).min(whole.len());
            splitter.push(&whole[position..end]);
            while let Some(event) = splitter.next_event() {
                found.push(event);
            }
            position = end;
            turn += 1;
        }
        let expected = if cut == 0 { events.len() } else { events.len() - 1 };
        prop_assert_eq!(found.len(), expected);
        prop_assert_eq!(splitter.is_clean(), cut == 0);
        for (event, sent) in found.iter().zip(&events) {
            prop_assert_eq!(&event.bytes[..], sent.as_bytes());
        }
        let ids: Vec<Option<u64>> = found.iter().map(|event| event.id).collect();
        let numbers: Vec<Option<u64>> = (1..=expected as u64).map(Some).collect();
        prop_assert_eq!(ids, numbers);
    }

    /// Over any window, second sends of all entries stay within the share and the extra.
    #[test]
    fn second_sends_of_all_entries_stay_within_the_budget(steps in prop::collection::vec((0_u64..200, 0_usize..4, any::<bool>()), 1..400)) {
        let limits = SendBudgetLimits { percent: 20, window_ms: 10_000, extra: 40 };
        let mut entries = vec![SendBudget::new(limits); 4];
        let (mut now, mut requests, mut sends) = (0, Vec::new(), Vec::new());
        for (pause, entry, is_request) in steps {
            now += pause;
            if is_request {
                entries[entry].record_request(now);
                requests.push(now);
            } else if entries[entry].try_second_send(now, 4) {
                sends.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|at| now < **at + 10_000).count() as u64;
            prop_assert!(within(&sends) <= within(&requests) / 5 + 40);
        }
    }
}

#[test]
fn a_crlf_stream_is_split_too() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n");
    let event = splitter.next_event();
    assert_eq!(event.as_ref().map(|event| (event.id, event.bytes.len())), Some((Some(4), 18)));
    assert!(splitter.next_event().is_none() && !splitter.is_clean());
}

#[test]
fn the_emptier_of_the_drawn_is_chosen_and_the_own_zone_at_a_tie() {
    let candidate = |position, in_flight, same_zone| Candidate { position, in_flight, slots: 10, same_zone };
    let candidates = [candidate(0, 5, true), candidate(1, 2, true), candidate(2, 2, false)];
    assert_eq!(choose(&candidates, |_| 0), Some(1));
    assert_eq!(choose(&[candidate(7, 9, false), candidate(8, 9, true)], |_| 0), Some(8));
    assert_eq!(choose(&[candidate(7, 1, false), candidate(8, 9, true)], |_| 0), Some(7));
    assert_eq!(choose(&[], |_| 0), None);
}

fn pace(seen: &PaceEstimates) -> Pace {
    let engine = EngineProfile {
        slots: 10,
        step_ms: 9.0,
        per_sequence_ms: 0.1,
        read_per_second: 40_000.0,
        chunk: 2_000,
        stride: 5,
        ..EngineProfile::default()
    };
    let model = ModelProfile { name: "m".into(), size: 2, share: 1.0, pace: 1.0, load_ms: 1, warm_ms: 1 };
    let route = Route { target_gap_ms: 200, ..route("r", "/a/", RouteKind::Stream) };
    Pace::expected(&engine, &model, &route, seen)
}

#[test]
fn silence_is_judged_by_the_declared_slowest_pass_until_enough_was_seen() {
    let mut seen = PaceEstimates::default();
    assert_eq!(
        pace(&seen).between_events.suspicious_ms,
        375,
        "5 steps of 10 ms with 50 ms of reading, and a margin"
    );
    for _ in 0..60 {
        seen.between_events.record(100.0);
        seen.first_event.record(200.0);
    }
    let silence = |suspicious_ms, patience_ms| Silence { suspicious_ms, patience_ms };
    assert_eq!(pace(&seen), Pace { between_events: silence(125, 150), first_event: silence(250, 250) });
    seen.between_events.record(5_000.0);
    assert_eq!(
        pace(&seen).between_events.suspicious_ms,
        375,
        "a stall that was seen widens nothing beyond what is declared"
    );
}

/// Found on unidos-despacho-now-grown: streams of the smaller model, which shows an event every 30 ms, moved away from lost
/// groups after 310 to 600 ms, where 200 ms are in time. One of the larger model that moves early is late all the same.
#[test]
fn a_stream_moves_at_once_only_if_it_is_still_in_time_then() {
    let seen = |between_ms: f64, first_ms: f64, samples: u32| {
        let mut seen = PaceEstimates::default();
        for _ in 0..samples {
            seen.between_events.record(between_ms);
            seen.first_event.record(first_ms);
        }
        seen
    };
    let quick = pace(&seen(80.0, 70.0, 1_000)).between_events;
    assert_eq!(quick, Silence { suspicious_ms: 90, patience_ms: 11 }, "in time after 171 of 200 ms");
    let slow = pace(&seen(160.0, 70.0, 1_000)).between_events;
    assert_eq!(slow, Silence { suspicious_ms: 200, patience_ms: 200 });
    let unsure = pace(&seen(80.0, 70.0, 100)).between_events;
    assert_eq!(unsure, Silence { suspicious_ms: 100, patience_ms: 150 });
}

#[test]
fn what_ran_out_of_time_is_called_not_run_only_if_it_never_left() {
    let course = Course::new(&route("r", "/a/", RouteKind::AtMostOnce));
    assert_eq!(course.out_of_time(false).code, ResultCode::DeadlineInQueue);
    assert_eq!(course.out_of_time(true).code, ResultCode::DeadlinePassed);
}
