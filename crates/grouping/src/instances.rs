//! Observations of one instance.

use crate::Millis;
use crate::outstanding_joins::OutstandingJoins;
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipReport, MembershipState, OrderAnswer};

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
    /// The last proof other than a report that it was not a member of a group.
    pub left: Option<LeftGroup>,
    /// The order to leave in flight.
    pub leave_in_flight: Option<LeaveOrder>,
    /// Orders to join that it did not answer.
    pub outstanding_joins: OutstandingJoins,
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

/// An order to leave a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaveOrder {
    /// Epoch of the group to leave.
    pub epoch: u64,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Proof that an instance was not a member of a group at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeftGroup {
    /// Epoch of the group.
    pub epoch: u64,
    /// The instance was not a member at some time after this one.
    pub after: Millis,
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

    /// Records that an order to the instance is sent.
    pub(crate) fn record_sent(&mut self, now: Millis, order: &GroupOrder) {
        match &order.command {
            GroupCommand::Join { .. } => self.outstanding_joins.sent(order.epoch),
            GroupCommand::Leave => {
                self.leave_in_flight = Some(LeaveOrder { epoch: order.epoch, sent_at: now });
            }
            GroupCommand::Stage { .. } | GroupCommand::Open | GroupCommand::Close { .. } => {}
        }
    }

    /// Records the instance's answer to an order, which reveals its state after the order was sent.
    pub(crate) fn record_answer(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        let is_accepted = matches!(answer, OrderAnswer::Begun | OrderAnswer::Holds);
        let is_rejected_as_unfit = answer == OrderAnswer::Unfit;
        match &order.command {
            // An order to leave takes effect at once, and is valid for every member.
            GroupCommand::Leave if is_accepted || is_rejected_as_unfit => self.record_left(order.epoch),
            GroupCommand::Join { .. } if answer == OrderAnswer::Silent => {
                self.outstanding_joins.timed_out(order.epoch, now);
            }
            GroupCommand::Join { .. } if is_accepted && self.has_left_once(order.epoch) => {
                self.outstanding_joins.accepted_after_departure(order.epoch, now);
            }
            GroupCommand::Join { .. } => self.outstanding_joins.answered(order.epoch),
            GroupCommand::Close { .. } if is_rejected_as_unfit => self.not_serving_epoch = order.epoch,
            _ => {}
        }
    }

    fn record_left(&mut self, epoch: u64) {
        let leave = self.leave_in_flight.take().filter(|leave| leave.epoch == epoch);
        if let Some(leave) = leave {
            self.left = Some(LeftGroup { epoch, after: leave.sent_at });
        }
    }

    /// Whether the newest report shows the instance in a group.
    pub fn is_reported_in(&self, epoch: u64) -> bool {
        self.state_in(epoch).is_some()
    }

    /// Whether it has left a group at some time, whether or not it may have returned.
    pub(crate) fn has_left_once(&self, epoch: u64) -> bool {
        let was_reported_out = self.max_reported_epoch == epoch && !self.is_reported_in(epoch);
        was_reported_out || self.left.is_some_and(|left| left.epoch == epoch)
    }

    /// Its state in a group, if the newest report shows it there.
    pub fn state_in(&self, epoch: u64) -> Option<MembershipState> {
        let membership = self.membership.as_ref()?;
        (membership.epoch == epoch).then_some(membership.state)
    }
}
