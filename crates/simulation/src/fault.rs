//! Faults that a run brings about, and defects that prove the checker.

use serde::Serialize;

/// What fails. Each heals by itself: processes start again, networks mend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Fault {
    /// The control leader's process dies.
    KillLeader,
    /// The control leader dies at its next synced write, before or after it.
    KillLeaderAtSync,
    /// A voter that follows dies.
    KillFollower,
    /// The daemon that coordinates a pool dies.
    KillCoordinator,
    /// The control leader pauses for ten seconds, and then goes on where it was.
    PauseLeader,
    /// A daemon that is no voter pauses for six seconds.
    PauseDaemon,
    /// The control leader is cut off in silence.
    CutOffLeader,
    /// The control leader is heard by nobody, but hears all.
    MuteLeader,
    /// Messages are lost, doubled, late and out of order for four seconds.
    LossyNetwork,
    /// Every voter dies at once.
    KillAllVoters,
    /// A machine of a replica dies.
    KillMachine,
    /// A machine of a replica restarts at once, empty.
    RestartMachine,
    /// A machine of a replica falls silent for five seconds.
    SilenceMachine,
    /// Two machines of one replica die.
    KillTwoMachines,
    /// Two operators change one resource at one version.
    RaceOperators,
    /// Operators' answers are lost, and they send again elsewhere.
    LoseAnswers,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 16] = [
        Fault::KillLeader,
        Fault::KillLeaderAtSync,
        Fault::KillFollower,
        Fault::KillCoordinator,
        Fault::PauseLeader,
        Fault::PauseDaemon,
        Fault::CutOffLeader,
        Fault::MuteLeader,
        Fault::LossyNetwork,
        Fault::KillAllVoters,
        Fault::KillMachine,
        Fault::RestartMachine,
        Fault::SilenceMachine,
        Fault::KillTwoMachines,
        Fault::RaceOperators,
        Fault::LoseAnswers,
    ];
}

/// A fault of the code, seeded to see whether the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Defect {
    /// Daemons take new work without a lease.
    LeaseIgnored,
    /// Orders go out under the lowest fence.
    FenceNotRaised,
    /// Entries are acknowledged before they are synced.
    SyncSkipped,
    /// Votes and terms are not stored.
    VoteNotPersisted,
    /// Requests are dispatched without evidence.
    GateIgnored,
    /// Orders count as carried out when they are sent.
    ReleaseNotAwaited,
    /// Change ids are not remembered.
    ChangeIdsForgotten,
}

impl Defect {
    /// Every defect.
    pub const ALL: [Defect; 7] = [
        Defect::LeaseIgnored,
        Defect::FenceNotRaised,
        Defect::SyncSkipped,
        Defect::VoteNotPersisted,
        Defect::GateIgnored,
        Defect::ReleaseNotAwaited,
        Defect::ChangeIdsForgotten,
    ];
}
