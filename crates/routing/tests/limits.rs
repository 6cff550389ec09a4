//! Limits of servers as known to one daemon, from answers and from other daemons.

use dockwood_api::gateway::{RequestRate, ServerLimit, ServerStart};
use dockwood_routing::pushback::{LimitChange, LimitObservation, LimitTable, NamedLimit};

const fn rate(thousandths: u64) -> RequestRate {
    RequestRate::from_thousandths(thousandths)
}

fn start(id: &str, started_ms: u64) -> ServerStart {
    ServerStart { id: id.to_string(), started_ms: Some(started_ms) }
}

/// An answer received at the time its request was sent.
fn declares(thousandths: u64, at: u64) -> LimitObservation {
    LimitObservation { named: NamedLimit::Rate(rate(thousandths)), sent_at: at, may_end_limit: true }
}

fn declares_none(sent_at: u64) -> LimitObservation {
    LimitObservation { named: NamedLimit::Absent, sent_at, may_end_limit: true }
}

fn limited() -> (LimitTable, ServerStart) {
    let (mut table, server) = (LimitTable::default(), start("a", 1));
    let change = table.heard(1_000, &server, declares(2_500, 1_000));
    assert_eq!(change, Some(LimitChange::Named(rate(2_500))));
    (table, server)
}

#[test]
fn a_limit_applies_to_its_server_until_it_changes() {
    let (mut table, server) = limited();
    assert_eq!(table.rate(600_000, &server), Some(rate(2_500)), "a limit does not expire");
    assert_eq!(table.rate(1_000, &start("b", 1)), None, "other servers are not limited");
    let change = table.heard(2_000, &server, declares(500, 2_000));
    assert_eq!(change, Some(LimitChange::Changed { from: rate(2_500), to: rate(500) }));
    assert_eq!(table.rate(2_000, &server), Some(rate(500)));
    assert_eq!(table.heard(3_000, &server, declares(500, 3_000)), None, "the limit has not changed");
}

#[test]
fn an_unreadable_limit_is_ignored() {
    let (mut table, server) = limited();
    let unreadable = LimitObservation { named: NamedLimit::Unreadable, sent_at: 2_000, may_end_limit: true };
    assert_eq!(table.heard(2_000, &server, unreadable), None);
    assert_eq!(table.rate(2_000, &server), Some(rate(2_500)));
}

#[test]
fn a_restarted_server_has_no_limit() {
    let (mut table, server) = limited();
    assert_eq!(table.rate(2_000, &start("a", 2)), None);
    table.heard(2_000, &start("a", 2), declares(9_000, 2_000));
    assert_eq!(table.rate(2_000, &start("a", 2)), Some(rate(9_000)));
    assert_eq!(table.rate(2_000, &server), None);
}

/// An answer without a limit ends the limit only if its request was sent after the limit was observed.
#[test]
fn among_out_of_order_answers_the_strictest_limit_applies() {
    let (mut table, server) = limited();
    assert_eq!(table.heard(1_010, &server, declares_none(990)), None);
    assert_eq!(table.heard(1_010, &server, declares(4_000, 990)), None);
    assert_eq!(table.rate(1_010, &server), Some(rate(2_500)));
    assert!(table.heard(1_020, &server, declares(1_000, 990)).is_some());
    assert_eq!(table.rate(1_020, &server), Some(rate(1_000)));
    assert!(
        table.heard(1_100, &server, declares(4_000, 1_030)).is_some(),
        "sent after the limit was observed"
    );
    assert_eq!(table.rate(1_100, &server), Some(rate(4_000)));
}

/// With many requests in flight there is always one that was sent before the last answer; a raised limit must
/// be applied nevertheless.
#[test]
fn a_raised_rate_is_applied_while_answers_overlap() {
    let (mut table, server) = limited();
    for at in (1_010..1_500).step_by(10) {
        table.heard(at, &server, declares(4_000, at - 100));
    }
    assert_eq!(table.rate(1_500, &server), Some(rate(4_000)));
}

#[test]
fn a_rejection_does_not_end_a_limit() {
    let (mut table, server) = limited();
    let rejected = LimitObservation { may_end_limit: false, ..declares_none(2_000) };
    assert_eq!(table.heard(2_000, &server, rejected), None);
    assert_eq!(table.rate(2_000, &server), Some(rate(2_500)));
}

#[test]
fn after_a_limit_has_ended_the_rate_doubles_until_it_is_unlimited() {
    let (mut table, server) = limited();
    assert_eq!(table.heard(5_000, &server, declares_none(4_900)), Some(LimitChange::Ended(rate(2_500))));
    let rates: Vec<_> = [5_000, 6_000, 7_000, 8_000].iter().map(|at| table.rate(*at, &server)).collect();
    assert_eq!(rates, [Some(rate(2_500)), Some(rate(5_000)), Some(rate(10_000)), None]);
}

/// Guards against exceeding the limit of a server that declares it in every other answer: doubling the rate
/// at the first answer without a limit would allow twice the limit. Found by analysis.
#[test]
fn a_limit_declared_in_every_other_answer_is_not_exceeded() {
    let (mut table, server) = limited();
    for at in (2_000..8_000).step_by(400) {
        let answer = if at % 800 == 0 { declares(2_500, at) } else { declares_none(at) };
        table.heard(at, &server, answer);
        assert_eq!(table.rate(at, &server), Some(rate(2_500)), "at {at}");
    }
}

#[test]
fn slow_start_begins_with_at_least_one_request_per_second() {
    let (mut table, server) = (LimitTable::default(), start("a", 1));
    table.heard(1_000, &server, declares(0, 1_000));
    table.heard(5_000, &server, declares_none(4_900));
    assert_eq!(table.rate(5_000, &server), Some(rate(1_000)));
}

#[test]
fn a_server_is_held_until_its_next_turn() {
    let (mut table, server) = limited();
    table.hold(&server, 1_400);
    assert_eq!(table.held_until(1_399, &server), Some(1_400));
    assert_eq!(table.held_until(1_400, &server), None);
    table.hold(&server, 9_000);
    table.heard(2_000, &server, declares(20_000, 2_000));
    assert_eq!(table.held_until(2_000, &server), None, "the hold applied to the previous rate");
}

fn reported(thousandths: u64, has_ended: bool, heard_ago_ms: u64) -> ServerLimit {
    ServerLimit { server: start("a", 1), rate: rate(thousandths), has_ended, heard_ago_ms }
}

#[test]
fn newer_limits_from_other_daemons_are_merged() {
    let (mut table, server) = limited();
    assert_eq!(table.merge(2_000, &reported(900, false, 1_500), true), None, "observed earlier");
    assert!(table.merge(2_000, &reported(900, false, 500), true).is_some());
    assert_eq!(table.rate(2_000, &server), Some(rate(900)));
    assert!(table.merge(3_000, &reported(900, true, 100), true).is_some());
    assert_eq!(table.rate(3_900, &server), Some(rate(2_000)), "slow start");
    assert_eq!(
        table.merge(3_100, &reported(900, false, 1_000), true),
        None,
        "observed before the limit ended"
    );
}

#[test]
fn the_end_of_an_unknown_limit_is_ignored() {
    let mut table = LimitTable::default();
    assert_eq!(table.merge(2_000, &reported(900, true, 10), true), None);
    assert!(table.is_empty());
}

#[test]
fn limit_changes_are_announced_once() {
    let (mut table, server) = limited();
    assert_eq!(table.take_news(1_040), [reported(2_500, false, 40)]);
    assert!(table.take_news(1_050).is_empty());
    table.heard(2_000, &server, declares(2_400, 2_000));
    assert!(table.take_news(2_000).is_empty(), "the change is not significant");
    table.heard(3_000, &server, declares(2_100, 3_000));
    let news = table.take_news(3_000);
    assert_eq!(news, [reported(2_100, false, 0)], "small changes add up");
    table.return_news(&news);
    assert_eq!(table.take_news(3_010).len(), 1, "it was not delivered");
    table.heard(4_000, &server, declares_none(4_000));
    assert_eq!(table.take_news(4_000), [reported(2_100, true, 0)]);
}

#[test]
fn limits_announced_by_the_leader_are_not_announced_again() {
    let mut table = LimitTable::default();
    assert!(table.merge(2_000, &reported(900, false, 10), false).is_some());
    assert!(table.take_news(2_000).is_empty());
    assert_eq!(table.all_in_force(2_000).len(), 1);
}

#[test]
fn removed_servers_are_dropped_after_the_retention_period() {
    let (mut table, server) = limited();
    table.retain_known(10_000, |_| false);
    assert!(!table.is_empty(), "an announcement may still be in transit");
    table.retain_known(20_000, |id| id == "a");
    assert_eq!(table.rate(20_000, &server), Some(rate(2_500)));
    table.retain_known(20_000, |_| false);
    assert!(table.is_empty());
}

#[test]
fn the_limit_table_is_bounded() {
    let mut table = LimitTable::default();
    for number in 0..10_000 {
        table.heard(number, &start(&number.to_string(), 1), declares(1_000, number));
    }
    assert_eq!(table.count(), 4_096);
    assert_eq!(table.rate(10_000, &start("9999", 1)), Some(rate(1_000)), "the newest are kept");
}

/// A plan that changes with every short limit never settles.
#[test]
fn only_lasting_limits_are_reported_to_placement() {
    let (mut table, server) = limited();
    assert!(table.lasting(10_999).is_empty());
    assert_eq!(table.lasting(11_000), [reported(2_500, false, 10_000)]);
    table.heard(12_000, &server, declares(4_000, 12_000));
    assert_eq!(table.lasting(12_000).len(), 1, "a changed rate does not interrupt the limit");
    table.heard(13_000, &server, declares_none(13_000));
    assert!(table.lasting(13_000).is_empty());
    table.heard(14_000, &server, declares(4_000, 14_000));
    assert!(table.lasting(23_999).is_empty(), "the period starts again");
}
