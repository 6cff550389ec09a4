//! Which servers form which groups.

mod common;

use common::{LARGE, SMALL, World, formed};
use dockwood_api::gateway::{GroupCommand, MembershipState, OrderAnswer};
use dockwood_grouping::{OrderBook, Scrutiny, Urgency, advance_groups};
use dockwood_state::{GatewayCommand, GroupPhase};

#[test]
fn groups_have_all_of_a_models_servers_and_never_cross_domains() {
    let world = World::new(3, 10);
    let groups = formed(&world.plan().commands);
    let mut used = std::collections::BTreeSet::new();
    for (model, members) in &groups {
        assert_eq!(members.len(), if model == LARGE { 4 } else { 2 });
        let domain = members[0].split('-').next();
        assert!(members.iter().all(|member| member.split('-').next() == domain), "{members:?}");
        assert!(members.iter().all(|member| used.insert(member.clone())), "{members:?}");
    }
    assert_eq!(used.len(), 30, "no server is left over");
    let large = groups.iter().filter(|(model, _)| model == LARGE).count();
    assert!((3..=4).contains(&large), "about half of the servers: {large}");
}

#[test]
fn too_few_servers_form_nothing() {
    let world = World::new(4, 1);
    assert!(formed(&world.plan().commands).is_empty());
}

#[test]
fn survivors_with_staged_weights_go_before_servers_that_must_load() {
    let mut world = World::new(1, 5);
    world.note_requests();
    for id in ["d0-s1", "d0-s4"] {
        let report = world.report(id, None, &[SMALL]);
        world.hear(report);
    }
    let groups = formed(&world.plan().commands);
    assert_eq!(groups, [(SMALL.to_string(), vec!["d0-s1".to_string(), "d0-s4".to_string()])]);
}

/// The weights of a server's last group are still in place, whatever its host has staged since.
#[test]
fn a_server_joins_the_model_of_its_last_group_without_a_load() {
    let mut world = World::new(1, 4);
    world.note_requests();
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.apply(GatewayCommand::End { epoch, reason: String::new() });
    for id in ["d0-s0", "d0-s1", "d0-s2", "d0-s3"] {
        let report = world.report(id, None, &[SMALL]);
        world.hear(report);
    }
    world.ask_for(4, 0);
    let groups = formed(&world.plan().commands);
    assert_eq!(groups.first().map(|(model, _)| model.as_str()), Some(LARGE), "{groups:?}");
}

/// Found on a quiet day: a new leader took servers for alive that had died under its predecessor, and formed groups
/// that never became ready.
#[test]
fn servers_that_this_leader_has_not_heard_form_no_group() {
    let mut world = World::new(1, 4);
    world.observations = Default::default();
    let ids: Vec<String> = world.tables.instances.keys().cloned().collect();
    world.observations.assume_present(world.now, ids.into_iter());
    assert!(world.plan().commands.is_empty());
    world.hear_all();
    world.now += 1_000;
    assert!(!world.plan().commands.is_empty());
}

fn formed_in(domain: &str, commands: &[GatewayCommand]) -> Vec<(String, Vec<String>)> {
    formed(commands).into_iter().filter(|(_, members)| members[0].starts_with(domain)).collect()
}

/// A domain with groups of both kinds, of which the large one has just lost a member, beside a free domain.
fn after_a_loss() -> World {
    let mut world = World::new(2, 10);
    let lost = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let lending = world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    let other = world.open_group(SMALL, &["d0-s6", "d0-s7"]);
    world.open_group(SMALL, &["d0-s8", "d0-s9"]);
    for id in ["d0-s4", "d0-s5"] {
        world.hear_member(id, lending, MembershipState::Open, &[LARGE]);
    }
    for epoch in [lost, lending, other] {
        world.load("a", epoch, 6, false, true, true);
    }
    world.apply(GatewayCommand::End { epoch: lost, reason: String::new() });
    world.apply(GatewayCommand::Remove { id: "d0-s3".to_string() });
    world.note_requests();
    world.hear_again("d0-s0");
    world
}

fn drained(commands: &[GatewayCommand]) -> Vec<u64> {
    let drained = commands.iter().filter_map(|command| match command {
        GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, .. } => Some(*epoch),
        _ => None,
    });
    drained.collect()
}

#[test]
fn a_group_that_is_served_better_lends_its_staged_servers() {
    let mut world = after_a_loss();
    world.ask_for(3, 2);
    let planned = world.plan();
    assert_eq!(drained(&planned.commands), [2], "{:?}", planned.commands);
    world.apply_all(planned.commands);
    assert!(world.plan().commands.is_empty(), "one at a time, and the survivors wait for it");
    world.apply(GatewayCommand::End { epoch: 2, reason: String::new() });
    let groups = formed_in("d0", &world.plan().commands);
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].0, LARGE);
}

#[test]
fn nothing_is_lent_to_a_model_that_is_served_better() {
    let mut world = after_a_loss();
    world.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    world.ask_for(1, 8);
    assert!(drained(&world.plan().commands).is_empty());
}

#[test]
fn a_model_whose_groups_are_all_lost_still_counts_as_needed() {
    let mut world = after_a_loss();
    for epoch in [2, 3, 4] {
        world.load(&format!("busy-{epoch}"), epoch, 60, false, true, true);
    }
    world.ask_for(3, 2);
    assert!(!drained(&world.plan().commands).is_empty(), "nobody can have requests in flight there");
}

#[test]
fn an_order_is_repeated_until_its_effect_is_seen_and_carries_the_fence() {
    let mut world = World::new(1, 2);
    let commands = world.plan().commands;
    world.apply_all(commands);
    let mut book = OrderBook::default();
    let orders = book.to_send(&world.view(), 7);
    assert_eq!(orders.len(), 2);
    assert!(
        orders.iter().all(|order| order.fence == 7 && matches!(order.command, GroupCommand::Join { .. }))
    );
    assert!(book.to_send(&world.view(), 7).is_empty(), "they are on their way");
    book.answered(world.now, &orders[0], OrderAnswer::Silent);
    book.answered(world.now, &orders[1], OrderAnswer::Begun);
    world.now += 1_000;
    assert_eq!(book.to_send(&world.view(), 7).len(), 1, "what was not answered is sent again");
    let epoch = world.tables.last_epoch;
    for id in ["d0-s0", "d0-s1"] {
        world.hear_member(id, epoch, MembershipState::Ready, &[SMALL]);
    }
    world.now += 10_000;
    world.hear_all();
    assert!(book.to_send(&world.view(), 7).is_empty(), "both have joined");
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| 0);
    world.apply_all(commands);
    let orders = book.to_send(&world.view(), 7);
    assert!(matches!(&orders[..], [order] if order.command == GroupCommand::Open));
}

/// Found on norrstrom-klubb: the first survivors to be free of a group whose head was lost formed a group of a model that
/// had plenty, and the others found nobody to join.
#[test]
fn survivors_wait_for_those_that_are_free_a_moment_later() {
    let mut world = World::new(1, 8);
    let lost = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    world.open_group(SMALL, &["d0-s6", "d0-s7"]);
    world.note_requests();
    world.ask_for(1, 1);
    for id in ["d0-s1", "d0-s2", "d0-s3"] {
        let report = world.report(id, None, &[SMALL]);
        world.hear(report);
    }
    world.apply(GatewayCommand::SetPhase { epoch: lost, phase: GroupPhase::Cutting, reason: String::new() });
    for member in ["d0-s1", "d0-s2"] {
        world.apply(GatewayCommand::Release { epoch: lost, member: member.to_string() });
    }
    assert!(formed(&world.plan().commands).is_empty(), "all four are soon free");
    world.apply(GatewayCommand::End { epoch: lost, reason: String::new() });
    let groups = formed(&world.plan().commands);
    assert_eq!(groups.iter().map(|(model, _)| model.as_str()).collect::<Vec<&str>>(), [LARGE]);
}

#[test]
fn servers_that_would_serve_nothing_stay_free_as_replacements() {
    let mut world = World::new(1, 26);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    for first in (4..24).step_by(2) {
        world.open_group(SMALL, &[&format!("d0-s{first}"), &format!("d0-s{}", first + 1)]);
    }
    for id in ["d0-s24", "d0-s25"] {
        let report = world.report(id, None, &[SMALL]);
        world.hear(report);
    }
    world.note_requests();
    world.ask_for(1, 1);
    world.ask_for(1, 1);
    let planned = world.plan();
    assert!(formed(&planned.commands).is_empty(), "{planned:?}");
    world.ask_for(1, 30);
    assert_eq!(formed(&world.plan().commands).len(), 1, "as soon as they are needed they serve");
}

/// The store gives a few loads at a time, and more only slow one another down.
#[test]
fn a_group_with_fewer_loads_goes_before_one_that_lacks_little_more() {
    let mut world = World::new(1, 4);
    let report = world.report("d0-s0", None, &[SMALL]);
    world.hear(report);
    let groups = formed(&world.plan().commands);
    assert_eq!(groups.first().map(|(model, _)| model.as_str()), Some(SMALL), "one load instead of four");
}

/// Found on unidos-despacho: with four groups of the smaller model left where nine were needed, few of its requests could
/// be in flight, it seemed to need little, and its servers were lent to the larger model, which was served well.
#[test]
fn a_model_needs_what_is_asked_of_it_and_not_what_its_last_groups_can_hold() {
    let mut world = World::new(1, 10);
    let large = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let small = world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    for id in ["d0-s6", "d0-s7", "d0-s8", "d0-s9"] {
        let report = world.report(id, None, &[LARGE]);
        world.hear(report);
    }
    world.load("a", large, 6, false, true, true);
    world.load("a", small, 8, false, true, true);
    // 10 a second for the larger model, 80 for the smaller one, whose group is full.
    world.note_requests();
    world.ask_for(1, 8);
    let planned = world.plan();
    let groups = formed(&planned.commands);
    assert!(groups.is_empty(), "loads go before a group that nobody needs: {groups:?}");
    assert_eq!(planned.staging.iter().filter(|wish| wish.urgency == Urgency::Awaited).count(), 4);
    assert!(planned.staging.iter().take(4).all(|wish| wish.model == SMALL));
}

#[test]
fn a_model_that_is_served_well_borrows_nothing() {
    let mut world = after_a_loss();
    world.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    world.ask_for(0, 1);
    assert!(drained(&world.plan().commands).is_empty());
}

#[test]
fn a_short_model_borrows_from_one_that_is_served_better() {
    let mut world = after_a_loss();
    world.ask_for(2, 1);
    assert!(!drained(&world.plan().commands).is_empty());
}
