//! Log lines: one JSON object each, in a documented format.
//!
//! docs/OPERATIONS-GATEWAY.md lists the fields. [`SCHEMA_VERSION`] is incremented when a field is removed or
//! changes its meaning, but not when a field is added.

use crate::connection_line::CallerConnectionLine;
use crate::gateway::ConnectFault;
use crate::response_framing::HeadFault;
use dockwood_api::ResultCode;
use serde::Serialize;

/// Version of the format of all lines.
pub const SCHEMA_VERSION: u8 = 1;

/// One log line.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LogLine<'a> {
    /// [`SCHEMA_VERSION`].
    pub schema: u8,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the daemon.
    pub daemon: &'a str,
    /// Content of the line.
    #[serde(flatten)]
    pub body: LineBody<'a>,
}

/// Content of a log line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum LineBody<'a> {
    /// A timeline event.
    Event(EventLine<'a>),
    /// A group order and its answer.
    Order(OrderLine<'a>),
    /// The outcome of a request and the decisions that led to it.
    Request(RequestLine<'a>),
    /// The end of a caller's connection on which a request got no whole answer.
    CallerConnection(CallerConnectionLine<'a>),
    /// How much of a service's retry budget this daemon has used.
    RetryBudget(RetryBudgetLine<'a>),
    /// A step in the handling of a suspected poison request.
    Suspect(SuspectLine<'a>),
    /// A slow turn of the control thread.
    SlowTurn(SlowTurnLine),
    /// An internal error of the daemon.
    Fault {
        /// Error message.
        message: &'a str,
    },
}

/// A timeline event.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EventLine<'a> {
    /// Kind and name of what changed.
    pub subject: String,
    /// Kind of change.
    pub reason: &'a str,
    /// Human-readable message.
    pub message: &'a str,
    /// Number of the result code.
    pub code: u16,
    /// Its name.
    pub code_name: &'static str,
    /// The revision that caused it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// A group order and its answer.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct OrderLine<'a> {
    /// The order.
    pub order: String,
    /// Instance id.
    pub instance: &'a str,
    /// Group name; empty if the order concerns no group.
    pub group: &'a str,
    /// Group epoch.
    pub epoch: u64,
    /// Fence of the order.
    pub fence: u64,
    /// Answer of the server, or why there is none.
    pub answer: String,
}

/// How much of a service's retry budget an entry has used.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RetryBudgetLine<'a> {
    /// Service.
    pub service: &'a str,
    /// Time since the start of the process, in milliseconds.
    pub running_ms: u64,
    /// Number of entries that the fixed number of retries is divided by.
    pub entries: u64,
    /// Requests to the service within the last window.
    pub requests: u64,
    /// Retries within the last window.
    pub retries: u64,
    /// Retries refused since the last line.
    pub refused: u64,
}

/// Step in the handling of a suspected poison request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum SuspectStep {
    /// A server crashed while it ran the request.
    Suspected,
    /// The connection to a server broke while it had the request, and the server is not known to have crashed.
    Unclear,
    /// The request is on trial at a server.
    Tried,
    /// The request was answered completely.
    Cleared,
    /// The request is rejected without being sent to a server.
    Refused,
}

impl SuspectStep {
    /// Label value in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            SuspectStep::Suspected => "suspected",
            SuspectStep::Unclear => "unclear",
            SuspectStep::Tried => "tried",
            SuspectStep::Cleared => "cleared",
            SuspectStep::Refused => "refused",
        }
    }

    /// Result code whose line budget applies, a different one for each step, so that the lines of one step never suppress
    /// those of another.
    pub const fn code(self) -> ResultCode {
        match self {
            SuspectStep::Suspected => ResultCode::Interrupted,
            SuspectStep::Unclear => ResultCode::OutcomeUnknown,
            SuspectStep::Tried => ResultCode::TrialUnderWay,
            SuspectStep::Cleared => ResultCode::Ok,
            SuspectStep::Refused => ResultCode::RequestQuarantined,
        }
    }
}

/// A step in the handling of a suspected poison request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SuspectLine<'a> {
    /// The step.
    pub step: SuspectStep,
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// The caller's attempt id.
    pub request: &'a str,
    /// The server that crashed, or that the request is on trial at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instance: Option<&'a str>,
    /// Zone of that server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<&'a str>,
    /// Servers that crashed while they ran the request, according to the replicated log as applied here.
    pub servers: Vec<&'a str>,
    /// What a connection attempt to that server found after the connection broke: `refused`, `connected` or `unreachable`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub check_found: Option<&'static str>,
    /// Time between the break and this finding, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub check_after_ms: Option<u64>,
    /// How long that server had been sending its response before the connection broke, in milliseconds; absent if it had
    /// sent nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub responding_ms: Option<u64>,
    /// The parts of the prompt that are quarantined, if there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantined_part: Option<String>,
    /// Parts of the prompt that other requests may share.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prompt_parts: Vec<&'a str>,
    /// Age of the newest of these crashes, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence_age_ms: Option<u64>,
    /// Number of lines on this step suppressed since the last written one.
    pub held_back: u64,
}

/// A slow turn of the control thread, with the time spent on each kind of work.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SlowTurnLine {
    /// Duration of the turn without idle time, in milliseconds.
    pub took_ms: u64,
    /// Kinds of work that took a millisecond or more.
    pub work: Vec<WorkTime>,
    /// Number of lines on slow turns suppressed since the last written one.
    pub held_back: u64,
}

/// Time spent on one kind of work in a turn.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkTime {
    /// The kind, as in the metric `dockwood_control_work_seconds`.
    pub work: &'static str,
    /// The time, in milliseconds.
    pub took_ms: u64,
}

/// The outcome of a request and the decisions that led to it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RequestLine<'a> {
    /// The caller's attempt id; empty if the caller sent none.
    pub request: &'a str,
    /// Number of the result code.
    pub code: u16,
    /// Its name.
    pub code_name: &'static str,
    /// Tenant, if the key is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<&'a str>,
    /// Route, if one was found.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<&'a str>,
    /// Service of the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<&'a str>,
    /// Model that the request specified.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<&'a str>,
    /// Fingerprint of the request, which is the same for each retry at any daemon.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Version of the configuration that was applied to the request.
    pub configuration: u64,
    /// Remaining time of the configuration lease at the end of the request, in milliseconds.
    pub lease_left_ms: u64,
    /// Age of the leader's last report on places at groups at the end of the request, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub places_age_ms: Option<u64>,
    /// Time from the arrival to the end of the request, in milliseconds.
    pub took_ms: u64,
    /// Time limit of the request, in milliseconds.
    pub allowed_ms: u64,
    /// Time that the request waited for a place, in milliseconds.
    pub waited_ms: u64,
    /// Time from the arrival to the first event forwarded to the caller, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
    /// Longest pause between two forwarded events, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub longest_pause_ms: Option<u64>,
    /// Number of prompt tokens, for a request to a model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u64>,
    /// The attempts to send the request to a server, in order.
    pub sends: &'a [SendLine],
    /// The groups that may run the request, if no place was found for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub no_place: Option<PlacesSummary>,
    /// Why the request was sent to no other source when the last one had stalled or failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub no_other_source: Option<NoOtherSource>,
    /// Some of the eligible servers, if all of these are on hold.
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    pub servers_held: &'a [String],
    /// Number of lines with this result code suppressed since the last written one.
    pub held_back: u64,
}

/// The groups that may run a request, as known to the entry when it refused the request.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PlacesSummary {
    /// Who decided that no group has a place.
    pub decided_by: Option<ChosenBy>,
    /// Number of groups.
    pub groups: u32,
    /// Number of groups that are avoided, as they stalled or refused a connection.
    pub avoided: u32,
    /// Number of places at all groups.
    pub places: u32,
    /// Requests in flight from this entry.
    pub own_in_flight: u32,
    /// Requests in flight from the other entries.
    pub others_in_flight: u32,
}

/// One attempt to send a request to a server.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SendLine {
    /// Instance id.
    pub instance: String,
    /// Epoch of its group, for a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// Time since the arrival of the request, in milliseconds.
    pub at_ms: u64,
    /// Who chose the server, for a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chosen_by: Option<ChosenBy>,
    /// How its source stalled, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<StallLine>,
    /// Outcome, if the attempt did not provide the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<String>,
    /// Why the request was not written to the server, if it was not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub withheld: Option<&'static str>,
    /// Why no connection to the server was established, if none was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connect_fault: Option<ConnectFault>,
    /// Where the grant for the request came from, if the server has a rate limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turn_from: Option<&'static str>,
    /// Time between the request for that grant and the send, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turn_age_ms: Option<u64>,
    /// HTTP status of the server's response, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Why the head of the server's response could not be used, if it could not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub head_fault: Option<HeadFault>,
    /// Back-off that the server requested by `Retry-After`, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the server announced that it shuts down.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Rate limit announced by the server, in requests per second from all senders together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_per_second: Option<f64>,
}

/// Why a stream whose source stalled or failed was sent to no other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum NoOtherSource {
    /// The request is suspected of crashing servers, and may not be sent to another one now.
    Suspect,
    /// No server or group has a place.
    NoPlace,
    /// This daemon has lost its lease, or the API key is no longer accepted.
    NoLease,
    /// The retry budget is used up.
    RetryBudget,
    /// The request was sent to as many servers as its route allows.
    AttemptsUsed,
    /// There was no connection to the source that was selected, or the request may no longer be written to it.
    NotReached,
}

impl NoOtherSource {
    /// Label value in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            NoOtherSource::Suspect => "suspect",
            NoOtherSource::NoPlace => "noPlace",
            NoOtherSource::NoLease => "noLease",
            NoOtherSource::RetryBudget => "retryBudget",
            NoOtherSource::AttemptsUsed => "attemptsUsed",
            NoOtherSource::NotReached => "notReached",
        }
    }
}

/// A source that has sent nothing for so long that another one is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StallLine {
    /// How the stall was detected.
    pub cause: StallCause,
    /// Time since its last event or since the send, in milliseconds.
    pub silent_ms: u64,
    /// Groups of the model that process requests of this entry.
    pub groups_in_use: u32,
    /// Those of them that have sent this entry nothing for the same time.
    pub groups_silent: u32,
}

/// How a stall was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum StallCause {
    /// The source sent nothing for longer than expected.
    Silent,
    /// The control leader has closed the group.
    GroupClosed,
}

/// Which component chose the group for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum ChosenBy {
    /// The control leader, or the dispatcher of its groups.
    Dispatcher,
    /// This entry, based on its own load data.
    Entry,
}

impl<'a> EventLine<'a> {
    /// Creates an event line.
    pub fn new(
        subject: String,
        reason: &'a str,
        message: &'a str,
        code: ResultCode,
        revision: Option<u64>,
    ) -> Self {
        EventLine { subject, reason, message, code: code.number(), code_name: code.name(), revision }
    }
}
