//! Responses that the gateway creates itself: refusals, failures and replies of its own interfaces.

use super::body::{ResponseBody, full_body};
use bytes::Bytes;
use dockwood_api::error::ErrorBody;
use dockwood_api::{ApiError, ResultCode};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use rand::RngExt;

/// Retry time after a refusal for a short-lived reason, in milliseconds.
pub const RETRY_SOON_MS: u64 = 250;
/// Range of the retry time of a daemon that has just started and has no configuration yet, in milliseconds. If all
/// daemons were down, they elect a leader within about a second, and the requests refused in the meantime are retried
/// spread over the second after that.
const RETRY_AFTER_START_MS: std::ops::Range<u64> = 900..2_200;

/// Returns a random retry time for a daemon that has just started.
pub fn retry_after_start_ms() -> u64 {
    rand::rng().random_range(RETRY_AFTER_START_MS)
}

/// Returns an error response with a result code. `retry_after_ms` is set only if the request is known not to have run.
pub fn error_response(
    code: ResultCode,
    message: &str,
    retry_after_ms: Option<u64>,
) -> Response<ResponseBody> {
    let mut detail = ErrorBody::new(&ApiError::new(code, message));
    detail.error.retry_after_ms = retry_after_ms;
    let body = serde_json::to_vec(&detail).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        hyper::StatusCode::from_u16(code.http_status()).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a response with a JSON body.
pub fn json_response(bytes: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(bytes));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response without content.
pub fn empty_response(status: hyper::StatusCode) -> Response<ResponseBody> {
    let mut response =
        Response::new(http_body_util::Empty::new().map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}
