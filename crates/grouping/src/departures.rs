//! Members that say that they leave, and until when their groups go on taking requests.
//!
//! A leaving member serves on for some time, so its group does too. Departures that come close together then end a
//! group once, and its servers are planned for again when as many as possible of their replacements are there.
//!
//! Until it drains, planning takes such a group for any other: a successor can't form before the group has closed, as
//! its domain rarely has as many free servers, and free servers that wait for it form no smaller group.

use crate::{Millis, View};
use dockwood_api::gateway::InstanceState;
use dockwood_state::{GatewayTables, GroupPhase, GroupRow};

/// Time in which entries learn that a group drains, so that few send it a request that it would refuse.
const TOLD_MS: Millis = 300;

/// A group that is left by a member.
#[derive(Clone, Copy, Debug)]
struct Departing<'a> {
    /// The member that ends the group first.
    member: &'a str,
    /// Until when the group takes requests.
    until: Millis,
}

/// The departure that ends a group first, if any of its members leaves.
fn departing<'a>(view: &View<'_>, group: &'a GroupRow) -> Option<Departing<'a>> {
    let leaving = leaving(view.tables, group);
    let departures = leaving.map(|member| Departing { member, until: last_moment(view, group, member) });
    departures.min_by_key(|departing| departing.until)
}

/// Until when a group takes requests that one of its members leaves.
fn last_moment(view: &View<'_>, group: &GroupRow, member: &str) -> Millis {
    let is_head = group.is_headed_by(member);
    let since = view.observations.instance(member).and_then(|seen| seen.leaving_since);
    match since {
        // A head is the server that requests go to: from the first word on it gets as few as possible.
        Some(since) if !is_head && !has_signed_off_last(view, member) => {
            (since + view.policy.drain_ms).saturating_sub(TOLD_MS)
        }
        _ => 0,
    }
}

/// Whether an instance has signed off after it had said that it leaves: it ends then.
fn has_signed_off_last(view: &View<'_>, instance: &str) -> bool {
    let has_told = view.observations.instance(instance).is_some_and(|seen| seen.told_leaving);
    has_told && view.tables.was_removed(instance)
}

/// Why an open group should drain now for a departure, if so.
pub(crate) fn reason_to_drain(view: &View<'_>, group: &GroupRow) -> Option<String> {
    let Departing { member, until } = departing(view, group)?;
    let rank = if group.is_headed_by(member) { "its head" } else { "its member" };
    (view.now >= until).then(|| format!("{rank} {member} is leaving"))
}

/// Open groups that a member leaves and that still take requests.
pub fn departing_groups(tables: &GatewayTables) -> usize {
    let open = tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
    open.filter(|group| leaving(tables, group).next().is_some()).count()
}

/// Members that leave a group.
fn leaving<'a>(tables: &GatewayTables, group: &'a GroupRow) -> impl Iterator<Item = &'a String> {
    group.members.iter().filter(|member| {
        let row = tables.instances.get(*member);
        row.is_some_and(|row| row.state == InstanceState::Draining)
    })
}
