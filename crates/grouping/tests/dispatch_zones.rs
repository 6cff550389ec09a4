//! Requests that may run in some zones only get a place at a group there, or none.

mod common;

use common::{LARGE, SERVICE, World};
use dockwood_api::gateway::{PlaceReply, PlaceRequest};
use dockwood_grouping::Dispatcher;
use std::sync::Arc;

/// Eight slots, and one that waits.
const PLACES: u32 = 9;

fn request(allowed_zones: Option<&[&str]>) -> PlaceRequest {
    PlaceRequest {
        daemon: "a".to_string(),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: allowed_zones.map(|zones| zones.iter().map(|zone| zone.to_string()).collect()),
        most_first_event_ms: None,
        prompt_tokens: 100,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    }
}

/// Two open groups, the second one in a zone of another region.
fn near_and_far() -> World {
    let mut world = World::new(1, 8);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    if let Some(group) = world.tables.groups.get_mut(&2) {
        Arc::make_mut(group).zone = "far".to_string();
    }
    world
}

#[test]
fn a_group_elsewhere_gets_no_request_also_while_those_allowed_are_full() {
    let world = near_and_far();
    let mut dispatcher = Dispatcher::default();
    let mut assign =
        |request: &PlaceRequest| dispatcher.assign(world.now, request, &world.tables, &world.observations);
    for _ in 0..PLACES {
        let reply = assign(&request(Some(&["z"])));
        assert!(matches!(reply, PlaceReply::Assigned { epoch: 1, .. }), "{reply:?}");
    }
    assert_eq!(assign(&request(Some(&["z"]))), PlaceReply::Full);
    assert!(matches!(assign(&request(None)), PlaceReply::Assigned { epoch: 2, .. }));
    assert!(matches!(assign(&request(Some(&["far"]))), PlaceReply::Assigned { epoch: 2, .. }));
    assert_eq!(assign(&request(Some(&["nowhere"]))), PlaceReply::NoGroup);
    assert_eq!(assign(&request(Some(&[]))), PlaceReply::NoGroup);
}

#[test]
fn the_zone_that_is_asked_for_must_be_allowed() {
    let world = near_and_far();
    let mut dispatcher = Dispatcher::default();
    let asked = PlaceRequest { group_zone: Some("far".to_string()), ..request(Some(&["z"])) };
    let reply = dispatcher.assign(world.now, &asked, &world.tables, &world.observations);
    assert_eq!(reply, PlaceReply::NoGroup);
}
