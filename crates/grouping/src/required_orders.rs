//! The orders that a group's state requires: those whose effect its members have not reported yet.

use crate::membership::{Departure, departure, proving_leave_from};
use crate::orders::OrderKind;
use crate::stale_members::stale_membership;
use crate::{Millis, View};
use dockwood_api::gateway::MembershipState;
use dockwood_state::{GroupPhase, GroupRow};

/// An order that a group's state requires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequiredOrder<'a> {
    pub instance: &'a str,
    pub kind: OrderKind,
    /// An order of this kind that was sent earlier is sent again at once, as its answer is of no use any more.
    pub obsolete_before: Millis,
}

impl<'a> RequiredOrder<'a> {
    fn new(instance: &'a str, kind: OrderKind) -> Self {
        RequiredOrder { instance, kind, obsolete_before: 0 }
    }

    /// An order to leave whose answer proves that the server has left the group for good.
    fn leave(view: &View<'_>, instance: &'a str, epoch: u64) -> Self {
        let obsolete_before = proving_leave_from(view, instance, epoch);
        RequiredOrder { obsolete_before, ..RequiredOrder::new(instance, OrderKind::Leave) }
    }
}

/// Orders whose effect has not been observed yet.
pub(crate) fn required_orders<'a>(view: &View<'a>, group: &'a GroupRow) -> Vec<RequiredOrder<'a>> {
    match group.phase {
        GroupPhase::Forming => {
            let may_join = |member: &&String| {
                !has_joined(view, group, member) && stale_membership(view, member).is_none()
            };
            let not_joined = group.members.iter().filter(may_join);
            not_joined.map(|member| RequiredOrder::new(member, OrderKind::Join)).collect()
        }
        GroupPhase::Opening => {
            group.members.first().map(|head| RequiredOrder::new(head, OrderKind::Open)).into_iter().collect()
        }
        GroupPhase::Open => Vec::new(),
        GroupPhase::Draining => closing_order(view, group, OrderKind::Drain).into_iter().collect(),
        GroupPhase::Cutting => {
            let head = closing_order(view, group, OrderKind::Cut).into_iter();
            let leaving = members_to_leave(view, group);
            head.chain(leaving.map(|member| RequiredOrder::leave(view, member, group.epoch))).collect()
        }
    }
}

/// The head's next order: close, and once it has closed, leave. An unanswered order to open may be executed
/// after the order to close; by then the head has left the group, so it has no effect. `None` while a head that has
/// left may return.
fn closing_order<'a>(view: &View<'_>, group: &'a GroupRow, close: OrderKind) -> Option<RequiredOrder<'a>> {
    let id = group.members.first()?;
    if departure(view, id, group.epoch) == Departure::Revocable {
        return None;
    }
    let head = view.observations.instance(id);
    let state = head.and_then(|seen| seen.state_in(group.epoch));
    let has_closed = matches!(state, Some(MembershipState::Ready | MembershipState::Broken));
    // A head that is still finishing requests may reject a repeated order to close.
    let may_be_serving = matches!(state, Some(MembershipState::Open | MembershipState::Closing));
    let has_denied_serving =
        !may_be_serving && head.is_some_and(|seen| seen.not_serving_epoch == group.epoch);
    let has_left = !may_be_serving && head.is_some_and(|seen| seen.has_left_once(group.epoch));
    let may_leave = has_closed || has_denied_serving || has_left;
    Some(match may_leave {
        true => RequiredOrder::leave(view, id, group.epoch),
        false => RequiredOrder::new(id, close),
    })
}

/// If the head can't be reached to close, the other members are told to leave: the head can't serve without
/// them, whether it is lost or only partitioned, and they need not wait until that is known.
fn members_to_leave<'a>(view: &View<'_>, group: &'a GroupRow) -> impl Iterator<Item = &'a str> {
    let head_is_present =
        group.members.first().is_some_and(|head| view.observations.is_present(view.now, head));
    let others = group.members.iter().skip(1).filter(move |_| !head_is_present);
    let may_be_member = move |member: &&String| {
        view.observations.is_present(view.now, member)
            && departure(view, member, group.epoch) == Departure::Unproven
    };
    others.filter(may_be_member).map(String::as_str)
}

fn has_joined(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let state = view.observations.instance(member).and_then(|seen| seen.state_in(group.epoch));
    state.is_some_and(|state| state != MembershipState::Broken)
}
