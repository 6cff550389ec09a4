//! Evaluates the head of a server's response: pushback signals, and whether the response may be forwarded.

use super::Gateway;
use super::body::ResponseBody;
use super::headers::end_to_end;
use super::receive::ReceivedRequest;
use super::request_log::{RequestLog, SendNumber};
use crate::content_coding::is_coding_accepted;
use crate::dialect::HeaderNames;
use crate::pushback::{SendPermit, signals_of};
use crate::response_framing::{HeadFault, ResponseFraming};
use dockwood_routing::gateway::SendOutcome;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

/// Head of a response for the caller.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status of the server's response.
    pub status: StatusCode,
    /// Headers of the server's response that apply beyond its connection, with the length by which the body is received.
    pub headers: HeaderMap,
}

impl ResponseHead {
    fn new(parts: &Parts, framing: ResponseFraming) -> ResponseHead {
        let mut headers = end_to_end(&parts.headers);
        headers.remove(CONTENT_LENGTH);
        if let Some(length) = framing.content_length() {
            headers.insert(CONTENT_LENGTH, length.into());
        }
        ResponseHead { status: parts.status, headers }
    }

    /// Returns the head of a response whose body differs from the server's in length.
    pub fn without_length(mut self) -> ResponseHead {
        self.headers.remove(CONTENT_LENGTH);
        self
    }

    /// Returns the response with this body.
    pub fn into_response(self, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// A response that may be forwarded, of which the body has not been read.
pub struct EvaluatedResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// How the body is delimited.
    pub framing: ResponseFraming,
    /// Body of the response.
    pub body: Incoming,
}

/// Evaluates the head of the response to a request that was sent under a permit. The pushback signals of a head that begins
/// a response are recorded whether or not the response can be forwarded.
///
/// # Errors
/// The outcome of the send, if there is no response to forward.
pub fn evaluate_head(
    gateway: &Gateway,
    received: &ReceivedRequest,
    request_log: &mut RequestLog,
    send: SendNumber,
    permit: &mut SendPermit,
    response: Response<Incoming>,
) -> Result<EvaluatedResponse, SendOutcome> {
    let (parts, body) = response.into_parts();
    let names = gateway.dialect.headers();
    let unusable = |request_log: &mut RequestLog, fault: HeadFault| {
        request_log.record_head_fault(send, parts.status, fault);
        SendOutcome::Unknown
    };
    let framing = ResponseFraming::of(&received.method, parts.version, parts.status, &parts.headers)
        .map_err(|fault| unusable(request_log, fault))?;
    let signals = signals_of(parts.status, &parts.headers, &names.signals);
    request_log.record_head(send, &signals, permit.turn());
    // Another server responded in place of the expected one; its signals do not apply to that one.
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        permit.record_response(&signals, received.attempt.as_deref().unwrap_or_default());
    }
    if !matches_attempt(&parts.headers, names, received) {
        return Err(unusable(request_log, HeadFault::Attempt));
    }
    if says_not_run(parts.status, &parts.headers, names) {
        return Err(SendOutcome::SaidNotRun);
    }
    if falsely_implies_not_run(parts.status, received) {
        return Err(SendOutcome::Unknown);
    }
    if parts.status.is_success() && !is_signed(&parts.headers, names) {
        return Err(unusable(request_log, HeadFault::Signature));
    }
    if !is_coding_accepted(&received.headers, &parts.headers) {
        return Err(unusable(request_log, HeadFault::ContentCoding));
    }
    Ok(EvaluatedResponse { head: ResponseHead::new(&parts, framing), framing, body })
}

/// Returns whether a response belongs to the request: servers echo the attempt id, once.
fn matches_attempt(headers: &HeaderMap, names: &HeaderNames, received: &ReceivedRequest) -> bool {
    let Some(attempt) = &received.attempt else { return true };
    only_value(headers, names.attempt).is_some_and(|echoed| echoed.as_bytes() == attempt.as_bytes())
}

/// Returns whether a response has its server's signature, once, if the protocol has one.
fn is_signed(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let Some(signature) = names.signature else { return true };
    only_value(headers, signature).is_some_and(|signature| !signature.is_empty())
}

/// Returns the value of a header that is there exactly once.
fn only_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).into_iter();
    values.next().filter(|_| values.next().is_none())
}

/// Returns whether a response states that the request did not run.
fn says_not_run(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(names.not_run)
}

/// Returns whether a response must not be forwarded because of its status: callers interpret the status as a guarantee
/// that the request has not run and won't, and the server did not state that. Repeatable requests need no such
/// guarantee.
fn falsely_implies_not_run(status: StatusCode, received: &ReceivedRequest) -> bool {
    let implies_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    implies_not_run && !received.route.is_repeatable()
}
