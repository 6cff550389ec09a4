//! Whether this daemon takes new work.

use super::Gateway;
use super::body::AnswerBody;
use super::refusal::bare;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;

/// 200 while this daemon holds a lease and a configuration, and no planned stop has begun.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != gateway.dialect.readiness_path() {
        return bare(StatusCode::NOT_FOUND);
    }
    let shared = &gateway.shared;
    let is_configured = gateway.routes.load().version > 0;
    let is_ready = is_configured && shared.holds_lease() && !shared.is_leaving();
    bare(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
