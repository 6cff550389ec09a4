//! Reads an answer's headers.

use dockwood_routing::pushback::{AnswerSignals, LeavingMark, RetryAfter};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use std::time::SystemTime;

/// What a server's answer asks of its receiver. `leaving` names the header by which servers say that they leave, in lower
/// case.
pub fn signals_of(status: StatusCode, headers: &HeaderMap, leaving: &'static str) -> AnswerSignals {
    let values = |name: HeaderName| headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
    AnswerSignals {
        status: status.as_u16(),
        retry_after: RetryAfter::read(values(RETRY_AFTER), SystemTime::now()),
        leaving: LeavingMark::read(values(HeaderName::from_static(leaving))),
    }
}
