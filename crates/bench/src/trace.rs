//! Traces: requests with their arrival times, one JSON object a line. docs/TRACES.md describes the format.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// A call of a plain service.
    Service,
}

/// One recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival, in milliseconds from the trace's start.
    pub at_ms: u64,
    /// What it is for.
    pub kind: RequestKind,
    /// Tenant name.
    pub tenant: String,
    /// Session, for affinity.
    pub session: String,
    /// Model or service name.
    pub target: String,
    /// Prompt, or the body of a service call.
    pub prompt: String,
    /// Bound of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// Reads a trace. Arrivals must not go back in time.
pub fn read_trace(path: &Path) -> io::Result<Vec<TraceRequest>> {
    let mut requests: Vec<TraceRequest> = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let at = |message: String| io::Error::other(format!("{}:{}: {message}", path.display(), number + 1));
        let request: TraceRequest = serde_json::from_str(&line?).map_err(|error| at(error.to_string()))?;
        if requests.last().is_some_and(|last| last.at_ms > request.at_ms) {
            return Err(at("arrives before the request above it".to_string()));
        }
        requests.push(request);
    }
    Ok(requests)
}

/// Writes a trace.
pub fn write_trace(path: &Path, requests: &[TraceRequest]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for request in requests {
        serde_json::to_writer(&mut file, request)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
