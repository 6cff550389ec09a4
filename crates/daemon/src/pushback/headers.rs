//! Reads an answer's headers.

use dockwood_routing::pushback::{AnswerSignals, LeavingMark, NamedLimit, RetryAfter};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use std::time::SystemTime;

/// Names of the headers by which servers ask for something, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct SignalHeaders {
    /// Says that the server is about to leave: `1`.
    pub leaving: &'static str,
    /// Requests a second that the server takes from all senders together, as a decimal number.
    pub limit: &'static str,
}

/// What a server's answer asks of its receiver.
pub fn signals_of(status: StatusCode, headers: &HeaderMap, names: &SignalHeaders) -> AnswerSignals {
    let values = |name: HeaderName| headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
    AnswerSignals {
        status: status.as_u16(),
        retry_after: RetryAfter::read(values(RETRY_AFTER), SystemTime::now()),
        leaving: LeavingMark::read(values(HeaderName::from_static(names.leaving))),
        limit: NamedLimit::read(values(HeaderName::from_static(names.limit))),
    }
}
