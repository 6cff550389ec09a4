//! Faults that a run injects, and defects that verify the checks.

use serde::Serialize;

/// A fault. Each heals by itself: processes restart and the network recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Fault {
    /// The control leader's process crashes.
    KillLeader,
    /// The control leader crashes at its next synced write, before or after it.
    KillLeaderAtSync,
    /// A voter that is a follower crashes.
    KillFollower,
    /// The daemon that coordinates a pool crashes.
    KillCoordinator,
    /// The control leader is suspended for ten seconds, and then continues where it stopped.
    PauseLeader,
    /// A daemon that is not a voter is suspended for six seconds.
    PauseDaemon,
    /// The control leader is partitioned from all others; its messages are dropped in both directions.
    CutOffLeader,
    /// All messages from the control leader are dropped, but it still receives messages.
    MuteLeader,
    /// Messages are lost, duplicated, delayed and reordered for four seconds.
    LossyNetwork,
    /// All voters crash at once.
    KillAllVoters,
    /// A machine of a replica crashes.
    KillMachine,
    /// A machine of a replica restarts immediately, with nothing loaded.
    RestartMachine,
    /// A machine of a replica does not respond for five seconds.
    SilenceMachine,
    /// Two machines of one replica crash.
    KillTwoMachines,
    /// Two operators update one resource at the same version.
    RaceOperators,
    /// Answers to operators are lost, and the operators resend their changes to a random voter.
    LoseAnswers,
}

impl Fault {
    /// All faults.
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

/// A software defect, injected to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Defect {
    /// Daemons take new work without a lease.
    LeaseIgnored,
    /// Orders are sent with the lowest fence.
    FenceNotRaised,
    /// Entries are acknowledged without being synced.
    SyncSkipped,
    /// Votes and terms are not stored.
    VoteNotPersisted,
    /// Requests are dispatched without evidence that the replica is complete.
    GateIgnored,
    /// Orders are treated as carried out when they are sent.
    ReleaseNotAwaited,
    /// Change ids are not retained, so a resent change is applied again.
    ChangeIdsForgotten,
}

impl Defect {
    /// All defects.
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
