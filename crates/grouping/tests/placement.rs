//! Which servers form which groups.

mod common;

use common::{LARGE, SMALL, TestCluster, formed_groups};
use dockwood_api::gateway::{GroupCommand, MembershipState, OrderAnswer};
use dockwood_grouping::{OrderTracker, ScanScope, StagingPriority, advance_groups};
use dockwood_state::{GatewayCommand, GroupPhase};

#[test]
fn groups_have_the_size_of_their_model_and_never_span_domains() {
    let cluster = TestCluster::new(3, 10);
    let groups = formed_groups(&cluster.plan().commands);
    let mut used = std::collections::BTreeSet::new();
    for (model, members) in &groups {
        assert_eq!(members.len(), if model == LARGE { 4 } else { 2 });
        let domain = members[0].split('-').next();
        assert!(members.iter().all(|member| member.split('-').next() == domain), "{members:?}");
        assert!(members.iter().all(|member| used.insert(member.clone())), "{members:?}");
    }
    assert_eq!(used.len(), 30, "all servers are in groups");
    let large = groups.iter().filter(|(model, _)| model == LARGE).count();
    assert!((3..=4).contains(&large), "about half of the servers: {large}");
}

#[test]
fn too_few_servers_form_no_group() {
    let cluster = TestCluster::new(4, 1);
    assert!(formed_groups(&cluster.plan().commands).is_empty());
}

#[test]
fn servers_with_staged_weights_are_preferred_to_servers_that_must_load() {
    let mut cluster = TestCluster::new(1, 5);
    cluster.mark_requests_seen();
    for id in ["d0-s1", "d0-s4"] {
        let report = cluster.report(id, None, &[SMALL]);
        cluster.receive_report(report);
    }
    let groups = formed_groups(&cluster.plan().commands);
    assert_eq!(groups, [(SMALL.to_string(), vec!["d0-s1".to_string(), "d0-s4".to_string()])]);
}

/// The weights of a server's last group are still loaded, whatever its host has staged since.
#[test]
fn a_server_joins_a_group_of_its_last_model_without_a_load() {
    let mut cluster = TestCluster::new(1, 4);
    cluster.mark_requests_seen();
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.end_group(epoch);
    for id in ["d0-s0", "d0-s1", "d0-s2", "d0-s3"] {
        let report = cluster.report(id, None, &[SMALL]);
        cluster.receive_report(report);
    }
    cluster.send_requests(4, 0);
    let groups = formed_groups(&cluster.plan().commands);
    assert_eq!(groups.first().map(|(model, _)| model.as_str()), Some(LARGE), "{groups:?}");
}

/// Found on a day without faults: a new leader treated servers as alive that had failed under its
/// predecessor, and formed groups that never became ready.
#[test]
fn servers_without_a_report_to_this_leader_form_no_group() {
    let mut cluster = TestCluster::new(1, 4);
    cluster.observations = Default::default();
    let ids: Vec<String> = cluster.tables.instances.keys().cloned().collect();
    cluster.observations.assume_present(cluster.now, ids.into_iter());
    assert!(cluster.plan().commands.is_empty());
    cluster.report_all();
    cluster.now += 1_000;
    assert!(!cluster.plan().commands.is_empty());
}

fn formed_in(domain: &str, commands: &[GatewayCommand]) -> Vec<(String, Vec<String>)> {
    formed_groups(commands).into_iter().filter(|(_, members)| members[0].starts_with(domain)).collect()
}

/// A domain with groups of both models, of which the large one has just lost a member, next to a domain with
/// free servers only.
fn after_a_loss() -> TestCluster {
    let mut cluster = TestCluster::new(2, 10);
    let lost = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let converted = cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    let other = cluster.open_group(SMALL, &["d0-s6", "d0-s7"]);
    cluster.open_group(SMALL, &["d0-s8", "d0-s9"]);
    for id in ["d0-s4", "d0-s5"] {
        cluster.report_membership(id, converted, MembershipState::Open, &[LARGE]);
    }
    for epoch in [lost, converted, other] {
        cluster.report_load("a", epoch, 6, false, true, true);
    }
    cluster.end_group(lost);
    cluster.apply(GatewayCommand::Remove { id: "d0-s3".to_string() });
    cluster.mark_requests_seen();
    cluster.report_again("d0-s0");
    cluster
}

fn drained(commands: &[GatewayCommand]) -> Vec<u64> {
    let drained = commands.iter().filter_map(|command| match command {
        GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, .. } => Some(*epoch),
        _ => None,
    });
    drained.collect()
}

#[test]
fn a_group_of_a_better_served_model_is_closed_for_its_staged_servers() {
    let mut cluster = after_a_loss();
    cluster.send_requests(3, 2);
    let planned = cluster.plan();
    assert_eq!(drained(&planned.commands), [2], "{:?}", planned.commands);
    cluster.apply_all(planned.commands);
    assert!(
        cluster.plan().commands.is_empty(),
        "only one group at a time, and the free servers wait for its members"
    );
    cluster.end_group(2);
    let groups = formed_in("d0", &cluster.plan().commands);
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].0, LARGE);
}

#[test]
fn no_group_is_closed_for_a_better_served_model() {
    let mut cluster = after_a_loss();
    cluster.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    cluster.send_requests(1, 8);
    assert!(drained(&cluster.plan().commands).is_empty());
}

#[test]
fn a_model_that_has_lost_all_groups_still_counts_as_needed() {
    let mut cluster = after_a_loss();
    for epoch in [2, 3, 4] {
        cluster.report_load(&format!("busy-{epoch}"), epoch, 60, false, true, true);
    }
    cluster.send_requests(3, 2);
    assert!(
        !drained(&cluster.plan().commands).is_empty(),
        "requests in flight are impossible for a model without groups"
    );
}

#[test]
fn an_order_is_repeated_until_its_effect_is_observed_and_carries_the_fence() {
    let mut cluster = TestCluster::new(1, 2);
    let commands = cluster.plan().commands;
    cluster.apply_all(commands);
    let mut tracker = OrderTracker::default();
    let orders = tracker.due_orders(&cluster.view(), 7);
    assert_eq!(orders.len(), 2);
    assert!(
        orders.iter().all(|order| order.fence == 7 && matches!(order.command, GroupCommand::Join { .. }))
    );
    assert!(tracker.due_orders(&cluster.view(), 7).is_empty(), "the orders are in flight");
    tracker.answered(cluster.now, &orders[0], OrderAnswer::Silent);
    tracker.answered(cluster.now, &orders[1], OrderAnswer::Begun);
    cluster.now += 1_000;
    assert_eq!(tracker.due_orders(&cluster.view(), 7).len(), 1, "the unanswered order is sent again");
    let epoch = cluster.tables.last_epoch;
    for id in ["d0-s0", "d0-s1"] {
        cluster.report_membership(id, epoch, MembershipState::Ready, &[SMALL]);
    }
    cluster.now += 10_000;
    cluster.report_all();
    assert!(tracker.due_orders(&cluster.view(), 7).is_empty(), "both have joined");
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| 0);
    cluster.apply_all(commands);
    let orders = tracker.due_orders(&cluster.view(), 7);
    assert!(matches!(&orders[..], [order] if order.command == GroupCommand::Open));
}

/// Found on norrstrom-klubb: after a group lost its head, the first members to become free formed a group of
/// a model that had enough groups, and the others found no servers to form a group with.
#[test]
fn free_servers_wait_for_members_that_will_soon_be_free() {
    let mut cluster = TestCluster::new(1, 8);
    let lost = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    cluster.open_group(SMALL, &["d0-s6", "d0-s7"]);
    cluster.mark_requests_seen();
    cluster.send_requests(1, 1);
    for id in ["d0-s1", "d0-s2", "d0-s3"] {
        let report = cluster.report(id, None, &[SMALL]);
        cluster.receive_report(report);
    }
    cluster.apply(GatewayCommand::SetPhase {
        epoch: lost,
        phase: GroupPhase::Cutting,
        reason: String::new(),
    });
    for member in ["d0-s1", "d0-s2"] {
        cluster.apply(GatewayCommand::Release { epoch: lost, member: member.to_string() });
    }
    assert!(formed_groups(&cluster.plan().commands).is_empty(), "all four members will soon be free");
    cluster.end_group(lost);
    let groups = formed_groups(&cluster.plan().commands);
    assert_eq!(groups.iter().map(|(model, _)| model.as_str()).collect::<Vec<&str>>(), [LARGE]);
}

#[test]
fn servers_that_are_not_needed_stay_free_as_replacements() {
    let mut cluster = TestCluster::new(1, 26);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    for first in (4..24).step_by(2) {
        cluster.open_group(SMALL, &[&format!("d0-s{first}"), &format!("d0-s{}", first + 1)]);
    }
    for id in ["d0-s24", "d0-s25"] {
        let report = cluster.report(id, None, &[SMALL]);
        cluster.receive_report(report);
    }
    cluster.mark_requests_seen();
    cluster.send_requests(1, 1);
    cluster.send_requests(1, 1);
    let planned = cluster.plan();
    assert!(formed_groups(&planned.commands).is_empty(), "{planned:?}");
    cluster.send_requests(1, 30);
    assert_eq!(
        formed_groups(&cluster.plan().commands).len(),
        1,
        "the free servers form a group once they are needed"
    );
}

/// The store supports only a few concurrent loads, and additional ones slow each other down.
#[test]
fn a_group_with_fewer_loads_is_preferred_at_similar_need() {
    let mut cluster = TestCluster::new(1, 4);
    let report = cluster.report("d0-s0", None, &[SMALL]);
    cluster.receive_report(report);
    let groups = formed_groups(&cluster.plan().commands);
    assert_eq!(groups.first().map(|(model, _)| model.as_str()), Some(SMALL), "one load instead of four");
}

/// Found on unidos-despacho: with four groups of the smaller model left where nine were needed, few of its
/// requests could be in flight, so it seemed to need little, and its servers were reassigned to the larger
/// model, which was served well.
#[test]
fn the_need_of_a_model_follows_its_arrivals_and_not_the_capacity_of_its_remaining_groups() {
    let mut cluster = TestCluster::new(1, 10);
    let large = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let small = cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    for id in ["d0-s6", "d0-s7", "d0-s8", "d0-s9"] {
        let report = cluster.report(id, None, &[LARGE]);
        cluster.receive_report(report);
    }
    cluster.report_load("a", large, 6, false, true, true);
    cluster.report_load("a", small, 8, false, true, true);
    // 10 requests per second for the larger model, 80 for the smaller one, whose group is full.
    cluster.mark_requests_seen();
    cluster.send_requests(1, 8);
    let planned = cluster.plan();
    let groups = formed_groups(&planned.commands);
    assert!(groups.is_empty(), "loads are preferred to a group that is not needed: {groups:?}");
    assert_eq!(
        planned.staging.iter().filter(|request| request.priority == StagingPriority::RequiredByGroup).count(),
        4
    );
    assert!(planned.staging.iter().take(4).all(|request| request.model == SMALL));
}

#[test]
fn no_group_is_closed_for_a_model_that_is_served_well() {
    let mut cluster = after_a_loss();
    cluster.open_group(LARGE, &["d1-s0", "d1-s1", "d1-s2", "d1-s3"]);
    cluster.send_requests(0, 1);
    assert!(drained(&cluster.plan().commands).is_empty());
}

#[test]
fn a_group_is_closed_for_a_model_that_is_served_worse() {
    let mut cluster = after_a_loss();
    cluster.send_requests(2, 1);
    assert!(!drained(&cluster.plan().commands).is_empty());
}
