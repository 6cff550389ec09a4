//! Tests of small components of the daemon.

use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::event::Subject;
use dockwood_api::peer::{RequestRecord, StoredAnswer};
use dockwood_api::resource::{Kind, ResourceKey};
use dockwood_daemon::control::{TurnTimer, WorkKind};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::process::accept_duration;
use dockwood_daemon::settings::{GatewaySettings, RetryBudgetSettings};
use dockwood_daemon::timeline::{TIMELINE_CAPACITY, Timeline};
use dockwood_daemon::traffic::records::{RecordLookup, RecordStore};
use dockwood_daemon::watch_hub::{RETAINED_REVISIONS, WatchHub};
use dockwood_grouping::HeartbeatInterval;
use std::time::{Duration, Instant};

fn record(key: &str, outcome: Outcome, bytes: usize) -> RequestRecord {
    let answer = StoredAnswer { status: 200, content_type: String::new(), body: vec![0; bytes] };
    RequestRecord {
        key: key.to_string(),
        content_digest: 1,
        outcome,
        code: None,
        entry: "e".to_string(),
        answer: (bytes > 0).then_some(answer),
    }
}

#[test]
fn a_later_outcome_replaces_an_earlier_one_but_not_vice_versa() {
    let store = RecordStore::default();
    store.store(record("k", Outcome::Running, 0));
    store.store(record("k", Outcome::Done, 10));
    let before = store.store(record("k", Outcome::Running, 0));
    assert_eq!(before.map(|record| (record.outcome, record.answer)), Some((Outcome::Done, None)));
    assert_eq!(store.read("k").map(|record| record.outcome), Some(Outcome::Done));
}

/// Only the entry that recorded a request as running may report that it was not sent.
#[test]
fn not_run_replaces_running_only_if_reported_by_the_same_entry() {
    let store = RecordStore::default();
    store.store(record("k", Outcome::Running, 0));
    store.store(RequestRecord { entry: "other".to_string(), ..record("k", Outcome::NotRun, 0) });
    assert_eq!(store.read("k").map(|record| record.outcome), Some(Outcome::Running));
    store.store(record("k", Outcome::NotRun, 0));
    assert_eq!(store.read("k").map(|record| record.outcome), Some(Outcome::NotRun));
}

/// A record has two copies: one daemon that doesn't answer can't hide it, but two can.
#[test]
fn a_request_may_have_run_if_its_record_is_missing_or_uncertain() {
    let lookup = |outcome: Option<Outcome>, unanswered| {
        RecordLookup { record: outcome.map(|outcome| record("k", outcome, 0)), unanswered }.may_have_run()
    };
    assert!(!lookup(None, 0) && !lookup(None, 1) && lookup(None, 2));
    assert!(!lookup(Some(Outcome::NotRun), 2));
    assert!(lookup(Some(Outcome::Running), 0) && lookup(Some(Outcome::Unknown), 0));
}

#[test]
fn stored_answers_are_bounded_and_the_oldest_are_evicted_first() {
    let store = RecordStore::default();
    for number in 0..200 {
        store.store(record(&format!("k{number}"), Outcome::Done, 1 << 20));
    }
    assert!(store.read("k0").is_none());
    assert!(store.read("k199").is_some());
    let kept = (0..200).filter(|number| store.read(&format!("k{number}")).is_some()).count();
    assert!((20..=34).contains(&kept), "{kept} answers of 1 MiB");
}

#[test]
fn a_watch_that_lags_too_far_behind_is_detected() {
    let hub = WatchHub::default();
    let key = |revision: u64| ResourceKey::new(Kind::Server, format!("m-{revision}"));
    for revision in 1..=RETAINED_REVISIONS as u64 + 10 {
        hub.push(revision, vec![key(revision)]);
    }
    assert_eq!(hub.touched(5, 20), None);
    let newest = RETAINED_REVISIONS as u64 + 10;
    assert_eq!(
        hub.touched(newest - 2, newest).map(|keys| keys.into_iter().collect()),
        Some(vec![key(newest - 1), key(newest)])
    );
    hub.reset(9_999_999);
    assert_eq!(hub.touched(newest, newest), None);
}

#[test]
fn the_timeline_is_bounded_and_its_events_are_numbered() {
    let timeline = Timeline::new("e1");
    for number in 0..TIMELINE_CAPACITY + 5 {
        timeline.record(Subject::new("replica", "r"), "Formed", &number.to_string(), None, ResultCode::Ok);
    }
    let events = timeline.since(0);
    assert_eq!(events.len(), TIMELINE_CAPACITY);
    assert_eq!(events[0].sequence, 6);
    assert!(events.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
}

/// Guards against a behavior of the HTTP library, which terminates a response body that fails midway as if it were complete.
#[tokio::test]
async fn a_streamed_answer_that_fails_midway_does_not_look_complete() -> std::io::Result<()> {
    use dockwood_daemon::http::stream_or_abort;
    use futures::StreamExt;
    use poem::listener::{Acceptor, Listener, TcpListener};
    use poem::{Response, Server, handler};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    #[handler]
    fn failing_stream() -> Response {
        let pieces = vec![Ok(bytes::Bytes::from_static(b"half")), Err(std::io::Error::other("lost"))];
        let delayed_pieces = futures::stream::iter(pieces).then(|piece| async move {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            piece
        });
        Response::builder().body(stream_or_abort(delayed_pieces))
    }

    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let address = acceptor.local_addr().first().and_then(|local| local.as_socket_addr().copied());
    tokio::spawn(Server::new_with_acceptor(acceptor).run(poem::get(failing_stream)));
    let Some(address) = address else { return Ok(()) };
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await?;
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(std::time::Duration::from_secs(5), read).await;
    let text = String::from_utf8_lossy(&received).into_owned();
    assert!(text.contains("half") && !text.ends_with("0\r\n\r\n"), "{text}");
    Ok(())
}

fn gateway_settings(answer_lifetime_ms: u64, stop_limit_ms: u64) -> GatewaySettings {
    GatewaySettings {
        frontend: None,
        readiness: None,
        directory: None,
        operators: None,
        answer_lifetime: Duration::from_millis(answer_lifetime_ms),
        leader_dispatches_up_to: 64,
        stop_limit: Duration::from_millis(stop_limit_ms),
        stall: Duration::from_secs(6),
        heartbeat: HeartbeatInterval::default(),
        drain: Duration::from_millis(2_500),
        zone_regions: std::collections::BTreeMap::new(),
        cold_limit: Default::default(),
        retry_budget: RetryBudgetSettings { percent: 20, window: Duration::from_secs(10), extra: 50 },
        revoked_within: None,
    }
}

#[test]
fn the_lease_limit_is_shorter_than_the_time_limit_for_revoking_a_key() {
    let unbounded = gateway_settings(1_000, 8_000);
    assert_eq!(unbounded.lease_limit_ms(), None);
    let bounded = GatewaySettings { revoked_within: Some(Duration::from_secs(2)), ..unbounded };
    assert_eq!(bounded.lease_limit_ms(), Some(1_200));
}

/// Guards against interrupted streams at the end of a graceful shutdown: one with a limit of 8 s accepted a long stream after
/// 3.02 s and had to cut it off.
#[yare::parameterized(
    long_answer_lifetime = { 2_000, 8_000, 2_400 },
    short_answer_lifetime = { 300, 8_000, 1_100 },
    short_stop_limit = { 1_000, 2_000, 600 },
)]
fn a_graceful_shutdown_accepts_requests_only_while_it_can_finish_them(
    lifetime_ms: u64,
    limit_ms: u64,
    expected_ms: u64,
) {
    let accepts = accept_duration(&gateway_settings(lifetime_ms, limit_ms));
    assert_eq!(accepts, Duration::from_millis(expected_ms));
}

#[test]
fn turns_of_the_control_thread_are_measured_by_kind_of_work() -> Result<(), Box<dyn std::error::Error>> {
    let metrics = Metrics::new()?;
    let mut turns = TurnTimer::new("d", &metrics);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(2) {}
    turns.record(WorkKind::Leases, begun);
    turns.record(WorkKind::Leases, Instant::now());
    turns.end_turn();
    turns.end_turn();
    let text = String::from_utf8(metrics.render())?;
    let has = |line: &str| text.lines().any(|found| found == line);
    assert!(has("dockwood_control_work_seconds_count{work=\"leases\"} 1"), "{text}");
    assert!(has("dockwood_control_work_seconds_bucket{work=\"leases\",le=\"0.001\"} 0"), "{text}");
    assert!(has("dockwood_control_work_seconds_count{work=\"disk\"} 0"), "{text}");
    assert!(has("dockwood_control_turn_seconds_count 2"), "an idle turn was not counted: {text}");
    Ok(())
}
