//! Evacuated zones: who is assigned what, and what is planned meanwhile. Servers of the second domain stand in a zone
//! of their own.

mod common;

use common::{LARGE, SERVICE, SMALL, World, formed};
use dockwood_api::gateway::{InstanceState, MembershipState, PlaceReply, PlaceRequest};
use dockwood_grouping::{Dispatcher, Scrutiny, advance_groups};
use dockwood_state::{GatewayCommand, GroupPhase, InstanceRow};

const OTHER: &str = "other";

/// Two domains of so many servers, in a zone each.
fn two_zones(servers: usize) -> World {
    let mut world = World::new(2, servers);
    let rows = world.tables.instances.values().filter(|row| row.id.starts_with("d1-"));
    let moved: Vec<InstanceRow> =
        rows.map(|row| InstanceRow { zone: OTHER.to_string(), ..InstanceRow::clone(row) }).collect();
    moved.into_iter().for_each(|row| world.apply(GatewayCommand::Register(row)));
    world
}

fn set_evacuation(world: &mut World, zone: &str, evacuated: bool) {
    let generation = world.tables.evacuation_generation(zone);
    world.apply(GatewayCommand::SetEvacuation { zone: zone.to_string(), evacuated, generation });
}

/// A group of the larger model in each zone.
fn group_in_each_zone() -> World {
    let mut world = two_zones(4);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    world
}

fn assigned(world: &World, dispatcher: &mut Dispatcher) -> Option<u64> {
    let request = PlaceRequest {
        daemon: "entry".to_string(),
        zone: OTHER.to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: None,
        most_first_event_ms: None,
        prefers_idle: false,
        prompt_tokens: 10,
        excluded: Vec::new(),
        limited: Vec::new(),
    };
    match dispatcher.assign(world.now, &request, &world.tables, &world.observations) {
        PlaceReply::Assigned { epoch, .. } => Some(epoch),
        PlaceReply::Full | PlaceReply::AtLimit { .. } => panic!("there are places"),
        PlaceReply::NoGroup => None,
    }
}

#[test]
fn groups_of_an_evacuated_zone_are_assigned_nothing() {
    let mut world = group_in_each_zone();
    let mut dispatcher = Dispatcher::default();
    assert_eq!(assigned(&world, &mut dispatcher), Some(2), "the entry's own zone is nearer");
    set_evacuation(&mut world, OTHER, true);
    let epochs: Vec<Option<u64>> = (0..4).map(|_| assigned(&world, &mut dispatcher)).collect();
    assert_eq!(epochs, [Some(1); 4]);
    set_evacuation(&mut world, "z", true);
    assert_eq!(assigned(&world, &mut dispatcher), None, "every zone is evacuated");
    set_evacuation(&mut world, OTHER, false);
    assert_eq!(assigned(&world, &mut dispatcher), Some(2), "it serves again at once");
}

/// Members of groups that are to be formed, or whose hosts are to stage weights.
fn planned_for(world: &World) -> Vec<String> {
    let plan = world.plan();
    let members = plan.commands.iter().flat_map(|command| match command {
        GatewayCommand::Form { members, .. } => members.clone(),
        _ => Vec::new(),
    });
    members.chain(plan.staging.iter().map(|wish| wish.instance.clone())).collect()
}

#[test]
fn nothing_is_formed_preloaded_or_staged_in_an_evacuated_zone() {
    // One more server than groups take, which is preloaded.
    let mut world = two_zones(5);
    let is_other = |id: &String| id.starts_with("d1-");
    assert!(planned_for(&world).iter().any(is_other));
    set_evacuation(&mut world, OTHER, true);
    let planned = planned_for(&world);
    assert!(!planned.is_empty() && !planned.iter().any(is_other), "{planned:?}");
    set_evacuation(&mut world, OTHER, false);
    assert!(planned_for(&world).iter().any(is_other));
}

#[test]
fn members_in_an_evacuated_zone_stage_nothing() {
    let mut world = two_zones(6);
    for domain in ["d0", "d1"] {
        let id = |server: u8| format!("{domain}-s{server}");
        let (large, small) = ([id(0), id(1), id(2), id(3)], [id(4), id(5)]);
        world.open_group(LARGE, &large.each_ref().map(String::as_str));
        world.open_group(SMALL, &small.each_ref().map(String::as_str));
    }
    world.note_requests();
    world.ask_for(2, 2);
    let staging_in = |world: &World, domain: &str| {
        world.plan().staging.iter().filter(|wish| wish.instance.starts_with(domain)).count()
    };
    assert!(staging_in(&world, "d1") > 0, "members stage the other model");
    set_evacuation(&mut world, OTHER, true);
    assert!(staging_in(&world, "d0") > 0);
    assert_eq!(staging_in(&world, "d1"), 0);
}

#[test]
fn groups_of_an_evacuated_zone_count_as_nothing_held() {
    let mut world = two_zones(8);
    world.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    world.open_group(LARGE, &["d1-s4", "d1-s5", "d1-s6", "d1-s7"]);
    // Some two groups of each model.
    world.ask_for(1, 1);
    let formed_of = |world: &World, model: &str| {
        formed(&world.plan().commands).iter().filter(|(formed, _)| formed == model).count()
    };
    assert_eq!(formed_of(&world, LARGE), 0, "the larger model is served");
    assert!(formed_of(&world, SMALL) > 0);
    set_evacuation(&mut world, OTHER, true);
    assert!(formed_of(&world, LARGE) > 0);
    set_evacuation(&mut world, OTHER, false);
    assert_eq!(formed_of(&world, LARGE), 0);
}

/// Groups of both kinds in the second domain, of which the larger one has just lost a member. The first domain has
/// groups of the smaller model, which is served well.
fn after_a_loss() -> World {
    let mut world = two_zones(10);
    let lost = world.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    let lending = world.open_group(SMALL, &["d1-s4", "d1-s5"]);
    let other = world.open_group(SMALL, &["d1-s6", "d1-s7"]);
    world.open_group(SMALL, &["d1-s8", "d1-s9"]);
    for members in [["d0-s0", "d0-s1"], ["d0-s2", "d0-s3"], ["d0-s4", "d0-s5"], ["d0-s6", "d0-s7"]] {
        world.open_group(SMALL, &members);
    }
    // Their members alone make up a group of the larger model, without a load.
    for (epoch, members) in [(lending, ["d1-s4", "d1-s5"]), (other, ["d1-s6", "d1-s7"])] {
        members.iter().for_each(|id| world.hear_member(id, epoch, MembershipState::Open, &[LARGE]));
    }
    for epoch in [lost, lending, other] {
        world.load("a", epoch, 6, false, true, true);
    }
    world.apply(GatewayCommand::End { epoch: lost, reason: String::new() });
    world.apply(GatewayCommand::Remove { id: "d1-s3".to_string() });
    world.note_requests();
    world.hear_again("d1-s0");
    world.ask_for(8, 1);
    world
}

fn changed_phases(world: &World) -> Vec<u64> {
    let plan = world.plan();
    let changed = plan.commands.iter().filter_map(|command| match command {
        GatewayCommand::SetPhase { epoch, .. } => Some(*epoch),
        _ => None,
    });
    changed.collect()
}

#[test]
fn groups_of_an_evacuated_zone_stay_open() {
    let mut world = after_a_loss();
    assert_eq!(changed_phases(&world).len(), 1, "one is drained, so that its servers serve the larger model");
    set_evacuation(&mut world, OTHER, true);
    assert_eq!(changed_phases(&world), [] as [u64; 0]);
    assert!(advance_groups(&world.view(), Scrutiny::All, |_| 0).is_empty());
    assert!(world.tables.groups.values().all(|group| group.phase == GroupPhase::Open));
}

#[test]
fn a_group_that_loses_a_member_in_an_evacuated_zone_is_closed_as_usual() {
    let mut world = group_in_each_zone();
    set_evacuation(&mut world, OTHER, true);
    let leaving = InstanceRow {
        state: InstanceState::Draining,
        ..InstanceRow::clone(&world.tables.instances["d1-s2"])
    };
    world.apply(GatewayCommand::Register(leaving));
    world.apply(GatewayCommand::Remove { id: "d0-s2".to_string() });
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| 0);
    world.apply_all(commands);
    assert_eq!(world.phase(1), Some(GroupPhase::Cutting));
    assert_eq!(world.phase(2), Some(GroupPhase::Draining));
}
