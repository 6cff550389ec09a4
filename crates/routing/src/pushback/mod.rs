//! Backpressure signals that servers send in their answers, and the servers that are held back because of
//! them: a server can ask for a backoff period, announce that it is leaving, or declare a limit in requests
//! per second.
//!
//! Invariants: a server that has asked for a backoff period is sent nothing until the period has passed, and
//! then one probe request at a time until it accepts one; a server that has announced that it is leaving is
//! sent nothing until it restarts; a server that has declared a limit receives no more than that from all
//! senders together, because every sender requests a turn from the same daemon for every request.

mod limits;
mod named_limit;
mod signals;
mod stand_in_turns;
mod table;
mod turns;

pub use dockwood_api::gateway::{RequestRate, ServerStart};
pub use limits::{LimitChange, LimitObservation, LimitTable};
pub use named_limit::NamedLimit;
pub use signals::{AnswerSignals, LeavingMark, RetryAfter};
pub use stand_in_turns::StandInTurns;
pub use table::{BackoffStarted, Hold, PushbackTable, SendKind, return_spread_ms};
pub use turns::{Turn, TurnAllocator, TurnShare, interval_ms};
