//! Parses the logs of daemons: one JSON object per line, in the format documented in docs/OPERATIONS-GATEWAY.md.
//!
//! Fields that are not needed here and unknown kinds of lines are ignored, so that logs of later versions can be
//! read.

use quick_error::quick_error;
use serde::Deserialize;

/// The supported version of the log format.
pub const SCHEMA_VERSION: u64 = 1;

quick_error! {
    /// Why a line can't be parsed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LineError {
        /// The line contains no JSON object.
        NoObject {
            display("no JSON object")
        }
        /// The line is truncated, or its fields are not those of its kind.
        Damaged(reason: String) {
            display("damaged: {reason}")
        }
        /// The line is an object of another program, or in another version of the format.
        Foreign {
            display("not a daemon log line")
        }
    }
}

/// A log line.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Line {
    schema: u64,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the daemon.
    pub daemon: String,
    /// Content of the line.
    #[serde(flatten)]
    pub body: Body,
}

/// Content of a line, by kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum Body {
    /// A state change as observed by the daemon.
    Event(Event),
    /// An order that was sent to a server.
    Order(Order),
    /// The end of a request.
    Request(Request),
    /// A step in the handling of a request that is suspected of crashing servers.
    Suspect(Suspect),
    /// A slow turn of the control thread.
    SlowTurn(SlowTurn),
    /// An internal fault of the daemon.
    Fault(Fault),
    /// A line of unknown kind.
    #[serde(other)]
    Other,
}

/// A state change as observed by the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Event {
    /// Kind and name of the subject that changed.
    pub subject: String,
    /// What changed, as a fixed identifier.
    pub reason: String,
    /// Human-readable details.
    pub message: String,
    /// The revision that caused it, if any.
    pub revision: Option<u64>,
}

impl Event {
    /// Whether the event is about the request with this fingerprint, or about a server that ended while it was running
    /// that request.
    pub fn is_about_request(&self, fingerprint: &str) -> bool {
        /// Prefix of request subjects, followed by the fingerprint.
        const REQUEST_PREFIX: &str = "request/";
        /// Reason of events about a server that ended while it was running requests; the message lists them.
        const ENDED_REASON: &str = "EndedUnderRequests";
        let is_subject = self.subject.strip_prefix(REQUEST_PREFIX) == Some(fingerprint);
        is_subject || (self.reason == ENDED_REASON && self.message.contains(fingerprint))
    }

    /// Whether the event is about this part of prompts.
    pub fn is_about_part(&self, part: &str) -> bool {
        /// Prefix of the subjects of parts, followed by the name.
        const PART_PREFIX: &str = "promptPart/";
        self.subject.strip_prefix(PART_PREFIX) == Some(part)
    }

    /// Returns the epoch of the group that the event is about, if any.
    pub fn group_epoch(&self) -> Option<u64> {
        /// Prefix of group subjects, followed by the epoch.
        const GROUP_PREFIX: &str = "group/g";
        self.subject.strip_prefix(GROUP_PREFIX)?.parse().ok()
    }
}

/// An order that was sent to a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// Name of the order.
    pub order: String,
    /// Instance id.
    pub instance: String,
    /// Group epoch.
    pub epoch: u64,
    /// Result of sending it.
    pub answer: String,
}

/// The end of a request, with the decisions that were made for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Request {
    /// The caller's attempt id; empty if the caller sent none.
    pub request: String,
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub code_name: String,
    /// Requested model.
    pub model: Option<String>,
    /// Fingerprint of the request, which is the same for all attempts.
    pub fingerprint: Option<String>,
    /// Version of the configuration that was applied to it.
    pub configuration: u64,
    /// Remaining time of the configuration lease when it ended, in milliseconds.
    pub lease_left_ms: u64,
    /// Age of the leader's last response on places when it ended, in milliseconds.
    pub places_age_ms: Option<u64>,
    /// Time from its arrival to its end, in milliseconds.
    pub took_ms: u64,
    /// Maximum time allowed for it, in milliseconds.
    pub allowed_ms: u64,
    /// Time for which it waited for a place, in milliseconds.
    pub waited_ms: u64,
    /// Time from its arrival to the first event that was forwarded, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Longest pause between two forwarded events, in milliseconds.
    pub longest_pause_ms: Option<u64>,
    /// Prompt tokens; set for requests to models only.
    pub prompt_tokens: Option<u64>,
    /// Sends to servers, in order.
    pub sends: Vec<Send>,
    /// Some of the servers that could have accepted it, if all of these requested a back-off or announced their
    /// shutdown.
    #[serde(default)]
    pub servers_held: Vec<String>,
    /// Number of lines with this result that were suppressed since the last one that was written.
    pub held_back: u64,
}

/// A send of a request to a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Send {
    /// Instance id.
    pub instance: String,
    /// Epoch of its group; set for model engines only.
    pub epoch: Option<u64>,
    /// Time of the send, in milliseconds after the arrival of the request.
    pub at_ms: u64,
    /// Which component selected the server.
    pub chosen_by: Option<String>,
    /// How the send ended, if it did not produce the response.
    pub ended: Option<String>,
    /// HTTP status of the server's response, if there was one.
    pub status: Option<u16>,
    /// Back-off requested by the server, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether the server announced its shutdown.
    #[serde(default)]
    pub leaving: bool,
    /// Rate limit declared by the server, in requests per second from all senders combined.
    pub limit_per_second: Option<f64>,
}

/// A step in the handling of a request that is suspected of crashing servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Suspect {
    /// Name of the step.
    pub step: String,
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// The caller's attempt id.
    pub request: String,
    /// The server that ended, or on which the request is tried.
    pub instance: Option<String>,
    /// Servers whose crashes are evidence against the request.
    pub servers: Vec<String>,
    /// The part of its prompt that is quarantined, if any is.
    #[serde(default)]
    pub quarantined_part: Option<String>,
}

/// A slow turn of the control thread.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SlowTurn {
    /// Duration of the work, in milliseconds.
    pub took_ms: u64,
    /// Number of lines about slow turns that were suppressed since the last one that was written.
    pub held_back: u64,
}

/// An internal fault of the daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Description of the fault.
    pub message: String,
}

/// The field that identifies a line of a daemon's log.
#[derive(Deserialize)]
struct SchemaField {
    schema: u64,
}

/// Parses a line. Text before the object, such as the time and host added by a log collector, is ignored.
pub fn parse(text: &str) -> Result<Line, LineError> {
    let start = text.find('{').ok_or(LineError::NoObject)?;
    let object = &text[start..];
    match serde_json::from_str::<Line>(object) {
        Ok(line) if line.schema == SCHEMA_VERSION => Ok(line),
        Ok(_) => Err(LineError::Foreign),
        Err(error) => Err(classify_error(object, &error)),
    }
}

/// Determines why an object is not a valid line: it is damaged, or was written by another program.
fn classify_error(object: &str, error: &serde_json::Error) -> LineError {
    let damaged = |error: &serde_json::Error| LineError::Damaged(error.to_string());
    match serde_json::from_str::<serde_json::Value>(object) {
        Err(error) => damaged(&error),
        Ok(value) => match serde_json::from_value::<SchemaField>(value) {
            Ok(field) if field.schema == SCHEMA_VERSION => damaged(error),
            _ => LineError::Foreign,
        },
    }
}
