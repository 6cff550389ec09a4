//! Takes groups from phase to phase, and forgets instances that are gone.

use crate::departures::reason_to_drain;
use crate::membership::has_surely_left;
use crate::{Millis, View};
use dockwood_api::gateway::{InstanceState, MembershipState};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow};
use std::sync::Arc;

/// A group that was seen to be stalled, and whose head can't be asked, is taken for broken this long after its
/// servers' own bound.
const BROKEN_MARGIN_MS: Millis = 400;
/// A group whose head can't be asked, and that nobody saw standing still, is given up only after this long: it may be
/// cut off from control alone and go on serving.
const CUT_OFF_MS: Millis = 16_000;
/// Progress this recent shows that all members are alive, whatever their reports say.
const PROGRESS_SPAN_MS: Millis = 1_000;
/// Servers that are looked at in a millisecond, over time: the leader's work on those to which nothing happens stays the same
/// however many they are.
const SERVERS_LOOKED_AT_PER_MS: Millis = 16;
/// A signed-off instance may still be finishing requests for this long.
const SIGNED_OFF_MS: Millis = 8_000;

/// What is wrong with a group, if anything.
enum Trouble {
    /// A member is gone; nothing moves.
    Lost(String),
    /// A member is leaving; running requests can be finished.
    Leaving(String),
}

/// Which groups are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scrutiny {
    /// All of them.
    All,
    /// Those that are on their way from one phase to another.
    Unsettled,
}

/// Time between two looks at all groups and servers of a fleet with so many servers, in milliseconds.
pub fn scrutiny_pause_ms(servers: usize) -> Millis {
    servers as Millis / SERVERS_LOOKED_AT_PER_MS
}

/// Phases that groups should go to.
pub fn advance_groups(
    view: &View<'_>,
    scrutiny: Scrutiny,
    closing_since: impl Fn(u64) -> Millis,
) -> Vec<GatewayCommand> {
    let is_due = |group: &&Arc<GroupRow>| scrutiny == Scrutiny::All || group.phase != GroupPhase::Open;
    let groups = view.tables.groups.values().filter(is_due);
    groups.filter_map(|group| advance(view, group, closing_since(group.epoch))).collect()
}

fn advance(view: &View<'_>, group: &GroupRow, closing_since: Millis) -> Option<GatewayCommand> {
    let phase = |phase, reason: &str| {
        Some(GatewayCommand::SetPhase { epoch: group.epoch, phase, reason: reason.to_string() })
    };
    let end = |reason: &str| Some(GatewayCommand::End { epoch: group.epoch, reason: reason.to_string() });
    match group.phase {
        GroupPhase::Forming => match trouble(view, group) {
            Some(Trouble::Lost(why) | Trouble::Leaving(why)) => end(&why),
            None if !all_ready(view, group) => None,
            None if group.purpose == GroupPurpose::Preload => {
                Some(GatewayCommand::Preloaded { epoch: group.epoch })
            }
            None => phase(GroupPhase::Opening, "all members are ready"),
        },
        GroupPhase::Opening => match trouble(view, group) {
            Some(Trouble::Lost(why) | Trouble::Leaving(why)) => phase(GroupPhase::Cutting, &why),
            None if head_state(view, group) == Some(MembershipState::Open) => {
                phase(GroupPhase::Open, "the head is open")
            }
            None => None,
        },
        GroupPhase::Open => match trouble(view, group) {
            Some(Trouble::Lost(why)) => phase(GroupPhase::Cutting, &why),
            Some(Trouble::Leaving(_)) => {
                reason_to_drain(view, group).and_then(|why| phase(GroupPhase::Draining, &why))
            }
            None => None,
        },
        GroupPhase::Draining => {
            if let Some(why) = surely_closed(view, group, closing_since) {
                return end(why);
            }
            match trouble(view, group) {
                Some(Trouble::Lost(why)) => phase(GroupPhase::Cutting, &why),
                _ => None,
            }
        }
        GroupPhase::Cutting => surely_closed(view, group, closing_since).and_then(end),
    }
}

fn trouble(view: &View<'_>, group: &GroupRow) -> Option<Trouble> {
    if head_state(view, group) == Some(MembershipState::Broken) {
        return Some(Trouble::Lost("the head reports the group as broken".to_string()));
    }
    let mut leaving = None;
    for member in &group.members {
        let Some(row) = view.tables.instances.get(member) else {
            return Some(Trouble::Lost(format!("{member} is gone")));
        };
        if !view.observations.is_present(view.now, member) && counts_as_lost(view, group, member) {
            return Some(Trouble::Lost(format!("{member} is silent")));
        }
        if row.state == InstanceState::Draining {
            leaving = Some(Trouble::Leaving(format!("{member} is leaving")));
        }
    }
    leaving
}

/// A member that is missing here may still be working where entries reach it: only a group that shows no progress
/// is given up.
fn counts_as_lost(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    if !group.serves() {
        return true;
    }
    if view.observations.is_silent(view.now, group.epoch) {
        return true;
    }
    let busy = view.observations.in_flight(group.epoch) > 0;
    let progressing = view.observations.progressed_within(view.now, group.epoch, PROGRESS_SPAN_MS);
    let is_head = group.is_headed_by(member);
    // It ends without having reported that it has closed.
    if is_head && !busy && view.tables.was_removed(member) {
        return true;
    }
    let Some(seen) = view.observations.instance(member) else { return !busy };
    let overdue = view.now >= seen.reported_at + view.policy.heartbeat.overdue_after_ms();
    !busy && !progressing && overdue
}

fn all_ready(view: &View<'_>, group: &GroupRow) -> bool {
    group.members.iter().all(|member| {
        let membership = view.observations.instance(member).and_then(|seen| seen.membership.as_ref());
        membership.is_some_and(|membership| {
            membership.epoch == group.epoch
                && membership.group == group.name
                && matches!(membership.state, MembershipState::Ready | MembershipState::Open)
        })
    })
}

/// The head's own word on this group, if its newest report is on it.
fn head_state(view: &View<'_>, group: &GroupRow) -> Option<MembershipState> {
    view.observations.instance(group.members.first()?)?.state_in(group.epoch)
}

/// Why the head surely doesn't serve this group any more, if so.
fn surely_closed(view: &View<'_>, group: &GroupRow, closing_since: Millis) -> Option<&'static str> {
    let head = group.members.first()?;
    if !view.tables.instances.contains_key(head) {
        return Some("the head has ended");
    }
    let stood_still = view.observations.was_silent(group.epoch, closing_since);
    let patience = if stood_still { view.policy.stall_ms + BROKEN_MARGIN_MS } else { CUT_OFF_MS };
    if view.now >= closing_since + patience && !view.observations.is_present(view.now, head) {
        return Some("the head has been silent for longer than a group can be stalled");
    }
    // Closed is not enough: an order to open that was left unanswered may still be carried out. A head that has left
    // can't be opened any more.
    has_surely_left(view, head, group.epoch, closing_since).then_some("the head has closed and left")
}

/// Members that have left a group whose head can't be asked.
pub fn release_members(view: &View<'_>, closing_since: impl Fn(u64) -> Millis) -> Vec<GatewayCommand> {
    let cut_off = view.tables.groups.values().filter(|group| group.phase == GroupPhase::Cutting);
    let released = cut_off.flat_map(|group| {
        let since = closing_since(group.epoch);
        let has_left = move |member: &&String| has_surely_left(view, member, group.epoch, since);
        group.members.iter().skip(1).filter(has_left).map(|member| (group.epoch, member.clone()))
    });
    released.map(|(epoch, member)| GatewayCommand::Release { epoch, member }).collect()
}

/// Instances to forget.
pub fn reap_instances(view: &View<'_>) -> Vec<GatewayCommand> {
    let is_gone = |id: &str| {
        if view.tables.group_of(id).is_some() {
            return false;
        }
        let Some(seen) = view.observations.instance(id) else { return false };
        let forgotten_after_ms = view.policy.heartbeat.forgotten_after_ms();
        let limit = if view.tables.was_removed(id) { SIGNED_OFF_MS } else { forgotten_after_ms };
        view.now >= seen.reported_at + limit
    };
    let gone = view.tables.instances.keys().filter(|id| is_gone(id));
    gone.map(|id| GatewayCommand::Remove { id: id.clone() }).collect()
}
