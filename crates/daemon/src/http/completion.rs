//! Chat completions in the OpenAI format, complete and streamed.

use crate::clock::wall_ms;
use crate::traffic::chat::{ChatJob, CompletionStats};
use dockwood_api::caller::{
    ChatChoice, ChatChunk, ChatCompletion, ChatMessage, ChatUsage, ChunkChoice, ChunkDelta,
};
use dockwood_api::error::ErrorBody;
use dockwood_api::peer::StoredAnswer;
use serde::Serialize;

const MILLISECONDS_PER_SECOND: u64 = 1_000;
const JSON_CONTENT_TYPE: &str = "application/json";

/// Encodes one completion.
#[derive(Clone, Debug)]
pub struct CompletionEncoder {
    id: String,
    model: String,
    created: u64,
}

fn finish_reason(stats: &CompletionStats) -> String {
    if stats.reached_max_tokens { "length".to_string() } else { "stop".to_string() }
}

fn sse_event(data: &impl Serialize) -> Vec<u8> {
    let mut bytes = b"data: ".to_vec();
    bytes.extend(serde_json::to_vec(data).unwrap_or_default());
    bytes.extend_from_slice(b"\n\n");
    bytes
}

impl CompletionEncoder {
    /// Creates the encoder for one request.
    pub fn new(request_id: &str, model: &str) -> Self {
        let id = format!("chatcmpl-{request_id}");
        CompletionEncoder { id, model: model.to_string(), created: wall_ms() / MILLISECONDS_PER_SECOND }
    }

    /// Returns the complete completion object.
    pub fn complete(&self, text: &str, stats: &CompletionStats) -> ChatCompletion {
        let message = ChatMessage { role: "assistant".to_string(), content: text.to_string() };
        ChatCompletion {
            id: self.id.clone(),
            object: "chat.completion".to_string(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChoice { index: 0, message, finish_reason: finish_reason(stats) }],
            usage: ChatUsage {
                prompt_tokens: stats.prompt_tokens,
                completion_tokens: stats.answer_tokens,
                total_tokens: stats.prompt_tokens + stats.answer_tokens,
            },
        }
    }

    fn chunk(&self, delta: ChunkDelta, finish_reason: Option<String>) -> Vec<u8> {
        sse_event(&ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_string(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
        })
    }

    /// Returns the first event of a stream.
    pub fn begin(&self) -> Vec<u8> {
        self.chunk(ChunkDelta { role: Some("assistant".to_string()), content: Some(String::new()) }, None)
    }

    /// Returns an event with the next piece of text.
    pub fn text(&self, text: String) -> Vec<u8> {
        self.chunk(ChunkDelta { role: None, content: Some(text) }, None)
    }

    /// Returns the last events of a complete stream.
    pub fn end(&self, reason: &str) -> Vec<u8> {
        let mut bytes = self.chunk(ChunkDelta::default(), Some(reason.to_string()));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Returns the last events of a complete stream, with the finish reason that follows from its statistics.
    pub fn finish(&self, stats: &CompletionStats) -> Vec<u8> {
        self.end(&finish_reason(stats))
    }

    /// Returns the last event of a stream that failed. `[DONE]` is omitted, so that no client takes the answer for
    /// complete.
    pub fn error(&self, body: &ErrorBody) -> Vec<u8> {
        sse_event(body)
    }

    /// Returns a stored completion as a stream, with the whole text in one event.
    pub fn replay(&self, kept: &StoredAnswer) -> Vec<u8> {
        let Ok(completion) = serde_json::from_slice::<ChatCompletion>(&kept.body) else { return Vec::new() };
        let mut bytes = self.begin();
        for choice in completion.choices {
            bytes.extend(self.text(choice.message.content));
            bytes.extend(self.end(&choice.finish_reason));
        }
        bytes
    }
}

/// Encodes the answer of a completed request for storage.
pub fn encode_answer(job: &ChatJob, text: &str, stats: &CompletionStats) -> StoredAnswer {
    let completion = CompletionEncoder::new(&job.id, &job.model).complete(text, stats);
    StoredAnswer {
        status: 200,
        content_type: JSON_CONTENT_TYPE.to_string(),
        body: serde_json::to_vec(&completion).unwrap_or_default(),
    }
}
