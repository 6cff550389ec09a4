//! The dispatcher of one scope: what it assigns, and what it tells the leader.

mod common;

use common::{LARGE, SERVICE, World};
use dockwood_api::gateway::{
    DispatchScope, EventPace, GroupLoad, LoadDigest, LoadReport, ModelLoad, PlaceReply, PlaceRequest,
    SharedGroupLoad,
};
use dockwood_grouping::ScopeDispatch;

fn scope() -> DispatchScope {
    DispatchScope { zone: "z".to_string(), service: SERVICE.to_string(), model: LARGE.to_string() }
}

fn request(entry: &str, group_zone: &str) -> PlaceRequest {
    PlaceRequest {
        daemon: entry.to_string(),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: Some(group_zone.to_string()),
        allowed_zones: None,
        most_first_event_ms: None,
        prompt_tokens: 1_000,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    }
}

fn load(epoch: u64, in_flight: u32, silent: bool, progressed: bool) -> GroupLoad {
    GroupLoad {
        epoch,
        in_flight,
        silent,
        refuses: false,
        progressed,
        pace: EventPace::default(),
        held_for_ms: 0,
    }
}

fn report(entry: &str, groups: Vec<GroupLoad>, arrived: u32) -> LoadReport {
    let model = ModelLoad {
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        arrived,
        refused: 0,
        prompt_tokens: 0,
        answered: 0,
        events: 0,
        found_none: 0,
    };
    LoadReport { daemon: entry.to_string(), scope: Some(scope()), groups, models: vec![model] }
}

fn two_groups() -> (World, u64, u64) {
    let mut world = World::new(1, 8);
    let first = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let second = world.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    (world, first, second)
}

#[test]
fn what_all_entries_told_is_summed_up_for_the_leader() {
    let (world, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![load(first, 2, false, true)], 3), true);
    dispatch.exchange(
        1_010,
        report("b", vec![load(first, 1, false, false), load(second, 4, false, false)], 2),
        true,
    );
    let summary = dispatch.summary(world.now, "dispatcher", &world.tables);
    assert_eq!((summary.daemon.as_str(), summary.scope), ("dispatcher", Some(scope())));
    assert_eq!(summary.groups, [load(first, 3, false, true), load(second, 4, false, false)]);
    assert_eq!(summary.models.iter().map(|model| model.arrived).collect::<Vec<u32>>(), [5]);
    let next = dispatch.summary(world.now, "dispatcher", &world.tables);
    assert_eq!(
        next.groups,
        [load(first, 3, false, false), load(second, 4, false, false)],
        "progress is told once"
    );
    assert!(next.models.is_empty(), "what was asked for is told once");
}

#[test]
fn a_group_that_stands_still_is_told_at_once_and_gets_no_more_requests() {
    let (world, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![load(first, 1, true, false)], 0), true);
    assert!(dispatch.is_urgent());
    for _ in 0..4 {
        let reply = dispatch.assign(1_010, &world.tables, &request("b", "z"));
        assert!(matches!(reply, PlaceReply::Assigned { epoch, .. } if epoch == second), "{reply:?}");
    }
    assert!(dispatch.summary(world.now, "dispatcher", &world.tables).groups[0].silent);
    assert!(!dispatch.is_urgent(), "it has been told");
}

/// An entry on a machine of the control group is cut off together with it.
#[test]
fn an_entry_that_is_no_witness_is_not_believed() {
    let (world, first, _) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![load(first, 1, true, false)], 0), false);
    assert!(!dispatch.is_urgent());
    assert!(!dispatch.summary(world.now, "dispatcher", &world.tables).groups[0].silent);
}

#[test]
fn the_leaders_word_on_silent_groups_counts() {
    let (world, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    let suspected = SharedGroupLoad { epoch: first, others_in_flight: 0, suspected: true, granted: 0 };
    dispatch.take_digest(1_000, &LoadDigest { groups: vec![suspected], entries: 1 });
    let reply = dispatch.assign(1_010, &world.tables, &request("b", "z"));
    assert!(matches!(reply, PlaceReply::Assigned { epoch, .. } if epoch == second), "{reply:?}");
}

#[test]
fn groups_of_another_zone_or_too_late_ones_are_not_assigned() {
    let (world, _, _) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    assert_eq!(dispatch.assign(1_000, &world.tables, &request("a", "elsewhere")), PlaceReply::NoGroup);
    let hurried = PlaceRequest { most_first_event_ms: Some(1), ..request("a", "z") };
    assert_eq!(dispatch.assign(1_000, &world.tables, &hurried), PlaceReply::Full);
    let patient = PlaceRequest { most_first_event_ms: Some(10_000), ..request("a", "z") };
    assert!(matches!(dispatch.assign(1_000, &world.tables, &patient), PlaceReply::Assigned { .. }));
}

/// Found by the gateway's test of dispatchers: with few requests no report came that would have cleared old figures, and
/// two requests at once went to one of two idle groups.
#[test]
fn what_was_told_long_ago_keeps_no_request_away() {
    let (world, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    let short = |entry: &str| PlaceRequest { prompt_tokens: 0, ..request(entry, "z") };
    dispatch.exchange(1_000, report("a", vec![load(second, 3, false, false)], 0), true);
    assert!(matches!(
        dispatch.assign(1_010, &world.tables, &short("a")),
        PlaceReply::Assigned { epoch, .. } if epoch == first
    ));
    let assigned: Vec<PlaceReply> =
        ["a", "b"].iter().map(|entry| dispatch.assign(3_000, &world.tables, &short(entry))).collect();
    let epochs: Vec<u64> = assigned
        .iter()
        .filter_map(|reply| match reply {
            PlaceReply::Assigned { epoch, .. } => Some(*epoch),
            _ => None,
        })
        .collect();
    assert_eq!(epochs, [first, second], "both groups are idle by now");
}
