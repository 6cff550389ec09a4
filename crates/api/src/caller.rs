//! What callers see: headers, the entry answer, request outcomes, and chat completions in the OpenAI form.

use serde::{Deserialize, Serialize};

/// The caller's own request id; a resend under the same key is the same request.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The request id, on every answer.
pub const HEADER_REQUEST_ID: &str = "dockwood-request-id";
/// `yes` or `no`: whether the request may be run more than once.
pub const HEADER_REPEATABLE: &str = "dockwood-repeatable";
/// Milliseconds the caller will wait, from arrival.
pub const HEADER_DEADLINE_MS: &str = "dockwood-deadline-ms";
/// A caller's session; requests of one session prefer one entry and one replica.
pub const HEADER_SESSION: &str = "dockwood-session";
/// On a refusal: the outcome, `not-run` or `unknown`.
pub const HEADER_OUTCOME: &str = "dockwood-outcome";
/// On an answer: milliseconds that the request waited for a slot.
pub const HEADER_QUEUE_MS: &str = "dockwood-queue-ms";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of it has been acted on, and none will be.
    NotRun,
    /// It has been dispatched and has not ended.
    Running,
    /// It ended, and the whole answer exists.
    Done,
    /// It was dispatched, and what became of it can't be established.
    Unknown,
}

impl Outcome {
    /// The word used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Running => "running",
            Outcome::Done => "done",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Answer of `GET /v1/entry`: which addresses to use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryAnswer {
    /// `http://IP:PORT` of daemons that take new work.
    pub addresses: Vec<String>,
    /// How long the answer may be kept.
    pub lifetime_seconds: u64,
    /// The configuration revision that the answer was made from.
    pub revision: u64,
}

/// Answer of `GET /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OutcomeAnswer {
    /// The request id.
    pub id: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Result code, once it has ended.
    pub code: Option<u16>,
    /// Whether the whole answer is kept and can be fetched from `/v1/requests/{id}/answer`.
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

/// Body of `POST /v1/chat/completions`. Unknown fields are accepted and passed over, since clients of the
/// OpenAI form send many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model, or adapter, by resource name.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// At most this many tokens in the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

impl ChatRequest {
    /// The conversation as one prompt, role and text by line.
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

/// Body of a whole chat completion.
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
    /// Always one choice.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    pub usage: ChatUsage,
}

/// The one choice of a whole completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Why generation ended, `stop` or `length`.
    pub finish_reason: String,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
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
    /// Always one choice.
    pub choices: Vec<ChunkChoice>,
}

/// The one choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What this chunk adds.
    pub delta: ChunkDelta,
    /// Set on the last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds to the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// `assistant`, on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text to append.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One model of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name to use in requests.
    pub id: String,
    /// `model`.
    pub object: String,
    /// `dockwood`.
    pub owned_by: String,
}

/// Answer of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// What the tenant may use.
    pub data: Vec<ModelEntry>,
}
