//! Endpoints for callers: entry addresses, models, chat completions, and the outcomes of requests.

use super::completion::{CompletionEncoder, encode_answer};
use super::refusal;
use super::request_body::{ExpectedBody, read_body};
use super::{App, auth};
use crate::clock::monotonic_ms;
use crate::traffic::chat::{ChatEvent, ChatJob, CompletionStats, run_chat};
use crate::traffic::records::{find_record, record_key};
use bytes::Bytes;
use dockwood_api::caller::{
    ChatMessage, ChatRequest, EntryAnswer, HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY, HEADER_REPEATABLE,
    HEADER_REQUEST_ID, HEADER_SESSION, ModelEntry, ModelList, Outcome, OutcomeAnswer,
};
use dockwood_api::digest::content_digest;
use dockwood_api::gateway::{Fingerprint, PromptPart, RequestIdentity};
use dockwood_api::peer::StoredAnswer;
use dockwood_api::{ApiError, ResultCode};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{Body, Request, Response, handler};
use serde::Deserialize;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Capacity of the queue between a request and its caller, in events.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// A chat request is held as the bytes that were received, as its messages, and as a prompt.
const CHAT_COPIES: usize = 3;
/// Path of chat requests in fingerprints. The host in these fingerprints is empty, because chat requests are accepted
/// under any host name of the daemons.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

fn session_of(request: &Request) -> String {
    request.header(HEADER_SESSION).unwrap_or("").to_string()
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct EntryQuery {
    model: Option<String>,
    session: String,
    zone: Option<String>,
}

/// `GET /v1/entry`: the addresses to send requests to.
#[handler]
pub fn entry_addresses(Data(app): Data<&App>, request: &Request) -> Response {
    let result =
        auth::authenticate_tenant(app, request).and_then(|tenant| entry_answer(app, request, &tenant));
    match result {
        Ok(answer) => Response::builder()
            .content_type("application/json")
            .header("cache-control", format!("max-age={}", answer.lifetime_seconds))
            .body(serde_json::to_vec(&answer).unwrap_or_default()),
        Err(error) => refusal::counted_caller_error(app, &refusal::failure_of(&error), ""),
    }
}

fn entry_answer(app: &App, request: &Request, tenant: &str) -> Result<EntryAnswer, ApiError> {
    let query: EntryQuery =
        request.params().map_err(|error| ApiError::new(ResultCode::BadHeader, error.to_string()))?;
    let published = app.shared.published();
    if let Some(model) = &query.model
        && published.routes_for(tenant, model).is_empty()
    {
        return Err(ApiError::new(ResultCode::UnknownModel, format!("no deployment serves '{model}'")));
    }
    Ok(EntryAnswer {
        addresses: app.shared.entry_addresses(&query.session, query.zone.as_deref()),
        lifetime_seconds: app.shared.settings.entry_lifetime.as_secs(),
        revision: published.tables.revision,
    })
}

/// `GET /v1/models`: the models that the tenant may use.
#[handler]
pub fn list_models(Data(app): Data<&App>, request: &Request) -> Response {
    let tenant = match auth::authenticate_tenant(app, request) {
        Ok(tenant) => tenant,
        Err(error) => return refusal::counted_caller_error(app, &refusal::failure_of(&error), ""),
    };
    let published = app.shared.published();
    let mut names: Vec<&str> = published.routing.models().collect();
    names.retain(|name| !published.routes_for(&tenant, name).is_empty());
    names.sort_unstable();
    let entry = |name: &str| ModelEntry {
        id: name.to_string(),
        object: "model".to_string(),
        owned_by: "dockwood".to_string(),
    };
    let list = ModelList { object: "list".to_string(), data: names.into_iter().map(entry).collect() };
    Response::builder().content_type("application/json").body(serde_json::to_vec(&list).unwrap_or_default())
}

/// Request options given in headers.
pub(super) struct RequestHeaders {
    pub id: String,
    pub has_idempotency_key: bool,
    pub repeatable: Option<bool>,
    pub deadline_ms: u64,
}

/// Reads the request options that apply to both chat and plain services.
pub(super) fn request_headers(app: &App, request: &Request) -> Result<RequestHeaders, ApiError> {
    let bad_header = |message: String| ApiError::new(ResultCode::BadHeader, message);
    let key = request.header(HEADER_IDEMPOTENCY_KEY);
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if let Some(key) = key
        && (key.is_empty() || key.len() > MAX_REQUEST_ID_BYTES || !key.bytes().all(allowed))
    {
        let message =
            format!("Idempotency-Key: 1 to {MAX_REQUEST_ID_BYTES} letters, digits, '-', '_', '.' and ':'");
        return Err(bad_header(message));
    }
    let repeatable = match request.header(HEADER_REPEATABLE) {
        None => None,
        Some("yes") => Some(true),
        Some("no") => Some(false),
        Some(other) => {
            return Err(bad_header(format!("Dockwood-Repeatable: '{other}' is neither yes nor no")));
        }
    };
    let deadline_ms = match request.header(HEADER_DEADLINE_MS) {
        None => app.shared.settings.default_deadline.as_millis() as u64,
        Some(text) => {
            let parsed = text.parse::<u64>().ok().filter(|deadline| (1..=MAX_DEADLINE_MS).contains(deadline));
            parsed.ok_or_else(|| {
                bad_header(format!("Dockwood-Deadline-Ms: '{text}' is not from 1 to {MAX_DEADLINE_MS}"))
            })?
        }
    };
    let id = key.map_or_else(|| ulid::Ulid::new().to_string(), str::to_string);
    Ok(RequestHeaders { id, has_idempotency_key: key.is_some(), repeatable, deadline_ms })
}

/// `POST /v1/chat/completions`.
#[handler]
pub async fn chat_completions(Data(app): Data<&App>, request: &Request, body: Body) -> Response {
    let session = session_of(request);
    match parse_chat_job(app, request, body).await {
        Ok(parsed) => run_and_respond(app, parsed, &session).await,
        Err(error) => refusal::counted_caller_error(app, &refusal::failure_of(&error), &session),
    }
}

/// A chat request, with the body that it was parsed from: its bytes are held as long as the request runs.
struct ParsedChat {
    job: ChatJob,
    chat: ChatRequest,
    body: Bytes,
}

async fn parse_chat_job(app: &App, request: &Request, body: Body) -> Result<ParsedChat, ApiError> {
    let arrived = monotonic_ms();
    let tenant = auth::authenticate_tenant(app, request)?;
    let headers = request_headers(app, request)?;
    let expected = ExpectedBody {
        max_bytes: app.shared.settings.max_body_bytes,
        copies: CHAT_COPIES,
        unreadable: ResultCode::BadJson,
        may_have_run: headers.has_idempotency_key,
    };
    let bytes = read_body(app, body, expected).await?;
    let chat: ChatRequest = serde_json::from_slice(&bytes)
        .map_err(|error| ApiError::new(ResultCode::BadJson, error.to_string()))?;
    let published = app.shared.published();
    let routes = published.routes_for(&tenant, &chat.model);
    if routes.is_empty() {
        return Err(ApiError::new(
            ResultCode::UnknownModel,
            format!("no deployment serves '{}'", chat.model),
        ));
    }
    let identity = RequestIdentity {
        tenant: Some(&tenant),
        method: request.method().as_str(),
        host: "",
        path: CHAT_PATH,
        body: &bytes,
    };
    let job = ChatJob {
        fingerprint: Fingerprint::of(&identity),
        id: headers.id,
        has_idempotency_key: headers.has_idempotency_key,
        tier: published.tables.tenant(&tenant).map_or(0, |spec| spec.tier),
        tenant,
        model: chat.model.clone(),
        routes,
        prompt: chat.prompt(),
        shared_parts: shared_parts(&chat),
        max_tokens: chat.max_tokens,
        repeatable: headers.repeatable.unwrap_or(true),
        arrived,
        deadline: arrived + headers.deadline_ms,
        content_digest: content_digest(&bytes),
    };
    Ok(ParsedChat { job, chat, body: bytes })
}

/// Returns the parts of a conversation that other requests may share: its messages, but the last.
fn shared_parts(chat: &ChatRequest) -> Arc<[PromptPart]> {
    let name =
        |message: &ChatMessage| PromptPart::from_text(&format!("{}: {}", message.role, message.content));
    PromptPart::shared(chat.messages.iter().map(name).collect()).into()
}

async fn run_and_respond(app: &App, parsed: ParsedChat, session: &str) -> Response {
    let ParsedChat { job, chat, body } = parsed;
    let encoder = CompletionEncoder::new(&job.id, &chat.model);
    let id = job.id.clone();
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let in_flight = app.shared.begin_request();
    let traffic = app.traffic.clone();
    tokio::spawn(async move {
        run_chat(traffic, job, sender, encode_answer).await;
        drop((in_flight, body));
    });
    // The response head is sent only after the first event, so that an error response has its own status.
    let first = events.recv().await;
    let mut response = match first {
        None => refusal::plain_error(ResultCode::OutcomeUnknown, "the request ended without a result"),
        Some(ChatEvent::Failed(failure)) => refusal::caller_error(app, &failure, session),
        Some(ChatEvent::Kept(kept)) if chat.stream => sse(Body::from(encoder.replay(&kept))),
        Some(ChatEvent::Kept(kept)) => stored_response(kept),
        Some(first) if chat.stream => {
            sse(stream_body(app.clone(), encoder, first, events, session.to_string()))
        }
        Some(first) => collect_response(app, &encoder, first, events, session).await,
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(HEADER_REQUEST_ID, value);
    }
    response
}

fn sse(body: Body) -> Response {
    Response::builder().content_type("text/event-stream").header("cache-control", "no-cache").body(body)
}

fn stored_response(kept: StoredAnswer) -> Response {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    Response::builder().status(status).content_type(&kept.content_type).body(kept.body)
}

async fn collect_response(
    app: &App,
    encoder: &CompletionEncoder,
    first: ChatEvent,
    mut events: mpsc::Receiver<ChatEvent>,
    session: &str,
) -> Response {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            ChatEvent::Text(more) => text.push_str(&more),
            ChatEvent::Finished(stats) => return completion_response(encoder, &text, &stats),
            ChatEvent::Kept(kept) => return stored_response(kept),
            ChatEvent::Failed(failure) => return refusal::caller_error(app, &failure, session),
        }
        next = events.recv().await;
    }
    refusal::plain_error(ResultCode::OutcomeUnknown, "the request ended without a result")
}

fn completion_response(encoder: &CompletionEncoder, text: &str, stats: &CompletionStats) -> Response {
    let completion = encoder.complete(text, stats);
    Response::builder()
        .content_type("application/json")
        .body(serde_json::to_vec(&completion).unwrap_or_default())
}

fn stream_body(
    app: App,
    encoder: CompletionEncoder,
    first: ChatEvent,
    events: mpsc::Receiver<ChatEvent>,
    session: String,
) -> Body {
    struct EventStream {
        app: App,
        encoder: CompletionEncoder,
        pending: Option<ChatEvent>,
        events: mpsc::Receiver<ChatEvent>,
        session: String,
        ended: bool,
    }
    let begin = futures::stream::iter([Ok::<Bytes, std::io::Error>(Bytes::from(encoder.begin()))]);
    let event_stream = EventStream { app, encoder, pending: Some(first), events, session, ended: false };
    let rest = futures::stream::unfold(event_stream, |mut event_stream| async move {
        if event_stream.ended {
            return None;
        }
        let event = match event_stream.pending.take() {
            Some(event) => event,
            None => event_stream.events.recv().await?,
        };
        let bytes = match event {
            ChatEvent::Text(text) => event_stream.encoder.text(text),
            ChatEvent::Finished(stats) => {
                event_stream.ended = true;
                event_stream.encoder.finish(&stats)
            }
            ChatEvent::Kept(kept) => {
                event_stream.ended = true;
                event_stream.encoder.replay(&kept)
            }
            ChatEvent::Failed(failure) => {
                event_stream.ended = true;
                event_stream.encoder.error(&refusal::caller_error_body(
                    &event_stream.app,
                    &failure,
                    &event_stream.session,
                ))
            }
        };
        Some((Ok(Bytes::from(bytes)), event_stream))
    });
    Body::from_bytes_stream(futures::StreamExt::chain(begin, rest))
}

/// `GET /v1/requests/{id}`: the outcome of a request, available at any daemon.
#[handler]
pub async fn request_outcome(Data(app): Data<&App>, request: &Request, Path(id): Path<String>) -> Response {
    let tenant = match auth::authenticate_tenant(app, request) {
        Ok(tenant) => tenant,
        Err(error) => return refusal::counted_caller_error(app, &refusal::failure_of(&error), ""),
    };
    let record = find_record(&app.traffic, &record_key(&tenant, &id)).await.record;
    let Some(record) = record else { return not_found(&id) };
    let answer = OutcomeAnswer {
        id,
        outcome: record.outcome,
        code: record.code.map(ResultCode::number),
        answer_kept: record.answer.is_some(),
    };
    poem::IntoResponse::into_response(Json(answer))
}

/// `GET /v1/requests/{id}/answer`: the complete answer, while it is stored.
#[handler]
pub async fn request_answer(Data(app): Data<&App>, request: &Request, Path(id): Path<String>) -> Response {
    let tenant = match auth::authenticate_tenant(app, request) {
        Ok(tenant) => tenant,
        Err(error) => return refusal::counted_caller_error(app, &refusal::failure_of(&error), ""),
    };
    let record = find_record(&app.traffic, &record_key(&tenant, &id)).await.record;
    match record.map(|record| (record.outcome, record.answer)) {
        Some((_, Some(kept))) => stored_response(kept),
        Some((Outcome::Running, None)) => {
            refusal::plain_error(ResultCode::AlreadyRunning, "the request is still running")
        }
        Some((Outcome::Unknown, None)) => {
            refusal::plain_error(ResultCode::OutcomeUnknown, "no answer is known")
        }
        _ => not_found(&id),
    }
}

fn not_found(id: &str) -> Response {
    refusal::plain_error(ResultCode::RequestNotFound, &format!("no record of request '{id}'"))
}
