//! Rate limits that servers declare, and the messages with which daemons share and enforce them.

use serde::{Deserialize, Serialize};

/// Thousandths of a request per second in one request per second. Rates are stored as an integer number of
/// thousandths, because servers declare fractional rates.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;

/// A request rate, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    thousandths: u64,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_thousandths(thousandths: u64) -> RequestRate {
        RequestRate { thousandths }
    }

    /// Creates a rate from requests per second, rounded down to a thousandth.
    pub fn from_per_second(per_second: f64) -> RequestRate {
        RequestRate { thousandths: (per_second * THOUSANDTHS_PER_UNIT).floor() as u64 }
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn thousandths(self) -> u64 {
        self.thousandths
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / THOUSANDTHS_PER_UNIT
    }
}

/// Identifies one run of a server process. Limits that a server declared end with its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStart {
    /// Id of the server, or its address if it has no id.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch; `None` if not reported.
    pub started_ms: Option<u64>,
}

/// A server's rate limit, as known to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The server.
    pub server: ServerStart,
    /// The rate that the server declared last.
    pub rate: RequestRate,
    /// Whether the server has responded without declaring a limit since.
    pub has_ended: bool,
    /// Time since this was observed, in milliseconds. An age rather than a timestamp, because the clocks of daemons
    /// differ.
    pub heard_ago_ms: u64,
}

/// Servers' rate limits, sent by one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limits known to the sender.
    pub limits: Vec<ServerLimit>,
    /// Whether the sender is the control leader, which sends the limits to all daemons itself.
    pub is_from_leader: bool,
}

/// An entry's request for permission to send one request to a server that declared a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The limit as known to the entry.
    pub limit: ServerLimit,
    /// Priority of the request; 0 is the highest.
    pub rank: u32,
    /// Whether the receiver replaces a daemon that didn't respond, and that may still be allocating the same limit.
    pub in_place_of_another: bool,
    /// Turns that the entry used for this server while the receiver did not respond; `None` if there are none to report.
    pub elsewhere: Option<TurnsElsewhere>,
}

/// Turns that an entry used for a server and that the receiver did not grant: those whose numbers are above `after`, up to
/// `through`. An entry numbers these turns in the order of use, and reports them until it gets a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnsElsewhere {
    /// Identifies the run of the entry that numbered the turns.
    pub sender: u64,
    /// Number of the turn before the first one.
    pub after: u64,
    /// Number of the last one.
    pub through: u64,
}

/// Response to a [`TurnRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnReply {
    /// Time before the entry should ask for this server again, in milliseconds; `None` if it may send now.
    pub wait_ms: Option<u64>,
    /// The limit as known to the responding daemon; `None` if it no longer knows of one.
    pub limit: Option<ServerLimit>,
}
