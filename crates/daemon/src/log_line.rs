//! Lines of the log: one JSON object each, of a documented form.
//!
//! docs/OPERATIONS-GATEWAY.md lists the fields. [`SCHEMA_VERSION`] grows when a field changes its meaning or goes; fields
//! that are added leave it as it is.

use dockwood_api::ResultCode;
use serde::Serialize;

/// Version of the form of all lines.
pub const SCHEMA_VERSION: u8 = 1;

/// One line.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LogLine<'a> {
    /// [`SCHEMA_VERSION`].
    pub schema: u8,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The daemon.
    pub daemon: &'a str,
    /// What is told.
    #[serde(flatten)]
    pub body: LineBody<'a>,
}

/// What a line tells.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum LineBody<'a> {
    /// A change of what the daemon believes.
    Event(EventLine<'a>),
    /// An order that a server was sent.
    Order(OrderLine<'a>),
    /// How a request ended, and all that was decided on it.
    Request(RequestLine<'a>),
    /// A step of a request under which servers may end.
    Suspect(SuspectLine<'a>),
    /// A turn of the control thread took long.
    SlowTurn(SlowTurnLine),
    /// A fault of the daemon's own.
    Fault {
        /// What is wrong.
        message: &'a str,
    },
}

/// A change of what the daemon believes.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EventLine<'a> {
    /// Kind and name of what changed.
    pub subject: String,
    /// The change.
    pub reason: &'a str,
    /// For people.
    pub message: &'a str,
    /// Number of the result code.
    pub code: u16,
    /// Its name.
    pub code_name: &'static str,
    /// The revision that led to it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// An order that a server was sent.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct OrderLine<'a> {
    /// The order.
    pub order: String,
    /// Instance id.
    pub instance: &'a str,
    /// Group name; empty where it concerns none.
    pub group: &'a str,
    /// Group epoch.
    pub epoch: u64,
    /// The fence that it carried.
    pub fence: u64,
    /// What came of it.
    pub answer: String,
}

/// What becomes of a request under which servers may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum SuspectStep {
    /// A server ended that had it.
    Suspected,
    /// It is tried at a server.
    Tried,
    /// It was answered whole.
    Cleared,
    /// It is sent to no server.
    Refused,
}

impl SuspectStep {
    /// Its name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            SuspectStep::Suspected => "suspected",
            SuspectStep::Tried => "tried",
            SuspectStep::Cleared => "cleared",
            SuspectStep::Refused => "refused",
        }
    }

    /// The result by which its lines are counted, so that no step keeps the lines of another back.
    pub const fn code(self) -> ResultCode {
        match self {
            SuspectStep::Suspected => ResultCode::Interrupted,
            SuspectStep::Tried => ResultCode::TrialUnderWay,
            SuspectStep::Cleared => ResultCode::Ok,
            SuspectStep::Refused => ResultCode::RequestQuarantined,
        }
    }
}

/// A step of a request under which servers may end.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SuspectLine<'a> {
    /// The step.
    pub step: SuspectStep,
    /// What the request is recognised by.
    pub fingerprint: String,
    /// The caller's attempt id.
    pub request: &'a str,
    /// The server that ended, or at which it is tried.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instance: Option<&'a str>,
    /// Zone of that server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<&'a str>,
    /// Servers that speak against it, as this daemon knows by the log.
    pub servers: Vec<&'a str>,
    /// Age of the newest of that evidence, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence_age_ms: Option<u64>,
    /// Lines of this step that were held back since the last one that was written.
    pub held_back: u64,
}

/// A turn of the control thread that took long, and what took it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SlowTurnLine {
    /// The time that it worked, in milliseconds.
    pub took_ms: u64,
    /// Kinds of work that took a millisecond or more.
    pub work: Vec<WorkTime>,
    /// Lines on slow turns that were held back since the last one that was written.
    pub held_back: u64,
}

/// Time that one kind of work took in a turn.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkTime {
    /// The kind, as in the metric `dockwood_control_work_seconds`.
    pub work: &'static str,
    /// Its time, in milliseconds.
    pub took_ms: u64,
}

/// How a request ended, and all that was decided on it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RequestLine<'a> {
    /// The caller's attempt id; empty if it sent none.
    pub request: &'a str,
    /// Number of the result code.
    pub code: u16,
    /// Its name.
    pub code_name: &'static str,
    /// Tenant, where a key was known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<&'a str>,
    /// Route, where one was found.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<&'a str>,
    /// Service that its route led to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<&'a str>,
    /// Model that it named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<&'a str>,
    /// What it is recognised by when it comes again: the same in each try, at any daemon.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Version of the configuration that it was judged by.
    pub configuration: u64,
    /// What was left of the configuration lease when it ended, in milliseconds.
    pub lease_left_ms: u64,
    /// Age of the leader's last word on places at groups when it ended, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub places_age_ms: Option<u64>,
    /// From its arrival to its end, in milliseconds.
    pub took_ms: u64,
    /// The time that it had, in milliseconds.
    pub allowed_ms: u64,
    /// How long it waited for a place, in milliseconds.
    pub waited_ms: u64,
    /// From its arrival to the first event that was passed on, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
    /// Longest pause between two events that were passed on, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub longest_pause_ms: Option<u64>,
    /// Tokens of its prompt, for a model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u64>,
    /// Each server that it was sent to, in order.
    pub sends: &'a [SendLine],
    /// Some of the servers that would have taken it, where all of these rest or leave.
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    pub servers_held: &'a [String],
    /// Lines of this result that were held back since the last one that was written.
    pub held_back: u64,
}

/// One send of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SendLine {
    /// Instance id.
    pub instance: String,
    /// Epoch of its group, for a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// When, in milliseconds after the request's arrival.
    pub at_ms: u64,
    /// Who chose the server, for a model server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chosen_by: Option<ChosenBy>,
    /// How it ended, if it did not bring the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<String>,
    /// Status of the server's answer, if there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// For how long the server asked to be sent nothing, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The server said that it leaves.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Requests a second that the server said it takes from all senders together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_per_second: Option<f64>,
}

/// Who chose the group for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum ChosenBy {
    /// The control leader, or the dispatcher of its groups.
    Dispatcher,
    /// This entry, by its own figures.
    Entry,
}

impl<'a> EventLine<'a> {
    /// A change with its code.
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
