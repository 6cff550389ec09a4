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
    /// No answer arrived in time.
    Silent,
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
    /// Time of the first failed probe since it last reported or answered a probe.
    pub silent_since: Option<Millis>,
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
