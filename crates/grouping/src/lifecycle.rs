//! Advances groups through their phases, and removes instances that are gone.

use crate::departures::drain_reason;
use crate::instances::{AbsenceCause, InstanceObservation};
use crate::membership::is_departure_confirmed;
use crate::{Millis, View};
use dockwood_api::gateway::{InstanceState, MembershipState};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow};
use std::sync::Arc;

/// A group that was observed to be stalled, and whose head can't be reached, counts as broken this long after
/// the engines' own stall limit.
const BROKEN_MARGIN_MS: Millis = 400;
/// A group whose head can't be reached, and that was not observed to be stalled, is given up only after this
/// long: it may be partitioned from the control group only, and still be serving.
const UNREACHABLE_HEAD_TIMEOUT_MS: Millis = 16_000;
/// Fraction of the engines' stall limit for which a process may pause before it counts as lost. The engines
/// themselves keep the group for the whole limit, but callers give up silent answers earlier.
const MAX_PAUSE_DIVISOR: Millis = 2;
/// Progress within this time proves that all members are alive, whatever their reports say.
const PROGRESS_SPAN_MS: Millis = 1_000;
/// Servers to scan per millisecond, over time: the leader's load due to servers without changes stays
/// constant, however many there are.
const SERVERS_SCANNED_PER_MS: Millis = 16;
/// A signed-off instance may still be finishing requests for this long.
const SIGNED_OFF_RETENTION_MS: Millis = 8_000;

/// A problem with a member of a group.
enum MemberProblem {
    /// A member is gone, and the group is stalled.
    Lost(String),
    /// A member is leaving; running requests can finish.
    Leaving(String),
}

/// Which groups are examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanScope {
    /// All groups.
    All,
    /// Groups in any phase other than open.
    Unsettled,
}

/// Interval between two full scans of a fleet with this many servers, in milliseconds.
pub fn full_scan_interval_ms(servers: usize) -> Millis {
    servers as Millis / SERVERS_SCANNED_PER_MS
}

/// Commands that advance groups to their next phase.
pub fn advance_groups(
    view: &View<'_>,
    scan_scope: ScanScope,
    closing_since: impl Fn(u64) -> Millis,
) -> Vec<GatewayCommand> {
    let is_examined =
        |group: &&Arc<GroupRow>| scan_scope == ScanScope::All || group.phase != GroupPhase::Open;
    let groups = view.tables.groups.values().filter(is_examined);
    groups.filter_map(|group| advance(view, group, closing_since(group.epoch))).collect()
}

fn advance(view: &View<'_>, group: &GroupRow, closing_since: Millis) -> Option<GatewayCommand> {
    let phase = |phase, reason: &str| {
        Some(GatewayCommand::SetPhase { epoch: group.epoch, phase, reason: reason.to_string() })
    };
    let end = |reason: &str| Some(GatewayCommand::End { epoch: group.epoch, reason: reason.to_string() });
    match group.phase {
        GroupPhase::Forming => match member_problem(view, group) {
            Some(MemberProblem::Lost(reason) | MemberProblem::Leaving(reason)) => end(&reason),
            None if !all_ready(view, group) => None,
            None if group.purpose == GroupPurpose::Preload => {
                Some(GatewayCommand::Preloaded { epoch: group.epoch })
            }
            None => phase(GroupPhase::Opening, "all members are ready"),
        },
        GroupPhase::Opening => match member_problem(view, group) {
            Some(MemberProblem::Lost(reason) | MemberProblem::Leaving(reason)) => {
                phase(GroupPhase::Cutting, &reason)
            }
            None if head_state(view, group) == Some(MembershipState::Open) => {
                phase(GroupPhase::Open, "the head is open")
            }
            None => None,
        },
        GroupPhase::Open => match member_problem(view, group) {
            Some(MemberProblem::Lost(reason)) => phase(GroupPhase::Cutting, &reason),
            Some(MemberProblem::Leaving(_)) => {
                drain_reason(view, group).and_then(|reason| phase(GroupPhase::Draining, &reason))
            }
            None => None,
        },
        GroupPhase::Draining => {
            if let Some(reason) = confirmed_closure(view, group, closing_since) {
                return end(reason);
            }
            match member_problem(view, group) {
                Some(MemberProblem::Lost(reason)) => phase(GroupPhase::Cutting, &reason),
                _ => None,
            }
        }
        GroupPhase::Cutting => confirmed_closure(view, group, closing_since).and_then(end),
    }
}

fn member_problem(view: &View<'_>, group: &GroupRow) -> Option<MemberProblem> {
    if head_state(view, group) == Some(MembershipState::Broken) {
        return Some(MemberProblem::Lost("the head reports the group as broken".to_string()));
    }
    let mut leaving = None;
    for member in &group.members {
        let Some(row) = view.tables.instances.get(member) else {
            return Some(MemberProblem::Lost(format!("{member} is gone")));
        };
        if !view.observations.is_present(view.now, member) && counts_as_lost(view, group, member) {
            return Some(MemberProblem::Lost(format!("{member} {}", absence_reason(view, member))));
        }
        if row.state == InstanceState::Draining {
            leaving = Some(MemberProblem::Leaving(format!("{member} is leaving")));
        }
    }
    leaving
}

fn absence_reason(view: &View<'_>, member: &str) -> &'static str {
    let absence = view.observations.instance(member).and_then(|seen| seen.absence);
    match absence.map(|absence| absence.cause) {
        Some(AbsenceCause::Gone) => "refuses connections or was replaced at its address",
        Some(AbsenceCause::Unresponsive) => "accepts connections but has not answered for long",
        Some(AbsenceCause::Silent) | None => "is silent",
    }
}

/// Whether an absent server may just pause: its machine accepts connections, and the process has been
/// unresponsive for a short time only. Closing its group would abort sound answers as soon as it goes on.
fn may_pause(view: &View<'_>, seen: &InstanceObservation) -> bool {
    let Some(absence) = seen.absence else { return false };
    let is_missing = view.now >= seen.reported_at + view.policy.heartbeat.missing_after_ms();
    let max_pause_ms = view.policy.stall_ms / MAX_PAUSE_DIVISOR;
    absence.cause == AbsenceCause::Unresponsive
        && !is_missing
        && absence.failed_at < absence.since + max_pause_ms
}

/// A member that is missing at the leader may still be working and reachable by entries, so a serving group
/// is given up only if it shows no progress.
fn counts_as_lost(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let seen = view.observations.instance(member);
    if seen.is_some_and(|seen| may_pause(view, seen)) {
        return false;
    }
    if !group.serves() {
        return true;
    }
    if view.observations.is_stalled(view.now, group.epoch) {
        return true;
    }
    let is_busy = view.observations.in_flight(group.epoch) > 0;
    let is_progressing = view.observations.progressed_within(view.now, group.epoch, PROGRESS_SPAN_MS);
    let is_head = group.is_headed_by(member);
    // The head stops without having reported that the group is closed.
    if is_head && !is_busy && view.tables.was_removed(member) {
        return true;
    }
    let Some(seen) = seen else { return !is_busy };
    let is_overdue = view.now >= seen.reported_at + view.policy.heartbeat.overdue_after_ms();
    !is_busy && !is_progressing && is_overdue
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

/// The head's reported state in this group, if its newest report is on it.
fn head_state(view: &View<'_>, group: &GroupRow) -> Option<MembershipState> {
    view.observations.instance(group.members.first()?)?.state_in(group.epoch)
}

/// The reason why it is certain that the head no longer serves this group, if it is.
fn confirmed_closure(view: &View<'_>, group: &GroupRow, closing_since: Millis) -> Option<&'static str> {
    let head = group.members.first()?;
    if !view.tables.instances.contains_key(head) {
        return Some("the head has ended");
    }
    let was_stalled = view.observations.was_stalled(group.epoch, closing_since);
    let timeout_ms =
        if was_stalled { view.policy.stall_ms + BROKEN_MARGIN_MS } else { UNREACHABLE_HEAD_TIMEOUT_MS };
    if view.now >= closing_since + timeout_ms && !view.observations.is_present(view.now, head) {
        return Some("the head has been silent for longer than a group can be stalled");
    }
    // That the head has closed is not sufficient, as an unanswered order to open may still be executed. A
    // head that has left can't be opened any more.
    is_departure_confirmed(view, head, group.epoch, closing_since).then_some("the head has closed and left")
}

/// Commands that release members which have left a group whose head can't be reached.
pub fn release_members(view: &View<'_>, closing_since: impl Fn(u64) -> Millis) -> Vec<GatewayCommand> {
    let cut_off = view.tables.groups.values().filter(|group| group.phase == GroupPhase::Cutting);
    let released = cut_off.flat_map(|group| {
        let since = closing_since(group.epoch);
        let has_left = move |member: &&String| is_departure_confirmed(view, member, group.epoch, since);
        group.members.iter().skip(1).filter(has_left).map(|member| (group.epoch, member.clone()))
    });
    released.map(|(epoch, member)| GatewayCommand::Release { epoch, member }).collect()
}

/// Commands that remove instances which are gone.
pub fn reap_instances(view: &View<'_>) -> Vec<GatewayCommand> {
    let is_gone = |id: &str| {
        if view.tables.group_of(id).is_some() {
            return false;
        }
        let Some(seen) = view.observations.instance(id) else { return false };
        let forgotten_after_ms = view.policy.heartbeat.forgotten_after_ms();
        let retention_ms =
            if view.tables.was_removed(id) { SIGNED_OFF_RETENTION_MS } else { forgotten_after_ms };
        view.now >= seen.reported_at + retention_ms
    };
    let gone = view.tables.instances.keys().filter(|id| is_gone(id));
    gone.map(|id| GatewayCommand::Remove { id: id.clone() }).collect()
}
