//! What the head of a server's answer says of its request, and what is learnt from it.

use super::Gateway;
use super::account::RequestAccount;
use super::receive::Received;
use crate::dialect::HeaderNames;
use crate::pushback::{SendPermit, signals_of};
use dockwood_routing::gateway::SendOutcome;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

/// Takes the head of the answer to a request that went out under a permit. What the answer asks of its receiver is learnt
/// first, whether or not the answer is of use.
///
/// # Errors
/// How the send ended, if it brought no answer to pass on.
pub fn take_head<Body>(
    gateway: &Gateway,
    received: &Received,
    account: &mut RequestAccount,
    permit: &mut SendPermit,
    response: Response<Body>,
) -> Result<(Parts, Body), SendOutcome> {
    let (parts, body) = response.into_parts();
    let names = gateway.dialect.headers();
    let signals = signals_of(parts.status, &parts.headers, &names.signals);
    account.head_received(&signals);
    // Another server answers in place of the one that is meant: its word is not that one's.
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        permit.record_response(&signals, received.attempt.as_deref().unwrap_or_default());
    }
    if !belongs(&parts.headers, names, received) {
        return Err(SendOutcome::Unknown);
    }
    if says_not_run(parts.status, &parts.headers, names) {
        return Err(SendOutcome::SaidNotRun);
    }
    if promises_falsely(parts.status, received) {
        return Err(SendOutcome::Unknown);
    }
    Ok((parts, body))
}

/// Whether an answer belongs to the request: servers repeat the attempt id.
fn belongs(headers: &HeaderMap, names: &HeaderNames, received: &Received) -> bool {
    let echoed = headers.get(names.attempt).and_then(|value| value.to_str().ok());
    received.attempt.is_none() || echoed == received.attempt.as_deref()
}

/// Whether an answer says that the request did not run.
fn says_not_run(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(names.not_run)
}

/// Whether a server's answer may not be passed on: callers read its status as a promise that the request has not run
/// and won't, and this server has not said so. What may run more than once needs no such promise.
fn promises_falsely(status: StatusCode, received: &Received) -> bool {
    let is_promise = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    is_promise && !received.route.is_repeatable()
}
