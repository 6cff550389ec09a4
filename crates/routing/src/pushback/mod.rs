//! What servers ask of whoever sends to them, in the answers that they give: to be left alone for a while, or for good, or to
//! be sent no more than so many requests a second; and which servers are held back for it.
//!
//! Invariants: a server that has asked for rest is sent nothing until that has passed, and then one request at a time until
//! it takes one; a server that has said that it leaves is sent nothing until it starts again; a server that has named a
//! limit gets no more than that from all senders together, each of which asks one of them for every request.

mod limits;
mod named_limit;
mod signals;
mod table;
mod turns;

pub use dockwood_api::gateway::{RequestRate, ServerStart};
pub use limits::{Heard, LimitChange, LimitTable};
pub use named_limit::NamedLimit;
pub use signals::{AnswerSignals, LeavingMark, RetryAfter};
pub use table::{Hold, PushbackTable, RestBegun, SendKind, return_spread_ms};
pub use turns::{Turn, TurnBook, TurnShare, interval_ms};
