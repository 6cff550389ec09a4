//! Observations of one instance.

use crate::Millis;
use dockwood_api::gateway::{MembershipReport, MembershipState};

/// The result of probing an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The expected instance answered.
    Answered,
    /// Another instance answered at its address.
    OtherInstance,
    /// The connection was refused.
    Refused,
    /// Neither a connection was accepted nor an answer arrived in time: the machine may have lost its power or its
    /// network.
    Silent,
    /// A connection was accepted, but no answer arrived in time: the machine is up, and the process pauses.
    Unresponsive,
    /// The probe was not sent because the instance currently accepts no requests from this daemon. This is no
    /// evidence.
    NotAsked,
}

/// What has been observed of one instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceObservation {
    /// Start of its process in milliseconds since the Unix epoch; `None` if it doesn't report that.
    pub started_ms: Option<u64>,
    /// Time of the last report.
    pub reported_at: Millis,
    /// Sequence number of the newest report.
    pub sequence: u64,
    /// Time at which the newest report arrived.
    pub newest_report_at: Millis,
    /// Its reported group membership.
    pub membership: Option<MembershipReport>,
    /// Models whose weights its host has staged.
    pub staged: Vec<String>,
    /// Highest epoch of a group that any of its reports showed it in; 0 if there is none.
    pub max_reported_epoch: u64,
    /// Epoch of the group of which its last answer showed that it is not a member; 0 if there is none.
    pub left_epoch: u64,
    /// The last order to join that it did not answer.
    pub unanswered_join: Option<UnansweredJoin>,
    /// Epoch of the group of which its last answer showed that it is not serving it; 0 if there is none.
    pub not_serving_epoch: u64,
    /// When this leader learned that the instance is leaving; 0 if it learned this from a former leader.
    pub leaving_since: Option<Millis>,
    /// The instance itself reported that it is leaving.
    pub reported_leaving: bool,
    /// The failed probes since it last reported or answered a probe.
    pub absence: Option<Absence>,
}

/// Failed probes of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Time of the first one.
    pub since: Millis,
    /// Time of the last one.
    pub failed_at: Millis,
    /// How the last one failed.
    pub cause: AbsenceCause,
}

/// Why a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsenceCause {
    /// The process seems to be gone: its address refused the connection, or another instance answered.
    Gone,
    /// The machine gave no sign of life.
    Silent,
    /// The machine accepted a connection, but the process did not answer.
    Unresponsive,
}

impl AbsenceCause {
    /// The cause for which a probe with this result failed, if it did.
    fn of(result: ProbeResult) -> Option<AbsenceCause> {
        match result {
            ProbeResult::Answered | ProbeResult::NotAsked => None,
            // A refused connection doesn't prove that the instance has ended either: it may come from a
            // broken network.
            ProbeResult::OtherInstance | ProbeResult::Refused => Some(AbsenceCause::Gone),
            ProbeResult::Silent => Some(AbsenceCause::Silent),
            ProbeResult::Unresponsive => Some(AbsenceCause::Unresponsive),
        }
    }
}

/// An unanswered order to join, which may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredJoin {
    /// Epoch of the group to join.
    pub epoch: u64,
    /// When the order timed out.
    pub timed_out_at: Millis,
}

impl InstanceObservation {
    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, now: Millis, result: ProbeResult) {
        if result == ProbeResult::Answered {
            self.absence = None;
        }
        if let Some(cause) = AbsenceCause::of(result) {
            let since = self.absence.map_or(now, |absence| absence.since);
            self.absence = Some(Absence { since, failed_at: now, cause });
        }
    }

    /// Whether the newest report shows the instance in a group.
    pub fn is_reported_in(&self, epoch: u64) -> bool {
        self.state_in(epoch).is_some()
    }

    /// Its state in a group, if the newest report shows it there.
    pub fn state_in(&self, epoch: u64) -> Option<MembershipState> {
        let membership = self.membership.as_ref()?;
        (membership.epoch == epoch).then_some(membership.state)
    }
}
