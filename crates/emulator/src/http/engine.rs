//! The engine protocol of one machine.

use super::server::{listen, serve_until};
use crate::fleet::Fleet;
use crate::group::{Group, Refused};
use crate::ledger::LedgerRecord;
use crate::machine::{Machine, Power};
use crate::run::{Progress, Run};
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
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time between tries to listen again after a restart.
const LISTEN_RETRY: Duration = Duration::from_millis(50);

/// How long a machine is off after it has ended under a request.
const OFF_FOR: Duration = Duration::from_millis(500);
/// What the ledger says of it.
const ENDED: &str = "ended";

/// A machine within its fleet, as handlers see it.
#[derive(Clone)]
struct Host {
    fleet: Arc<Fleet>,
    machine: Arc<Machine>,
}

/// Serves a machine for ever, through being switched off and on.
pub async fn serve_machine(fleet: Arc<Fleet>, machine: Arc<Machine>) -> std::io::Result<JoinHandle<()>> {
    let mut acceptor = Some(listen(machine.config.address).await?);
    Ok(tokio::spawn(async move {
        loop {
            let mut power = machine.watch_power();
            let _ = power.wait_for(|power| *power != Power::Off).await;
            let current = match acceptor.take() {
                Some(acceptor) => acceptor,
                None => match listen(machine.config.address).await {
                    Ok(acceptor) => acceptor,
                    Err(_) => {
                        tokio::time::sleep(LISTEN_RETRY).await;
                        continue;
                    }
                },
            };
            let host = Host { fleet: fleet.clone(), machine: machine.clone() };
            let stop = async move {
                let _ = power.wait_for(|power| *power == Power::Off).await;
            };
            serve_until(current, routes(host), stop).await;
        }
    }))
}

fn routes(host: Host) -> impl poem::IntoEndpoint {
    Route::new()
        .at(PATH_HEALTH, get(health))
        .at(PATH_ORDERS, post(take_order))
        .at(PATH_GENERATE, post(generate))
        .at(format!("{PATH_REQUESTS}/:id"), get(request_state).delete(cancel))
        .at(format!("{PATH_REQUESTS}/:id/bar"), post(bar))
        .at("/engine/cache-events", get(cache_events))
        .at("/engine/kv/export", post(export_cache))
        .at("/engine/kv/import", post(import_cache))
        .data(host)
}

#[handler]
async fn health(Data(host): Data<&Host>) -> Json<GroupHealth> {
    host.machine.wait_responsive().await;
    let loaded = host.machine.loaded();
    let group = host.machine.group();
    let load = group.as_ref().map(|group| group.reported_load()).unwrap_or_default();
    Json(GroupHealth {
        replica: loaded.as_ref().map(|plan| plan.replica.clone()),
        epoch: loaded.as_ref().map_or(0, |plan| plan.epoch),
        version: loaded.as_ref().map(|plan| plan.version.clone()).unwrap_or_default(),
        loaded: loaded.is_some(),
        missing: group.map(|group| group.missing()).unwrap_or_default(),
        running: load.running,
        waiting: load.waiting,
        blocks_used: load.blocks_used,
        blocks_total: host.fleet.config.model.kv_blocks,
        highest_fence: host.machine.highest_fence(),
    })
}

#[handler]
async fn take_order(Data(host): Data<&Host>, Json(order): Json<EngineOrder>) -> Json<OrderReply> {
    host.machine.wait_responsive().await;
    let (reply, is_new) = host.machine.take_order(&order);
    if is_new {
        tokio::spawn(carry_out(host.clone(), order));
    }
    Json(reply)
}

async fn carry_out(host: Host, order: EngineOrder) {
    let incarnation = host.machine.incarnation();
    let loaded = match order.action {
        OrderAction::Unload => None,
        OrderAction::Load(plan) => {
            if !host.machine.has_weights(&plan) {
                host.fleet.store.fetch(plan.weights_mib).await;
            }
            host.machine.wait_responsive().await;
            Some(plan)
        }
    };
    let group = loaded.as_ref().and_then(|plan| new_group(&host, plan));
    if !host.machine.finish_order(&order.id, incarnation, loaded.clone(), group.clone()) {
        return;
    }
    host.fleet.ledger.append(&LedgerRecord::MachineLoaded {
        at_ms: wall_ms(),
        server: host.machine.config.name.clone(),
        replica: loaded.as_ref().map(|plan| plan.replica.clone()),
        epoch: loaded.as_ref().map_or(0, |plan| plan.epoch),
    });
    if let Some(group) = group {
        host.fleet.ledger.append(&LedgerRecord::GroupFormed {
            at_ms: wall_ms(),
            replica: group.plan.replica.clone(),
            epoch: group.plan.epoch,
            members: group.plan.members.iter().map(|member| member.server.clone()).collect(),
        });
        tokio::spawn(group.run());
    }
}

/// The group that this machine heads under the plan, if it is the head.
fn new_group(host: &Host, plan: &LoadPlan) -> Option<Arc<Group>> {
    if plan.members.first()?.server != host.machine.config.name {
        return None;
    }
    let members =
        plan.members.iter().filter_map(|member| host.fleet.machines.get(&member.server).cloned()).collect();
    Some(Arc::new(Group::new(plan.clone(), members, host.fleet.config.model, host.fleet.ledger.clone())))
}

fn no_group() -> Response {
    refusal(StatusCode::CONFLICT, "this machine heads no group")
}

fn refusal(status: StatusCode, message: &str) -> Response {
    Response::builder().status(status).body(message.to_string())
}

#[handler]
async fn generate(Data(host): Data<&Host>, Json(request): Json<GenerateRequest>) -> Response {
    host.machine.wait_responsive().await;
    if let Some(rejection) = host.machine.manner.rejection() {
        let server = host.machine.config.name.clone();
        host.fleet.ledger.append(&LedgerRecord::RequestRejected { at_ms: wall_ms(), server });
        return rejection;
    }
    let Some(group) = host.machine.group() else { return no_group() };
    if request.prompt.contains(FATAL_PROMPT) {
        tokio::spawn(end_machine(host.clone()));
    }
    let from = request.resume_from;
    match group.submit(request) {
        Err(Refused::WrongEpoch) => refusal(StatusCode::CONFLICT, "another replica or epoch"),
        Err(Refused::Barred) => refusal(StatusCode::GONE, "the id is barred"),
        Ok(run) => {
            let lines = generation(host.machine.clone(), run, from);
            let answer =
                Response::builder().content_type("application/x-ndjson").body(Body::from_bytes_stream(lines));
            host.machine.manner.mark(answer)
        }
    }
}

/// The process of an engine ends under a request, before its first token, and is started again.
async fn end_machine(host: Host) {
    let server = host.machine.config.name.clone();
    host.fleet.ledger.append(&LedgerRecord::MachineChanged {
        at_ms: wall_ms(),
        server,
        change: ENDED.to_string(),
    });
    host.machine.set_power(Power::Off);
    tokio::time::sleep(OFF_FOR).await;
    host.machine.set_power(Power::On);
}

/// State of one stream of a run.
struct Feed {
    machine: Arc<Machine>,
    run: Arc<Run>,
    progress: watch::Receiver<Progress>,
    next: u32,
    announced: bool,
    ended: bool,
}

fn generation(
    machine: Arc<Machine>,
    run: Arc<Run>,
    from: u32,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let progress = run.watch();
    let feed = Feed { machine, run, progress, next: from, announced: false, ended: false };
    stream::unfold(feed, |mut feed| async move {
        let lines = feed.next_lines().await?;
        Some((Ok(Bytes::from(lines)), feed))
    })
}

impl Feed {
    /// All lines that are due, or `None` after the end.
    async fn next_lines(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        loop {
            self.machine.wait_responsive().await;
            let progress = *self.progress.borrow_and_update();
            let lines = self.lines_up_to(progress);
            if !lines.is_empty() {
                return Some(lines);
            }
            self.progress.changed().await.ok()?;
        }
    }

    fn lines_up_to(&mut self, progress: Progress) -> Vec<u8> {
        let mut lines = Vec::new();
        let begun = progress.next_sequence > self.next || progress.phase != RequestPhase::Running;
        if begun && !self.announced {
            self.announced = true;
            let (prompt_tokens, cached_tokens) = (self.run.prompt_tokens, self.run.cached_tokens());
            push_line(&mut lines, &GenerateEvent::Started { prompt_tokens, cached_tokens });
        }
        while self.next < progress.next_sequence {
            let text = token_text(self.run.prompt_digest, self.next);
            push_line(&mut lines, &GenerateEvent::Token { sequence: self.next, text });
            self.next += 1;
        }
        match progress.phase {
            RequestPhase::Finished => {
                self.ended = true;
                push_line(&mut lines, &GenerateEvent::Finished { tokens: self.run.total_tokens });
            }
            RequestPhase::Aborted => {
                self.ended = true;
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
    // Events hold numbers and strings only, which always have a JSON form.
    lines.extend(serde_json::to_vec(event).unwrap_or_default());
    lines.push(b'\n');
}

#[handler]
async fn request_state(Data(host): Data<&Host>, Path(id): Path<String>) -> Json<RequestState> {
    host.machine.wait_responsive().await;
    let unseen = RequestState { phase: RequestPhase::Unseen, next_sequence: 0 };
    Json(host.machine.group().map_or(unseen, |group| group.state(&id)))
}

#[handler]
async fn bar(Data(host): Data<&Host>, Path(id): Path<String>) -> Response {
    host.machine.wait_responsive().await;
    let Some(group) = host.machine.group() else { return no_group() };
    let state = group.bar(&id);
    Response::builder().content_type("application/json").body(serde_json::to_vec(&state).unwrap_or_default())
}

#[handler]
async fn cancel(Data(host): Data<&Host>, Path(id): Path<String>) -> StatusCode {
    host.machine.wait_responsive().await;
    if let Some(group) = host.machine.group() {
        group.cancel(&id);
    }
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

#[handler]
async fn cache_events(Data(host): Data<&Host>, Query(query): Query<AfterQuery>) -> Response {
    host.machine.wait_responsive().await;
    let events = host.machine.group().map(|group| group.cache_events(query.after)).unwrap_or_default();
    Response::builder().content_type("application/json").body(serde_json::to_vec(&events).unwrap_or_default())
}

#[handler]
async fn export_cache(Data(host): Data<&Host>, prompt: String) -> Json<Vec<u64>> {
    host.machine.wait_responsive().await;
    Json(host.machine.group().map(|group| group.export_cache(&prompt)).unwrap_or_default())
}

#[handler]
async fn import_cache(Data(host): Data<&Host>, Json(blocks): Json<Vec<u64>>) -> StatusCode {
    host.machine.wait_responsive().await;
    if let Some(group) = host.machine.group() {
        group.import_cache(&blocks);
    }
    StatusCode::NO_CONTENT
}
