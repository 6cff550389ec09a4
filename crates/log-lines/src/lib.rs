//! Reads the daemons' logs: one JSON object a line, of the form that docs/OPERATIONS-GATEWAY.md documents.
//!
//! Fields that are not needed here, and kinds that this version doesn't know, are passed over, so that logs of a later
//! version can be read.

use quick_error::quick_error;
use serde::Deserialize;

/// Version of the form that is read.
pub const SCHEMA_VERSION: u64 = 1;

quick_error! {
    /// Why a line can't be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LineFault {
        /// No JSON object stands in it.
        NoObject {
            display("no JSON object")
        }
        /// It is cut off, or its fields are not those of its kind.
        Damaged(reason: String) {
            display("damaged: {reason}")
        }
        /// It is an object of another program, or of another form.
        Foreign {
            display("not a line of a daemon's log")
        }
    }
}

/// A line of a log.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Line {
    schema: u64,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The daemon.
    pub daemon: String,
    /// What is told.
    #[serde(flatten)]
    pub body: Body,
}

/// What a line tells.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum Body {
    /// A change of what the daemon believes.
    Event(Event),
    /// An order that a server was sent.
    Order(Order),
    /// How a request ended.
    Request(Request),
    /// A step of a request under which servers may end.
    Suspect(Suspect),
    /// A long turn of the control thread.
    SlowTurn(SlowTurn),
    /// A fault of the daemon's own.
    Fault(Fault),
    /// A kind that this version doesn't know.
    #[serde(other)]
    Other,
}

/// A change of what the daemon believes.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// Kind and name of what changed.
    pub subject: String,
    /// The change.
    pub reason: String,
    /// For people.
    pub message: String,
    /// The revision that led to it.
    pub revision: Option<u64>,
}

impl Event {
    /// Whether it tells of a request with this fingerprint, or of a server that ended while it had that request.
    pub fn is_about_request(&self, fingerprint: &str) -> bool {
        /// Prefix of the subjects of requests; the fingerprint follows.
        const REQUEST_SUBJECT: &str = "request/";
        /// Reason of the event that a server ended while it had requests, which it names.
        const ENDED: &str = "EndedUnderRequests";
        let is_subject = self.subject.strip_prefix(REQUEST_SUBJECT) == Some(fingerprint);
        is_subject || (self.reason == ENDED && self.message.contains(fingerprint))
    }

    /// The epoch of the group that it is about, if it is about one.
    pub fn group_epoch(&self) -> Option<u64> {
        /// Prefix of the subjects of groups; the epoch follows.
        const GROUP_SUBJECT: &str = "group/g";
        self.subject.strip_prefix(GROUP_SUBJECT)?.parse().ok()
    }
}

/// An order that a server was sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// The order.
    pub order: String,
    /// Instance id.
    pub instance: String,
    /// Group epoch.
    pub epoch: u64,
    /// What came of it.
    pub answer: String,
}

/// How a request ended, and what was decided on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Request {
    /// The caller's attempt id; empty if it sent none.
    pub request: String,
    /// Number of the result code.
    pub code: u16,
    /// Its name.
    pub code_name: String,
    /// Model that it named.
    pub model: Option<String>,
    /// What it is recognised by when it comes again, under whatever attempt id.
    pub fingerprint: Option<String>,
    /// Version of the configuration that it was judged by.
    pub configuration: u64,
    /// What was left of the configuration lease when it ended, in milliseconds.
    pub lease_left_ms: u64,
    /// Age of the leader's last word on places when it ended, in milliseconds.
    pub places_age_ms: Option<u64>,
    /// From its arrival to its end, in milliseconds.
    pub took_ms: u64,
    /// The time that it had, in milliseconds.
    pub allowed_ms: u64,
    /// How long it waited for a place, in milliseconds.
    pub waited_ms: u64,
    /// From its arrival to the first event that was passed on, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Longest pause between two events that were passed on, in milliseconds.
    pub longest_pause_ms: Option<u64>,
    /// Tokens of its prompt, for a model.
    pub prompt_tokens: Option<u64>,
    /// Each server that it was sent to, in order.
    pub sends: Vec<Send>,
    /// Some of the servers that would have taken it, where all of these rest or leave.
    #[serde(default)]
    pub servers_held: Vec<String>,
    /// Lines of this result that were held back since the last one that was written.
    pub held_back: u64,
}

/// One send of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Send {
    /// Instance id.
    pub instance: String,
    /// Epoch of its group, for a model server.
    pub epoch: Option<u64>,
    /// When, in milliseconds after the request's arrival.
    pub at_ms: u64,
    /// Who chose the server.
    pub chosen_by: Option<String>,
    /// How it ended, if it did not bring the answer.
    pub ended: Option<String>,
    /// Status of the server's answer, if there was one.
    pub status: Option<u16>,
    /// For how long the server asked to be sent nothing, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The server said that it leaves.
    #[serde(default)]
    pub leaving: bool,
    /// Requests a second that the server said it takes from all senders together.
    pub limit_per_second: Option<f64>,
}

/// A step of a request under which servers may end.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Suspect {
    /// The step.
    pub step: String,
    /// What the request is recognised by.
    pub fingerprint: String,
    /// The caller's attempt id.
    pub request: String,
    /// The server that ended, or at which it is tried.
    pub instance: Option<String>,
    /// Servers that speak against it.
    pub servers: Vec<String>,
}

/// A turn of the control thread that took long.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SlowTurn {
    /// The time that it worked, in milliseconds.
    pub took_ms: u64,
    /// Lines on slow turns that were held back since the last one.
    pub held_back: u64,
}

/// A fault of the daemon's own.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// What is wrong.
    pub message: String,
}

/// What a line must have to be one of a daemon's.
#[derive(Deserialize)]
struct Form {
    schema: u64,
}

/// Reads a line. What stands before the object, such as a collector's time and host, is passed over.
pub fn parse(text: &str) -> Result<Line, LineFault> {
    let start = text.find('{').ok_or(LineFault::NoObject)?;
    let object = &text[start..];
    match serde_json::from_str::<Line>(object) {
        Ok(line) if line.schema == SCHEMA_VERSION => Ok(line),
        Ok(_) => Err(LineFault::Foreign),
        Err(error) => Err(fault_of(object, &error)),
    }
}

/// Why an object is no line: it is damaged, or another program's.
fn fault_of(object: &str, error: &serde_json::Error) -> LineFault {
    let damaged = |error: &serde_json::Error| LineFault::Damaged(error.to_string());
    match serde_json::from_str::<serde_json::Value>(object) {
        Err(error) => damaged(&error),
        Ok(whole) => match serde_json::from_value::<Form>(whole) {
            Ok(form) if form.schema == SCHEMA_VERSION => damaged(error),
            _ => LineFault::Foreign,
        },
    }
}
