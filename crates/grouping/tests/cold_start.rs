//! Cold servers receive no more requests per second than their limit, regardless of the senders.

mod common;

use common::{LARGE, SERVICE, TestCluster, engine, formed_groups};
use dockwood_api::gateway::{ColdStart, EngineProfile, GatewayConfiguration, PlaceReply, PlaceRequest};
use dockwood_grouping::{ColdLimit, ColdPacing, Dispatcher, SendRate};
use dockwood_state::{GatewayCommand, InstanceRow};
use std::collections::BTreeSet;
use std::sync::Arc;
use yare::parameterized;

/// Arrivals that the limit below allows in any second.
const ARRIVALS: usize = 44;
const COLD_START: ColdStart = ColdStart { usual_ms: 15_000, requests_per_second: 26.0 };
const LIMIT: ColdLimit = ColdLimit { overshoot_percent: 150, extra: 5 };
/// Maximum delay between the grant of a request and its arrival: the validity of a grant plus the delivery
/// time.
const MAX_ARRIVAL_DELAY_MS: u64 = 100;
const ENTRIES: u64 = 76;
const HEAD: &str = "d0-s0";

/// One domain whose service limits requests to cold servers, with this many open groups; the head of the
/// first is cold.
fn cluster_with_cold_head(groups: usize) -> TestCluster {
    let mut cluster = TestCluster::with_engine(EngineProfile { slots: 48, ..engine() }, 1, 12);
    let mut configuration = GatewayConfiguration::clone(cluster.tables.configuration.as_ref().expect("one"));
    configuration.version = 2;
    configuration.services[0].cold_start = Some(COLD_START);
    cluster.apply(GatewayCommand::Configure(Arc::new(configuration)));
    for group in 0..groups {
        let members: Vec<String> = (0..4).map(|member| format!("d0-s{}", group * 4 + member)).collect();
        cluster.open_group(LARGE, &members.iter().map(String::as_str).collect::<Vec<_>>());
    }
    report_cold(&mut cluster, HEAD, 15_000);
    cluster
}

/// Makes a server report for how long it is still cold.
fn report_cold(cluster: &mut TestCluster, id: &str, cold_ms: u64) {
    let mut report = cluster.report(id, None, &[]);
    report.cold_ms = cold_ms;
    cluster.apply(GatewayCommand::Register(InstanceRow::from(&report)));
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.limit_cold_heads(LIMIT, 0);
    dispatcher
}

fn request_place(cluster: &TestCluster, dispatcher: &mut Dispatcher, number: u64) -> PlaceReply {
    let request = PlaceRequest {
        daemon: format!("entry-{}", number % ENTRIES),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: None,
        most_first_event_ms: None,
        prompt_tokens: 100,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    };
    dispatcher.assign(cluster.now, &request, &cluster.tables, &cluster.observations)
}

/// Every entry requests a place from a dispatcher; returns how many were assigned to the first group.
fn request_from_all_entries(cluster: &TestCluster, dispatcher: &mut Dispatcher) -> usize {
    let replies = (0..ENTRIES).map(|number| request_place(cluster, dispatcher, number));
    replies.filter(|reply| matches!(reply, PlaceReply::Assigned { epoch: 1, .. })).count()
}

/// Arrival times of requests with these grant times: some arrive at once, some as late as possible.
fn arrivals(grants: &[u64]) -> Vec<u64> {
    let delay = |position: usize| (position as u64 * 37) % (MAX_ARRIVAL_DELAY_MS + 1);
    grants.iter().enumerate().map(|(position, grant)| grant + delay(position)).collect()
}

/// Maximum number of requests in any second, including both ends.
fn max_per_second(times: &[u64]) -> usize {
    let in_second = |from: &u64| times.iter().filter(|at| (*from..=*from + 1_000).contains(*at)).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

/// Maximum number of requests that may arrive within any second: those granted within a second plus the
/// maximum delay.
fn max_arrivals_per_second(grants: &[u64]) -> usize {
    let span = 1_000 + MAX_ARRIVAL_DELAY_MS;
    let in_span = |from: &u64| grants.iter().filter(|at| (*from..=*from + span).contains(*at)).count();
    grants.iter().map(in_span).max().unwrap_or(0)
}

/// Makes all entries request places every few milliseconds for three seconds, and returns the times of the
/// assignments to the first group.
fn request_continuously(
    cluster: &mut TestCluster,
    mut assign: impl FnMut(&TestCluster, u64) -> usize,
) -> Vec<u64> {
    let started = cluster.now;
    let mut grants = Vec::new();
    while cluster.now < started + 3_000 {
        let given = assign(cluster, cluster.now - started);
        grants.extend(std::iter::repeat_n(cluster.now, given));
        cluster.now += 5;
    }
    grants
}

/// Load pattern: a group with a cold head opens while requests wait at all entries.
#[test]
fn a_cold_head_is_limited_for_any_number_of_entries() {
    let mut cluster = cluster_with_cold_head(1);
    let mut dispatcher = dispatcher();
    let grants =
        request_continuously(&mut cluster, |cluster, _| request_from_all_entries(cluster, &mut dispatcher));
    assert!(max_arrivals_per_second(&grants) <= ARRIVALS / 2, "{grants:?}");
    assert!(max_per_second(&arrivals(&grants)) <= ARRIVALS / 2);
    assert!(grants.len() >= 3 * 18, "the cold head's limit is used: {}", grants.len());
}

#[test]
fn the_limit_holds_when_the_dispatcher_changes() {
    for change_at in (0..1_500).step_by(75) {
        let mut cluster = cluster_with_cold_head(1);
        let (mut first, mut second) = (dispatcher(), dispatcher());
        let grants = request_continuously(&mut cluster, |cluster, at_ms| {
            request_from_all_entries(cluster, if at_ms < change_at { &mut first } else { &mut second })
        });
        assert!(max_arrivals_per_second(&grants) <= ARRIVALS, "changed at {change_at}: {grants:?}");
    }
}

#[test]
fn the_limit_holds_with_two_concurrent_dispatchers() {
    let mut cluster = cluster_with_cold_head(1);
    let (mut first, mut second) = (dispatcher(), dispatcher());
    let grants = request_continuously(&mut cluster, |cluster, _| {
        request_from_all_entries(cluster, &mut first) + request_from_all_entries(cluster, &mut second)
    });
    assert!(max_arrivals_per_second(&grants) <= ARRIVALS, "{grants:?}");
}

#[test]
fn requests_go_to_other_groups_while_a_cold_head_is_at_its_limit() {
    let cluster = cluster_with_cold_head(2);
    let mut dispatcher = dispatcher();
    let replies: Vec<PlaceReply> =
        (0..10).map(|number| request_place(&cluster, &mut dispatcher, number)).collect();
    let given = |group: u64| {
        let is_given =
            |reply: &&PlaceReply| matches!(reply, PlaceReply::Assigned { epoch, .. } if *epoch == group);
        replies.iter().filter(is_given).count()
    };
    assert_eq!((given(1), given(2)), (1, 9));
}

#[test]
fn a_cold_head_is_not_limited_if_its_service_declares_no_limit() {
    let mut cluster = cluster_with_cold_head(1);
    let mut configuration = GatewayConfiguration::clone(cluster.tables.configuration.as_ref().expect("one"));
    configuration.version = 3;
    configuration.services[0].cold_start = None;
    cluster.apply(GatewayCommand::Configure(Arc::new(configuration)));
    assert!(request_from_all_entries(&cluster, &mut dispatcher()) >= 48);
}

/// Requests that a head received while it was warm count towards its limit once it is cold.
#[test]
fn the_limit_holds_from_the_moment_at_which_a_head_becomes_cold() {
    for cold_at in (0..1_500).step_by(100) {
        let mut cluster = cluster_with_cold_head(1);
        let mut dispatcher = dispatcher();
        report_cold(&mut cluster, HEAD, 0);
        let started = cluster.now;
        let mut grants = Vec::new();
        while cluster.now < started + 4_000 {
            if cluster.now == started + cold_at {
                report_cold(&mut cluster, HEAD, 9_000);
            }
            // About 30 places per second are requested while the head is warm.
            if cluster.now < started + cold_at && !(cluster.now - started).is_multiple_of(35) {
                cluster.now += 5;
                continue;
            }
            if matches!(request_place(&cluster, &mut dispatcher, cluster.now), PlaceReply::Assigned { .. }) {
                grants.push(cluster.now);
            }
            cluster.now += 5;
        }
        let after = grants.iter().filter(|at| **at >= started + cold_at);
        for grant in after {
            let recent = grants.iter().filter(|at| **at <= *grant && **at + 1_100 > *grant).count();
            assert!(recent <= ARRIVALS / 2, "cold at {cold_at}: {recent} by {}", grant - started);
        }
        assert!(max_arrivals_per_second(&grants) <= ARRIVALS, "cold at {cold_at}");
    }
}

#[test]
fn a_head_that_becomes_warm_goes_through_a_slow_start() {
    let mut cluster = cluster_with_cold_head(1);
    let mut dispatcher = dispatcher();
    assert_eq!(request_from_all_entries(&cluster, &mut dispatcher), 1);
    report_cold(&mut cluster, HEAD, 0);
    let started = cluster.now;
    let grants =
        request_continuously(&mut cluster, |cluster, _| request_from_all_entries(cluster, &mut dispatcher));
    let early: Vec<u64> = grants.iter().copied().filter(|at| *at < started + 2_400).collect();
    assert!(max_arrivals_per_second(&early) <= ARRIVALS, "{early:?}");
    assert!(early.len() > 2 * ARRIVALS / 2, "more than while it was cold: {}", early.len());
    let at_end = grants.iter().filter(|at| **at == started + 2_400).count();
    assert!(at_end > 1, "the head is no longer limited: {at_end}");
}

#[parameterized(
    declared = { 26.0, 150, 5, 44 },
    as_declared = { 20.0, 100, 0, 20 },
    rounded_down = { 9.9, 100, 0, 9 },
    less_than_one = { 0.5, 100, 0, 0 },
    not_a_number = { f64::NAN, 100, 0, 0 },
    negative = { -4.0, 100, 0, 0 },
    above_the_maximum = { 1e300, 1_000, 1_000, 10_000 },
)]
fn the_limit_is_computed_from_the_declared_rate(
    requests_per_second: f64,
    overshoot_percent: u64,
    extra: u64,
    arrivals: u32,
) {
    let limit = ColdLimit { overshoot_percent, extra };
    assert_eq!(limit.arrivals(&ColdStart { usual_ms: 1_000, requests_per_second }), arrivals);
}

/// Times at which a sender sends that uses its full rate, at most once per millisecond.
fn send_continuously(rate: SendRate) -> Vec<u64> {
    // The sender has been running for longer than a window.
    send_during(rate, 8_000..16_000)
}

/// The same during a span, for a process that starts at its beginning.
fn send_during(rate: SendRate, span: std::ops::Range<u64>) -> Vec<u64> {
    let mut pacing = ColdPacing::default();
    pacing.set_started_at(span.start);
    let mut sent = Vec::new();
    for now in span {
        pacing.observe(now, &"server", true);
        if pacing.may_send(now, &"server", rate) {
            pacing.record_send(now, &"server", rate);
            sent.push(now);
        }
    }
    sent
}

#[test]
fn two_senders_stay_within_every_limit_and_send_at_least_one_request() {
    for arrivals in 2..120 {
        let sent = send_continuously(SendRate::of_dispatcher(arrivals));
        assert!(max_arrivals_per_second(&sent) * 2 <= arrivals as usize, "{arrivals}: {sent:?}");
        assert!(!sent.is_empty());
    }
    assert!(max_arrivals_per_second(&send_continuously(SendRate::of_dispatcher(1))) == 1);
    assert!(send_continuously(SendRate::of_dispatcher(0)).is_empty(), "no request may arrive");
}

/// A process that restarts has no record of what it sent before.
#[parameterized(
    once = { &[600] },
    twice = { &[600, 600] },
    repeatedly = { &[300, 500, 700, 400] },
)]
fn a_sender_that_restarts_stays_within_the_limit(lifetimes: &[u64]) {
    for arrivals in 2..120 {
        let (mut sent, mut started_at) = (Vec::new(), 10_000);
        for lifetime in lifetimes.iter().chain([&3_000]) {
            sent.extend(send_during(SendRate::of_dispatcher(arrivals), started_at..started_at + lifetime));
            started_at += lifetime;
        }
        assert!(max_arrivals_per_second(&sent) <= arrivals as usize, "{arrivals}: {sent:?}");
    }
}

fn entries(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("edge-{number}.entry")).collect()
}

/// Requests that all these entries send to a plain server without communication.
fn sent_by_all_entries(arrivals: u32, entries: &[String]) -> Vec<u64> {
    let known: Vec<&str> = entries.iter().map(String::as_str).collect();
    let mut sent: Vec<u64> = known
        .iter()
        .flat_map(|entry| send_continuously(SendRate::of_entry(arrivals, "server-1", entry, &known)))
        .collect();
    sent.sort_unstable();
    sent
}

#[parameterized(
    many = { 76 },
    more_than_hundreds = { 330 },
    as_many_as_requests = { 22 },
    few = { 5 },
    two = { 2 },
    one = { 1 },
)]
fn entries_share_a_cold_plain_server_without_communication(count: usize) {
    let sent = sent_by_all_entries(ARRIVALS as u32, &entries(count));
    assert!(max_arrivals_per_second(&sent) <= ARRIVALS / 2, "{count} entries");
    assert!(sent.len() >= 5 * 15, "the server's limit is used: {} by {count} entries", sent.len());
}

/// Two lists of entries that differ by those which have come and gone.
#[test]
fn the_limit_holds_for_entries_with_different_lists_of_entries() {
    let all = entries(76);
    let (earlier, later) = (&all[..60], &all[10..]);
    let senders = |known: &[String]| -> BTreeSet<String> {
        let names: Vec<&str> = known.iter().map(String::as_str).collect();
        let sends = |entry: &&String| {
            let rate = SendRate::of_entry(ARRIVALS as u32, "server-1", entry, &names);
            rate.interval_ms().is_some()
        };
        known.iter().filter(sends).cloned().collect()
    };
    let both: BTreeSet<String> = senders(earlier).union(&senders(later)).cloned().collect();
    assert_eq!(senders(earlier).len(), ARRIVALS / 2);
    assert!(both.len() <= ARRIVALS, "{}", both.len());
}

#[test]
fn an_unlisted_entry_sends_nothing_to_a_cold_plain_server() {
    assert_eq!(SendRate::of_entry(44, "server-1", "newcomer", &["a", "b"]).interval_ms(), None);
}

#[test]
fn a_formed_group_has_a_warm_head_if_any_member_is_warm() {
    let mut cluster = TestCluster::new(1, 4);
    for id in ["d0-s0", "d0-s1", "d0-s2"] {
        report_cold(&mut cluster, id, 15_000);
        cluster.report_again(id);
    }
    cluster.send_requests(4, 0);
    let groups = formed_groups(&cluster.plan().commands);
    assert!(!groups.is_empty());
    let with_warm = groups.iter().filter(|(_, members)| members.iter().any(|id| id == "d0-s3"));
    assert!(with_warm.clone().all(|(_, members)| members[0] == "d0-s3"), "{groups:?}");
    assert_eq!(with_warm.count(), 1, "{groups:?}");
}
