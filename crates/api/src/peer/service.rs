//! The `tarpc` service that every daemon offers to the others.

use super::{
    AcquireReply, AcquireRequest, AdmitAnswer, ControlAnswer, DelegatedRequest, DelegationAnswer,
    DocumentAnswer, LeaseAnswer, LeaseRequest, Observation, ReadAnswer, ReplicaEvidence, RequestRecord,
    SlotReturn, SubmitReply,
};

use crate::gateway::{
    InstanceReport, LimitNews, LoadDigest, LoadReport, PlaceReply, PlaceRequest, TurnReply, TurnRequest,
};
use std::net::SocketAddr;

/// Calls between daemons. Every call is safe to repeat.
#[tarpc::service]
pub trait Peer {
    /// Messages of the consensus group, encoded; one way.
    async fn consensus(messages: Vec<u8>);

    /// Asks the leader, or a voter in its name, for a configuration lease; the answer may be held until there is news.
    async fn lease(request: LeaseRequest) -> LeaseAnswer;

    /// A voter reports to the leader which daemons have asked it for leases.
    async fn delegate_leases(requests: Vec<DelegatedRequest>) -> DelegationAnswer;

    /// Submits an encoded command to the leader and waits until it is applied there.
    async fn submit(command: Vec<u8>) -> SubmitReply;

    /// Reports findings to the leader of a term; false if this daemon does not lead that term.
    async fn observe(term: u64, observations: Vec<Observation>) -> bool;

    /// Reports a daemon's load to the leader; `None` if this daemon does not lead.
    async fn exchange_load(report: LoadReport) -> Option<LoadDigest>;

    /// Asks the leader for a place at a group; `None` if this daemon does not lead.
    async fn assign_place(request: PlaceRequest) -> Option<PlaceReply>;

    /// Notifies a daemon of servers that named a limit, or whose limit has ended.
    async fn share_limits(news: LimitNews);

    /// Asks the daemon that shares out a server's limit for leave to send it one request.
    async fn take_turn(request: TurnRequest) -> TurnReply;

    /// Servers' reports, taken by another daemon; one answer to each, in their order.
    async fn register(reports: Vec<InstanceReport>) -> Vec<SubmitReply>;

    /// The revision at which a read is current.
    async fn read_revision() -> ReadAnswer;

    /// The newest configuration as the operator sent it, which voters alone keep.
    async fn read_document() -> DocumentAnswer;

    /// The state that this daemon holds, encoded and compressed, for a daemon that lags; `None` if it holds none.
    async fn fetch_state() -> Option<Vec<u8>>;

    /// Asks the leader to admit a member of the control group, or to replace one that was at its address.
    async fn admit_voter(id: u64, address: SocketAddr, zone: String) -> AdmitAnswer;

    /// A leader announces itself to a daemon that has not asked it for a lease.
    async fn leader_elected(leader: SocketAddr, term: u64);

    /// Asks the leader for its view of replicas, daemons and control, as JSON.
    async fn control_view() -> ControlAnswer;

    /// Asks a coordinator for a slot.
    async fn acquire(request: AcquireRequest) -> AcquireReply;

    /// Hands a slot back.
    async fn release(slot_return: SlotReturn);

    /// A watcher's evidence, to the coordinator of the pool; answers the receiver's clock in milliseconds.
    async fn evidence(reports: Vec<ReplicaEvidence>) -> u64;

    /// An entry shows the slots that it holds, as a heartbeat and after a change of coordinator.
    async fn held_slots(entry: String, pool: String, slots: Vec<(u64, String)>);

    /// Keeps a request's record; answers the record that was there before, without its answer.
    async fn record_request(record: RequestRecord) -> Option<RequestRecord>;

    /// Reads a request's record.
    async fn read_request(key: String) -> Option<RequestRecord>;
}
