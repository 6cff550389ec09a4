//! Attempts in which nothing was written must not use up a request's attempts: a request was refused after six servers in a
//! row turned out to be at their limits, although a seventh one had no limit.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{Route, RouteKind};
use dockwood_routing::WithheldSends;
use dockwood_routing::gateway::{RequestAttempts, RetryDecision, SendOutcome, WithheldReason};

mod common;

/// More servers than the number of attempts that may fail.
const SERVERS: usize = 40;

fn withheld_at(attempts: &mut RequestAttempts, server: usize, reason: WithheldReason) -> RetryDecision {
    attempts.begin(&format!("server-{server}"));
    attempts.ended(SendOutcome::Withheld(reason))
}

fn attempts(kind: RouteKind) -> RequestAttempts {
    RequestAttempts::new(&common::route("r", "/a/", kind))
}

#[yare::parameterized(
    repeatable = { RouteKind::Repeatable },
    at_most_once = { RouteKind::AtMostOnce },
    stream = { RouteKind::Stream },
)]
fn a_request_is_withheld_from_any_number_of_servers(kind: RouteKind) {
    let mut attempts = attempts(kind);
    for server in 0..SERVERS {
        let decision = withheld_at(&mut attempts, server, WithheldReason::AtLimit);
        assert_eq!(decision, RetryDecision::SendAgain, "server {server}");
    }
    assert!(!attempts.needs_budget(), "nothing was sent, so the next send is no retry");
    attempts.begin("free");
    assert_eq!(attempts.ended(SendOutcome::NotConnected), RetryDecision::SendAgain);
}

#[test]
fn a_request_that_is_withheld_from_the_same_server_again_and_again_is_given_up() {
    let mut attempts = attempts(RouteKind::Repeatable);
    let last = (0..SERVERS).map(|_| withheld_at(&mut attempts, 0, WithheldReason::SelectionExpired)).last();
    let Some(RetryDecision::GiveUp(give_up)) = last else { panic!("{last:?}") };
    assert_eq!((give_up.code, give_up.not_run), (ResultCode::Overloaded, true));
}

#[test]
fn a_request_whose_deadline_has_passed_is_given_up_at_once() {
    let mut attempts = attempts(RouteKind::Repeatable);
    let decision = withheld_at(&mut attempts, 0, WithheldReason::DeadlinePassed);
    let RetryDecision::GiveUp(give_up) = decision else { panic!("{decision:?}") };
    assert_eq!((give_up.code, give_up.not_run), (ResultCode::DeadlineInQueue, true));
}

#[test]
fn withheld_sends_leave_the_limit_on_executions_alone() {
    let route = Route { max_attempts: 2, ..common::route("r", "/a/", RouteKind::Repeatable) };
    let mut attempts = RequestAttempts::new(&route);
    attempts.begin("server-0");
    assert_eq!(attempts.ended(SendOutcome::Unknown), RetryDecision::SendAgain);
    for server in 1..SERVERS {
        assert_eq!(withheld_at(&mut attempts, server, WithheldReason::OnHold), RetryDecision::SendAgain);
    }
    let decision = attempts.ended(SendOutcome::Unknown);
    let RetryDecision::GiveUp(give_up) = decision else { panic!("{decision:?}") };
    assert!(!give_up.not_run);
}

#[test]
fn each_server_may_withhold_once_without_limit() {
    let mut withheld = WithheldSends::default();
    assert!((0..SERVERS).all(|server| withheld.record(&format!("server-{server}"))));
    let repeated = (0..SERVERS).take_while(|_| withheld.record("server-0")).count();
    assert!(repeated < SERVERS, "a request must not alternate between servers on hold for ever");
}
