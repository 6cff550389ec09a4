//! How slow servers are detected, and what happens to their groups.

mod common;

use common::{LARGE, SMALL, TestCluster};
use dockwood_api::gateway::{EventPace, GroupLoad, LoadReport};
use dockwood_grouping::replace_slow_members;
use dockwood_state::{GatewayCommand, GroupPhase};
use yare::parameterized;

/// Makes an entry report a group's events every 100 ms for a second.
fn report_events(cluster: &mut TestCluster, epoch: u64, events: u32, timely: u32) {
    for _ in 0..10 {
        cluster.now += 100;
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
        cluster.observations.exchange(cluster.now, report, true);
    }
}

/// Makes a server report that its host has staged a model.
fn stage(cluster: &mut TestCluster, id: &str, model: &str) {
    let report = cluster.report(id, None, &[model]);
    cluster.receive_report(report);
}

/// A cluster with one group of two servers and `spares` spare servers.
fn group_with_spares(spares: usize) -> (TestCluster, u64) {
    let mut cluster = TestCluster::new(1, 2 + spares);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    (2..2 + spares).for_each(|spare| stage(&mut cluster, &format!("d0-s{spare}"), SMALL));
    (cluster, epoch)
}

#[parameterized(
    hardly_any_event_is_timely = { 5, 0, true },
    a_few_delayed_events_arrive_together = { 30, 2, true },
    prompts_are_being_read = { 5, 2, false },
    all_events_are_timely = { 5, 5, false },
    too_few_events = { 1, 0, false },
)]
fn members_are_asked_if_hardly_any_event_of_their_group_is_timely(events: u32, timely: u32, is_asked: bool) {
    let (mut cluster, epoch) = group_with_spares(1);
    report_events(&mut cluster, epoch, events, timely);
    let asked = cluster.observations.claim_slow_groups(cluster.now);
    assert_eq!(asked, if is_asked { vec![epoch] } else { Vec::new() });
    assert!(cluster.observations.claim_slow_groups(cluster.now).is_empty(), "at most once in some seconds");
}

#[test]
fn a_group_with_a_slow_member_is_closed_if_there_is_a_spare() {
    let (mut cluster, epoch) = group_with_spares(1);
    cluster.mark_requests_seen();
    cluster.observations.record_slowness(cluster.now, "d0-s1", 4.0);
    let commands = replace_slow_members(&cluster.view(), |_| false);
    cluster.apply_all(commands);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Cutting));
}

/// Load pattern: many servers are slow at once; a group at half of its pace is better than none.
#[test]
fn a_slow_group_without_a_replacement_stays_open() {
    let (mut cluster, _) = group_with_spares(1);
    let other = cluster.open_group(SMALL, &["d0-s2"]);
    cluster.observations.record_slowness(cluster.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&cluster.view(), |_| false).is_empty(), "group {other} took the only spare");
}

#[test]
fn one_spare_replaces_one_slow_member() {
    let mut cluster = TestCluster::new(1, 5);
    cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.open_group(SMALL, &["d0-s2", "d0-s3"]);
    stage(&mut cluster, "d0-s4", SMALL);
    cluster.observations.record_slowness(cluster.now, "d0-s0", 3.0);
    cluster.observations.record_slowness(cluster.now, "d0-s2", 3.0);
    let commands = replace_slow_members(&cluster.view(), |_| false);
    assert_eq!(commands.len(), 1);
    cluster.apply_all(commands);
    assert!(
        replace_slow_members(&cluster.view(), |_| false).is_empty(),
        "the only spare replaces the first slow member"
    );
}

/// Load pattern: loading a model onto a spare server would take longer than most servers are slow.
#[test]
fn a_spare_without_the_model_is_no_replacement() {
    let (mut cluster, _) = group_with_spares(1);
    stage(&mut cluster, "d0-s2", LARGE);
    cluster.observations.record_slowness(cluster.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&cluster.view(), |_| false).is_empty());
}

#[test]
fn a_group_with_another_decision_is_not_changed() {
    let (mut cluster, epoch) = group_with_spares(1);
    cluster.observations.record_slowness(cluster.now, "d0-s1", 4.0);
    assert!(replace_slow_members(&cluster.view(), |decided| decided == epoch).is_empty());
}

#[test]
fn a_slow_spare_is_no_replacement_until_it_has_recovered() {
    let (mut cluster, epoch) = group_with_spares(1);
    cluster.observations.record_slowness(cluster.now, "d0-s1", 4.0);
    cluster.observations.record_slowness(cluster.now, "d0-s2", 4.0);
    assert!(replace_slow_members(&cluster.view(), |_| false).is_empty());
    assert!(cluster.observations.claim_slow_servers(cluster.now + 900).is_empty());
    assert_eq!(cluster.observations.claim_slow_servers(cluster.now + 1_000), ["d0-s1", "d0-s2"]);
    cluster.observations.record_slowness(cluster.now + 1_010, "d0-s2", 1.0);
    let commands = replace_slow_members(&cluster.view(), |_| false);
    cluster.apply_all(commands);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn slow_servers_form_no_group() {
    let mut cluster = TestCluster::new(1, 2);
    let forms_with = |cluster: &TestCluster, id: &str| {
        let names = |command: &GatewayCommand| match command {
            GatewayCommand::Form { members, .. } => members.iter().any(|member| member == id),
            _ => false,
        };
        cluster.plan().commands.iter().any(names)
    };
    cluster.observations.record_slowness(cluster.now, "d0-s0", 4.0);
    assert!(!forms_with(&cluster, "d0-s0"));
    cluster.observations.record_slowness(cluster.now, "d0-s0", 1.0);
    assert!(forms_with(&cluster, "d0-s0"));
}
