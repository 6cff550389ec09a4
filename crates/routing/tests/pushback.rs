//! Which servers a daemon holds back, and until when.

use dockwood_routing::pushback::{
    BackoffStarted, Hold, PushbackTable, SendKind, ServerStart, return_spread_ms,
};
use proptest::prelude::*;
use yare::parameterized;

const BACKOFF_MS: u64 = 3_000;

fn start(id: &str, started_ms: u64) -> ServerStart {
    ServerStart { id: id.to_string(), started_ms: Some(started_ms) }
}

fn backing_off() -> (PushbackTable, ServerStart) {
    let (mut table, server) = (PushbackTable::default(), start("a", 1));
    assert_eq!(table.record_backoff(1_000, &server, BACKOFF_MS, 0), Some(BackoffStarted { until: 4_000 }));
    (table, server)
}

#[test]
fn a_server_is_sent_nothing_during_its_backoff() {
    let (mut table, server) = backing_off();
    assert_eq!(table.begin_send(1_000, &server), Err(Hold::Resting { until: 4_000 }));
    assert_eq!(table.begin_send(3_999, &server), Err(Hold::Resting { until: 4_000 }));
    assert_eq!(
        table.begin_send(1_000, &start("b", 1)),
        Ok(SendKind::Usual),
        "other servers are not held back"
    );
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Probe));
}

#[test]
fn one_probe_is_sent_after_a_backoff() {
    let (mut table, server) = backing_off();
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Probe));
    assert!(matches!(table.begin_send(4_001, &server), Err(Hold::Probing { .. })));
    assert!(!table.probe_ended(4_010, &server, false), "the probe was not answered");
    assert_eq!(table.begin_send(4_011, &server), Ok(SendKind::Probe));
    assert!(table.probe_ended(4_020, &server, true));
    assert_eq!(table.begin_send(4_021, &server), Ok(SendKind::Usual));
}

#[test]
fn a_rejected_probe_starts_another_backoff() {
    let (mut table, server) = backing_off();
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Probe));
    assert!(table.record_backoff(4_002, &server, 1_000, 0).is_some());
    assert!(!table.probe_ended(4_002, &server, false));
    assert_eq!(table.hold(5_001, &server), Some(Hold::Resting { until: 5_002 }));
}

/// Requests sent before the first rejection came back are rejected too, each with its own backoff period.
#[test]
fn the_longest_backoff_applies() {
    let (mut table, server) = backing_off();
    assert_eq!(table.record_backoff(1_010, &server, 500, 0), None, "a backoff is in progress");
    assert_eq!(table.hold(3_999, &server), Some(Hold::Resting { until: 4_000 }));
    assert_eq!(table.record_backoff(1_020, &server, BACKOFF_MS, 40), None);
    assert_eq!(table.hold(4_059, &server), Some(Hold::Resting { until: 4_060 }));
}

#[test]
fn a_restart_ends_backoff_and_leaving() {
    let (mut table, server) = backing_off();
    table.note_leaving(&server);
    let restarted = start("a", 2);
    assert_eq!(table.hold(1_001, &restarted), None);
    assert_eq!(
        table.hold(1_001, &server),
        Some(Hold::Leaving),
        "the previous start is still known to be leaving"
    );
    assert!(table.record_backoff(1_100, &restarted, BACKOFF_MS, 0).is_some());
    assert_eq!(table.hold(1_101, &server), None, "the previous start is no longer known");
}

#[test]
fn a_leaving_server_is_sent_nothing_regardless_of_backoff() {
    let (mut table, server) = backing_off();
    assert!(table.note_leaving(&server));
    assert!(!table.note_leaving(&server), "already known");
    assert_eq!(table.begin_send(1_000_000, &server), Err(Hold::Leaving));
    assert_eq!(Hold::Leaving.until(), None);
    assert_eq!(table.counts(1_001), (0, 1));
}

#[test]
fn the_maximum_backoff_does_not_overflow() {
    let (mut table, server) = (PushbackTable::default(), start("a", 1));
    table.record_backoff(1_000, &server, u64::MAX, u64::MAX);
    assert_eq!(table.begin_send(u64::MAX - 1, &server), Err(Hold::Resting { until: u64::MAX }));
}

#[test]
fn removed_servers_are_dropped_after_their_backoff() {
    let (mut table, server) = backing_off();
    table.retain_known(2_000, |_| false);
    assert_eq!(table.hold(2_000, &server), Some(Hold::Resting { until: 4_000 }));
    table.retain_known(4_000, |_| false);
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Usual), "the server is no longer in the table");
}

#[test]
fn the_pushback_table_is_bounded() {
    let mut table = PushbackTable::default();
    for number in 0..5_000 {
        table.note_leaving(&start(&format!("s{number}"), 1));
    }
    assert_eq!(table.counts(0), (0, 4_096));
    assert_eq!(table.hold(0, &start("s0", 1)), None, "the oldest servers are evicted");
    assert_eq!(table.hold(0, &start("s4999", 1)), Some(Hold::Leaving));
}

#[parameterized(
    few_daemons = { 3_000, 12, 17, 705 },
    many_daemons_are_capped_at_the_backoff = { 3_000, 330, 14, 3_000 },
    one_daemon = { 3_000, 1, 20, 50 },
    without_places = { 3_000, 2, 0, 2_000 },
)]
fn daemons_spread_their_return(backoff_ms: u64, daemons: u32, places: u32, spread_ms: u64) {
    assert_eq!(return_spread_ms(backoff_ms, daemons, places), spread_ms);
}

/// A step of the generated sequence.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// Send a request if allowed; the server answers immediately, with a backoff in milliseconds or by
    /// accepting it.
    Send(Option<u64>),
    /// Send a request if allowed; it is never answered.
    SendUnanswered,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..700).prop_map(Step::Wait),
        proptest::option::of(1_u64..3_000).prop_map(Step::Send),
        Just(Step::SendUnanswered),
    ]
}

proptest! {
    /// No sequence of steps sends a request during a backoff that the server asked for.
    #[test]
    fn nothing_is_sent_during_a_backoff(steps in proptest::collection::vec(step(), 1..200)) {
        let (mut table, server) = (PushbackTable::default(), start("a", 1));
        let (mut now, mut backoff_until) = (10_000, 0);
        for step in steps {
            let answer = match step {
                Step::Wait(milliseconds) => {
                    now += milliseconds;
                    continue;
                }
                Step::Send(answer) => Some(answer),
                Step::SendUnanswered => None,
            };
            let Ok(kind) = table.begin_send(now, &server) else { continue };
            prop_assert!(now >= backoff_until, "sent at {now}, during a backoff until {backoff_until}");
            if let Some(Some(backoff_ms)) = answer {
                table.record_backoff(now, &server, backoff_ms, 0);
                backoff_until = backoff_until.max(now + backoff_ms);
            }
            if kind == SendKind::Probe {
                table.probe_ended(now, &server, answer == Some(None));
            }
        }
    }
}
