//! What servers ask of whoever sends to them, in the answers that they give: to be left alone for a while, or for good; and
//! which servers are held back for it.
//!
//! Invariants: a server that has asked for rest is sent nothing until that has passed, and then one request at a time until
//! it takes one; a server that has said that it leaves is sent nothing until it starts again.

mod named_limit;
mod signals;
mod table;

pub use named_limit::{NamedLimit, RequestRate};
pub use signals::{AnswerSignals, LeavingMark, RetryAfter};
pub use table::{Hold, PushbackTable, RestBegun, SendKind, ServerStart, return_spread_ms};
