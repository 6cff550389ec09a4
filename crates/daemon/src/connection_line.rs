//! Log line on a caller's connection that ended before a request on it was answered completely.

use dockwood_api::ResultCode;
use serde::Serialize;

/// What a connection still owed its caller when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Unanswered {
    /// A part of a request was received that is not a complete and valid head.
    IncompleteRequest,
    /// The request line counts the request as ended, but its response was not written completely.
    UnwrittenResponse,
}

impl Unanswered {
    /// Label value in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Unanswered::IncompleteRequest => "incompleteRequest",
            Unanswered::UnwrittenResponse => "unwrittenResponse",
        }
    }

    /// Result code whose line budget applies, a different one for each variant.
    pub const fn budget_code(self) -> ResultCode {
        match self {
            Unanswered::IncompleteRequest => ResultCode::BadHeader,
            Unanswered::UnwrittenResponse => ResultCode::Interrupted,
        }
    }
}

/// Who or what ended a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum ConnectionEnd {
    /// The caller closed or reset it.
    Caller,
    /// The caller read nothing for too long.
    UnreadResponse,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// The caller sent bytes that are no valid request.
    BadRequest,
    /// The daemon closed it for a planned stop.
    PlannedStop,
    /// The daemon closed it to make room for another one.
    Displaced,
    /// The process ended.
    ProcessEnded,
    /// Another fault of the connection.
    Failed,
}

impl ConnectionEnd {
    /// Label value in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Caller => "caller",
            ConnectionEnd::UnreadResponse => "unreadResponse",
            ConnectionEnd::HeadTimeout => "headTimeout",
            ConnectionEnd::BadRequest => "badRequest",
            ConnectionEnd::PlannedStop => "plannedStop",
            ConnectionEnd::Displaced => "displaced",
            ConnectionEnd::ProcessEnded => "processEnded",
            ConnectionEnd::Failed => "failed",
        }
    }
}

/// A caller's connection that ended before a request on it was answered completely.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CallerConnectionLine<'a> {
    /// The caller's attempt id; empty if it is not known.
    pub request: &'a str,
    /// What the connection still owed its caller.
    pub unanswered: Unanswered,
    /// Who or what ended the connection.
    pub ended_by: ConnectionEnd,
    /// HTTP status of the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Bytes received since the last response was written.
    pub received_bytes: u64,
    /// How long the connection was open, in milliseconds.
    pub open_ms: u64,
    /// Number of such lines suppressed since the last written one.
    pub held_back: u64,
}
