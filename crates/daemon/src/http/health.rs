//! Health checks and metrics.

use super::App;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Response, handler};

/// Liveness check: the process is running.
#[handler]
pub fn alive() -> &'static str {
    "ok\n"
}

/// Readiness check: the daemon accepts new requests, because it holds a lease and is not leaving.
#[handler]
pub fn ready(Data(app): Data<&App>) -> Response {
    let (status, text) = if app.shared.is_leaving() {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if !app.shared.holds_lease() {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration lease\n")
    } else {
        (StatusCode::OK, "ready\n")
    };
    Response::builder().status(status).content_type("text/plain").body(text)
}

/// Metrics in the Prometheus text format.
#[handler]
pub fn metrics(Data(app): Data<&App>) -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(app.shared.metrics.render())
}
