//! Request traces with arrival times, one JSON object per line. docs/TRACES.md describes the format.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// A call of a plain service.
    Service,
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival time, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Kind of request.
    pub kind: RequestKind,
    /// Tenant name.
    pub tenant: String,
    /// Session, used for affinity.
    pub session: String,
    /// Model or service name.
    pub target: String,
    /// Prompt, or the body of a service call.
    pub prompt: String,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// Reads a trace. Arrival times must not decrease.
pub fn read_trace(path: &Path) -> io::Result<Vec<TraceRequest>> {
    let mut requests: Vec<TraceRequest> = Vec::new();
    for (number, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let at = |message: String| io::Error::other(format!("{}:{}: {message}", path.display(), number + 1));
        let request: TraceRequest = serde_json::from_str(&line?).map_err(|error| at(error.to_string()))?;
        if requests.last().is_some_and(|last| last.at_ms > request.at_ms) {
            return Err(at("arrival time is earlier than that of the previous request".to_string()));
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
