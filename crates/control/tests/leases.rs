//! Leases, and what is in force by them.

mod common;

use common::{record, request};
use dockwood_api::peer::LeaseContent;
use dockwood_control::{HOLD_MS, LEASE_ANSWER_TIMEOUT_MS, LEASE_MS, LeaseTable, News};
use dockwood_state::{Command, CommandBody, Liveness, State};

fn state() -> State {
    let mut state = State::default();
    for name in ["a", "b"] {
        state.apply(&Command {
            at_ms: 1,
            body: CommandBody::JoinDaemon { record: record(name), incarnation: 1 },
        });
    }
    state
}

#[test]
fn a_revision_is_in_force_once_all_have_applied_it_or_hold_no_lease() {
    let state = state();
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.extend(10, &request("a", 2));
    assert_eq!(leases.in_force_revision(20, &state.tables), None, "b may hold a lease of an earlier leader");
    leases.extend(20, &request("b", 1));
    assert_eq!(leases.in_force_revision(30, &state.tables), Some(1));
    leases.extend(1_500, &request("a", 2));
    assert_eq!(
        leases.in_force_revision(30 + LEASE_MS + LEASE_MS / 10, &state.tables),
        Some(2),
        "b's lease has run out"
    );
}

/// Found on a day when a quarter of the entries lost power: callers were sent to them for as long as their leases ran.
#[test]
fn a_daemon_that_asks_for_nothing_is_silent_before_its_lease_has_run_out() {
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.extend(1_000, &request("a", 2));
    let nothing = LeaseContent::Commands { commands: Vec::new(), through: 2 };
    leases.answered(1_000 + HOLD_MS, "a", &nothing);
    assert_eq!(leases.liveness(1_000 + HOLD_MS + 300, "a"), Some(Liveness::Live));
    assert_eq!(leases.liveness(2_300, "a"), Some(Liveness::Silent));
    assert_eq!(
        leases.liveness(1_000 + HOLD_MS + LEASE_MS - 1, "a"),
        Some(Liveness::Silent),
        "it may still act"
    );
    assert_eq!(leases.liveness(1_000 + HOLD_MS + LEASE_MS * 11 / 10, "a"), Some(Liveness::Lost));
    leases.extend(9_000, &request("a", 2));
    assert_eq!(leases.liveness(9_100, "a"), Some(Liveness::Live));
}

/// Found on the same day: the leader lost power, and every entry refused for half a second before it had heard of the
/// next one.
#[test]
fn a_lease_outlasts_the_search_for_the_next_leader() {
    const ELECTION_AT_THE_MOST_MS: u64 = 1_100;
    let left_when_the_leader_falls_silent = LEASE_MS - HOLD_MS;
    let until_another_is_asked = LEASE_ANSWER_TIMEOUT_MS;
    assert!(left_when_the_leader_falls_silent >= until_another_is_asked.max(ELECTION_AT_THE_MOST_MS) + 500);
}

/// Found by the simulator: with clocks that run apart by a hundredth, a daemon's lease outlasted the leader's
/// idea of it, and a change counted as in force that the daemon had not seen.
#[test]
fn the_leader_allows_for_clocks_that_drift() {
    let state = state();
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.extend(100, &request("a", 2));
    leases.extend(100, &request("b", 1));
    let slow_clock = LEASE_MS + LEASE_MS / 50;
    assert_eq!(leases.in_force_revision(100 + slow_clock, &state.tables), Some(1));
    assert_eq!(
        leases.liveness(100 + slow_clock, "b"),
        Some(Liveness::Silent),
        "silent, and not lost: it may still act"
    );
}

/// A table with so many daemons, each of which waits for news after `applied`.
fn waiting(daemons: usize, applied: u64) -> LeaseTable<usize> {
    let mut leases = LeaseTable::new(0);
    for number in 0..daemons {
        let request = request(&format!("daemon-{number}"), applied);
        leases.extend(0, &request);
        leases.hold(0, request, number);
    }
    leases
}

fn news(revision: u64) -> News {
    News { revision, in_force_revision: 0 }
}

/// Found on unidos-despacho-large: each of many changes in a second was told to each of 327 daemons by itself.
#[test]
fn many_daemons_are_told_of_changes_that_come_close_together_in_one_answer() {
    let mut leases = waiting(327, 1);
    assert_eq!(leases.due(10, news(2)).len(), 327, "the first is told at once");
    let mut answers = 0;
    for revision in 3..=100 {
        for number in 0..327 {
            leases.hold(10 + revision, request(&format!("daemon-{number}"), 2), number);
        }
        answers += leases.due(10 + revision, news(revision)).len();
    }
    assert_eq!(answers, 0, "a hundred changes within a tenth of a second");
    assert_eq!(leases.due(10 + 263, news(100)).len(), 327);
}

#[test]
fn few_daemons_are_told_of_each_change_at_once() {
    let mut leases = waiting(20, 1);
    assert_eq!(leases.due(10, news(2)).len(), 20);
    for number in 0..20 {
        leases.hold(11, request(&format!("daemon-{number}"), 2), number);
    }
    assert!(leases.due(12, news(2)).is_empty(), "no news");
    assert_eq!(leases.due(13, news(3)).len(), 20);
}

#[test]
fn a_request_without_news_is_answered_in_time() {
    let mut leases = waiting(327, 2);
    assert!(leases.due(10, news(2)).is_empty());
    assert!(leases.due(HOLD_MS - 1, news(2)).is_empty());
    assert_eq!(leases.due(HOLD_MS, news(2)).len(), 327);
}
