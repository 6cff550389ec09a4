//! Parses the signals that a server's answer carries besides the result of the request: `Retry-After` (RFC
//! 9110, section 10.2.3), and the header that announces that the server is leaving.

use super::NamedLimit;
use crate::Millis;
use std::time::SystemTime;

/// Statuses for which `Retry-After` states when the server accepts requests again: Service Unavailable and
/// Too Many Requests. On a redirection the header has a different meaning, and on other statuses it has none.
const PUSHBACK_STATUSES: [u16; 2] = [503, 429];
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// Value of an answer's `Retry-After`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The header is absent.
    #[default]
    Absent,
    /// The header is neither a number of seconds nor a date.
    Unreadable,
    /// Minimum delay before the next request, in milliseconds.
    After(Millis),
}

impl RetryAfter {
    /// Parses the values of all headers of that name in one answer; `now` is the current wall-clock time.
    /// Seconds may have a fraction; a date in the past is no delay. The longest of several values applies.
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

/// Converts a decimal number of seconds to milliseconds, saturating at the maximum.
fn read_seconds(text: &str) -> Option<Millis> {
    Some((read_decimal(text)? * MILLISECONDS_PER_SECOND).ceil() as Millis)
}

/// Parses a decimal number without sign or exponent.
pub(super) fn read_decimal(text: &str) -> Option<f64> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_decimal || !text.starts_with(|first: char| first.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Whether an answer announces that its server is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingMark {
    /// The server is not leaving.
    #[default]
    Absent,
    /// The header has an invalid value, which is ignored: a server that is wrongly considered to be leaving
    /// would receive no requests until it restarts.
    Unreadable,
    /// The server is leaving.
    Leaving,
}

impl LeavingMark {
    /// Parses the values of all headers of that name in one answer: `1` means that the server is leaving, `0`
    /// that it is not. Of contradictory values, `1` applies.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> LeavingMark {
        let read = values.map(|value| match value.trim_ascii() {
            b"1" => LeavingMark::Leaving,
            b"0" => LeavingMark::Absent,
            _ => LeavingMark::Unreadable,
        });
        read.max().unwrap_or_default()
    }
}

/// Signals carried by one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSignals {
    /// HTTP status.
    pub status: u16,
    /// Requested delay before the next request.
    pub retry_after: RetryAfter,
    /// Whether the server is leaving.
    pub leaving: LeavingMark,
    /// Declared limit in requests per second.
    pub limit: NamedLimit,
}

impl AnswerSignals {
    /// Length of the backoff period that the server asks for, in milliseconds; `None` if it asks for none.
    pub fn pushback_ms(&self) -> Option<Millis> {
        match self.retry_after {
            RetryAfter::After(milliseconds) if milliseconds > 0 && self.may_push_back() => Some(milliseconds),
            _ => None,
        }
    }

    /// Whether one of the signals cannot be parsed.
    pub fn is_unreadable(&self) -> bool {
        let retry_after = self.may_push_back() && self.retry_after == RetryAfter::Unreadable;
        retry_after || self.leaving == LeavingMark::Unreadable || self.limit == NamedLimit::Unreadable
    }

    fn may_push_back(&self) -> bool {
        PUSHBACK_STATUSES.contains(&self.status)
    }
}
