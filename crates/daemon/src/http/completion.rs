//! Chat completions in the OpenAI form, whole and streamed.

use crate::clock::wall_ms;
use crate::traffic::chat::{ChatJob, Finish};
use dockwood_api::caller::{
    ChatChoice, ChatChunk, ChatCompletion, ChatMessage, ChatUsage, ChunkChoice, ChunkDelta,
};
use dockwood_api::error::ErrorBody;
use dockwood_api::peer::StoredAnswer;
use serde::Serialize;

const MILLISECONDS_PER_SECOND: u64 = 1_000;
const JSON: &str = "application/json";

/// Writes the parts of one completion.
#[derive(Clone, Debug)]
pub struct CompletionWriter {
    id: String,
    model: String,
    created: u64,
}

fn finish_reason(finish: &Finish) -> String {
    if finish.by_length { "length".to_string() } else { "stop".to_string() }
}

fn event(data: &impl Serialize) -> Vec<u8> {
    let mut bytes = b"data: ".to_vec();
    bytes.extend(serde_json::to_vec(data).unwrap_or_default());
    bytes.extend_from_slice(b"\n\n");
    bytes
}

impl CompletionWriter {
    /// A writer for one request.
    pub fn new(request_id: &str, model: &str) -> Self {
        let id = format!("chatcmpl-{request_id}");
        CompletionWriter { id, model: model.to_string(), created: wall_ms() / MILLISECONDS_PER_SECOND }
    }

    /// The whole completion.
    pub fn whole(&self, text: &str, finish: &Finish) -> ChatCompletion {
        let message = ChatMessage { role: "assistant".to_string(), content: text.to_string() };
        ChatCompletion {
            id: self.id.clone(),
            object: "chat.completion".to_string(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChoice { index: 0, message, finish_reason: finish_reason(finish) }],
            usage: ChatUsage {
                prompt_tokens: finish.prompt_tokens,
                completion_tokens: finish.answer_tokens,
                total_tokens: finish.prompt_tokens + finish.answer_tokens,
            },
        }
    }

    fn chunk(&self, delta: ChunkDelta, finish_reason: Option<String>) -> Vec<u8> {
        event(&ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_string(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
        })
    }

    /// The first event of a stream.
    pub fn begin(&self) -> Vec<u8> {
        self.chunk(ChunkDelta { role: Some("assistant".to_string()), content: Some(String::new()) }, None)
    }

    /// An event with more text.
    pub fn text(&self, text: String) -> Vec<u8> {
        self.chunk(ChunkDelta { role: None, content: Some(text) }, None)
    }

    /// The last events of a whole stream.
    pub fn end(&self, reason: &str) -> Vec<u8> {
        let mut bytes = self.chunk(ChunkDelta::default(), Some(reason.to_string()));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// The last events of a whole stream, with the reason of its figures.
    pub fn finish(&self, finish: &Finish) -> Vec<u8> {
        self.end(&finish_reason(finish))
    }

    /// The last event of a stream that was cut short; `[DONE]` is withheld, so that no client takes it for
    /// whole.
    pub fn failed(&self, body: &ErrorBody) -> Vec<u8> {
        event(body)
    }

    /// A kept completion as a stream, all text in one event.
    pub fn replay(&self, kept: &StoredAnswer) -> Vec<u8> {
        let Ok(whole) = serde_json::from_slice::<ChatCompletion>(&kept.body) else { return Vec::new() };
        let mut bytes = self.begin();
        for choice in whole.choices {
            bytes.extend(self.text(choice.message.content));
            bytes.extend(self.end(&choice.finish_reason));
        }
        bytes
    }
}

/// The answer to keep of a finished job.
pub fn kept_answer(job: &ChatJob, text: &str, finish: &Finish) -> StoredAnswer {
    let whole = CompletionWriter::new(&job.id, &job.model).whole(text, finish);
    StoredAnswer {
        status: 200,
        content_type: JSON.to_string(),
        body: serde_json::to_vec(&whole).unwrap_or_default(),
    }
}
