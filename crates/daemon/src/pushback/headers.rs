//! Parses the pushback headers of a response.

use dockwood_routing::pushback::{AnswerSignals, LeavingMark, NamedLimit, RetryAfter};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use std::time::SystemTime;

/// Names of the response headers that carry pushback signals, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct SignalHeaders {
    /// Announces that the server is about to shut down: `1`.
    pub leaving: &'static str,
    /// Rate limit of the server for all senders combined, in requests per second, as a decimal number.
    pub limit: &'static str,
}

/// Returns the pushback signals of a response.
pub fn signals_of(status: StatusCode, headers: &HeaderMap, names: &SignalHeaders) -> AnswerSignals {
    let values = |name: HeaderName| headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
    AnswerSignals {
        status: status.as_u16(),
        retry_after: RetryAfter::read(values(RETRY_AFTER), SystemTime::now()),
        leaving: LeavingMark::read(values(HeaderName::from_static(names.leaving))),
        limit: NamedLimit::read(values(HeaderName::from_static(names.limit))),
    }
}
