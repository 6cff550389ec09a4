//! Requests restricted to certain zones are only assigned to groups there.

mod common;

use common::{LARGE, SERVICE, TestCluster};
use dockwood_api::gateway::{PlaceReply, PlaceRequest};
use dockwood_grouping::Dispatcher;
use std::sync::Arc;

/// Eight slots and a queue of one.
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

/// Two open groups, the second in a zone of another region.
fn groups_in_two_zones() -> TestCluster {
    let mut cluster = TestCluster::new(1, 8);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    if let Some(group) = cluster.tables.groups.get_mut(&2) {
        Arc::make_mut(group).zone = "far".to_string();
    }
    cluster
}

#[test]
fn groups_in_other_zones_get_no_request_even_if_the_allowed_groups_are_full() {
    let cluster = groups_in_two_zones();
    let mut dispatcher = Dispatcher::default();
    let mut assign = |request: &PlaceRequest| {
        dispatcher.assign(cluster.now, request, &cluster.tables, &cluster.observations)
    };
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
fn the_requested_zone_must_be_allowed() {
    let cluster = groups_in_two_zones();
    let mut dispatcher = Dispatcher::default();
    let restricted = PlaceRequest { group_zone: Some("far".to_string()), ..request(Some(&["z"])) };
    let reply = dispatcher.assign(cluster.now, &restricted, &cluster.tables, &cluster.observations);
    assert_eq!(reply, PlaceReply::NoGroup);
}
