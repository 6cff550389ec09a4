//! Replaces slow members of groups: the group is closed, and its other members form a new one with spare
//! servers, in about the time that joining a group of an already loaded model takes.

use crate::View;
use crate::domains::{domain_of, has_staged, is_usable};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow};
use std::collections::BTreeSet;

/// Commands that close groups because a member is slow, provided that there are spare servers for all slow
/// members. Without a replacement a slow group is better than none. `is_decided` returns whether another
/// decision has been made for a group in this round.
pub fn replace_slow_members(view: &View<'_>, is_decided: impl Fn(u64) -> bool) -> Vec<GatewayCommand> {
    if !view.observations.has_slow_servers() {
        return Vec::new();
    }
    let mut changing = BTreeSet::new();
    let mut commands = Vec::new();
    for group in view.tables.groups.values().filter(|group| is_open(group) && !is_decided(group.epoch)) {
        let slow: Vec<&String> =
            group.members.iter().filter(|member| view.observations.slow_factor(member).is_some()).collect();
        let (Some(first), Some(domain)) = (slow.first(), domain_of(view, group)) else { continue };
        // Only one group per domain at a time: the next is considered once the first has its replacement.
        if changing.contains(domain) || count_spares(view, group, domain) < slow.len() {
            continue;
        }
        changing.insert(domain);
        let factor = view.observations.slow_factor(first).unwrap_or_default();
        let reason = format!("{first} takes {factor:.1} times its declared times, and others stand by");
        commands.push(GatewayCommand::SetPhase { epoch: group.epoch, phase: GroupPhase::Cutting, reason });
    }
    commands
}

fn is_open(group: &GroupRow) -> bool {
    group.phase == GroupPhase::Open && group.purpose == GroupPurpose::Serve
}

/// Number of servers of a domain that could replace a member of the group without a load. Zero while another
/// group of the domain forms or closes, or while so many servers are free that a group of them is about to be
/// planned: they are needed there.
fn count_spares(view: &View<'_>, group: &GroupRow, domain: &str) -> usize {
    let is_in_domain =
        |other: &GroupRow| other.service == group.service && domain_of(view, other) == Some(domain);
    let is_changing =
        |other: &GroupRow| is_in_domain(other) && other.purpose == GroupPurpose::Serve && !is_open(other);
    if view.tables.groups.values().any(|other| is_changing(other)) {
        return 0;
    }
    let instances = view.tables.instances.values();
    let free: Vec<&str> = instances
        .filter(|row| row.service == group.service && row.domain.as_deref() == Some(domain))
        .filter(|row| is_usable(view, row) && view.tables.group_of(&row.id).is_none())
        .map(|row| row.id.as_str())
        .collect();
    let sizes = view.tables.engine(&group.service).into_iter().flat_map(|engine| &engine.models);
    let smallest = sizes.map(|model| model.size as usize).min().unwrap_or(usize::MAX);
    if free.len() >= smallest {
        return 0;
    }
    let has_model =
        |id: &&&str| has_staged(view, id, &group.model) || view.tables.last_model(id) == Some(&group.model);
    free.iter().filter(has_model).count()
}
