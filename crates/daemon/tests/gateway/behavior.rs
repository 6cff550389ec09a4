//! Behavior of fake servers, and their records of received requests.

use poem::http::StatusCode;
use std::time::{Duration, Instant};

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Normal,
    /// Rejects the request and states that it did not run.
    Rejects,
    /// Rejects the request and asks for back-off.
    RequestsBackoff(Backoff),
    /// Runs the request and closes the connection without a response.
    DropsResponse,
    /// Runs the request and responds with a status that implies that it did not run.
    RespondsWith(StatusCode),
    /// Runs the request and responds successfully with a body of this size.
    RespondsWithBytes(usize),
    /// Runs the request and never responds.
    NeverResponds,
}

/// How a server asks for back-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Status of the rejections.
    pub status: StatusCode,
    /// Requested back-off, in seconds.
    pub seconds: u64,
    /// Whether the rejections also state that the request did not run.
    pub says_not_run: bool,
    /// Percentage of the requests that it rejects; it serves the others.
    pub percent: usize,
}

impl Backoff {
    /// The usual form: every request is rejected with 503 and not run.
    pub const fn of(seconds: u64) -> Backoff {
        Backoff { status: StatusCode::SERVICE_UNAVAILABLE, seconds, says_not_run: true, percent: 100 }
    }
}

/// A request received by a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    /// Back-off requested in the response.
    pub backoff: Option<Duration>,
    /// Rate limit announced in the response, in requests per second.
    pub announced_limit: Option<f64>,
}
