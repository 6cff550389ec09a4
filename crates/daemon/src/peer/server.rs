//! Server side of the peer RPC service.

use super::frame_reader::FrameReader;
use super::relay::relay;
use super::transport::peer_transport;
use crate::clock::monotonic_ms;
use crate::connection_slots::ConnectionSlot;
use crate::control::ControlMessage;
use crate::http_connection::accept;
use crate::shared::Shared;
use crate::traffic::Traffic;
use crate::tunnel::{is_tunnel, serve_tunnel};
use dockwood_api::ResultCode;
use dockwood_api::gateway::{
    DispatchScope, InstanceReport, LimitUpdate, LoadDigest, LoadReport, PlaceReply, PlaceRequest, TurnReply,
    TurnRequest,
};
use dockwood_api::peer::{
    AcquireReply, AcquireRequest, AdmitAnswer, ControlAnswer, DelegatedRequest, DelegationAnswer,
    DocumentAnswer, LeaseAnswer, LeaseRequest, Observation, Peer, PeerClient, ReadAnswer, ReplicaEvidence,
    RequestRecord, SlotReturn, SubmitReply,
};
use futures::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};

/// Maximum time until the first bytes of a connection.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the control thread to publish a revision that it has applied: it publishes once per iteration.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
    traffic: Arc<Traffic>,
}

/// Accepts connections of other daemons until the process ends.
pub async fn serve_peers(shared: Arc<Shared>, traffic: Arc<Traffic>, listener: tokio::net::TcpListener) {
    let slots = shared.listener_slots.peers.clone();
    let server = PeerServer { shared, traffic };
    // Other daemons are served until the process ends.
    let (_never_stops, stopping) = watch::channel(false);
    accept(listener, slots, stopping, |stream, slot| serve_unless_displaced(server.clone(), stream, slot))
        .await;
}

/// Serves a connection. Only those on which nothing was received yet are displaced.
async fn serve_unless_displaced(server: PeerServer, stream: TcpStream, slot: Arc<ConnectionSlot>) {
    tokio::select! {
        () = serve_connection(server, stream, slot.clone()) => {}
        () = slot.displaced() => {}
    }
}

async fn serve_connection(server: PeerServer, stream: TcpStream, slot: Arc<ConnectionSlot>) {
    let Ok(is_tunnel) = tokio::time::timeout(FIRST_BYTES_TIMEOUT, is_tunnel(&stream)).await else { return };
    if is_tunnel {
        let _served = slot.begin_request();
        serve_tunnel(server.shared, stream).await;
        return;
    }
    let (reader, writer) = stream.into_split();
    let frames = FrameReader::new(reader, server.shared.caller_memory.clone(), slot);
    let channel = BaseChannel::with_defaults(peer_transport(tokio::io::join(frames, writer)));
    let serve = channel.execute(server.serve()).for_each(|call| async move {
        tokio::spawn(call);
    });
    serve.await;
}

impl PeerServer {
    fn count_call(&self, method: &str) {
        self.shared.metrics.peer_calls.with_label_values(&[method]).inc();
    }

    /// Returns the configuration document once this daemon has published the given revision.
    async fn document_at(&self, revision: u64) -> DocumentAnswer {
        if !self.shared.wait_for_revision(revision, PUBLISH_TIMEOUT).await {
            return DocumentAnswer::NotLeader { leader: None };
        }
        let tables = self.shared.tables();
        let configuration = tables.gateway.configuration.as_ref();
        DocumentAnswer::Current {
            document: configuration.map(|configuration| configuration.document.clone()).unwrap_or_default(),
        }
    }

    /// Sends a message to the control thread and waits for its reply; `None` if the thread has ended.
    async fn ask_control<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> ControlMessage) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.shared.control.send(message(reply)).await;
        answer.await.ok()
    }
}

impl Peer for PeerServer {
    async fn consensus(self, _: Context, messages: Vec<u8>) {
        self.count_call("consensus");
        self.shared.control.send(ControlMessage::Consensus { messages }).await;
    }

    async fn lease(self, _: Context, request: LeaseRequest) -> LeaseAnswer {
        self.count_call("lease");
        self.shared.timeline.observe(request.stamp);
        if !self.shared.settings.is_control_member() {
            let call = |client: PeerClient, context| async move { client.lease(context, request).await };
            let relayed = relay(&self.shared, call).await;
            return relayed.unwrap_or(LeaseAnswer::NotLeader { leader: self.shared.leader_for_others() });
        }
        if !self.shared.knows_control_leader() {
            self.shared.record_lease_requester(request.daemon.peer);
        }
        match self.ask_control(|reply| ControlMessage::Lease { request, reply }).await {
            Some(LeaseAnswer::NotLeader { leader: None }) | None => {
                LeaseAnswer::NotLeader { leader: self.shared.leader_for_others() }
            }
            Some(answer) => answer,
        }
    }

    async fn delegate_leases(self, _: Context, requests: Vec<DelegatedRequest>) -> DelegationAnswer {
        self.count_call("delegate_leases");
        let answer = self.ask_control(|reply| ControlMessage::Delegate { requests, reply }).await;
        answer.unwrap_or(DelegationAnswer::NotLeader { leader: None })
    }

    async fn submit(self, _: Context, command: Vec<u8>) -> SubmitReply {
        self.count_call("submit");
        let answer = self.ask_control(|reply| ControlMessage::Submit { command, reply }).await;
        let message = "the control thread ended before the command was applied".to_string();
        answer.unwrap_or(SubmitReply::Failed { code: ResultCode::ProposalDropped, message })
    }

    async fn observe(self, _: Context, term: u64, observations: Vec<Observation>) -> bool {
        self.count_call("observe");
        let pending_reply = self.ask_control(|reply| ControlMessage::Observe { term, observations, reply });
        pending_reply.await.unwrap_or(false)
    }

    async fn exchange_load(self, _: Context, report: LoadReport) -> Option<LoadDigest> {
        self.count_call("exchange_load");
        if !self.shared.settings.is_control_member() {
            if let Some(scope) = report.scope.clone() {
                let is_witness = self.shared.dispatchers.is_witness(&self.shared.tables(), &report.daemon);
                return Some(self.shared.scope_dispatchers.exchange(&scope, report, is_witness));
            }
            let call =
                |client: PeerClient, context| async move { client.exchange_load(context, report).await };
            return relay(&self.shared, call).await.flatten();
        }
        self.ask_control(|reply| ControlMessage::ExchangeLoad { report, reply }).await.flatten()
    }

    async fn assign_place(self, _: Context, request: PlaceRequest) -> Option<PlaceReply> {
        self.count_call("assign_place");
        if !self.shared.settings.is_control_member() {
            if let Some(zone) = request.group_zone.clone() {
                let scope =
                    DispatchScope { zone, service: request.service.clone(), model: request.model.clone() };
                return self.shared.scope_dispatchers.assign(&self.shared, &scope, &request);
            }
            let call =
                |client: PeerClient, context| async move { client.assign_place(context, request).await };
            return relay(&self.shared, call).await.flatten();
        }
        self.ask_control(|reply| ControlMessage::AssignPlace { request, reply }).await.flatten()
    }

    async fn share_limits(self, _: Context, news: LimitUpdate) {
        self.count_call("share_limits");
        self.shared.pushback.take_news(&self.shared, &news);
    }

    async fn take_turn(self, _: Context, request: TurnRequest) -> TurnReply {
        self.count_call("take_turn");
        self.shared.pushback.give_turn(&self.shared, &request)
    }

    async fn register(self, _: Context, reports: Vec<InstanceReport>) -> Vec<SubmitReply> {
        self.count_call("register");
        let pending_replies = reports
            .into_iter()
            .map(|report| self.ask_control(|reply| ControlMessage::Register { report, reply }));
        let answers = futures::future::join_all(pending_replies).await;
        let no_leader = || SubmitReply::NotLeader { leader: None };
        answers.into_iter().map(|answer| answer.unwrap_or_else(no_leader)).collect()
    }

    async fn read_revision(self, _: Context) -> ReadAnswer {
        self.count_call("read_revision");
        let answer = self.ask_control(|reply| ControlMessage::ReadRevision { reply }).await;
        answer.unwrap_or(ReadAnswer::NotLeader { leader: None })
    }

    async fn read_document(self, _: Context) -> DocumentAnswer {
        self.count_call("read_document");
        match self.ask_control(|reply| ControlMessage::ReadRevision { reply }).await {
            Some(ReadAnswer::Current { revision }) => self.document_at(revision).await,
            Some(ReadAnswer::NotLeader { leader }) => DocumentAnswer::NotLeader { leader },
            None => DocumentAnswer::NotLeader { leader: None },
        }
    }

    async fn fetch_state(self, _: Context) -> Option<Vec<u8>> {
        self.count_call("fetch_state");
        self.ask_control(|reply| ControlMessage::FetchSnapshot { reply }).await.flatten()
    }

    async fn admit_voter(self, _: Context, id: u64, address: SocketAddr, zone: String) -> AdmitAnswer {
        self.count_call("admit_voter");
        match self.ask_control(|reply| ControlMessage::AdmitVoter { id, address, zone, reply }).await {
            Some(AdmitAnswer::NotLeader { leader: None }) | None => {
                AdmitAnswer::NotLeader { leader: self.shared.leader_for_others() }
            }
            Some(answer) => answer,
        }
    }

    async fn leader_elected(self, _: Context, leader: SocketAddr, term: u64) {
        self.count_call("leader_elected");
        self.shared.known_leader.announced(monotonic_ms(), leader, term);
    }

    async fn control_view(self, _: Context) -> ControlAnswer {
        self.count_call("control_view");
        let answer = self.ask_control(|reply| ControlMessage::View { reply }).await;
        answer.unwrap_or(ControlAnswer::NotLeader { leader: None })
    }

    async fn acquire(self, _: Context, request: AcquireRequest) -> AcquireReply {
        self.count_call("acquire");
        self.traffic.pools.acquire(request).await
    }

    async fn release(self, _: Context, slot_return: SlotReturn) {
        self.count_call("release");
        self.traffic.pools.release(slot_return);
    }

    async fn evidence(self, _: Context, reports: Vec<ReplicaEvidence>) -> u64 {
        self.count_call("evidence");
        self.traffic.pools.record_evidence(reports);
        monotonic_ms()
    }

    async fn held_slots(self, _: Context, entry: String, pool: String, slots: Vec<(u64, String)>) {
        self.count_call("held_slots");
        self.traffic.pools.record_held_slots(&entry, &pool, slots);
    }

    async fn record_request(self, _: Context, record: RequestRecord) -> Option<RequestRecord> {
        self.count_call("record_request");
        self.traffic.records.store(record)
    }

    async fn read_request(self, _: Context, key: String) -> Option<RequestRecord> {
        self.count_call("read_request");
        self.traffic.records.read(&key)
    }
}
