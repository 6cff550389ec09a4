//! Why no server is available for a request, and when its caller may retry.

use crate::clock::monotonic_ms;
use crate::gateway::SilenceReport;
use crate::log_line::ChosenBy;
use dockwood_api::ResultCode;
use dockwood_routing::Millis;
use dockwood_routing::pushback::Hold;
use rand::RngExt;
use std::time::Duration;

/// Maximum number of servers that are listed for a refused request.
const MAX_LISTED_SERVERS: usize = 8;
/// Shortest retry time for a caller that was refused because the servers are on hold, in milliseconds: by then the first
/// request after a back-off has been answered.
const MIN_RETRY_AFTER_MS: Millis = 250;
/// Retry jitter of refused callers, in percent of the remaining hold: they are as many as arrived during the hold, and
/// the server can take them at the rate at which they arrived.
const RETRY_JITTER_PERCENT: Millis = 50;
/// Upper bound of the retry jitter, in milliseconds: after a long hold, the caller loses little of its remaining time.
const MAX_RETRY_JITTER_MS: Millis = 2_000;

/// The servers that could take a request, where all of them are on hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldServers {
    /// When the first hold ends; `None` if all of the servers are shutting down.
    earliest_end: Option<Millis>,
    /// Ids of some of the servers.
    servers: Vec<String>,
    /// At least one of the servers is at its rate limit.
    is_at_limit: bool,
}

impl HeldServers {
    /// Adds a server on hold.
    pub fn add(&mut self, server: &str, hold: Hold) {
        self.earliest_end = self.earliest_end.into_iter().chain(hold.until()).min();
        self.is_at_limit |= matches!(hold, Hold::AtLimit { .. });
        if self.servers.len() < MAX_LISTED_SERVERS {
            self.servers.push(server.to_string());
        }
    }

    /// Returns whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the time until the first hold ends; `None` if all of the servers are shutting down.
    pub fn ends_in(&self) -> Option<Duration> {
        self.earliest_end.map(|end| Duration::from_millis(end.saturating_sub(monotonic_ms())))
    }

    /// Returns the refusal for a caller that is not made to wait until a hold ends.
    pub fn refused(self) -> Unavailable {
        let Some(ends_in) = self.ends_in() else {
            return Unavailable { held: self.servers, ..ResultCode::NoServer.into() };
        };
        let remaining_ms = (ends_in.as_millis() as Millis).max(MIN_RETRY_AFTER_MS);
        let jitter_ms = (remaining_ms / 100 * RETRY_JITTER_PERCENT).min(MAX_RETRY_JITTER_MS);
        let retry_after_ms = remaining_ms.saturating_add(rand::rng().random_range(0..=jitter_ms));
        Unavailable {
            code: if self.is_at_limit { ResultCode::ServersAtLimit } else { ResultCode::ServersResting },
            free_in: Some(ends_in),
            retry_after_ms: Some(retry_after_ms),
            held: self.servers,
            decided_by: None,
            silence: None,
        }
    }
}

/// Why no server is available for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Time until the first hold ends, if the servers are on hold.
    pub free_in: Option<Duration>,
    /// When the caller may retry, in milliseconds, if known.
    pub retry_after_ms: Option<Millis>,
    /// Ids of servers on hold that could take the request.
    pub held: Vec<String>,
    /// Who decided that no group has a place, if that is the reason.
    pub decided_by: Option<ChosenBy>,
    /// The silence of the servers, if that is the reason.
    pub silence: Option<SilenceReport>,
}

impl From<ResultCode> for Unavailable {
    fn from(code: ResultCode) -> Unavailable {
        Unavailable {
            code,
            free_in: None,
            retry_after_ms: None,
            held: Vec::new(),
            decided_by: None,
            silence: None,
        }
    }
}
