//! The orders that a group's state requires: those whose effect its members have not reported yet.

use crate::View;
use crate::membership::is_departure_observed;
use crate::orders::OrderKind;
use dockwood_api::gateway::MembershipState;
use dockwood_state::{GroupPhase, GroupRow};

/// An order that a group's state requires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequiredOrder<'a> {
    pub instance: &'a str,
    pub kind: OrderKind,
}

/// Orders whose effect has not been observed yet.
pub(crate) fn required_orders<'a>(view: &View<'a>, group: &'a GroupRow) -> Vec<RequiredOrder<'a>> {
    let to_head = |kind| group.members.first().map(|head| RequiredOrder { instance: head, kind });
    match group.phase {
        GroupPhase::Forming => {
            let not_joined = group.members.iter().filter(|member| !has_joined(view, group, member));
            not_joined.map(|member| RequiredOrder { instance: member, kind: OrderKind::Join }).collect()
        }
        GroupPhase::Opening => to_head(OrderKind::Open).into_iter().collect(),
        GroupPhase::Open => Vec::new(),
        GroupPhase::Draining => to_head(closing_order(view, group, OrderKind::Drain)).into_iter().collect(),
        GroupPhase::Cutting => {
            let head = to_head(closing_order(view, group, OrderKind::Cut)).into_iter();
            let leaving = members_to_leave(view, group);
            head.chain(leaving.map(|member| RequiredOrder { instance: member, kind: OrderKind::Leave }))
                .collect()
        }
    }
}

/// The head's next order: close, and once it has closed, leave. An unanswered order to open may be executed
/// after the order to close; by then the head has left the group, so it has no effect.
fn closing_order(view: &View<'_>, group: &GroupRow, close: OrderKind) -> OrderKind {
    let head = group.members.first().and_then(|head| view.observations.instance(head));
    let state = head.and_then(|seen| seen.state_in(group.epoch));
    let has_closed = matches!(state, Some(MembershipState::Ready | MembershipState::Broken));
    // A head that is still finishing requests may reject a repeated order to close.
    let may_be_serving = matches!(state, Some(MembershipState::Open | MembershipState::Closing));
    let has_denied_serving =
        !may_be_serving && head.is_some_and(|seen| seen.not_serving_epoch == group.epoch);
    if has_closed || has_denied_serving { OrderKind::Leave } else { close }
}

/// If the head can't be reached to close, the other members are told to leave: the head can't serve without
/// them, whether it is lost or only partitioned, and they need not wait until that is known.
fn members_to_leave<'a>(view: &View<'_>, group: &'a GroupRow) -> impl Iterator<Item = &'a str> {
    let head_is_present =
        group.members.first().is_some_and(|head| view.observations.is_present(view.now, head));
    let others = group.members.iter().skip(1).filter(move |_| !head_is_present);
    let may_be_member = move |member: &&String| {
        view.observations.is_present(view.now, member) && !is_departure_observed(view, member, group.epoch)
    };
    others.filter(may_be_member).map(String::as_str)
}

fn has_joined(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let state = view.observations.instance(member).and_then(|seen| seen.state_in(group.epoch));
    state.is_some_and(|state| state != MembershipState::Broken)
}
