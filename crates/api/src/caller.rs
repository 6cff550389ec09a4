//! The API for callers: headers, entry discovery, request outcomes, and OpenAI-compatible chat completions.

use serde::{Deserialize, Serialize};

/// The caller's own request id; a request that is sent again with the same key is the same request.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header: the request id. Set on every response.
pub const HEADER_REQUEST_ID: &str = "dockwood-request-id";
/// `yes` or `no`: whether the request may be run more than once.
pub const HEADER_REPEATABLE: &str = "dockwood-repeatable";
/// How long the caller waits for the response, in milliseconds from the arrival of the request.
pub const HEADER_DEADLINE_MS: &str = "dockwood-deadline-ms";
/// The caller's session; requests of one session are preferably routed to the same entry and replica.
pub const HEADER_SESSION: &str = "dockwood-session";
/// Response header of a refusal: the outcome, `not-run` or `unknown`.
pub const HEADER_OUTCOME: &str = "dockwood-outcome";
/// Response header: how long the request waited for a slot, in milliseconds.
pub const HEADER_QUEUE_MS: &str = "dockwood-queue-ms";

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of it has been executed or will be.
    NotRun,
    /// It was dispatched and has not ended.
    Running,
    /// It ended with a complete response.
    Done,
    /// It was dispatched, and its result can't be determined.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as written in headers and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Running => "running",
            Outcome::Done => "done",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Response to `GET /v1/entry`: addresses to use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryAnswer {
    /// `http://IP:PORT` of daemons that accept new requests.
    pub addresses: Vec<String>,
    /// How long the response may be cached.
    pub lifetime_seconds: u64,
    /// The configuration revision that the response is based on.
    pub revision: u64,
}

/// Response to `GET /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OutcomeAnswer {
    /// The request id.
    pub id: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Result code, once the request has ended.
    pub code: Option<u16>,
    /// Whether the complete response is stored and can be fetched from `/v1/requests/{id}/answer`.
    pub answer_kept: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`. Unknown fields are ignored, because clients of OpenAI-compatible APIs
/// send many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Resource name of the model or adapter.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens in the response.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

impl ChatRequest {
    /// Returns the conversation as one prompt with a line `role: text` per message.
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }
}

/// Body of a chat completion that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Request id with the prefix `chatcmpl-`.
    pub id: String,
    /// `chat.completion`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model of the request.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    pub usage: ChatUsage,
}

/// The choice of a completion that is not streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The generated message.
    pub message: ChatMessage,
    /// Why generation ended, `stop` or `length`.
    pub finish_reason: String,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

/// One server-sent event of a streamed completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Request id with the prefix `chatcmpl-`.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model of the request.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<ChunkChoice>,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The part of the message in this chunk.
    pub delta: ChunkDelta,
    /// Set on the last chunk.
    pub finish_reason: Option<String>,
}

/// Part of the message in a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// `assistant`, on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text to append.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// A model in the response to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name to use in requests.
    pub id: String,
    /// `model`.
    pub object: String,
    /// `dockwood`.
    pub owned_by: String,
}

/// Response to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// Models that the tenant may use.
    pub data: Vec<ModelEntry>,
}
