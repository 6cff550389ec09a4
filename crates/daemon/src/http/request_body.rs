//! Reads the bodies of requests to this interface.

use super::{App, BoxBody};
use crate::request_bodies::{BodyLimits, RequestBodyFault};
use bytes::Bytes;
use dockwood_api::{ApiError, ResultCode};
use poem::Body;
use std::time::Duration;
use tokio::time::Instant;

/// What applies to the bodies of one kind of request.
pub(super) struct ExpectedBody {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Number of copies that exist at the same time while the request is handled.
    pub copies: usize,
    /// Code of the error if the body can't be read.
    pub unreadable: ResultCode,
    /// Whether the request may be one that was sent before and has run.
    pub may_have_run: bool,
}

/// Reads a complete body. Its bytes count as held until the returned content is dropped.
///
/// # Errors
/// `BodyTooLarge`, `BodyTimeout`, `MemoryExhausted`, or the code for a body that can't be read. `RanBefore` in place of the
/// second and third if the request may have run.
pub(super) async fn read_body(app: &App, body: Body, expected: ExpectedBody) -> Result<Bytes, ApiError> {
    let deadline = Instant::now() + app.shared.settings.limits.body_timeout;
    let limits = BodyLimits {
        max_bytes: expected.max_bytes,
        deadline,
        copies: expected.copies,
        patience: Duration::ZERO,
    };
    let read = app.shared.request_bodies.read(BoxBody::from(body), limits).await;
    read.map_err(|fault| {
        let code = match fault {
            RequestBodyFault::TooLarge => ResultCode::BodyTooLarge,
            RequestBodyFault::Broken => expected.unreadable,
            RequestBodyFault::TimedOut | RequestBodyFault::NoMemory if expected.may_have_run => {
                ResultCode::RanBefore
            }
            RequestBodyFault::TimedOut => ResultCode::BodyTimeout,
            RequestBodyFault::NoMemory => ResultCode::MemoryExhausted,
        };
        ApiError::new(code, fault.to_string())
    })
}
