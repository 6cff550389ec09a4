//! Which orders a group's state calls for: those whose effect its members have not reported yet.

use crate::View;
use crate::membership::has_shown_leaving;
use crate::orders::OrderKind;
use dockwood_api::gateway::MembershipState;
use dockwood_state::{GroupPhase, GroupRow};

/// An order that a group's state calls for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted<'a> {
    pub instance: &'a str,
    pub kind: OrderKind,
}

/// Orders whose effect is not seen yet.
pub(crate) fn wanted<'a>(view: &View<'a>, group: &'a GroupRow) -> Vec<Wanted<'a>> {
    let to_head = |kind| group.members.first().map(|head| Wanted { instance: head, kind });
    match group.phase {
        GroupPhase::Forming => {
            let lacking = group.members.iter().filter(|member| !has_joined(view, group, member));
            lacking.map(|member| Wanted { instance: member, kind: OrderKind::Join }).collect()
        }
        GroupPhase::Opening => to_head(OrderKind::Open).into_iter().collect(),
        GroupPhase::Open => Vec::new(),
        GroupPhase::Draining => to_head(closing_order(view, group, OrderKind::Drain)).into_iter().collect(),
        GroupPhase::Cutting => {
            let head = to_head(closing_order(view, group, OrderKind::Cut)).into_iter();
            let leaving = members_to_leave(view, group);
            head.chain(leaving.map(|member| Wanted { instance: member, kind: OrderKind::Leave })).collect()
        }
    }
}

/// What the head is told next: to close, and once it has closed, to leave. An order to open that was left unanswered may
/// be carried out after that of closing; it finds no group any more.
fn closing_order(view: &View<'_>, group: &GroupRow, close: OrderKind) -> OrderKind {
    let head = group.members.first().and_then(|head| view.observations.instance(head));
    let state = head.and_then(|seen| seen.state_in(group.epoch));
    let has_closed = matches!(state, Some(MembershipState::Ready | MembershipState::Broken));
    // A head that is still finishing requests may refuse to be told to close once more.
    let is_at_work = matches!(state, Some(MembershipState::Open | MembershipState::Closing));
    let is_unserved = !is_at_work && head.is_some_and(|seen| seen.unserved_epoch == group.epoch);
    if has_closed || is_unserved { OrderKind::Leave } else { close }
}

/// Where the head can't be asked to close, its other members are told to leave: without them it can't go on, whether
/// it is lost or only cut off, and they need not wait until it is known which.
fn members_to_leave<'a>(view: &View<'_>, group: &'a GroupRow) -> impl Iterator<Item = &'a str> {
    let head_answers = group.members.first().is_some_and(|head| view.observations.is_present(view.now, head));
    let others = group.members.iter().skip(1).filter(move |_| !head_answers);
    let may_be_member = move |member: &&String| {
        view.observations.is_present(view.now, member) && !has_shown_leaving(view, member, group.epoch)
    };
    others.filter(may_be_member).map(String::as_str)
}

fn has_joined(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let state = view.observations.instance(member).and_then(|seen| seen.state_in(group.epoch));
    state.is_some_and(|state| state != MembershipState::Broken)
}
