//! Refusals as HTTP responses: a numbered code, a message, and what the caller can do.

use super::App;
use crate::traffic::chat::Failure;
use dockwood_api::caller::{HEADER_OUTCOME, Outcome};
use dockwood_api::error::ErrorBody;
use dockwood_api::{ApiError, ResultCode};
use poem::Response;
use poem::http::StatusCode;

/// The result code, on every response of dockwood's own.
pub const HEADER_RESULT_CODE: &str = "dockwood-result-code";

const MILLISECONDS_PER_SECOND: u64 = 1_000;

fn status(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// What a code says of the request's outcome.
pub fn outcome_of(code: ResultCode) -> Option<Outcome> {
    match code.number() / 1000 {
        2 => Some(Outcome::NotRun),
        3 if code == ResultCode::AlreadyRunning => Some(Outcome::Running),
        3 if code == ResultCode::RequestNotFound => None,
        3 => Some(Outcome::Unknown),
        _ => None,
    }
}

/// Writes a body with its code's status.
pub fn with_body(code: ResultCode, body: &ErrorBody) -> Response {
    let mut response = Response::builder()
        .status(status(code))
        .header(HEADER_RESULT_CODE, code.number().to_string())
        .content_type("application/json");
    if let Some(outcome) = body.error.outcome {
        response = response.header(HEADER_OUTCOME, outcome.as_str());
    }
    if let Some(milliseconds) = body.error.retry_after_ms {
        response = response.header("retry-after", milliseconds.div_ceil(MILLISECONDS_PER_SECOND).to_string());
    }
    response.body(serde_json::to_vec(body).unwrap_or_default())
}

/// A refusal with nothing but code and message.
pub fn bare(code: ResultCode, message: &str) -> Response {
    with_body(code, &ErrorBody::new(&ApiError::new(code, message)))
}

/// A refusal of an operator's call, counted.
pub fn operator(app: &App, error: &ApiError) -> Response {
    app.shared.metrics.operator_refusals.with_label_values(&[&error.code().number().to_string()]).inc();
    with_body(error.code(), &ErrorBody::new(error))
}

/// The body for a caller whose request has no whole answer.
pub fn caller_body(app: &App, failure: &Failure, session: &str) -> ErrorBody {
    let mut body = ErrorBody::new(&ApiError::new(failure.code, &failure.message));
    body.error.outcome = outcome_of(failure.code);
    body.error.retry_after_ms = failure.retry_after_ms;
    if matches!(failure.code, ResultCode::NoLease | ResultCode::DaemonLeaving) {
        let own = format!("http://{}", app.shared.settings.http);
        body.error.addresses = app.shared.entry_addresses(session, None);
        body.error.addresses.retain(|address| *address != own);
    }
    body
}

/// A refusal to a caller, before any of the answer was sent. Counted here unless its request was run.
pub fn caller(app: &App, failure: &Failure, session: &str) -> Response {
    with_body(failure.code, &caller_body(app, failure, session))
}

/// As [`caller`], for a request that was refused at the door.
pub fn caller_counted(app: &App, failure: &Failure, session: &str) -> Response {
    app.shared.metrics.answers.with_label_values(&[&failure.code.number().to_string()]).inc();
    caller(app, failure, session)
}
