//! Allocation of turns for servers with a declared limit.

use dockwood_api::gateway::{RequestRate, ServerStart, TurnsElsewhere};
use dockwood_routing::pushback::{StandInTurns, Turn, TurnAllocator, TurnShare, interval_ms};
use std::net::SocketAddr;
use yare::parameterized;

const URGENT: u32 = 0;
const NORMAL: u32 = 5;

fn server() -> ServerStart {
    ServerStart { id: "a".to_string(), started_ms: Some(1) }
}

/// Times at which turns are granted if one is requested every millisecond.
fn granted(
    allocator: &mut TurnAllocator,
    rate: RequestRate,
    share: TurnShare,
    span: std::ops::Range<u64>,
) -> Vec<u64> {
    span.filter(|now| allocator.take(*now, &server(), rate, share, NORMAL) == Turn::Given).collect()
}

#[parameterized(
    two_and_a_half = { 2_500, 400 },
    twenty = { 20_000, 50 },
    a_tenth = { 100, 10_000 },
    nothing = { 0, 10_000 },
    below_minimum = { 50, 10_000 },
    above_resolution = { 5_000_000, 1 },
)]
fn interval_follows_the_rate(thousandths: u64, expected_ms: u64) {
    assert_eq!(interval_ms(RequestRate::from_thousandths(thousandths)), expected_ms);
}

#[parameterized(
    few = { 300 },
    some = { 2_500 },
    many = { 20_000 },
    a_lot = { 300_000 },
)]
fn no_window_exceeds_the_rate_and_turns_are_not_wasted(thousandths: u64) {
    let rate = RequestRate::from_thousandths(thousandths);
    let mut allocator = TurnAllocator::default();
    let times = granted(&mut allocator, rate, TurnShare::Whole, 1_000..41_000);
    for from in &times {
        let within = times.iter().filter(|at| **at >= *from && **at < *from + 4_000).count() as f64;
        assert!(within <= 4.0 * rate.per_second() * 1.01 + 2.0, "{within} in 4 s at {}", rate.per_second());
    }
    assert!(times.len() as f64 >= 0.95 * 40.0 * rate.per_second() - 1.0, "{} turns", times.len());
    assert!(times[0] >= 1_000 + interval_ms(rate), "other daemons may have sent requests at the start");
}

/// A process that restarts has no record of the turns that it granted before.
#[parameterized(
    few = { 300, 4_000 },
    some = { 2_500, 700 },
    many = { 20_000, 300 },
    a_lot = { 300_000, 150 },
)]
fn an_allocator_that_restarts_repeatedly_stays_within_the_rate(thousandths: u64, restart_every: u64) {
    let rate = RequestRate::from_thousandths(thousandths);
    let mut times = Vec::new();
    for started_at in (1_000..41_000).step_by(restart_every as usize) {
        let mut allocator = TurnAllocator::default();
        times.extend(granted(&mut allocator, rate, TurnShare::Whole, started_at..started_at + restart_every));
    }
    for from in &times {
        let within = times.iter().filter(|at| **at >= *from && **at < *from + 4_000).count() as f64;
        assert!(within <= 4.0 * rate.per_second() * 1.01 + 2.0, "{within} in 4 s at {}", rate.per_second());
    }
}

#[test]
fn a_server_with_rate_zero_still_gets_occasional_turns() {
    let mut allocator = TurnAllocator::default();
    let times = granted(&mut allocator, RequestRate::from_thousandths(0), TurnShare::Whole, 0..60_000);
    assert!((4..=6).contains(&times.len()), "{times:?}");
}

#[test]
fn a_stand_in_allocates_half_of_the_rate() {
    let rate = RequestRate::from_thousandths(10_000);
    let mut allocator = TurnAllocator::default();
    let times = granted(&mut allocator, rate, TurnShare::InPlaceOfAnother, 0..10_000);
    assert!((45..=51).contains(&times.len()), "{}", times.len());
}

/// Without an allocating daemon, all senders together use half of the rate.
#[test]
fn senders_without_an_allocating_daemon_use_a_part_each() {
    let rate = RequestRate::from_thousandths(10_000);
    let mut allocator = TurnAllocator::default();
    let times = granted(&mut allocator, rate, TurnShare::Alone { senders: 20 }, 0..40_000);
    assert!((8..=10).contains(&times.len()), "{}", times.len());
}

#[test]
fn a_changed_rate_applies_immediately() {
    let mut allocator = TurnAllocator::default();
    granted(&mut allocator, RequestRate::from_thousandths(100), TurnShare::Whole, 0..10_001);
    let risen =
        granted(&mut allocator, RequestRate::from_thousandths(10_000), TurnShare::Whole, 10_001..11_001);
    assert!(risen.len() >= 9, "{}", risen.len());
    let fallen =
        granted(&mut allocator, RequestRate::from_thousandths(500), TurnShare::Whole, 11_001..15_001);
    assert!(fallen.len() <= 3, "{fallen:?}");
}

#[test]
fn a_restarted_server_gets_a_new_schedule() {
    let rate = RequestRate::from_thousandths(1_000);
    let mut allocator = TurnAllocator::default();
    granted(&mut allocator, rate, TurnShare::Whole, 0..5_000);
    let later = ServerStart { started_ms: Some(2), ..server() };
    assert!(matches!(allocator.take(5_000, &later, rate, TurnShare::Whole, NORMAL), Turn::NotBefore(_)));
}

/// Retry times are spread out, with a few senders per turn.
#[test]
fn retries_of_waiting_senders_are_spread_out() {
    let rate = RequestRate::from_thousandths(2_500);
    let mut allocator = TurnAllocator::default();
    let replies = (0..330).map(|_| allocator.take(0, &server(), rate, TurnShare::Whole, NORMAL));
    let mut times: Vec<u64> = replies
        .map(|turn| match turn {
            Turn::NotBefore(at) => at,
            Turn::Given => 0,
        })
        .collect();
    times.sort_unstable();
    assert_eq!(times[0], 400);
    let within = times.iter().filter(|at| **at < 400 + 400).count();
    assert!(within <= 5, "{within} retries within the interval of one turn");
}

#[test]
fn an_urgent_retry_takes_precedence() {
    let rate = RequestRate::from_thousandths(1_000);
    let mut allocator = TurnAllocator::default();
    let mut request_turn = |now, rank| allocator.take(now, &server(), rate, TurnShare::Whole, rank);
    assert_eq!(request_turn(0, NORMAL), Turn::NotBefore(1_000));
    assert_eq!(request_turn(0, URGENT), Turn::NotBefore(1_250));
    assert!(
        matches!(request_turn(1_000, NORMAL), Turn::NotBefore(_)),
        "the turn is reserved for the urgent request"
    );
    assert_eq!(request_turn(1_250, URGENT), Turn::Given);
    assert_eq!(request_turn(2_300, NORMAL), Turn::Given, "the reservation expires");
}

#[test]
fn granted_turns_are_reported_periodically_and_expire() {
    let rate = RequestRate::from_thousandths(2_000);
    let mut allocator = TurnAllocator::default();
    granted(&mut allocator, rate, TurnShare::Whole, 0..5_000);
    assert_eq!(allocator.claim_telling(5_000, &server()), Some(7));
    assert_eq!(allocator.claim_telling(8_999, &server()), None);
    allocator.forget_old(64_998);
    assert!(allocator.claim_telling(64_998, &server()).is_some());
    allocator.forget_old(64_999);
    assert_eq!(allocator.claim_telling(70_000, &server()), None);
}

fn elsewhere(after: u64, through: u64) -> TurnsElsewhere {
    TurnsElsewhere { sender: 1, after, through }
}

/// When the next turn is granted after a schedule with one granted turn per 400 ms was charged with these reports at 10 s.
fn next_turn_after(reports: &[TurnsElsewhere]) -> u64 {
    let rate = RequestRate::from_thousandths(2_500);
    let mut allocator = TurnAllocator::default();
    granted(&mut allocator, rate, TurnShare::Whole, 1_000..10_001);
    for reported in reports {
        allocator.charge(10_001, &server(), rate, TurnShare::Whole, reported);
    }
    granted(&mut allocator, rate, TurnShare::Whole, 10_001..20_000)[0]
}

#[parameterized(
    one_turn = { &[elsewhere(0, 1)], 400 },
    two_turns = { &[elsewhere(0, 2)], 800 },
    a_report_that_was_repeated = { &[elsewhere(0, 1), elsewhere(0, 1), elsewhere(0, 1)], 400 },
    a_repeated_report_with_another_turn = { &[elsewhere(0, 1), elsewhere(0, 2)], 800 },
    reports_out_of_order = { &[elsewhere(0, 2), elsewhere(0, 1)], 800 },
    turns_reported_to_a_previous_run = { &[elsewhere(40, 41)], 400 },
    of_two_senders = { &[elsewhere(0, 1), TurnsElsewhere { sender: 2, after: 0, through: 1 }], 800 },
    // Two seconds and one interval from the charge on.
    more_than_a_stand_in_grants_in_a_window = { &[elsewhere(0, 1_000)], 2_201 },
)]
fn turns_used_elsewhere_delay_the_next_turn(reports: &[TurnsElsewhere], delay_ms: u64) {
    assert_eq!(next_turn_after(&[]), 10_200);
    assert_eq!(next_turn_after(reports), 10_200 + delay_ms);
}

/// Address of the daemon that allocates the server's rate, or of its stand-in.
fn daemon(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn a_turn_used_elsewhere_is_reported_until_the_report_is_answered() {
    let mut turns = StandInTurns::new(1);
    assert_eq!(turns.report(0, &server(), daemon(1)), None);
    turns.record(0, &server(), Some(daemon(2)));
    turns.record(10, &server(), None);
    assert_eq!(turns.report(10, &server(), daemon(1)), Some(elsewhere(0, 2)));
    turns.record(20, &server(), Some(daemon(2)));
    turns.acknowledge(&server(), &elsewhere(0, 2));
    assert_eq!(turns.report(20, &server(), daemon(1)), Some(elsewhere(2, 3)));
    turns.acknowledge(&server(), &elsewhere(2, 3));
    assert_eq!(turns.report(30, &server(), daemon(1)), None);
}

#[test]
fn turns_are_not_reported_to_the_daemon_that_granted_them() {
    let mut turns = StandInTurns::new(1);
    turns.record(0, &server(), Some(daemon(2)));
    assert_eq!(turns.report(0, &server(), daemon(2)), None);
}

#[test]
fn turns_of_an_earlier_window_or_an_earlier_run_of_the_server_are_not_reported() {
    let mut turns = StandInTurns::new(1);
    turns.record(0, &server(), None);
    let later = ServerStart { started_ms: Some(2), ..server() };
    assert_eq!(turns.report(0, &later, daemon(1)), None);
    assert_eq!(turns.report(3_999, &server(), daemon(1)), Some(elsewhere(0, 1)));
    assert_eq!(turns.report(4_000, &server(), daemon(1)), None);
}

#[test]
fn numbers_of_a_removed_server_are_not_used_again() {
    let mut turns = StandInTurns::new(1);
    turns.record(0, &server(), None);
    turns.forget_old(4_000);
    turns.record(4_000, &server(), None);
    assert_eq!(turns.report(4_000, &server(), daemon(1)), Some(elsewhere(1, 2)));
}
