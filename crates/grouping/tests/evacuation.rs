//! Evacuated zones: assignments and plans during an evacuation. Servers of the second domain are in a zone of
//! their own.

mod common;

use common::{LARGE, SERVICE, SMALL, TestCluster, formed_groups};
use dockwood_api::gateway::{InstanceState, MembershipState, PlaceReply, PlaceRequest};
use dockwood_grouping::{Dispatcher, ScanScope, advance_groups};
use dockwood_state::{GatewayCommand, GroupPhase, InstanceRow};

const OTHER: &str = "other";

/// Two domains with this many servers, each in its own zone.
fn two_zones(servers: usize) -> TestCluster {
    let mut cluster = TestCluster::new(2, servers);
    let rows = cluster.tables.instances.values().filter(|row| row.id.starts_with("d1-"));
    let moved: Vec<InstanceRow> =
        rows.map(|row| InstanceRow { zone: OTHER.to_string(), ..InstanceRow::clone(row) }).collect();
    moved.into_iter().for_each(|row| cluster.apply(GatewayCommand::Register(row)));
    cluster
}

fn set_evacuation(cluster: &mut TestCluster, zone: &str, evacuated: bool) {
    let generation = cluster.tables.evacuation_generation(zone);
    cluster.apply(GatewayCommand::SetEvacuation { zone: zone.to_string(), evacuated, generation });
}

/// A group of the larger model in each zone.
fn group_in_each_zone() -> TestCluster {
    let mut cluster = two_zones(4);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    cluster
}

fn assigned_epoch(cluster: &TestCluster, dispatcher: &mut Dispatcher) -> Option<u64> {
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
    match dispatcher.assign(cluster.now, &request, &cluster.tables, &cluster.observations) {
        PlaceReply::Assigned { epoch, .. } => Some(epoch),
        PlaceReply::Full | PlaceReply::AtLimit { .. } => panic!("the groups have free places"),
        PlaceReply::NoGroup => None,
    }
}

#[test]
fn groups_of_an_evacuated_zone_are_not_assigned() {
    let mut cluster = group_in_each_zone();
    let mut dispatcher = Dispatcher::default();
    assert_eq!(assigned_epoch(&cluster, &mut dispatcher), Some(2), "the entry's own zone is nearer");
    set_evacuation(&mut cluster, OTHER, true);
    let epochs: Vec<Option<u64>> = (0..4).map(|_| assigned_epoch(&cluster, &mut dispatcher)).collect();
    assert_eq!(epochs, [Some(1); 4]);
    set_evacuation(&mut cluster, "z", true);
    assert_eq!(assigned_epoch(&cluster, &mut dispatcher), None, "every zone is evacuated");
    set_evacuation(&mut cluster, OTHER, false);
    assert_eq!(assigned_epoch(&cluster, &mut dispatcher), Some(2), "it serves again at once");
}

/// Instances that the plan forms groups of or stages weights on.
fn planned_instances(cluster: &TestCluster) -> Vec<String> {
    let plan = cluster.plan();
    let members = plan.commands.iter().flat_map(|command| match command {
        GatewayCommand::Form { members, .. } => members.clone(),
        _ => Vec::new(),
    });
    members.chain(plan.staging.iter().map(|request| request.instance.clone())).collect()
}

#[test]
fn nothing_is_formed_preloaded_or_staged_in_an_evacuated_zone() {
    // One server more than the groups need, which is preloaded.
    let mut cluster = two_zones(5);
    let is_other = |id: &String| id.starts_with("d1-");
    assert!(planned_instances(&cluster).iter().any(is_other));
    set_evacuation(&mut cluster, OTHER, true);
    let planned = planned_instances(&cluster);
    assert!(!planned.is_empty() && !planned.iter().any(is_other), "{planned:?}");
    set_evacuation(&mut cluster, OTHER, false);
    assert!(planned_instances(&cluster).iter().any(is_other));
}

#[test]
fn members_in_an_evacuated_zone_stage_nothing() {
    let mut cluster = two_zones(6);
    for domain in ["d0", "d1"] {
        let id = |server: u8| format!("{domain}-s{server}");
        let (large, small) = ([id(0), id(1), id(2), id(3)], [id(4), id(5)]);
        cluster.open_group(LARGE, &large.each_ref().map(String::as_str));
        cluster.open_group(SMALL, &small.each_ref().map(String::as_str));
    }
    cluster.mark_requests_seen();
    cluster.send_requests(2, 2);
    let staging_in = |cluster: &TestCluster, domain: &str| {
        cluster.plan().staging.iter().filter(|request| request.instance.starts_with(domain)).count()
    };
    assert!(staging_in(&cluster, "d1") > 0, "members stage the other model");
    set_evacuation(&mut cluster, OTHER, true);
    assert!(staging_in(&cluster, "d0") > 0);
    assert_eq!(staging_in(&cluster, "d1"), 0);
}

#[test]
fn groups_of_an_evacuated_zone_do_not_count_as_capacity() {
    let mut cluster = two_zones(8);
    cluster.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    cluster.open_group(LARGE, &["d1-s4", "d1-s5", "d1-s6", "d1-s7"]);
    // Demand for about two groups of each model.
    cluster.send_requests(1, 1);
    let formed_of = |cluster: &TestCluster, model: &str| {
        formed_groups(&cluster.plan().commands).iter().filter(|(formed, _)| formed == model).count()
    };
    assert_eq!(formed_of(&cluster, LARGE), 0, "the larger model is served");
    assert!(formed_of(&cluster, SMALL) > 0);
    set_evacuation(&mut cluster, OTHER, true);
    assert!(formed_of(&cluster, LARGE) > 0);
    set_evacuation(&mut cluster, OTHER, false);
    assert_eq!(formed_of(&cluster, LARGE), 0);
}

/// Groups of both models in the second domain, of which the larger one has just lost a member. The first
/// domain has groups of the smaller model, which is served well.
fn after_a_loss() -> TestCluster {
    let mut cluster = two_zones(10);
    let lost = cluster.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    let converted = cluster.open_group(SMALL, &["d1-s4", "d1-s5"]);
    let other = cluster.open_group(SMALL, &["d1-s6", "d1-s7"]);
    cluster.open_group(SMALL, &["d1-s8", "d1-s9"]);
    for members in [["d0-s0", "d0-s1"], ["d0-s2", "d0-s3"], ["d0-s4", "d0-s5"], ["d0-s6", "d0-s7"]] {
        cluster.open_group(SMALL, &members);
    }
    // Their members are sufficient for a group of the larger model without a load.
    for (epoch, members) in [(converted, ["d1-s4", "d1-s5"]), (other, ["d1-s6", "d1-s7"])] {
        members.iter().for_each(|id| cluster.report_membership(id, epoch, MembershipState::Open, &[LARGE]));
    }
    for epoch in [lost, converted, other] {
        cluster.report_load("a", epoch, 6, false, true, true);
    }
    cluster.end_group(lost);
    cluster.apply(GatewayCommand::Remove { id: "d1-s3".to_string() });
    cluster.mark_requests_seen();
    cluster.report_again("d1-s0");
    cluster.send_requests(8, 1);
    cluster
}

fn changed_phases(cluster: &TestCluster) -> Vec<u64> {
    let plan = cluster.plan();
    let changed = plan.commands.iter().filter_map(|command| match command {
        GatewayCommand::SetPhase { epoch, .. } => Some(*epoch),
        _ => None,
    });
    changed.collect()
}

#[test]
fn groups_of_an_evacuated_zone_stay_open() {
    let mut cluster = after_a_loss();
    assert_eq!(
        changed_phases(&cluster).len(),
        1,
        "one is drained, so that its servers serve the larger model"
    );
    set_evacuation(&mut cluster, OTHER, true);
    assert_eq!(changed_phases(&cluster), [] as [u64; 0]);
    assert!(advance_groups(&cluster.view(), ScanScope::All, |_| 0).is_empty());
    assert!(cluster.tables.groups.values().all(|group| group.phase == GroupPhase::Open));
}

#[test]
fn a_group_that_loses_a_member_in_an_evacuated_zone_is_closed_as_usual() {
    let mut cluster = group_in_each_zone();
    set_evacuation(&mut cluster, OTHER, true);
    let leaving = InstanceRow {
        state: InstanceState::Draining,
        ..InstanceRow::clone(&cluster.tables.instances["d1-s2"])
    };
    cluster.apply(GatewayCommand::Register(leaving));
    cluster.apply(GatewayCommand::Remove { id: "d0-s2".to_string() });
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| 0);
    cluster.apply_all(commands);
    assert_eq!(cluster.phase(1), Some(GroupPhase::Cutting));
    assert_eq!(cluster.phase(2), Some(GroupPhase::Draining));
}
