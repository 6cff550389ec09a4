//! The dispatcher of one scope: its assignments, and its reports to the leader.

mod common;

use common::{LARGE, SERVICE, TestCluster};
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

fn group_load(epoch: u64, in_flight: u32, silent: bool, progressed: bool) -> GroupLoad {
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

fn two_groups() -> (TestCluster, u64, u64) {
    let mut cluster = TestCluster::new(1, 8);
    let first = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let second = cluster.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    (cluster, first, second)
}

#[test]
fn reports_of_all_entries_are_summed_up_for_the_leader() {
    let (cluster, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![group_load(first, 2, false, true)], 3), true);
    dispatch.exchange(
        1_010,
        report("b", vec![group_load(first, 1, false, false), group_load(second, 4, false, false)], 2),
        true,
    );
    let summary = dispatch.summary(cluster.now, "dispatcher", &cluster.tables);
    assert_eq!((summary.daemon.as_str(), summary.scope), ("dispatcher", Some(scope())));
    assert_eq!(summary.groups, [group_load(first, 3, false, true), group_load(second, 4, false, false)]);
    assert_eq!(summary.models.iter().map(|model| model.arrived).collect::<Vec<u32>>(), [5]);
    let next = dispatch.summary(cluster.now, "dispatcher", &cluster.tables);
    assert_eq!(
        next.groups,
        [group_load(first, 3, false, false), group_load(second, 4, false, false)],
        "progress is reported once"
    );
    assert!(next.models.is_empty(), "demand is reported once");
}

#[test]
fn a_stalled_group_is_reported_at_once_and_gets_no_more_requests() {
    let (cluster, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![group_load(first, 1, true, false)], 0), true);
    assert!(dispatch.is_urgent());
    for _ in 0..4 {
        let reply = dispatch.assign(1_010, &cluster.tables, &request("b", "z"));
        assert!(matches!(reply, PlaceReply::Assigned { epoch, .. } if epoch == second), "{reply:?}");
    }
    assert!(dispatch.summary(cluster.now, "dispatcher", &cluster.tables).groups[0].silent);
    assert!(!dispatch.is_urgent(), "the leader has been notified");
}

/// An entry on a machine of the control group is partitioned together with that machine.
#[test]
fn stall_reports_of_an_entry_that_is_no_witness_are_ignored() {
    let (cluster, first, _) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    dispatch.exchange(1_000, report("a", vec![group_load(first, 1, true, false)], 0), false);
    assert!(!dispatch.is_urgent());
    assert!(!dispatch.summary(cluster.now, "dispatcher", &cluster.tables).groups[0].silent);
}

#[test]
fn stalled_groups_in_the_leaders_digest_are_not_assigned() {
    let (cluster, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    let suspected = SharedGroupLoad { epoch: first, others_in_flight: 0, suspected: true, granted: 0 };
    dispatch.take_digest(1_000, &LoadDigest { groups: vec![suspected], entries: 1 });
    let reply = dispatch.assign(1_010, &cluster.tables, &request("b", "z"));
    assert!(matches!(reply, PlaceReply::Assigned { epoch, .. } if epoch == second), "{reply:?}");
}

#[test]
fn groups_of_another_zone_or_with_late_first_events_are_not_assigned() {
    let (cluster, _, _) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    assert_eq!(dispatch.assign(1_000, &cluster.tables, &request("a", "elsewhere")), PlaceReply::NoGroup);
    let hurried = PlaceRequest { most_first_event_ms: Some(1), ..request("a", "z") };
    assert_eq!(dispatch.assign(1_000, &cluster.tables, &hurried), PlaceReply::Full);
    let patient = PlaceRequest { most_first_event_ms: Some(10_000), ..request("a", "z") };
    assert!(matches!(dispatch.assign(1_000, &cluster.tables, &patient), PlaceReply::Assigned { .. }));
}

/// Found by the gateway's dispatcher test: with few requests, no report arrived that would have cleared old
/// load figures, and two simultaneous requests were assigned to the same one of two idle groups.
#[test]
fn expired_reports_do_not_affect_assignments() {
    let (cluster, first, second) = two_groups();
    let mut dispatch = ScopeDispatch::new(scope());
    let short = |entry: &str| PlaceRequest { prompt_tokens: 0, ..request(entry, "z") };
    dispatch.exchange(1_000, report("a", vec![group_load(second, 3, false, false)], 0), true);
    assert!(matches!(
        dispatch.assign(1_010, &cluster.tables, &short("a")),
        PlaceReply::Assigned { epoch, .. } if epoch == first
    ));
    let assigned: Vec<PlaceReply> =
        ["a", "b"].iter().map(|entry| dispatch.assign(3_000, &cluster.tables, &short(entry))).collect();
    let epochs: Vec<u64> = assigned
        .iter()
        .filter_map(|reply| match reply {
            PlaceReply::Assigned { epoch, .. } => Some(*epoch),
            _ => None,
        })
        .collect();
    assert_eq!(epochs, [first, second], "both groups are idle again");
}
