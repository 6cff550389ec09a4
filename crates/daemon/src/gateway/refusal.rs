//! Answers of the gateway's own: refusals and failures.

use super::body::{AnswerBody, whole};
use dockwood_api::error::ErrorBody;
use dockwood_api::{ApiError, ResultCode};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use rand::RngExt;

/// When a caller may come back after a refusal that a short wait mends.
pub const RETRY_SOON_MS: u64 = 250;
/// Least and most time after which a caller may come back to a daemon that has just started and has no configuration
/// yet. Where all daemons were down, they agree on a leader within about a second, and what was refused meanwhile comes
/// back spread over the second after that.
const RETRY_AFTER_START_MS: std::ops::Range<u64> = 900..2_200;

/// When a caller may come back to a daemon that has just started.
pub fn retry_after_start_ms() -> u64 {
    rand::rng().random_range(RETRY_AFTER_START_MS)
}

/// An answer with a code. `retry_after_ms` is given only where the request surely did not run.
pub fn refuse(code: ResultCode, message: &str, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
    let mut detail = ErrorBody::new(&ApiError::new(code, message));
    detail.error.retry_after_ms = retry_after_ms;
    let body = serde_json::to_vec(&detail).unwrap_or_default();
    let mut response = Response::new(whole(body));
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

/// An answer with a body of JSON.
pub fn json(bytes: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(whole(bytes));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An answer without content.
pub fn bare(status: hyper::StatusCode) -> Response<AnswerBody> {
    let mut response =
        Response::new(http_body_util::Empty::new().map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}
