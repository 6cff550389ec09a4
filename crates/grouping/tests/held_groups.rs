//! A head that wants nothing for a minute is well, and its group is no help meanwhile: plans count with that. A rest that is
//! over before another group could serve changes nothing, and neither does the word of one entry that others contradict.

mod common;

use common::{LARGE, SERVICE, SMALL, World, engine, formed};
use dockwood_api::gateway::{
    DispatchScope, EngineProfile, EventPace, GroupLoad, LoadReport, RequestRate, ServerLimit, ServerStart,
};
use dockwood_grouping::ScopeDispatch;
use dockwood_state::GatewayTables;

const MINUTE_MS: u64 = 60_000;

/// One group of the larger model, one of the smaller, for which more is asked, and four free servers whose hosts keep the
/// weights of both.
fn world() -> (World, u64) {
    let mut world = World::with_engine(EngineProfile { staged_models: 2, ..engine() }, 1, 10);
    let large = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    for free in ["d0-s6", "d0-s7", "d0-s8", "d0-s9"] {
        let report = world.report(free, None, &[LARGE, SMALL]);
        world.hear(report);
    }
    world.note_requests();
    world.ask_for(3, 12);
    (world, large)
}

fn group_load(epoch: u64, in_flight: u32, held_for_ms: u64) -> GroupLoad {
    GroupLoad {
        epoch,
        in_flight,
        silent: false,
        refuses: false,
        progressed: false,
        pace: EventPace::default(),
        held_for_ms,
    }
}

fn tell(world: &mut World, entry: &str, group: GroupLoad) {
    let report =
        LoadReport { daemon: entry.to_string(), scope: None, groups: vec![group], models: Vec::new() };
    world.observations.exchange(world.now, report, true);
}

fn models_formed(world: &World) -> Vec<String> {
    formed(&world.plan().commands).into_iter().map(|(model, _)| model).collect()
}

#[test]
fn a_group_that_is_held_back_for_long_is_replaced_by_free_servers() {
    let (mut world, large) = world();
    assert_eq!(models_formed(&world), [SMALL, SMALL], "for which more is asked");
    tell(&mut world, "e0", group_load(large, 0, MINUTE_MS));
    assert_eq!(models_formed(&world), [LARGE], "nobody serves the larger model for a minute");
}

#[test]
fn a_group_that_some_entry_uses_still_counts() {
    let (mut world, large) = world();
    let before = models_formed(&world);
    tell(&mut world, "e0", group_load(large, 0, MINUTE_MS));
    tell(&mut world, "e1", group_load(large, 3, 0));
    assert!(world.observations.held_groups(world.now).is_empty());
    assert_eq!(models_formed(&world), before);
}

#[test]
fn what_is_left_of_a_rest_grows_less() {
    let (mut world, large) = world();
    tell(&mut world, "e0", group_load(large, 0, MINUTE_MS));
    tell(&mut world, "e1", group_load(large, 2, MINUTE_MS + 500));
    let left = |after_ms: u64| world.observations.held_groups(world.now + after_ms).get(&large).copied();
    assert_eq!(left(1_000), Some(MINUTE_MS - 1_000));
    assert_eq!(left(2 * MINUTE_MS), None);
}

/// A head that leaves is held back for good, before its own report says so.
#[test]
fn a_head_that_leaves_is_held_back_beyond_all_time() {
    let (mut world, large) = world();
    tell(&mut world, "e0", group_load(large, 4, u64::MAX));
    let left = world.observations.held_groups(world.now + MINUTE_MS);
    assert!(left.get(&large).is_some_and(|left_ms| *left_ms > MINUTE_MS));
    assert_eq!(models_formed(&world), [LARGE]);
}

/// In a large fleet the leader hears it from the dispatcher of the group's scope.
#[test]
fn a_dispatcher_passes_on_which_groups_are_held_back() {
    let (world, large) = world();
    let scope =
        DispatchScope { zone: "z".to_string(), service: SERVICE.to_string(), model: LARGE.to_string() };
    let summary = |reports: &[(&str, GroupLoad)], tables: &GatewayTables| {
        let mut dispatch = ScopeDispatch::new(scope.clone());
        for (entry, group) in reports {
            let report = LoadReport {
                daemon: entry.to_string(),
                scope: Some(scope.clone()),
                groups: vec![*group],
                models: Vec::new(),
            };
            dispatch.exchange(1_000, report, true);
        }
        let summary = dispatch.summary(1_000, "d", tables);
        summary.groups.iter().find(|group| group.epoch == large).map(|group| group.held_for_ms)
    };
    let (held, used) = (group_load(large, 0, MINUTE_MS), group_load(large, 1, 0));
    assert_eq!(summary(&[("e0", held), ("e1", held)], &world.tables), Some(MINUTE_MS));
    assert_eq!(summary(&[("e0", held), ("e1", used)], &world.tables), Some(0));
}

fn limit(server: &str, thousandths: u64) -> ServerLimit {
    ServerLimit {
        server: ServerStart { id: server.to_string(), started_ms: None },
        rate: RequestRate::of_thousandths(thousandths),
        has_ended: false,
        heard_ago_ms: 0,
    }
}

/// A head that takes a request in ten seconds serves hardly anybody, though its group has all its places.
#[test]
fn a_group_whose_head_takes_few_requests_counts_for_what_it_takes() {
    let (mut world, _) = world();
    let before = models_formed(&world);
    world.observations.note_limits(vec![limit("d0-s0", 100)]);
    assert_eq!(models_formed(&world), [LARGE]);
    world.observations.note_limits(vec![limit("d0-s0", 100_000), limit("d0-s1", 0)]);
    assert_eq!(
        models_formed(&world),
        before,
        "it takes more than it can serve; members that are no heads serve nobody"
    );
    world.observations.note_limits(Vec::new());
    assert_eq!(models_formed(&world), before);
}
