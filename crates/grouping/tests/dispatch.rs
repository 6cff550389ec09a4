//! Which group a request is assigned to.

mod common;

use common::{LARGE, SERVICE, TestCluster};
use dockwood_api::gateway::{Fingerprint, LimitedGroup, PlaceReply, PlaceRequest, RequestIdentity};
use dockwood_grouping::Dispatcher;
use dockwood_state::{CrashReport, GatewayCommand, SuspectAttempt, TrialRequest};

/// Eight slots and a queue of one.
const PLACES: u32 = 9;

fn request(entry: &str, prompt_tokens: u64) -> PlaceRequest {
    PlaceRequest {
        daemon: entry.to_string(),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: None,
        most_first_event_ms: None,
        prompt_tokens,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    }
}

/// Three open groups of the larger model.
fn three_groups() -> TestCluster {
    let mut cluster = TestCluster::new(1, 12);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    cluster.open_group(LARGE, &["d0-s8", "d0-s9", "d0-s10", "d0-s11"]);
    cluster
}

fn assign(cluster: &TestCluster, dispatcher: &mut Dispatcher, request: &PlaceRequest) -> PlaceReply {
    dispatcher.assign(cluster.now, request, &cluster.tables, &cluster.observations)
}

fn epoch_of(reply: PlaceReply) -> Option<u64> {
    match reply {
        PlaceReply::Assigned { epoch, .. } => Some(epoch),
        PlaceReply::Full | PlaceReply::AtLimit { .. } | PlaceReply::NoGroup => None,
    }
}

/// Found on norrstrom-klubb: entries that chose by load figures 60 ms old sent long prompts to the same group
/// at the same time.
#[test]
fn simultaneous_prompts_from_all_entries_are_spread() {
    let cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let mut epochs: Vec<Option<u64>> = ["a", "b", "c"]
        .iter()
        .map(|entry| epoch_of(assign(&cluster, &mut dispatcher, &request(entry, 4_000))))
        .collect();
    epochs.sort();
    assert_eq!(epochs, [Some(1), Some(2), Some(3)]);
}

#[test]
fn a_short_prompt_is_not_queued_behind_a_long_one() {
    let cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let long = epoch_of(assign(&cluster, &mut dispatcher, &request("a", 20_000)));
    let short: Vec<Option<u64>> =
        (0..4).map(|_| epoch_of(assign(&cluster, &mut dispatcher, &request("a", 100)))).collect();
    assert!(short.iter().all(|epoch| epoch.is_some() && *epoch != long), "{long:?} {short:?}");
}

#[test]
fn prompts_that_were_read_meanwhile_no_longer_count() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let first = assign(&cluster, &mut dispatcher, &request("a", 4_000));
    let PlaceReply::Assigned { epoch, first_event_ms } = first else { panic!("{first:?}") };
    // A group reads 40,000 tokens per second.
    assert!(first_event_ms >= 100, "{first_event_ms}");
    let excluded: Vec<u64> = [1, 2, 3].into_iter().filter(|other| *other != epoch).collect();
    let mut again = request("b", 4_000);
    again.excluded = excluded;
    let at_once = assign(&cluster, &mut dispatcher.clone(), &again);
    let PlaceReply::Assigned { first_event_ms: at_once_ms, .. } = at_once else { panic!("{at_once:?}") };
    assert!(at_once_ms >= first_event_ms + 100, "queued behind the first: {at_once_ms}");
    cluster.now += 500;
    let later = assign(&cluster, &mut dispatcher, &again);
    let PlaceReply::Assigned { first_event_ms: later_ms, .. } = later else { panic!("{later:?}") };
    assert!(later_ms < at_once_ms, "{later_ms}");
}

#[test]
fn no_group_is_assigned_more_requests_than_its_places() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    cluster.report_load("a", 1, PLACES, false, true, true);
    let assigned: Vec<Option<u64>> =
        (0..30).map(|_| epoch_of(assign(&cluster, &mut dispatcher, &request("b", 10)))).collect();
    let count = |epoch: u64| assigned.iter().filter(|assigned| **assigned == Some(epoch)).count() as u32;
    assert_eq!((count(1), count(2), count(3)), (0, PLACES, PLACES));
    assert_eq!(assign(&cluster, &mut dispatcher, &request("b", 10)), PlaceReply::Full);
}

/// A request that its entry has reported is not counted a second time as an unreported assignment.
#[test]
fn reported_requests_are_counted_once() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let mut only_first = request("a", 10);
    only_first.excluded = vec![2, 3];
    for _ in 0..PLACES {
        assert_eq!(epoch_of(assign(&cluster, &mut dispatcher, &only_first)), Some(1));
    }
    assert_eq!(assign(&cluster, &mut dispatcher, &only_first), PlaceReply::Full);
    cluster.now += 100;
    dispatcher.reported(cluster.now, "a");
    cluster.report_load("a", 1, 4, false, true, true);
    assert_eq!(epoch_of(assign(&cluster, &mut dispatcher, &only_first)), Some(1), "five requests have ended");
}

#[test]
fn stalled_and_excluded_groups_are_not_assigned() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    cluster.report_load("a", 1, 3, true, false, true);
    let mut with_exclusions = request("a", 10);
    with_exclusions.excluded = vec![2];
    for _ in 0..3 {
        assert_eq!(epoch_of(assign(&cluster, &mut dispatcher, &with_exclusions)), Some(3));
    }
    with_exclusions.excluded = vec![2, 3];
    assert_eq!(assign(&cluster, &mut dispatcher, &with_exclusions), PlaceReply::Full);
    with_exclusions.model = "unknown".to_string();
    assert_eq!(assign(&cluster, &mut dispatcher, &with_exclusions), PlaceReply::NoGroup);
}

/// A request that may crash its server is assigned to the group where it would affect the fewest other
/// requests.
#[test]
fn a_request_that_prefers_idle_groups_gets_the_one_with_the_fewest_requests() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    cluster.report_load("a", 1, 1, false, true, true);
    cluster.report_load("a", 2, 4, false, true, true);
    cluster.report_load("a", 3, 5, false, true, true);
    let mut suspect = request("b", 10);
    suspect.prefers_idle = true;
    // Any other request would prefer a group in its own zone with a short queue.
    suspect.zone = "far".to_string();
    assert_eq!(epoch_of(assign(&cluster, &mut dispatcher, &suspect)), Some(1));
}

/// Two servers have crashed while running the request, and a third one is running it: no other request is
/// assigned there.
#[test]
fn a_head_that_runs_a_trial_of_a_strong_suspect_gets_no_other_request() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let identity = RequestIdentity { tenant: None, method: "POST", host: "h", path: "/", body: b"suspect" };
    let fingerprint = Fingerprint::of(&identity);
    for (instance, at_ms) in [("a", 0), ("b", 5_000)] {
        let request = format!("try at {instance}");
        let suspect_try = SuspectAttempt { fingerprint, request, tenant: None, route: String::new() };
        let (instance, zone, daemon) = (instance.to_string(), "z".to_string(), "entry".to_string());
        cluster.apply(GatewayCommand::ServerEnded(CrashReport {
            instance,
            zone,
            at_ms,
            daemon,
            tries: vec![suspect_try],
        }));
    }
    let instance = "d0-s0".to_string();
    let trial = TrialRequest { fingerprint, trial: 1, instance, may_share: false, at_ms: 6_000 };
    cluster.apply(GatewayCommand::BeginTrial(trial));
    let assigned: Vec<Option<u64>> =
        (0..6).map(|_| epoch_of(assign(&cluster, &mut dispatcher, &request("b", 10)))).collect();
    assert!(assigned.iter().all(|epoch| matches!(epoch, Some(2 | 3))), "{assigned:?}");
    cluster.apply(GatewayCommand::EndTrial { fingerprint, trial: 1 });
    let assigned: Vec<Option<u64>> =
        (0..6).map(|_| epoch_of(assign(&cluster, &mut dispatcher, &request("b", 10)))).collect();
    assert!(assigned.contains(&Some(1)), "{assigned:?}");
}

/// A head with a low limit has few requests in flight, so every request would choose it without the spacing.
#[test]
fn requests_to_a_group_whose_head_declared_a_limit_are_spaced() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let limited = vec![LimitedGroup { epoch: 1, interval_ms: 400 }];
    let started = cluster.now;
    let mut assigned = Vec::new();
    for _ in 0..100 {
        let limited_request = PlaceRequest { limited: limited.clone(), ..request("a", 100) };
        match epoch_of(assign(&cluster, &mut dispatcher, &limited_request)) {
            Some(1) => assigned.push(cluster.now - started),
            Some(_) => {}
            None => panic!("the other groups have free places"),
        }
        dispatcher.reported(cluster.now + 1_000, "a");
        cluster.now += 20;
    }
    assert!(assigned.windows(2).all(|pair| pair[1] >= pair[0] + 400), "{assigned:?}");
    assert!(assigned.len() >= 4, "the limit of the group is used: {assigned:?}");
}

/// A caller that must wait is told for how long.
#[test]
fn a_request_whose_groups_are_all_at_their_limits_learns_when_the_first_is_free() {
    let mut cluster = three_groups();
    let mut dispatcher = Dispatcher::default();
    let limited = (1..=3).map(|epoch| LimitedGroup { epoch, interval_ms: 1_000 }).collect();
    let limited_request = PlaceRequest { limited, ..request("a", 100) };
    for _ in 0..3 {
        assert!(epoch_of(assign(&cluster, &mut dispatcher, &limited_request)).is_some());
        cluster.now += 100;
    }
    assert_eq!(assign(&cluster, &mut dispatcher, &limited_request), PlaceReply::AtLimit { free_in_ms: 700 });
    let without_first = PlaceRequest { excluded: vec![1], ..limited_request };
    assert_eq!(assign(&cluster, &mut dispatcher, &without_first), PlaceReply::AtLimit { free_in_ms: 800 });
}
