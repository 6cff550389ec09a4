//! Reply handles of callers that wait for the control thread. A reply to a caller that has gone is dropped.

use dockwood_api::gateway::{LoadDigest, PlaceReply};
use dockwood_api::peer::{
    AdmitAnswer, ControlAnswer, DelegationAnswer, LeaseAnswer, ReadAnswer, SubmitReply,
};
use tokio::sync::oneshot;

/// Reply handle of a waiting caller.
#[derive(Debug)]
pub enum Reply {
    /// Of a submitted command.
    Submit(oneshot::Sender<SubmitReply>),
    /// Of a lease request.
    Lease(oneshot::Sender<LeaseAnswer>),
    /// Of a voter that grants leases on behalf of the leader.
    Delegation(oneshot::Sender<DelegationAnswer>),
    /// Of an observation.
    Observe(oneshot::Sender<bool>),
    /// Of the leader's view.
    View(oneshot::Sender<ControlAnswer>),
    /// Of an entry's load report.
    Load(oneshot::Sender<Option<LoadDigest>>),
    /// Of an entry that requests a place.
    Place(oneshot::Sender<Option<PlaceReply>>),
    /// Of a process that asks to become a voter.
    Admit(oneshot::Sender<AdmitAnswer>),
    /// Of a request for the revision of a current read.
    Read(oneshot::Sender<ReadAnswer>),
    /// Of a daemon that requests a snapshot of the state.
    Snapshot(oneshot::Sender<Option<Vec<u8>>>),
}

impl Reply {
    /// Answers a submitted command.
    pub fn submit(self, answer: SubmitReply) {
        if let Reply::Submit(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers a daemon that requests a snapshot of the state.
    pub fn snapshot(self, snapshot: Option<Vec<u8>>) {
        if let Reply::Snapshot(reply) = self {
            let _ = reply.send(snapshot);
        }
    }

    /// Answers a lease request.
    pub fn lease(self, answer: LeaseAnswer) {
        if let Reply::Lease(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers a voter that grants leases on behalf of the leader.
    pub fn delegation(self, answer: DelegationAnswer) {
        if let Reply::Delegation(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers an observation.
    pub fn observe(self, accepted: bool) {
        if let Reply::Observe(reply) = self {
            let _ = reply.send(accepted);
        }
    }

    /// Answers an entry's load report.
    pub fn load(self, digest: Option<LoadDigest>) {
        if let Reply::Load(reply) = self {
            let _ = reply.send(digest);
        }
    }

    /// Answers an entry that requests a place.
    pub fn place(self, place: Option<PlaceReply>) {
        if let Reply::Place(reply) = self {
            let _ = reply.send(place);
        }
    }

    /// Answers a process that asks to become a voter.
    pub fn admit(self, answer: AdmitAnswer) {
        if let Reply::Admit(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers with the revision of a current read.
    pub fn read(self, answer: ReadAnswer) {
        if let Reply::Read(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers with a view.
    pub fn view(self, view: ControlAnswer) {
        if let Reply::View(reply) = self {
            let _ = reply.send(view);
        }
    }
}
