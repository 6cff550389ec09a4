//! Signals in answers: all forms of `Retry-After`, the leaving header, and the limit header.

use dockwood_routing::pushback::{AnswerSignals, LeavingMark, NamedLimit, RequestRate, RetryAfter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use yare::parameterized;

/// 2026-12-03 10:00:00 UTC.
fn now() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_796_292_000)
}

fn retry_after(values: &[&str]) -> RetryAfter {
    RetryAfter::read(values.iter().map(|value| value.as_bytes()), now())
}

#[parameterized(
    none = { &[], RetryAfter::Absent },
    whole_seconds = { &["3"], RetryAfter::After(3_000) },
    fraction = { &["0.25"], RetryAfter::After(250) },
    below_a_millisecond_is_one = { &["0.0001"], RetryAfter::After(1) },
    surrounding_whitespace = { &[" 2 "], RetryAfter::After(2_000) },
    zero = { &["0"], RetryAfter::After(0) },
    a_year = { &["31536000"], RetryAfter::After(31_536_000_000) },
    above_maximum = { &["9999999999999999999999999999"], RetryAfter::After(u64::MAX) },
    negative = { &["-1"], RetryAfter::Unreadable },
    sign = { &["+1"], RetryAfter::Unreadable },
    exponent = { &["1e3"], RetryAfter::Unreadable },
    not_a_number = { &["NaN"], RetryAfter::Unreadable },
    infinite = { &["inf"], RetryAfter::Unreadable },
    two_decimal_points = { &["1.2.3"], RetryAfter::Unreadable },
    lone_decimal_point = { &["."], RetryAfter::Unreadable },
    empty = { &[""], RetryAfter::Unreadable },
    unit = { &["3s"], RetryAfter::Unreadable },
    word = { &["soon"], RetryAfter::Unreadable },
    date = { &["Thu, 03 Dec 2026 10:00:07 GMT"], RetryAfter::After(7_000) },
    date_that_has_passed = { &["Thu, 03 Dec 2026 09:59:00 GMT"], RetryAfter::After(0) },
    several = { &["1", "4", "2"], RetryAfter::After(4_000) },
    one_of_several_unreadable = { &["soon", "2"], RetryAfter::After(2_000) },
)]
fn retry_after_is_parsed(values: &[&str], expected: RetryAfter) {
    assert_eq!(retry_after(values), expected);
}

#[test]
fn non_text_bytes_are_unreadable() {
    let bytes: [&[u8]; 1] = [&[0xff, 0xfe]];
    assert_eq!(RetryAfter::read(bytes.into_iter(), now()), RetryAfter::Unreadable);
}

#[parameterized(
    none = { &[], LeavingMark::Absent },
    leaves = { &["1"], LeavingMark::Leaving },
    surrounding_whitespace = { &[" 1 "], LeavingMark::Leaving },
    does_not_leave = { &["0"], LeavingMark::Absent },
    twice = { &["1", "1"], LeavingMark::Leaving },
    contradiction = { &["0", "1"], LeavingMark::Leaving },
    word = { &["true"], LeavingMark::Unreadable },
    another_number = { &["2"], LeavingMark::Unreadable },
    empty = { &[""], LeavingMark::Unreadable },
)]
fn leaving_header_is_parsed(values: &[&str], expected: LeavingMark) {
    assert_eq!(LeavingMark::read(values.iter().map(|value| value.as_bytes())), expected);
}

#[parameterized(
    unavailable = { 503, RetryAfter::After(3_000), Some(3_000), false },
    too_many_requests = { 429, RetryAfter::After(3_000), Some(3_000), false },
    redirection = { 301, RetryAfter::After(3_000), None, false },
    success = { 200, RetryAfter::After(3_000), None, false },
    zero_delay = { 503, RetryAfter::After(0), None, false },
    absent = { 503, RetryAfter::Absent, None, false },
    unreadable = { 503, RetryAfter::Unreadable, None, true },
    unreadable_without_meaning = { 200, RetryAfter::Unreadable, None, false },
)]
fn only_rejections_ask_for_backoff(
    status: u16,
    retry_after: RetryAfter,
    pushback_ms: Option<u64>,
    is_unreadable: bool,
) {
    let signals =
        AnswerSignals { status, retry_after, leaving: LeavingMark::Absent, limit: NamedLimit::Absent };
    assert_eq!(signals.pushback_ms(), pushback_ms);
    assert_eq!(signals.is_unreadable(), is_unreadable);
}

const fn rate(thousandths: u64) -> NamedLimit {
    NamedLimit::Rate(RequestRate::from_thousandths(thousandths))
}

#[parameterized(
    none = { &[], NamedLimit::Absent },
    whole = { &["3"], rate(3_000) },
    fraction = { &["2.5"], rate(2_500) },
    surrounding_whitespace = { &[" 0.1 "], rate(100) },
    nothing = { &["0"], rate(0) },
    below_a_thousandth = { &["0.0001"], rate(0) },
    above_maximum = { &["99999999999999"], rate(100_000_000) },
    negative = { &["-1"], NamedLimit::Unreadable },
    infinite = { &["inf"], NamedLimit::Unreadable },
    exponent = { &["1e9"], NamedLimit::Unreadable },
    word = { &["few"], NamedLimit::Unreadable },
    unit = { &["3/s"], NamedLimit::Unreadable },
    empty = { &[""], NamedLimit::Unreadable },
    the_lowest_of_several = { &["4", "2.5", "3"], rate(2_500) },
    one_of_several_unreadable = { &["few", "2"], rate(2_000) },
    the_last_of_several_unreadable = { &["2", "few"], rate(2_000) },
)]
fn limit_header_is_parsed(values: &[&str], expected: NamedLimit) {
    assert_eq!(NamedLimit::read(values.iter().map(|value| value.as_bytes())), expected);
}
