//! A server that pauses like a suspended process: it accepts nothing, reads nothing and writes nothing, and then goes on with
//! all that it has received. Model servers form groups, and the head of a group writes only while all its members run.

use super::http_text::{ReceivedRequest, chunk, head_with_length, read_request};
use super::membership::Membership;
use super::records::{EVENTS, OpenRun, RunEnd, RunLog, event_text, lock, plain_body};
use dockwood_api::gateway::{GroupOrder, InstanceReport, InstanceState};
use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which a plain request runs.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(60);
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Changes are reported within this time.
const REPORTED_WITHIN: Duration = Duration::from_millis(50);
/// A group that has lost a member breaks after this time.
pub const BREAKS_AFTER: Duration = Duration::from_secs(6);
const SLOTS: u32 = 8;
/// With a defect, one of this many requests is affected.
const DEFECT_INTERVAL: u32 = 10;

/// With a defect, all servers deny that they ran the requests whose ids end like this.
const DENIED_ATTEMPTS: &str = "7";

/// A fault of the test's own servers and callers, which its checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// A server runs a request twice.
    RunsTwice,
    /// A server ends a response as if it were complete before its last part.
    Truncates,
    /// A server leaves out an event.
    SkipsEvent,
    /// A server runs a request and breaks the connection.
    Drops,
    /// A server runs a request and states that it did not run.
    DeniesRun,
    /// The operator counts a configuration as accepted that was never submitted.
    InventsConfiguration,
}

/// What all servers of a run share.
pub struct ServerContext {
    pub operators: Vec<SocketAddr>,
    pub runs: Arc<RunLog>,
    pub servers: Mutex<BTreeMap<String, Arc<SoakServer>>>,
    pub defect: Defect,
    affected: AtomicU32,
}

impl ServerContext {
    pub fn new(operators: Vec<SocketAddr>, defect: Defect) -> Arc<ServerContext> {
        let (runs, servers, affected) = (Arc::default(), Mutex::default(), AtomicU32::new(0));
        Arc::new(ServerContext { operators, runs, servers, defect, affected })
    }

    /// Returns whether the next request is affected by a defect.
    fn affects_next(&self, defect: Defect) -> bool {
        self.defect == defect
            && self.affected.fetch_add(1, Ordering::SeqCst) % DEFECT_INTERVAL == DEFECT_INTERVAL - 1
    }
}

/// A server of this test.
pub struct SoakServer {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    domain: Option<String>,
    context: Arc<ServerContext>,
    is_paused: watch::Sender<bool>,
    has_ended: watch::Sender<bool>,
    pub membership: Membership,
    sequence: AtomicU64,
}

impl SoakServer {
    /// Starts a server; model servers have a fabric domain.
    pub async fn start(
        context: Arc<ServerContext>,
        id: String,
        address: SocketAddr,
        domain: Option<&str>,
    ) -> Result<Arc<SoakServer>> {
        let service = if domain.is_some() { "writer" } else { "board" };
        let server = Arc::new(SoakServer {
            id,
            address,
            service: service.to_string(),
            domain: domain.map(str::to_string),
            context: context.clone(),
            is_paused: watch::channel(false).0,
            has_ended: watch::channel(false).0,
            membership: Membership::default(),
            sequence: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address).await?;
        lock(&context.servers).insert(server.id.clone(), server.clone());
        tokio::spawn(server.clone().until_end(server.clone().accept(listener)));
        tokio::spawn(server.clone().until_end(server.clone().keep_reporting()));
        Ok(server)
    }

    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.send_replace(is_paused);
    }

    /// Ends the process: its connections are closed, and new ones are refused.
    pub fn crash(&self) {
        self.has_ended.send_replace(true);
        // The other members of its group learn of its end also if it was paused.
        self.is_paused.send_replace(false);
    }

    pub fn has_crashed(&self) -> bool {
        *self.has_ended.borrow()
    }

    async fn until_end(self: Arc<Self>, work: impl Future<Output = ()>) {
        let mut has_ended = self.has_ended.subscribe();
        tokio::select! {
            biased;
            _ = has_ended.wait_for(|ended| *ended) => {}
            () = work => {}
        }
    }

    async fn until_running(&self) {
        let _ = self.is_paused.subscribe().wait_for(|paused| !*paused).await;
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            self.until_running().await;
            let Ok((stream, _)) = listener.accept().await else { continue };
            let serving = self.clone().serve(stream);
            tokio::spawn(self.clone().until_end(async {
                // An error is the end of a connection, which the records of its runs tell.
                let _ = serving.await;
            }));
        }
    }

    async fn keep_reporting(self: Arc<Self>) {
        let http = reqwest::Client::new();
        let mut turn = 0;
        loop {
            self.until_running().await;
            let reported = self.membership.report();
            let operators = self.context.operators[turn % self.context.operators.len()];
            let url = format!("http://{operators}/v1/gateway/instances/{}", self.id);
            let sent = http.put(url).timeout(Duration::from_secs(1)).json(&self.report()).send().await;
            turn += usize::from(!sent.is_ok_and(|response| response.status().is_success()));
            let started = Instant::now();
            while started.elapsed() < REPORT_INTERVAL && self.membership.report() == reported {
                tokio::time::sleep(REPORTED_WITHIN).await;
            }
        }
    }

    fn report(&self) -> InstanceReport {
        InstanceReport {
            started_ms: None,
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: "z".to_string(),
            slots: SLOTS,
            state: InstanceState::Ready,
            cold_ms: 0,
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            domain: self.domain.clone(),
            staged: self.membership.staged(),
            membership: self.membership.report(),
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        loop {
            self.until_running().await;
            let request = read_request(&mut reader).await?;
            self.until_running().await;
            if request.path == "/group/orders" {
                let status = self.take_order(&request)?;
                self.until_running().await;
                writer.write_all(head_with_length(status, "", 0).as_bytes()).await?;
                continue;
            }
            if request.path == "/group/report" {
                writer.write_all(head_with_length("200 OK", "", 0).as_bytes()).await?;
                continue;
            }
            if request.header("dockwood-attempt").is_none() {
                // A check of who listens here: requests without an id are not run.
                let own_instance = format!("dockwood-own-instance: {}\r\n", self.id);
                let response = head_with_length("421 Misdirected Request", &own_instance, 0);
                writer.write_all(response.as_bytes()).await?;
                continue;
            }
            let run = self.open_run(&request);
            // The entry sends nothing before the end of the response, so whatever is read is the end of the connection.
            let end = tokio::select! {
                biased;
                _ = reader.read_u8() => Ok(RunEnd::ClosedByEntry),
                end = self.respond(&mut writer, &request, &run) => end,
            };
            let end = end.unwrap_or(RunEnd::ClosedByEntry);
            run.end(end);
            if !matches!(end, RunEnd::Complete | RunEnd::Rejected) {
                return Ok(());
            }
        }
    }

    fn take_order(self: &Arc<Self>, request: &ReceivedRequest) -> Result<&'static str> {
        let order: GroupOrder = serde_json::from_slice(&request.body).map_err(Error::other)?;
        Ok(self.clone().execute(order))
    }

    fn open_run(&self, request: &ReceivedRequest) -> OpenRun {
        let attempt = request.header("dockwood-attempt").unwrap_or_default();
        let last_event = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.context.runs.open(attempt, &self.id, last_event)
    }

    async fn respond(
        &self,
        writer: &mut OwnedWriteHalf,
        request: &ReceivedRequest,
        run: &OpenRun,
    ) -> Result<RunEnd> {
        let attempt = request.header("dockwood-attempt").unwrap_or_default();
        let own_headers = format!("dockwood-attempt: {attempt}\r\n");
        if request.header("dockwood-instance") != Some(&self.id) {
            let headers = format!("{own_headers}dockwood-own-instance: {}\r\n", self.id);
            writer.write_all(head_with_length("421 Misdirected Request", &headers, 0).as_bytes()).await?;
            return Ok(RunEnd::Rejected);
        }
        let rejection =
            head_with_length("503 Service Unavailable", &format!("{own_headers}dockwood-not-run: 1\r\n"), 0);
        if self.domain.is_some() && !self.membership.is_open() {
            writer.write_all(rejection.as_bytes()).await?;
            return Ok(RunEnd::Rejected);
        }
        if self.context.affects_next(Defect::RunsTwice) {
            self.open_run(request).end(RunEnd::Complete);
        }
        if self.context.affects_next(Defect::Drops) {
            return Ok(RunEnd::Dropped);
        }
        if self.context.defect == Defect::DeniesRun && attempt.ends_with(DENIED_ATTEMPTS) {
            writer.write_all(rejection.as_bytes()).await?;
            return Ok(RunEnd::Complete);
        }
        match self.domain {
            Some(_) => self.write_stream(writer, request, &own_headers, run).await,
            None => self.write_plain(writer, attempt, &own_headers).await,
        }
    }

    async fn write_plain(&self, writer: &mut OwnedWriteHalf, attempt: &str, headers: &str) -> Result<RunEnd> {
        tokio::time::sleep(PLAIN_RUN_TIME).await;
        let body = plain_body(attempt);
        let (first, second) = body.split_at(body.len() / 2);
        let is_truncated = self.context.affects_next(Defect::Truncates);
        let length = if is_truncated { first.len() } else { body.len() };
        self.until_running().await;
        writer.write_all(head_with_length("200 OK", headers, length).as_bytes()).await?;
        writer.write_all(first.as_bytes()).await?;
        tokio::time::sleep(EVENT_INTERVAL).await;
        self.until_running().await;
        if !is_truncated {
            writer.write_all(second.as_bytes()).await?;
        }
        Ok(RunEnd::Complete)
    }

    async fn write_stream(
        &self,
        writer: &mut OwnedWriteHalf,
        request: &ReceivedRequest,
        headers: &str,
        run: &OpenRun,
    ) -> Result<RunEnd> {
        let Some(work) = self.membership.begin_work() else { return Ok(RunEnd::Truncated) };
        let attempt = request.header("dockwood-attempt").unwrap_or_default();
        let last_event = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let last = if self.context.affects_next(Defect::Truncates) { EVENTS / 2 } else { EVENTS };
        let skipped = self.context.affects_next(Defect::SkipsEvent).then_some(EVENTS / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        self.until_running().await;
        writer.write_all(head.as_bytes()).await?;
        for id in last_event + 1..=last {
            tokio::time::sleep(EVENT_INTERVAL).await;
            if let Some(end) = self.until_members_run(work.members()).await {
                return Ok(end);
            }
            if work.is_truncated() {
                return Ok(self.end_of_truncated(work.members()));
            }
            if Some(id) == skipped {
                continue;
            }
            let event = event_text(attempt, id);
            let (first, second) = event.split_at(event.len() / 2);
            writer.write_all(chunk(first).as_bytes()).await?;
            self.until_running().await;
            writer.write_all(chunk(second).as_bytes()).await?;
            run.count_event();
        }
        self.until_running().await;
        writer.write_all(b"0\r\n\r\n").await?;
        Ok(RunEnd::Complete)
    }

    fn end_of_truncated(&self, members: &[String]) -> RunEnd {
        let servers = lock(&self.context.servers);
        let has_crashed = members.iter().filter_map(|id| servers.get(id)).any(|server| server.has_crashed());
        if has_crashed { RunEnd::MemberCrashed } else { RunEnd::Truncated }
    }

    /// Waits while a member is paused; returns how the run ends if the group has lost a member.
    async fn until_members_run(&self, members: &[String]) -> Option<RunEnd> {
        for id in members {
            let Some(member) = lock(&self.context.servers).get(id).cloned() else { continue };
            member.until_running().await;
            if member.has_crashed() {
                tokio::time::sleep(BREAKS_AFTER).await;
                self.membership.set_broken();
                return Some(RunEnd::MemberCrashed);
            }
            if !member.membership.is_same_group(&self.membership) {
                tokio::time::sleep(BREAKS_AFTER).await;
                self.membership.set_broken();
                return Some(RunEnd::MemberLeft);
            }
        }
        self.until_running().await;
        None
    }
}
