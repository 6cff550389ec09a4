//! Frees the members of a group from one that is slow: the group is closed, and its other members form one again with
//! servers that stand by, in about the time of a join to the model that they hold already.

use crate::View;
use crate::domains::{domain_of, is_usable};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow};
use std::collections::BTreeMap;

/// Groups that are to be closed because a member is slow, as long as servers stand by for all that they lose. Without a
/// replacement a slow group is worth more than none.
pub fn replace_slow_members(view: &View<'_>) -> Vec<GatewayCommand> {
    if !view.observations.has_slow_servers() {
        return Vec::new();
    }
    let mut spares: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut commands = Vec::new();
    for group in view.tables.groups.values().filter(|group| is_open(group)) {
        let slow: Vec<&String> =
            group.members.iter().filter(|member| view.observations.slow_factor(member).is_some()).collect();
        let (Some(first), Some(domain)) = (slow.first(), domain_of(view, group)) else { continue };
        let key = (group.service.as_str(), domain);
        let left = spares.entry(key).or_insert_with(|| spares_of(view, &group.service, domain));
        if *left < slow.len() {
            continue;
        }
        *left -= slow.len();
        let factor = view.observations.slow_factor(first).unwrap_or_default();
        let reason = format!("{first} takes {factor:.1} times its declared times; {left} more stand by");
        commands.push(GatewayCommand::SetPhase { epoch: group.epoch, phase: GroupPhase::Cutting, reason });
    }
    commands
}

fn is_open(group: &GroupRow) -> bool {
    group.phase == GroupPhase::Open && group.purpose == GroupPurpose::Serve
}

/// Servers of a domain that are in no group and could join one.
fn spares_of(view: &View<'_>, service: &str, domain: &str) -> usize {
    let instances = view.tables.instances.values();
    let stands_by = instances.filter(|row| {
        let is_here = row.service == service && row.domain.as_deref() == Some(domain);
        is_here && is_usable(view, row) && view.tables.group_of(&row.id).is_none()
    });
    stands_by.count()
}
