//! Servers that say how many requests a second they take, and what daemons tell each other of them.

use serde::{Deserialize, Serialize};

/// Rates are counted in thousandths of a request a second: servers name fractions.
const THOUSANDTHS: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    thousandths: u64,
}

impl RequestRate {
    /// So many thousandths of a request a second.
    pub const fn of_thousandths(thousandths: u64) -> RequestRate {
        RequestRate { thousandths }
    }

    /// So many requests a second, rounded down to a thousandth.
    pub fn of_requests(per_second: f64) -> RequestRate {
        RequestRate { thousandths: (per_second * THOUSANDTHS).floor() as u64 }
    }

    /// Thousandths of a request a second.
    pub const fn thousandths(self) -> u64 {
        self.thousandths
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / THOUSANDTHS
    }
}

/// One start of a server. What a server asked for ends with its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStart {
    /// Its id, or its address where it has none.
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch, as it tells itself; `None` if it doesn't.
    pub started_ms: Option<u64>,
}

/// What a daemon knows of a server's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The server.
    pub server: ServerStart,
    /// The rate that it named last.
    pub rate: RequestRate,
    /// It has answered without naming one since.
    pub has_ended: bool,
    /// How long ago that was heard, in milliseconds. An age, as daemons' clocks differ.
    pub heard_ago_ms: u64,
}

/// A daemon tells others of servers' limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// What it knows.
    pub limits: Vec<ServerLimit>,
    /// It leads the control group, and tells all daemons itself.
    pub is_from_leader: bool,
}

/// An entry asks for leave to send one request to a server that named a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The limit as the entry knows it.
    pub limit: ServerLimit,
    /// The request's rank; the most urgent has 0.
    pub rank: u32,
    /// The daemon that is asked takes the place of one that has not answered: it may be sharing out the same limit still.
    pub in_place_of_another: bool,
}

/// The answer to a [`TurnRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnReply {
    /// How long the entry should wait before it asks for this server again, in milliseconds; `None` if it may send now.
    pub wait_ms: Option<u64>,
    /// The limit as the daemon that was asked knows it; `None` if it knows of none any more.
    pub limit: Option<ServerLimit>,
}
