//! Reports of servers that are members of groups which the tables don't have them in.
//!
//! A server that executes an order to join late returns to a group that has ended or has released it. Its
//! reports are the only evidence of that.

use crate::Millis;
use dockwood_api::gateway::{InstanceReport, MembershipReport};
use dockwood_grouping::Observations;
use dockwood_state::GatewayTables;

/// A server's change into a group that the tables don't have it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedMembership {
    /// The server's id.
    pub instance: String,
    /// The group, and the server's state there.
    pub membership: MembershipReport,
    /// Time in milliseconds since this leader's last order to join that group timed out; `None` if all were answered.
    pub join_unanswered_for_ms: Option<Millis>,
}

impl UnexpectedMembership {
    /// The unexpected membership that a report shows for the first time, if any. Must be called before the report is
    /// recorded. Nothing is known about changes before the first report that this leader received.
    pub(crate) fn shown_by(
        report: &InstanceReport,
        now: Millis,
        tables: &GatewayTables,
        observations: &Observations,
    ) -> Option<UnexpectedMembership> {
        let seen = observations.instance(&report.id).filter(|seen| seen.sequence > 0)?;
        let membership = report.membership.as_ref()?;
        let is_repeated = report.sequence <= seen.sequence || seen.membership.as_ref() == Some(membership);
        if is_repeated || tables.is_member(&report.id, membership.epoch) {
            return None;
        }
        let timed_out_at = seen.outstanding_joins.timed_out_at(membership.epoch);
        Some(UnexpectedMembership {
            instance: report.id.clone(),
            membership: membership.clone(),
            join_unanswered_for_ms: timed_out_at.map(|at| now.saturating_sub(at)),
        })
    }

    /// The text for the time line.
    pub(crate) fn message(&self) -> String {
        let UnexpectedMembership { instance, membership, join_unanswered_for_ms } = self;
        let MembershipReport { group, epoch, state } = membership;
        let order = join_unanswered_for_ms
            .map_or("all orders to join it were answered".to_string(), |age_ms| {
                format!("an order to join it timed out {age_ms} ms ago")
            });
        format!("{instance} reports {state:?} in {group} (epoch {epoch}), of which it is no member; {order}")
    }
}
