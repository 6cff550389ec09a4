//! The `tarpc` service that every daemon provides to the others.

use super::{
    AcquireReply, AcquireRequest, AdmitAnswer, ControlAnswer, DelegatedRequest, DelegationAnswer,
    DocumentAnswer, LeaseAnswer, LeaseRequest, Observation, ReadAnswer, ReplicaEvidence, RequestRecord,
    SlotReturn, SubmitReply,
};

use crate::gateway::{
    InstanceReport, LimitUpdate, LoadDigest, LoadReport, PlaceReply, PlaceRequest, TurnReply, TurnRequest,
};
use std::net::SocketAddr;

/// Calls between daemons. All calls are idempotent.
#[tarpc::service]
pub trait Peer {
    /// Delivers encoded messages of the consensus group; one-way.
    async fn consensus(messages: Vec<u8>);

    /// Requests a configuration lease from the leader, or from a voter on its behalf; a long poll that may be held
    /// until there is a notification.
    async fn lease(request: LeaseRequest) -> LeaseAnswer;

    /// Reports to the leader which daemons have requested leases from the calling voter.
    async fn delegate_leases(requests: Vec<DelegatedRequest>) -> DelegationAnswer;

    /// Submits an encoded command to the leader, and responds once the leader has applied it.
    async fn submit(command: Vec<u8>) -> SubmitReply;

    /// Reports observations to the leader of a term; false if this daemon is not the leader of that term.
    async fn observe(term: u64, observations: Vec<Observation>) -> bool;

    /// Reports a daemon's load to the leader; `None` if this daemon is not the leader.
    async fn exchange_load(report: LoadReport) -> Option<LoadDigest>;

    /// Requests a place at a group from the leader; `None` if this daemon is not the leader.
    async fn assign_place(request: PlaceRequest) -> Option<PlaceReply>;

    /// Notifies a daemon of servers that declared a limit, or whose limit has ended.
    async fn share_limits(news: LimitUpdate);

    /// Requests permission to send one request to a server from its limiter, the daemon that allocates its limit.
    async fn take_turn(request: TurnRequest) -> TurnReply;

    /// Forwards reports that the calling daemon received from servers; returns one reply for each, in the same order.
    async fn register(reports: Vec<InstanceReport>) -> Vec<SubmitReply>;

    /// Returns the revision at which a read is current.
    async fn read_revision() -> ReadAnswer;

    /// Returns the newest configuration document as sent by the operator, which only voters store.
    async fn read_document() -> DocumentAnswer;

    /// Returns the encoded and compressed state of this daemon, for a daemon that lags behind; `None` if it has none.
    async fn fetch_state() -> Option<Vec<u8>>;

    /// Asks the leader to admit a voter to the control group, or to let it replace the one that was at its address.
    async fn admit_voter(id: u64, address: SocketAddr, zone: String) -> AdmitAnswer;

    /// Announces a new leader to a daemon that has not requested a lease from it.
    async fn leader_elected(leader: SocketAddr, term: u64);

    /// Returns the leader's view of replicas, daemons and the control group, as JSON.
    async fn control_view() -> ControlAnswer;

    /// Requests a slot from a coordinator.
    async fn acquire(request: AcquireRequest) -> AcquireReply;

    /// Returns a slot to its coordinator.
    async fn release(slot_return: SlotReturn);

    /// Reports a watcher's evidence to the coordinator of the pool; returns the coordinator's clock in milliseconds.
    async fn evidence(reports: Vec<ReplicaEvidence>) -> u64;

    /// Reports the slots that an entry holds, as a heartbeat and after a change of coordinator.
    async fn held_slots(entry: String, pool: String, slots: Vec<(u64, String)>);

    /// Stores a request record; returns the previous record, without its stored response.
    async fn record_request(record: RequestRecord) -> Option<RequestRecord>;

    /// Returns a request record.
    async fn read_request(key: String) -> Option<RequestRecord>;
}
