//! How a server treats the requests that it gets: as usual, or by asking something of whoever sends them.

use dockwood_api::engine::{HEADER_LEAVING, HEADER_LIMIT, HEADER_NOT_RUN};
use dockwood_api::gateway::RequestRate;
use poem::Response;
use poem::http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use std::sync::Mutex;

/// The rest that a server asks for, in seconds.
pub const REST_S: u64 = 2;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// It serves them.
    #[default]
    Serves,
    /// It rejects them, and asks for [`REST_S`] seconds without any.
    AsksForRest,
    /// It serves them, and says in its answers that it is about to leave.
    SaysItLeaves,
    /// It serves them, and names so many requests a second in its answers.
    NamesLimit(RequestRate),
}

/// A server's manner, which can be changed.
#[derive(Debug, Default)]
pub struct RequestManner {
    current: Mutex<Manner>,
}

impl RequestManner {
    /// Changes it.
    pub fn set(&self, manner: Manner) {
        *self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = manner;
    }

    /// Takes a change by its name; false if there is no such change.
    pub fn change(&self, change: &str) -> bool {
        let manner = match change {
            "rest" => Manner::AsksForRest,
            "say-leaving" => Manner::SaysItLeaves,
            "serve" => Manner::Serves,
            _ => {
                let per_second = change.strip_prefix("limit-").and_then(|text| text.parse().ok());
                let Some(per_second) = per_second else { return false };
                Manner::NamesLimit(RequestRate::from_per_second(per_second))
            }
        };
        self.set(manner);
        true
    }

    /// The rejection of a request, if it is rejected.
    pub fn rejection(&self) -> Option<Response> {
        let rejects = self.get() == Manner::AsksForRest;
        rejects.then(|| {
            Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header(HEADER_NOT_RUN, "1")
                .header(RETRY_AFTER, REST_S)
                .finish()
        })
    }

    /// Adds to an answer what the server says in each of them.
    pub fn mark(&self, mut answer: Response) -> Response {
        match self.get() {
            Manner::Serves | Manner::AsksForRest => {}
            Manner::SaysItLeaves => {
                answer.headers_mut().insert(HEADER_LEAVING, HeaderValue::from_static("1"));
            }
            Manner::NamesLimit(rate) => {
                let value = HeaderValue::from_str(&rate.per_second().to_string());
                value.into_iter().for_each(|value| {
                    answer.headers_mut().insert(HEADER_LIMIT, value);
                });
            }
        }
        answer
    }

    fn get(&self) -> Manner {
        *self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
