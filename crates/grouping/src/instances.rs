//! What was seen of one instance.

use crate::Millis;
use dockwood_api::gateway::{MembershipReport, MembershipState};

/// What came of asking an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It answered as the instance that was meant.
    Answered,
    /// Another instance answered at its address.
    OtherInstance,
    /// The connection was refused.
    Refused,
    /// No answer in time.
    Silent,
    /// It was not asked: it wants nothing from this daemon now. That shows nothing.
    NotAsked,
}

/// One instance as seen.
#[derive(Clone, Debug, Default)]
pub struct InstanceObservation {
    /// When its process started, in milliseconds since the Unix epoch; `None` if it doesn't report that.
    pub started_ms: Option<u64>,
    /// When it last reported.
    pub reported_at: Millis,
    /// Sequence of the newest report.
    pub sequence: u64,
    /// When the newest report came.
    pub newest_at: Millis,
    /// Its word on its group.
    pub membership: Option<MembershipReport>,
    /// Models whose weights its host keeps.
    pub staged: Vec<String>,
    /// Newest epoch of a group that any of its reports showed it in; 0 if none did.
    pub last_epoch: u64,
    /// Epoch of the group that it last answered not to be in; 0 if it did for none.
    pub left_epoch: u64,
    /// The last order to join that it left unanswered.
    pub unanswered_join: Option<UnansweredJoin>,
    /// Epoch of the group that it last answered not to be serving; 0 if it did for none.
    pub unserved_epoch: u64,
    /// When this leader learned that it leaves; 0 if a former one did.
    pub leaving_since: Option<Millis>,
    /// It said itself that it leaves.
    pub told_leaving: bool,
    /// It did not answer a probe, and has not reported since.
    pub silent_since: Option<Millis>,
}

/// An order to join that was left unanswered: it may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredJoin {
    /// Epoch of the group to join.
    pub epoch: u64,
    /// When it was clear that no answer comes.
    pub noted_at: Millis,
}

impl InstanceObservation {
    /// Whether its newest report shows it in a group.
    pub fn is_shown_in(&self, epoch: u64) -> bool {
        self.state_in(epoch).is_some()
    }

    /// How it stands in a group, if its newest report shows it there.
    pub fn state_in(&self, epoch: u64) -> Option<MembershipState> {
        let membership = self.membership.as_ref()?;
        (membership.epoch == epoch).then_some(membership.state)
    }
}
