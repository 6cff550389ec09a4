//! Reads what an answer asks of its receiver beyond what it says of the request: `Retry-After` (RFC 9110, section
//! 10.2.3), and the mark of a server that is about to leave.

use super::NamedLimit;
use crate::Millis;
use std::time::SystemTime;

/// Statuses whose `Retry-After` says when the server takes requests again: Service Unavailable and Too Many Requests. On a
/// redirection the header means something else, and elsewhere nothing.
const PUSHBACK_STATUSES: [u16; 2] = [503, 429];
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// What an answer's `Retry-After` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// There is none.
    #[default]
    Absent,
    /// There is one that is neither a number of seconds nor a date.
    Unreadable,
    /// Not before this has passed, in milliseconds.
    After(Millis),
}

impl RetryAfter {
    /// Reads the values of all headers of that name in one answer, at the time of day `now`. Seconds may have a fraction;
    /// a date that has passed is no time at all. Of several values the longest counts.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>, now: SystemTime) -> RetryAfter {
        let read = values.map(|value| RetryAfter::read_one(value, now));
        read.max_by_key(|value| match value {
            RetryAfter::Absent => (0, 0),
            RetryAfter::Unreadable => (1, 0),
            RetryAfter::After(milliseconds) => (2, *milliseconds),
        })
        .unwrap_or_default()
    }

    fn read_one(value: &[u8], now: SystemTime) -> RetryAfter {
        let Ok(text) = std::str::from_utf8(value) else { return RetryAfter::Unreadable };
        let text = text.trim();
        let milliseconds = read_seconds(text).or_else(|| {
            let date = httpdate::parse_http_date(text).ok()?;
            Some(date.duration_since(now).map_or(0, |left| left.as_millis() as Millis))
        });
        milliseconds.map_or(RetryAfter::Unreadable, RetryAfter::After)
    }
}

/// Milliseconds from a decimal number of seconds. Anything beyond the range of milliseconds is its end.
fn read_seconds(text: &str) -> Option<Millis> {
    Some((read_decimal(text)? * MILLISECONDS_PER_SECOND).ceil() as Millis)
}

/// A decimal number without a sign or an exponent.
pub(super) fn read_decimal(text: &str) -> Option<f64> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_decimal || !text.starts_with(|first: char| first.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Whether an answer says that its server is about to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingMark {
    /// It doesn't.
    #[default]
    Absent,
    /// The header has a value that says neither. It is not believed: a server that is left alone by mistake stays so until
    /// it starts again.
    Unreadable,
    /// It does.
    Leaving,
}

impl LeavingMark {
    /// Reads the values of all headers of that name in one answer: `1` says that it leaves, `0` that it doesn't. Where
    /// they contradict each other, it leaves.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> LeavingMark {
        let read = values.map(|value| match value.trim_ascii() {
            b"1" => LeavingMark::Leaving,
            b"0" => LeavingMark::Absent,
            _ => LeavingMark::Unreadable,
        });
        read.max().unwrap_or_default()
    }
}

/// What one answer asks of whoever got it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSignals {
    /// Its status.
    pub status: u16,
    /// When it wants the next request.
    pub retry_after: RetryAfter,
    /// Whether its server leaves.
    pub leaving: LeavingMark,
    /// How many requests a second its server takes.
    pub limit: NamedLimit,
}

impl AnswerSignals {
    /// For how long the server wants no requests, in milliseconds; `None` if it doesn't ask for that.
    pub fn pushback_ms(&self) -> Option<Millis> {
        match self.retry_after {
            RetryAfter::After(milliseconds) if milliseconds > 0 && self.may_push_back() => Some(milliseconds),
            _ => None,
        }
    }

    /// Whether it asks for something that can't be read.
    pub fn is_unreadable(&self) -> bool {
        let retry_after = self.may_push_back() && self.retry_after == RetryAfter::Unreadable;
        retry_after || self.leaving == LeavingMark::Unreadable || self.limit == NamedLimit::Unreadable
    }

    fn may_push_back(&self) -> bool {
        PUSHBACK_STATUSES.contains(&self.status)
    }
}
