//! Servers that are alive and slow: how they are found, and what becomes of their groups.

mod common;

use common::{LARGE, SMALL, World};
use dockwood_api::gateway::{EventPace, GroupLoad, LoadReport};
use dockwood_grouping::replace_slow_members;
use dockwood_state::{GatewayCommand, GroupPhase};
use yare::parameterized;

/// Entries tell of a group's events every 100 ms for a second.
fn show_events(world: &mut World, epoch: u64, events: u32, timely: u32) {
    for _ in 0..10 {
        world.now += 100;
        let pace = EventPace { events, timely };
        let group = GroupLoad {
            epoch,
            in_flight: 4,
            silent: false,
            refuses: false,
            progressed: true,
            pace,
            held_for_ms: 0,
        };
        let report =
            LoadReport { daemon: "e".to_string(), scope: None, groups: vec![group], models: Vec::new() };
        world.observations.exchange(world.now, report, true);
    }
}

/// A server tells that its host holds a model.
fn stage(world: &mut World, id: &str, model: &str) {
    let report = world.report(id, None, &[model]);
    world.hear(report);
}

/// A world with one group of two servers, and `spares` beside it.
fn group_with_spares(spares: usize) -> (World, u64) {
    let mut world = World::new(1, 2 + spares);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    (2..2 + spares).for_each(|spare| stage(&mut world, &format!("d0-s{spare}"), SMALL));
    (world, epoch)
}

#[parameterized(
    hardly_any_is_timely = { 5, 0, true },
    a_few_that_were_held_up_arrive_together = { 30, 2, true },
    some_prompts_are_read = { 5, 2, false },
    all_is_well = { 5, 5, false },
    too_few_to_tell = { 1, 0, false },
)]
fn a_group_is_asked_about_if_hardly_any_event_is_timely(events: u32, timely: u32, is_asked: bool) {
    let (mut world, epoch) = group_with_spares(1);
    show_events(&mut world, epoch, events, timely);
    let asked = world.observations.claim_slow_groups(world.now);
    assert_eq!(asked, if is_asked { vec![epoch] } else { Vec::new() });
    assert!(world.observations.claim_slow_groups(world.now).is_empty(), "once in some seconds");
}

#[test]
fn a_group_with_a_slow_member_gives_way_to_one_without_it() {
    let (mut world, epoch) = group_with_spares(1);
    world.note_requests();
    world.observations.record_slowness(world.now, "d0-s1", 4.0);
    let commands = replace_slow_members(&world.view(), |_| false);
    world.apply_all(commands);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Cutting));
}

/// Load pattern: many servers are slow at once; half of a group's pace is better than nothing.
#[test]
fn a_slow_group_without_a_replacement_goes_on() {
    let (mut world, _) = group_with_spares(1);
    let other = world.open_group(SMALL, &["d0-s2"]);
    world.observations.record_slowness(world.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&world.view(), |_| false).is_empty(), "group {other} took the only spare");
}

#[test]
fn one_spare_replaces_one_slow_member() {
    let mut world = World::new(1, 5);
    world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.open_group(SMALL, &["d0-s2", "d0-s3"]);
    stage(&mut world, "d0-s4", SMALL);
    world.observations.record_slowness(world.now, "d0-s0", 3.0);
    world.observations.record_slowness(world.now, "d0-s2", 3.0);
    let commands = replace_slow_members(&world.view(), |_| false);
    assert_eq!(commands.len(), 1);
    world.apply_all(commands);
    assert!(replace_slow_members(&world.view(), |_| false).is_empty(), "the spare is for the first one");
}

/// Load pattern: a spare would have to load for longer than most servers are slow.
#[test]
fn a_spare_without_the_model_replaces_nobody() {
    let (mut world, _) = group_with_spares(1);
    stage(&mut world, "d0-s2", LARGE);
    world.observations.record_slowness(world.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&world.view(), |_| false).is_empty());
}

#[test]
fn a_group_that_is_decided_on_already_is_left_alone() {
    let (mut world, epoch) = group_with_spares(1);
    world.observations.record_slowness(world.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&world.view(), |decided| decided == epoch).is_empty());
}

#[test]
fn a_slow_spare_replaces_nobody_and_is_asked_until_it_is_well() {
    let (mut world, epoch) = group_with_spares(1);
    world.observations.record_slowness(world.now, "d0-s1", 4.0);
    world.observations.record_slowness(world.now, "d0-s2", 4.0);
    assert!(replace_slow_members(&world.view(), |_| false).is_empty());
    assert!(world.observations.claim_slow_servers(world.now + 900).is_empty());
    assert_eq!(world.observations.claim_slow_servers(world.now + 1_000), ["d0-s1", "d0-s2"]);
    world.observations.record_slowness(world.now + 1_010, "d0-s2", 1.0);
    let commands = replace_slow_members(&world.view(), |_| false);
    world.apply_all(commands);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn slow_servers_form_no_group() {
    let mut world = World::new(1, 2);
    let forms_with = |world: &World, id: &str| {
        let names = |command: &GatewayCommand| match command {
            GatewayCommand::Form { members, .. } => members.iter().any(|member| member == id),
            _ => false,
        };
        world.plan().commands.iter().any(names)
    };
    world.observations.record_slowness(world.now, "d0-s0", 4.0);
    assert!(!forms_with(&world, "d0-s0"));
    world.observations.record_slowness(world.now, "d0-s0", 1.0);
    assert!(forms_with(&world, "d0-s0"));
}
