//! The replicated state machine: the resources that operators declare, and the assignments that dockwood made.
//!
//! [`State::apply`] is a pure function of the state and a [`Command`]; every voter and daemon that applies the
//! same commands in the same order holds the same tables. The invariants that hold whatever a controller requests
//! (no machine in two replicas, monotonic epochs and fences, compare-and-set) are enforced here.
//! Assignment decisions are made by `placement`; storage and network I/O belong to the callers.

mod assignment;
mod change;
mod claim;
mod codec;
mod command;
mod daemons;
mod gateway;
mod machine;
mod prompt_suspicion;
mod reference;
mod suspicion;
mod tables;
pub mod view;

pub use change::{CHANGE_RETENTION, ChangeTable};
pub use claim::{ClaimKey, ClaimRequest, ClaimRow, ClaimSettlement, ClaimTable, ClaimVerdict};
pub use codec::{decode_command, decode_outcome, encode_command, encode_outcome};
pub use command::{ChangeAction, ChangeRequest, Command, CommandBody, DaemonUpdate, Outcome};
pub use gateway::{
    Evacuation, GatewayCommand, GatewayTables, GroupPhase, GroupPurpose, GroupRow, InstanceRow,
};
pub use machine::{Applied, ControlVoter, State};
pub use prompt_suspicion::{
    CrashCause, CrashHorizon, PartEvidence, PartQuarantineRow, PromptCrashRow, PromptSuspicionTable,
    SuspectPrompt,
};
pub use suspicion::{
    CrashReport, CrashRow, Evidence, QuarantinePeriod, QuarantineRow, Suspect, SuspectAttempt,
    SuspicionStatus, SuspicionTable, TrialRequest,
};
pub use tables::{
    DaemonRow, Holder, Liveness, MachineRow, OrderRow, OrderState, PoolRow, ReplicaPhase, ReplicaRow, Tables,
};
