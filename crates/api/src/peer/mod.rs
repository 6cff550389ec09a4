//! Messages between daemons: the `tarpc` service, its message types and its codec.

mod admission;
mod codec;
mod control;
mod service;

pub use admission::{
    AcquireReply, AcquireRequest, Grant, Refusal, ReplicaEvidence, RequestRecord, SlotReturn, StoredAnswer,
};
pub use codec::{MAX_FRAME_BYTES, PeerVolume, PostcardCodec};
pub use control::{
    AdmitAnswer, ControlAnswer, DaemonRecord, DelegatedRequest, DelegationAnswer, DocumentAnswer,
    LeaseAnswer, LeaseContent, LeaseRequest, MachineState, Observation, ReadAnswer, RevisedCommand,
    SubmitReply, VoterRecord,
};
pub use service::{Peer, PeerClient, PeerRequest, PeerResponse};
