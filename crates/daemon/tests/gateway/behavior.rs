//! How the small servers of these tests treat requests, and what they note of them.

use poem::http::StatusCode;
use std::time::{Duration, Instant};

/// How a server treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Sound,
    /// Refuses, and says that it did not run the request.
    Sheds,
    /// The same, and says when it wants the next request.
    AsksForRest(Rest),
    /// Runs the request and closes the connection without an answer.
    LosesAnswers,
    /// Runs the request, and answers with a status that says otherwise.
    Fails(StatusCode),
    /// Runs the request, and never answers.
    Holds,
}

/// How a server asks for rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// Status of its answers.
    pub status: StatusCode,
    /// For how long it wants nothing, in seconds.
    pub seconds: u64,
    /// Whether its answers also say that the request did not run.
    pub says_not_run: bool,
    /// Part of the requests that it turns away, in percent; it serves the others.
    pub part: usize,
}

impl Rest {
    /// As most servers ask for it.
    pub const fn of(seconds: u64) -> Rest {
        Rest { status: StatusCode::SERVICE_UNAVAILABLE, seconds, says_not_run: true, part: 100 }
    }
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    /// For how long the answer asked to be sent nothing.
    pub asked: Option<Duration>,
    /// Requests a second that the answer said the server takes.
    pub named: Option<f64>,
}
