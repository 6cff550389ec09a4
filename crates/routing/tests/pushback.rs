//! Which servers a daemon holds back, and until when.

use dockwood_routing::pushback::{Hold, PushbackTable, RestBegun, SendKind, ServerStart, return_spread_ms};
use proptest::prelude::*;
use yare::parameterized;

const REST_MS: u64 = 3_000;

fn start(id: &str, started_ms: u64) -> ServerStart {
    ServerStart { id: id.to_string(), started_ms: Some(started_ms) }
}

fn resting() -> (PushbackTable, ServerStart) {
    let (mut table, server) = (PushbackTable::default(), start("a", 1));
    assert_eq!(table.note_rest(1_000, &server, REST_MS, 0), Some(RestBegun { until: 4_000 }));
    (table, server)
}

#[test]
fn a_server_that_asked_for_rest_is_sent_nothing_until_it_has_passed() {
    let (mut table, server) = resting();
    assert_eq!(table.begin_send(1_000, &server), Err(Hold::Resting { until: 4_000 }));
    assert_eq!(table.begin_send(3_999, &server), Err(Hold::Resting { until: 4_000 }));
    assert_eq!(table.begin_send(1_000, &start("b", 1)), Ok(SendKind::Usual), "others are not concerned");
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Trial));
}

#[test]
fn after_its_rest_one_request_goes_first() {
    let (mut table, server) = resting();
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Trial));
    assert!(matches!(table.begin_send(4_001, &server), Err(Hold::OnTrial { .. })));
    assert!(!table.trial_ended(4_010, &server, false), "it got no answer");
    assert_eq!(table.begin_send(4_011, &server), Ok(SendKind::Trial));
    assert!(table.trial_ended(4_020, &server, true));
    assert_eq!(table.begin_send(4_021, &server), Ok(SendKind::Usual));
}

#[test]
fn a_trial_that_is_turned_away_begins_another_rest() {
    let (mut table, server) = resting();
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Trial));
    assert!(table.note_rest(4_002, &server, 1_000, 0).is_some());
    assert!(!table.trial_ended(4_002, &server, false));
    assert_eq!(table.hold(5_001, &server), Some(Hold::Resting { until: 5_002 }));
}

/// What was sent before the first of them came back is turned away, too, each with a time of its own.
#[test]
fn the_longest_rest_counts() {
    let (mut table, server) = resting();
    assert_eq!(table.note_rest(1_010, &server, 500, 0), None, "one is under way");
    assert_eq!(table.hold(3_999, &server), Some(Hold::Resting { until: 4_000 }));
    assert_eq!(table.note_rest(1_020, &server, REST_MS, 40), None);
    assert_eq!(table.hold(4_059, &server), Some(Hold::Resting { until: 4_060 }));
}

#[test]
fn what_a_server_asked_for_ends_with_its_process() {
    let (mut table, server) = resting();
    table.note_leaving(&server);
    let again = start("a", 2);
    assert_eq!(table.hold(1_001, &again), None);
    assert_eq!(table.hold(1_001, &server), Some(Hold::Leaving), "a late word of the former changes nothing");
    assert!(table.note_rest(1_100, &again, REST_MS, 0).is_some());
    assert_eq!(table.hold(1_101, &server), None, "and it is not known any more");
}

#[test]
fn a_server_that_leaves_is_sent_nothing_whatever_it_says_of_rest() {
    let (mut table, server) = resting();
    assert!(table.note_leaving(&server));
    assert!(!table.note_leaving(&server), "that is known");
    assert_eq!(table.begin_send(1_000_000, &server), Err(Hold::Leaving));
    assert_eq!(Hold::Leaving.until(), None);
    assert_eq!(table.counts(1_001), (0, 1));
}

#[test]
fn a_rest_beyond_all_time_is_kept_to() {
    let (mut table, server) = (PushbackTable::default(), start("a", 1));
    table.note_rest(1_000, &server, u64::MAX, u64::MAX);
    assert_eq!(table.begin_send(u64::MAX - 1, &server), Err(Hold::Resting { until: u64::MAX }));
}

#[test]
fn servers_that_are_gone_are_forgotten_once_they_have_rested() {
    let (mut table, server) = resting();
    table.retain_known(2_000, |_| false);
    assert_eq!(table.hold(2_000, &server), Some(Hold::Resting { until: 4_000 }));
    table.retain_known(4_000, |_| false);
    assert_eq!(table.begin_send(4_000, &server), Ok(SendKind::Usual), "nothing is known of it");
}

#[test]
fn no_more_servers_are_kept_than_a_fleet_has() {
    let mut table = PushbackTable::default();
    for number in 0..5_000 {
        table.note_leaving(&start(&format!("s{number}"), 1));
    }
    assert_eq!(table.counts(0), (0, 4_096));
    assert_eq!(table.hold(0, &start("s0", 1)), None, "the first ones are forgotten");
    assert_eq!(table.hold(0, &start("s4999", 1)), Some(Hold::Leaving));
}

#[parameterized(
    few_daemons = { 3_000, 12, 17, 705 },
    many_daemons_take_as_long_as_the_rest = { 3_000, 330, 14, 3_000 },
    alone = { 3_000, 1, 20, 50 },
    without_places = { 3_000, 2, 0, 2_000 },
)]
fn daemons_come_back_one_after_the_other(rest_ms: u64, daemons: u32, places: u32, spread_ms: u64) {
    assert_eq!(return_spread_ms(rest_ms, daemons, places), spread_ms);
}

/// Something that happens to one server.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// A request is sent if it may be, and is answered at once: with a rest of so many milliseconds, or taken.
    Send(Option<u64>),
    /// A request is sent if it may be, and nothing is heard of it.
    Lose,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..700).prop_map(Step::Wait),
        proptest::option::of(1_u64..3_000).prop_map(Step::Send),
        Just(Step::Lose),
    ]
}

proptest! {
    /// Whatever happens, no request is sent within a time that was asked for.
    #[test]
    fn nothing_is_ever_sent_within_a_rest(steps in proptest::collection::vec(step(), 1..200)) {
        let (mut table, server) = (PushbackTable::default(), start("a", 1));
        let (mut now, mut rest_until) = (10_000, 0);
        for step in steps {
            let answer = match step {
                Step::Wait(milliseconds) => {
                    now += milliseconds;
                    continue;
                }
                Step::Send(answer) => Some(answer),
                Step::Lose => None,
            };
            let Ok(kind) = table.begin_send(now, &server) else { continue };
            prop_assert!(now >= rest_until, "sent at {now}, and wanted nothing before {rest_until}");
            if let Some(Some(rest_ms)) = answer {
                table.note_rest(now, &server, rest_ms, 0);
                rest_until = rest_until.max(now + rest_ms);
            }
            if kind == SendKind::Trial {
                table.trial_ended(now, &server, answer == Some(None));
            }
        }
    }
}
