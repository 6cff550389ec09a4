//! Leases and the in-force revision.

mod common;

use common::{record, request};
use dockwood_api::peer::LeaseContent;
use dockwood_control::{LEASE_ANSWER_TIMEOUT_MS, LEASE_MS, LONG_POLL_MS, LeaseTable, Notification};
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
    leases.renew(10, &request("a", 2));
    assert_eq!(leases.in_force_revision(20, &state.tables), None, "b may hold a lease of an earlier leader");
    leases.renew(20, &request("b", 1));
    assert_eq!(leases.in_force_revision(30, &state.tables), Some(1));
    leases.renew(1_500, &request("a", 2));
    assert_eq!(
        leases.in_force_revision(30 + LEASE_MS + LEASE_MS / 10, &state.tables),
        Some(2),
        "b's lease has expired"
    );
}

/// Regression (a quarter of the entries lost power): clients were sent to them for as long as their leases
/// ran.
#[test]
fn a_daemon_that_asks_for_nothing_is_silent_before_its_lease_expires() {
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.renew(1_000, &request("a", 2));
    let nothing = LeaseContent::Commands { commands: Vec::new(), through: 2 };
    leases.record_answer(1_000 + LONG_POLL_MS, "a", &nothing);
    assert_eq!(leases.liveness(1_000 + LONG_POLL_MS + 300, "a"), Some(Liveness::Live));
    assert_eq!(leases.liveness(2_300, "a"), Some(Liveness::Silent));
    assert_eq!(
        leases.liveness(1_000 + LONG_POLL_MS + LEASE_MS - 1, "a"),
        Some(Liveness::Silent),
        "its lease is still valid"
    );
    assert_eq!(leases.liveness(1_000 + LONG_POLL_MS + LEASE_MS * 11 / 10, "a"), Some(Liveness::Lost));
    leases.renew(9_000, &request("a", 2));
    assert_eq!(leases.liveness(9_100, "a"), Some(Liveness::Live));
}

/// Regression (same power loss, which included the leader): every entry refused requests for half a second
/// until it had found the next leader.
#[test]
fn a_lease_outlasts_the_search_for_the_next_leader() {
    const MAX_ELECTION_MS: u64 = 1_100;
    let remaining_when_the_leader_fails = LEASE_MS - LONG_POLL_MS;
    let until_another_member_is_asked = LEASE_ANSWER_TIMEOUT_MS;
    assert!(remaining_when_the_leader_fails >= until_another_member_is_asked.max(MAX_ELECTION_MS) + 500);
}

/// Regression (simulator): with clocks drifting apart by 1 %, a daemon's lease outlasted the leader's record
/// of it, and a change that the daemon had not seen counted as in force.
#[test]
fn the_leader_allows_for_clock_drift() {
    let state = state();
    let mut leases: LeaseTable<()> = LeaseTable::new(0);
    leases.renew(100, &request("a", 2));
    leases.renew(100, &request("b", 1));
    let slow_clock = LEASE_MS + LEASE_MS / 50;
    assert_eq!(leases.in_force_revision(100 + slow_clock, &state.tables), Some(1));
    assert_eq!(
        leases.liveness(100 + slow_clock, "b"),
        Some(Liveness::Silent),
        "silent but not lost, as its lease may still be valid"
    );
}

/// A table with this many daemons, each waiting for a revision after `applied`.
fn table_with_held_requests(daemons: usize, applied: u64) -> LeaseTable<usize> {
    let mut leases = LeaseTable::new(0);
    for number in 0..daemons {
        let request = request(&format!("daemon-{number}"), applied);
        leases.renew(0, &request);
        leases.hold(0, request, number);
    }
    leases
}

fn notification(revision: u64) -> Notification {
    Notification { revision, in_force_revision: 0 }
}

/// Regression (unidos-despacho-large): each of 327 daemons was notified separately of each of many changes
/// per second.
#[test]
fn many_daemons_are_notified_of_changes_in_quick_succession_in_one_answer() {
    let mut leases = table_with_held_requests(327, 1);
    assert_eq!(leases.due(10, notification(2)).len(), 327, "the first change is notified at once");
    let mut answers = 0;
    for revision in 3..=100 {
        for number in 0..327 {
            leases.hold(10 + revision, request(&format!("daemon-{number}"), 2), number);
        }
        answers += leases.due(10 + revision, notification(revision)).len();
    }
    assert_eq!(answers, 0, "no notifications for a hundred changes within 100 ms");
    assert_eq!(leases.due(10 + 263, notification(100)).len(), 327);
}

#[test]
fn few_daemons_are_notified_of_each_change_at_once() {
    let mut leases = table_with_held_requests(20, 1);
    assert_eq!(leases.due(10, notification(2)).len(), 20);
    for number in 0..20 {
        leases.hold(11, request(&format!("daemon-{number}"), 2), number);
    }
    assert!(leases.due(12, notification(2)).is_empty(), "nothing has changed");
    assert_eq!(leases.due(13, notification(3)).len(), 20);
}

#[test]
fn a_request_without_changes_is_answered_after_the_long_poll_duration() {
    let mut leases = table_with_held_requests(327, 2);
    assert!(leases.due(10, notification(2)).is_empty());
    assert!(leases.due(LONG_POLL_MS - 1, notification(2)).is_empty());
    assert_eq!(leases.due(LONG_POLL_MS, notification(2)).len(), 327);
}
