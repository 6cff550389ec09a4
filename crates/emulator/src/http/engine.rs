//! The engine protocol of one machine over HTTP.

use super::server::{listen, serve_until};
use crate::fleet::Fleet;
use crate::group::{Group, SubmitError};
use crate::ledger::LedgerRecord;
use crate::machine::{Machine, MachineStatus};
use crate::run::{Progress, SubscribedRun};
use crate::text::{FATAL_PROMPT, token_text};
use crate::wall_ms;
use bytes::Bytes;
use dockwood_api::engine::{
    EngineOrder, GenerateEvent, GenerateRequest, GroupHealth, LoadPlan, OrderAction, OrderReply,
    PATH_GENERATE, PATH_HEALTH, PATH_ORDERS, PATH_REQUESTS, RequestPhase, RequestState,
};
use futures::{Stream, stream};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, Response, Route, get, handler, post};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Delay between attempts to listen again after a restart.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a machine stays down after its engine has crashed on a request.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);
/// Name of this change in the ledger.
const ENGINE_CRASH_CHANGE: &str = "ended";

/// State shared by the handlers of one machine.
#[derive(Clone)]
struct EngineContext {
    fleet: Arc<Fleet>,
    machine: Arc<Machine>,
}

/// Serves a machine, also after it was stopped and started again. The task never ends.
pub async fn serve_machine(fleet: Arc<Fleet>, machine: Arc<Machine>) -> std::io::Result<JoinHandle<()>> {
    let mut acceptor = Some(listen(machine.config.address).await?);
    Ok(tokio::spawn(async move {
        loop {
            let mut status = machine.watch_status();
            let _ = status.wait_for(|status| *status != MachineStatus::Stopped).await;
            let current = match acceptor.take() {
                Some(acceptor) => acceptor,
                None => match listen(machine.config.address).await {
                    Ok(acceptor) => acceptor,
                    Err(_) => {
                        tokio::time::sleep(LISTEN_RETRY_DELAY).await;
                        continue;
                    }
                },
            };
            let context = EngineContext { fleet: fleet.clone(), machine: machine.clone() };
            let stop = async move {
                let _ = status.wait_for(|status| *status == MachineStatus::Stopped).await;
            };
            serve_until(current, routes(context), stop).await;
        }
    }))
}

fn routes(context: EngineContext) -> impl poem::IntoEndpoint {
    Route::new()
        .at(PATH_HEALTH, get(health))
        .at(PATH_ORDERS, post(accept_order))
        .at(PATH_GENERATE, post(generate))
        .at(format!("{PATH_REQUESTS}/:id"), get(request_state).delete(cancel))
        .at(format!("{PATH_REQUESTS}/:id/bar"), post(bar))
        .at("/engine/cache-events", get(cache_events))
        .at("/engine/kv/export", post(export_cache))
        .at("/engine/kv/import", post(import_cache))
        .data(context)
}

#[handler]
async fn health(Data(context): Data<&EngineContext>) -> Json<GroupHealth> {
    context.machine.wait_until_responsive().await;
    let loaded = context.machine.loaded();
    let group = context.machine.group();
    let load = group.as_ref().map(|group| group.reported_load()).unwrap_or_default();
    Json(GroupHealth {
        replica: loaded.as_ref().map(|plan| plan.replica.clone()),
        epoch: loaded.as_ref().map_or(0, |plan| plan.epoch),
        version: loaded.as_ref().map(|plan| plan.version.clone()).unwrap_or_default(),
        loaded: loaded.is_some(),
        missing: group.map(|group| group.missing_members()).unwrap_or_default(),
        running: load.running,
        waiting: load.waiting,
        blocks_used: load.blocks_used,
        blocks_total: context.fleet.config.model.kv_blocks,
        highest_fence: context.machine.highest_fence(),
    })
}

#[handler]
async fn accept_order(
    Data(context): Data<&EngineContext>,
    Json(order): Json<EngineOrder>,
) -> Json<OrderReply> {
    context.machine.wait_until_responsive().await;
    let (reply, is_new) = context.machine.accept_order(&order);
    if is_new {
        tokio::spawn(carry_out(context.clone(), order));
    }
    Json(reply)
}

async fn carry_out(context: EngineContext, order: EngineOrder) {
    let incarnation = context.machine.incarnation();
    let loaded = match order.action {
        OrderAction::Unload => None,
        OrderAction::Load(plan) => {
            if !context.machine.has_weights(&plan) {
                context.fleet.weight_store.fetch(plan.weights_mib).await;
            }
            context.machine.wait_until_responsive().await;
            Some(plan)
        }
    };
    let group = loaded.as_ref().and_then(|plan| new_group(&context, plan));
    if !context.machine.finish_order(&order.id, incarnation, loaded.clone(), group.clone()) {
        return;
    }
    context.fleet.ledger.append(&LedgerRecord::MachineLoaded {
        at_ms: wall_ms(),
        server: context.machine.config.name.clone(),
        replica: loaded.as_ref().map(|plan| plan.replica.clone()),
        epoch: loaded.as_ref().map_or(0, |plan| plan.epoch),
    });
    if let Some(group) = group {
        context.fleet.ledger.append(&LedgerRecord::GroupFormed {
            at_ms: wall_ms(),
            replica: group.plan.replica.clone(),
            epoch: group.plan.epoch,
            members: group.plan.members.iter().map(|member| member.server.clone()).collect(),
        });
        tokio::spawn(group.run());
    }
}

/// Creates the group of a plan if this machine is its head.
fn new_group(context: &EngineContext, plan: &LoadPlan) -> Option<Arc<Group>> {
    if plan.members.first()?.server != context.machine.config.name {
        return None;
    }
    let members = plan
        .members
        .iter()
        .filter_map(|member| context.fleet.machines.get(&member.server).cloned())
        .collect();
    Some(Arc::new(Group::new(
        plan.clone(),
        members,
        context.fleet.config.model,
        context.fleet.ledger.clone(),
    )))
}

fn no_group() -> Response {
    error_response(StatusCode::CONFLICT, "this machine heads no group")
}

fn error_response(status: StatusCode, message: &str) -> Response {
    Response::builder().status(status).body(message.to_string())
}

#[handler]
async fn generate(Data(context): Data<&EngineContext>, Json(request): Json<GenerateRequest>) -> Response {
    context.machine.wait_until_responsive().await;
    if let Some(rejection) = context.machine.pushback.rejection() {
        let server = context.machine.config.name.clone();
        context.fleet.ledger.append(&LedgerRecord::RequestRejected { at_ms: wall_ms(), server });
        return rejection;
    }
    let Some(group) = context.machine.group() else { return no_group() };
    if request.prompt.contains(FATAL_PROMPT) {
        tokio::spawn(crash_engine(context.clone()));
    }
    let from = request.resume_from;
    match group.submit(request) {
        Err(SubmitError::WrongEpoch) => error_response(StatusCode::CONFLICT, "another replica or epoch"),
        Err(SubmitError::Barred) => error_response(StatusCode::GONE, "the id is barred"),
        Ok(subscribed) => {
            let lines = event_stream(context.machine.clone(), subscribed, from);
            let response =
                Response::builder().content_type("application/x-ndjson").body(Body::from_bytes_stream(lines));
            context.machine.pushback.add_headers(response)
        }
    }
}

/// Emulates an engine process that crashes on a request, before its first token, and is restarted.
async fn crash_engine(context: EngineContext) {
    let server = context.machine.config.name.clone();
    context.fleet.ledger.append(&LedgerRecord::MachineChanged {
        at_ms: wall_ms(),
        server,
        change: ENGINE_CRASH_CHANGE.to_string(),
    });
    context.machine.set_status(MachineStatus::Stopped);
    tokio::time::sleep(CRASH_DOWNTIME).await;
    context.machine.set_status(MachineStatus::Running);
}

/// Streams the events of a run to one caller.
struct EventStream {
    machine: Arc<Machine>,
    subscribed: SubscribedRun,
    next_sequence: u32,
    sent_started: bool,
    sent_last: bool,
}

fn event_stream(
    machine: Arc<Machine>,
    subscribed: SubscribedRun,
    from: u32,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let stream_state =
        EventStream { machine, subscribed, next_sequence: from, sent_started: false, sent_last: false };
    stream::unfold(stream_state, |mut stream_state| async move {
        let lines = stream_state.next_lines().await?;
        Some((Ok(Bytes::from(lines)), stream_state))
    })
}

impl EventStream {
    /// Waits for new events and returns them as lines, or `None` after the last one.
    async fn next_lines(&mut self) -> Option<Vec<u8>> {
        if self.sent_last {
            return None;
        }
        loop {
            self.machine.wait_until_responsive().await;
            let progress = *self.subscribed.progress.borrow_and_update();
            let lines = self.lines_up_to(progress);
            if !lines.is_empty() {
                return Some(lines);
            }
            self.subscribed.progress.changed().await.ok()?;
        }
    }

    fn lines_up_to(&mut self, progress: Progress) -> Vec<u8> {
        let run = &self.subscribed.run;
        let mut lines = Vec::new();
        let has_started =
            progress.next_sequence > self.next_sequence || progress.phase != RequestPhase::Running;
        if has_started && !self.sent_started {
            self.sent_started = true;
            let (prompt_tokens, cached_tokens) = (run.prompt_tokens, run.cached_tokens());
            push_line(&mut lines, &GenerateEvent::Started { prompt_tokens, cached_tokens });
        }
        while self.next_sequence < progress.next_sequence {
            let text = token_text(run.prompt_digest, self.next_sequence);
            push_line(&mut lines, &GenerateEvent::Token { sequence: self.next_sequence, text });
            self.next_sequence += 1;
        }
        match progress.phase {
            RequestPhase::Finished => {
                self.sent_last = true;
                push_line(&mut lines, &GenerateEvent::Finished { tokens: run.total_tokens });
            }
            RequestPhase::Aborted => {
                self.sent_last = true;
                let reason = "stopped by the engine".to_string();
                push_line(
                    &mut lines,
                    &GenerateEvent::Aborted { next_sequence: progress.next_sequence, reason },
                );
            }
            _ => {}
        }
        lines
    }
}

fn push_line(lines: &mut Vec<u8>, event: &GenerateEvent) {
    // Events only hold numbers and strings, so they can always be serialized.
    lines.extend(serde_json::to_vec(event).unwrap_or_default());
    lines.push(b'\n');
}

#[handler]
async fn request_state(Data(context): Data<&EngineContext>, Path(id): Path<String>) -> Json<RequestState> {
    context.machine.wait_until_responsive().await;
    let unseen = RequestState { phase: RequestPhase::Unseen, next_sequence: 0 };
    Json(context.machine.group().map_or(unseen, |group| group.state(&id)))
}

#[handler]
async fn bar(Data(context): Data<&EngineContext>, Path(id): Path<String>) -> Response {
    context.machine.wait_until_responsive().await;
    let Some(group) = context.machine.group() else { return no_group() };
    let state = group.bar(&id);
    Response::builder().content_type("application/json").body(serde_json::to_vec(&state).unwrap_or_default())
}

#[handler]
async fn cancel(Data(context): Data<&EngineContext>, Path(id): Path<String>) -> StatusCode {
    context.machine.wait_until_responsive().await;
    if let Some(group) = context.machine.group() {
        group.cancel(&id);
    }
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

#[handler]
async fn cache_events(
    Data(context): Data<&EngineContext>,
    Query(query): Query<CacheEventsQuery>,
) -> Response {
    context.machine.wait_until_responsive().await;
    let events = context.machine.group().map(|group| group.cache_events(query.after)).unwrap_or_default();
    Response::builder().content_type("application/json").body(serde_json::to_vec(&events).unwrap_or_default())
}

#[handler]
async fn export_cache(Data(context): Data<&EngineContext>, prompt: String) -> Json<Vec<u64>> {
    context.machine.wait_until_responsive().await;
    Json(context.machine.group().map(|group| group.export_cache(&prompt)).unwrap_or_default())
}

#[handler]
async fn import_cache(Data(context): Data<&EngineContext>, Json(blocks): Json<Vec<u64>>) -> StatusCode {
    context.machine.wait_until_responsive().await;
    if let Some(group) = context.machine.group() {
        group.import_cache(&blocks);
    }
    StatusCode::NO_CONTENT
}
