//! Which groups no server can join any more by an order that was sent before.

use crate::View;
use dockwood_state::{GatewayCommand, GroupPhase, GroupRow};

/// Commands that record the groups whose orders to join have all been answered or are void, so that later leaders need not
/// wait for them.
pub fn settle_joins(view: &View<'_>) -> Vec<GatewayCommand> {
    let is_unsettled =
        |group: &&GroupRow| group.phase != GroupPhase::Forming && !view.tables.has_settled_joins(group.epoch);
    let groups = view.tables.groups.values().map(AsRef::as_ref).filter(is_unsettled);
    let settled = groups.filter(|group| group.members.iter().all(|member| is_settled(view, group, member)));
    settled.map(|group| GatewayCommand::SettleJoins { epoch: group.epoch }).collect()
}

fn is_settled(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let seen = view.observations.instance(member);
    let void = seen.and_then(|seen| seen.outstanding_joins.void(group.epoch));
    void.is_none_or(|void| void.is_by(view.now))
}
