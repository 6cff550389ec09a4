//! Readiness endpoint: whether this daemon accepts new requests.

use super::Gateway;
use super::body::ResponseBody;
use super::receive::CallerBody;
use super::responses::empty_response;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;

/// Responds on the readiness path with 200 while this daemon holds a lease and a configuration and no planned stop has
/// begun, and with 503 otherwise.
pub async fn handle(gateway: Arc<Gateway>, request: Request<CallerBody>) -> Response<ResponseBody> {
    if request.uri().path() != gateway.dialect.readiness_path() {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let shared = &gateway.shared;
    let is_configured = gateway.routes.load().version > 0;
    let is_ready = is_configured && shared.holds_lease() && !shared.is_leaving();
    empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
