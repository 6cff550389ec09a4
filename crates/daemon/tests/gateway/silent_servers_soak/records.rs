//! What servers and callers have recorded, which the checks compare.

pub use dockwood_daemon::lock::lock;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of events of a stream.
pub const EVENTS: u64 = 40;
/// Bytes in the body of a plain response.
const PLAIN_BYTES: usize = 2_000;

/// Text of an event of the stream for one attempt.
pub fn event_text(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: event {id:02} of {attempt}\n\n")
}

/// Body of the whole response to a request.
pub fn whole_body(kind: CallKind, attempt: &str) -> String {
    match kind.is_stream() {
        true => (1..=EVENTS).map(|id| event_text(attempt, id)).collect(),
        false => plain_body(attempt),
    }
}

/// Body of a plain response.
pub fn plain_body(attempt: &str) -> String {
    format!("answer to {attempt}\n").repeat(PLAIN_BYTES / (attempt.len() + 11))
}

/// The kinds of requests, by what may happen to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    ResumableStream,
    StreamAtMostOnce,
    PlainRepeatable,
    PlainAtMostOnce,
}

impl CallKind {
    pub const ALL: [CallKind; 4] = [
        CallKind::ResumableStream,
        CallKind::StreamAtMostOnce,
        CallKind::PlainRepeatable,
        CallKind::PlainAtMostOnce,
    ];

    /// Name of the route for such requests.
    pub fn route(self) -> &'static str {
        match self {
            CallKind::ResumableStream => "stream",
            CallKind::StreamAtMostOnce => "stream-once",
            CallKind::PlainRepeatable => "plain",
            CallKind::PlainAtMostOnce => "once",
        }
    }

    /// Name of the service that runs them.
    pub fn service(self) -> &'static str {
        if self.is_stream() { "writer" } else { "board" }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::ResumableStream | CallKind::StreamAtMostOnce)
    }

    pub fn max_runs(self) -> usize {
        match self {
            CallKind::ResumableStream | CallKind::PlainRepeatable => 2,
            CallKind::StreamAtMostOnce | CallKind::PlainAtMostOnce => 1,
        }
    }
}

/// How a run at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole response was written.
    Complete,
    /// The entry closed the connection before.
    ClosedByEntry,
    /// The process of the server ended.
    Crashed,
    /// The process of another member of the group had ended.
    MemberCrashed,
    /// Another member of the group was ordered to leave it.
    MemberLeft,
    /// The group was ordered to abort its requests.
    Truncated,
    /// The server did not run the request, and said so.
    Rejected,
    /// The server broke the connection, as a defect of the test itself.
    Dropped,
}

/// A request that a server has received.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub last_event: u64,
    pub received_at: Instant,
    /// Number of events written.
    pub events: u64,
    /// How and when it ended; `None` while it is running.
    pub end: Option<(RunEnd, Instant)>,
}

impl Run {
    pub fn ended_as(&self, end: RunEnd) -> bool {
        self.end.is_some_and(|(other, _)| other == end)
    }
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response of its own.
    Whole,
    /// A complete response that is not its own or lacks a part.
    Wrong(String),
    /// A complete error response.
    Error { status: u16, text: String },
    /// The beginning of the response, as it should be, until the connection broke.
    Cut(String),
    /// The connection broke before a response.
    NoResponse(String),
    /// There was no connection.
    NotConnected,
    /// No response in the time that the test allows.
    Late,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub kind: CallKind,
    pub entry: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub deadline: Duration,
    pub outcome: Outcome,
}

/// The runs at all servers, in the order of receipt.
#[derive(Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Records that a server has received a request.
    pub fn open(self: &Arc<Self>, attempt: &str, server: &str, last_event: u64) -> OpenRun {
        let mut runs = lock(&self.runs);
        runs.push(Run {
            attempt: attempt.to_string(),
            server: server.to_string(),
            last_event,
            received_at: Instant::now(),
            events: 0,
            end: None,
        });
        OpenRun { log: self.clone(), number: runs.len() - 1 }
    }

    pub fn all(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }
}

/// A run in progress. Counts as crashed if it is dropped before its end.
pub struct OpenRun {
    log: Arc<RunLog>,
    number: usize,
}

impl OpenRun {
    pub fn count_event(&self) {
        lock(&self.log.runs)[self.number].events += 1;
    }

    /// Records the end; only the first one counts.
    pub fn end(&self, end: RunEnd) {
        lock(&self.log.runs)[self.number].end.get_or_insert((end, Instant::now()));
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.end(RunEnd::Crashed);
    }
}
