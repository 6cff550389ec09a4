//! What servers ask of whoever sends to them, in the answers that they give: to be left alone for a while, or for good.

mod signals;

pub use signals::{AnswerSignals, LeavingMark, RetryAfter};
