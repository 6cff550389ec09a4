//! Why there is no server for a request, and when its caller may come back.

use crate::clock::monotonic_ms;
use dockwood_api::ResultCode;
use dockwood_routing::Millis;
use dockwood_routing::pushback::Hold;
use rand::RngExt;
use std::time::Duration;

/// Servers that a refusal names, at most.
const MOST_NAMED: usize = 8;
/// Shortest time after which a caller that was refused for servers at rest may come back, in milliseconds: the first request
/// after a rest is answered by then.
const SHORTEST_RETURN_MS: Millis = 250;
/// Callers that were refused during a rest come back spread over this part of it that is left, in hundredths: they are as
/// many as came meanwhile, and the server takes them as fast as they came.
const RETURN_SPREAD_HUNDREDTHS: Millis = 50;
/// And over this time at most, in milliseconds: a caller of a long rest loses little of the time that it has.
const LONGEST_RETURN_SPREAD_MS: Millis = 2_000;

/// The servers that might take a request and are held back, all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllHeld {
    /// When the first of them may be asked again; `None` if all of them leave.
    earliest_end: Option<Millis>,
    /// Some of them, by id.
    servers: Vec<String>,
    /// One of them gets as many requests as it takes.
    is_at_limit: bool,
}

impl AllHeld {
    /// Adds a server that is held back.
    pub fn add(&mut self, server: &str, hold: Hold) {
        self.earliest_end = self.earliest_end.into_iter().chain(hold.until()).min();
        self.is_at_limit |= matches!(hold, Hold::AtLimit { .. });
        if self.servers.len() < MOST_NAMED {
            self.servers.push(server.to_string());
        }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// How long it is until the first of them may be asked again; `None` if all of them leave.
    pub fn ends_in(&self) -> Option<Duration> {
        self.earliest_end.map(|end| Duration::from_millis(end.saturating_sub(monotonic_ms())))
    }

    /// What a caller is told that is not made to wait for it.
    pub fn refused(self) -> Unavailable {
        let Some(ends_in) = self.ends_in() else {
            return Unavailable { held: self.servers, ..ResultCode::NoServer.into() };
        };
        let left_ms = (ends_in.as_millis() as Millis).max(SHORTEST_RETURN_MS);
        let spread_ms = (left_ms / 100 * RETURN_SPREAD_HUNDREDTHS).min(LONGEST_RETURN_SPREAD_MS);
        let back_in_ms = left_ms.saturating_add(rand::rng().random_range(0..=spread_ms));
        Unavailable {
            code: if self.is_at_limit { ResultCode::ServersAtLimit } else { ResultCode::ServersResting },
            free_in: Some(ends_in),
            back_in_ms: Some(back_in_ms),
            held: self.servers,
        }
    }
}

/// Why there is no server for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// The code.
    pub code: ResultCode,
    /// How long it is until a server at rest may be asked again, where that is why.
    pub free_in: Option<Duration>,
    /// When a caller may come back that does not wait for that, in milliseconds, where it is known.
    pub back_in_ms: Option<Millis>,
    /// Servers that would take it, and rest or leave.
    pub held: Vec<String>,
}

impl From<ResultCode> for Unavailable {
    fn from(code: ResultCode) -> Unavailable {
        Unavailable { code, free_in: None, back_in_ms: None, held: Vec::new() }
    }
}
