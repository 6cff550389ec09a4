//! The replicated state machine: what operators desire and what dockwood has assigned.
//!
//! [`State::apply`] is a pure function of the state and a [`Command`]; every voter and daemon that applies the
//! same commands in the same order holds the same tables. The rules that must hold whatever a controller asks
//! (no machine in two replicas, epochs and fences that only grow, compare-and-set) are enforced here.
//! It does not decide what to assign (that is `placement`) and does not store or send anything.

mod assignment;
mod change;
mod claim;
mod command;
mod fleet;
mod gateway;
mod machine;
mod reference;
mod snapshot;
mod suspicion;
mod tables;
pub mod view;

pub use change::{CHANGE_RETENTION, ChangeTable};
pub use claim::{ClaimKey, ClaimRequest, ClaimRow, ClaimSettlement, ClaimTable, ClaimVerdict};
pub use command::{ChangeAction, ChangeRequest, Command, CommandBody, DaemonUpdate, Outcome};
pub use gateway::{
    Evacuation, GatewayCommand, GatewayTables, GroupPhase, GroupPurpose, GroupRow, InstanceRow,
};
pub use machine::{Applied, ControlVoter, State};
pub use snapshot::{decode_command, decode_outcome, encode_command, encode_outcome};
pub use suspicion::{
    CrashRow, Evidence, QuarantineRow, ServerEnd, Standing, Suspect, SuspectTry, SuspicionTable, TrialRequest,
};
pub use tables::{
    DaemonRow, Holder, Liveness, MachineRow, OrderRow, OrderState, PoolRow, ReplicaPhase, ReplicaRow, Tables,
};
