//! Members that announce that they are leaving, and how long their groups go on accepting requests.
//!
//! A leaving member continues to serve for some time, and so does its group. Departures in quick succession
//! then end a group only once, and its servers are planned for again when as many replacements as possible
//! are available.
//!
//! Until the group drains, planning treats it like any other: a successor can't form before the group has
//! closed, as its domain rarely has as many free servers, and free servers that wait for it would form no
//! smaller group.

use crate::{Millis, View};
use dockwood_api::gateway::InstanceState;
use dockwood_state::{GatewayTables, GroupPhase, GroupRow};

/// Time for entries to learn that a group is draining, so that few send it a request that it would refuse.
const DRAIN_NOTICE_MS: Millis = 300;

/// The departure of a member from its group.
#[derive(Clone, Copy, Debug)]
struct Departure<'a> {
    /// The leaving member.
    member: &'a str,
    /// Until when the group accepts requests.
    until: Millis,
}

/// The departure that ends a group first, if any member is leaving.
fn first_departure<'a>(view: &View<'_>, group: &'a GroupRow) -> Option<Departure<'a>> {
    let leaving = leaving_members(view.tables, group);
    let departures = leaving.map(|member| Departure { member, until: accepts_until(view, group, member) });
    departures.min_by_key(|departure| departure.until)
}

/// Until when a group accepts requests, given that this member is leaving.
fn accepts_until(view: &View<'_>, group: &GroupRow, member: &str) -> Millis {
    let is_head = group.is_headed_by(member);
    let since = view.observations.instance(member).and_then(|seen| seen.leaving_since);
    match since {
        // Requests go to the head, so as few as possible should reach it once it has announced that it is
        // leaving.
        Some(since) if !is_head && !is_about_to_stop(view, member) => {
            (since + view.policy.drain_ms).saturating_sub(DRAIN_NOTICE_MS)
        }
        _ => 0,
    }
}

/// Whether an instance has signed off after it had announced that it is leaving, which means that it is about
/// to stop.
fn is_about_to_stop(view: &View<'_>, instance: &str) -> bool {
    let has_announced = view.observations.instance(instance).is_some_and(|seen| seen.reported_leaving);
    has_announced && view.tables.was_removed(instance)
}

/// The reason why an open group should drain now because of a departure, if it should.
pub(crate) fn drain_reason(view: &View<'_>, group: &GroupRow) -> Option<String> {
    let Departure { member, until } = first_departure(view, group)?;
    let rank = if group.is_headed_by(member) { "its head" } else { "its member" };
    (view.now >= until).then(|| format!("{rank} {member} is leaving"))
}

/// Number of open groups with a leaving member that still accept requests.
pub fn departing_groups(tables: &GatewayTables) -> usize {
    let open = tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
    open.filter(|group| leaving_members(tables, group).next().is_some()).count()
}

/// The members of a group that are leaving.
fn leaving_members<'a>(tables: &GatewayTables, group: &'a GroupRow) -> impl Iterator<Item = &'a String> {
    group.members.iter().filter(|member| {
        let row = tables.instances.get(*member);
        row.is_some_and(|row| row.state == InstanceState::Draining)
    })
}
