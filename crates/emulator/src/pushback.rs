//! Emulated server pushback: `Retry-After` back-off, announced shutdown and rate limits.

use dockwood_api::engine::{HEADER_LEAVING, HEADER_LIMIT, HEADER_NOT_RUN};
use dockwood_api::gateway::RequestRate;
use poem::Response;
use poem::http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use std::sync::Mutex;

/// `Retry-After` of a server that requests a back-off, in seconds.
pub const BACKOFF_S: u64 = 2;

/// The pushback signals that a server sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PushbackMode {
    /// Serves requests without any signal.
    #[default]
    None,
    /// Rejects requests and requests a back-off of [`BACKOFF_S`] seconds.
    Backoff,
    /// Serves requests and announces in the responses that the server is about to shut down.
    AnnouncesShutdown,
    /// Serves requests and announces this rate limit in the responses.
    RateLimit(RequestRate),
}

/// The current pushback mode of a server.
#[derive(Debug, Default)]
pub struct Pushback {
    current: Mutex<PushbackMode>,
}

impl Pushback {
    /// Sets the mode.
    pub fn set(&self, mode: PushbackMode) {
        *self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = mode;
    }

    /// Applies a change of the admin interface by its name. Returns false if the name is unknown.
    pub fn apply_change(&self, change: &str) -> bool {
        let mode = match change {
            "rest" => PushbackMode::Backoff,
            "say-leaving" => PushbackMode::AnnouncesShutdown,
            "serve" => PushbackMode::None,
            _ => {
                let per_second = change.strip_prefix("limit-").and_then(|text| text.parse().ok());
                let Some(per_second) = per_second else { return false };
                PushbackMode::RateLimit(RequestRate::from_per_second(per_second))
            }
        };
        self.set(mode);
        true
    }

    /// Returns the response that rejects a request, if requests are currently rejected.
    pub fn rejection(&self) -> Option<Response> {
        let is_rejecting = self.mode() == PushbackMode::Backoff;
        is_rejecting.then(|| {
            Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header(HEADER_NOT_RUN, "1")
                .header(RETRY_AFTER, BACKOFF_S)
                .finish()
        })
    }

    /// Adds the pushback headers to a response.
    pub fn add_headers(&self, mut response: Response) -> Response {
        match self.mode() {
            PushbackMode::None | PushbackMode::Backoff => {}
            PushbackMode::AnnouncesShutdown => {
                response.headers_mut().insert(HEADER_LEAVING, HeaderValue::from_static("1"));
            }
            PushbackMode::RateLimit(rate) => {
                let value = HeaderValue::from_str(&rate.per_second().to_string());
                value.into_iter().for_each(|value| {
                    response.headers_mut().insert(HEADER_LIMIT, value);
                });
            }
        }
        response
    }

    fn mode(&self) -> PushbackMode {
        *self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
