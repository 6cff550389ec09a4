//! When groups open, when they are closed, and when their servers are free again.

mod common;

use common::{LARGE, SMALL, TestCluster};
use dockwood_api::gateway::GroupCommand;
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{
    OrderTracker, ScanScope, advance_groups, full_scan_interval_ms, reap_instances, release_members,
};
use dockwood_state::{GatewayCommand, GroupPhase};

fn advance(cluster: &mut TestCluster, closing_since: u64) {
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| closing_since);
    cluster.apply_all(commands);
}

#[test]
fn a_group_opens_only_once_every_member_is_ready_under_its_name_and_epoch() {
    let mut cluster = TestCluster::new(1, 2);
    let commands = cluster.plan().commands;
    cluster.apply_all(commands);
    let epoch = cluster.tables.last_epoch;
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Forming));
    cluster.report_membership("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    cluster.report_membership("d0-s1", epoch, MembershipState::Joining, &[]);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Forming));
    cluster.report_membership("d0-s1", epoch + 1, MembershipState::Ready, &[SMALL]);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Forming), "ready in another group");
    cluster.report_membership("d0-s1", epoch, MembershipState::Ready, &[SMALL]);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Opening));
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Opening), "the head has not opened yet");
    cluster.report_membership("d0-s0", epoch, MembershipState::Open, &[SMALL]);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Open));
}

#[test]
fn a_forming_group_that_loses_a_member_ends_at_once() {
    let mut cluster = TestCluster::new(1, 2);
    let commands = cluster.plan().commands;
    cluster.apply_all(commands);
    cluster.now += 4_500;
    cluster.report_again("d0-s0");
    advance(&mut cluster, 0);
    assert!(cluster.tables.groups.is_empty());
}

/// Found by a search for faults: during a network partition that resets connections, entries on machines of
/// the control group reported that a head refuses requests, while all other entries went on using it; its
/// members joined another group while it was open.
#[test]
fn stall_reports_only_from_entries_on_control_machines_close_no_group() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.now += 4_500;
    cluster.report_load("on-control", epoch, 3, true, false, false);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Open));
    cluster.report_load("elsewhere", epoch, 3, true, false, true);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn progress_at_any_entry_overrides_stall_reports_of_others() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.now += 4_500;
    cluster.report_load("a", epoch, 3, true, false, true);
    cluster.report_load("b", epoch, 3, false, true, true);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Open));
    cluster.now += 400;
    cluster.report_load("a", epoch, 3, true, false, true);
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn servers_partitioned_only_from_control_stay_open_while_entries_report_progress() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    for _ in 0..60 {
        cluster.now += 500;
        cluster.report_load("a", epoch, 2, false, true, true);
        advance(&mut cluster, 0);
    }
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Open));
}

/// Found by a search for faults: an unanswered order to open was executed after the group had been closed,
/// and its head joined another group while the old group was open again.
#[test]
fn a_group_ends_only_once_its_head_has_closed_and_left() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    let reason = "test".to_string();
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, reason });
    let closing_since = cluster.now;
    let mut tracker = OrderTracker::default();
    let sent = |tracker: &mut OrderTracker, cluster: &TestCluster| {
        let orders = tracker.due_orders(&cluster.view(), 1);
        orders.into_iter().map(|order| (order.instance, order.command)).collect::<Vec<_>>()
    };
    let head = "d0-s0".to_string();
    assert_eq!(sent(&mut tracker, &cluster), [(head.clone(), GroupCommand::Close { truncate: false })]);
    cluster.now += 100;
    advance(&mut cluster, closing_since);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Draining), "the report is older than the order");
    cluster.report_membership("d0-s0", epoch, MembershipState::Closing, &[SMALL]);
    advance(&mut cluster, closing_since);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Draining), "requests are still running");
    cluster.report_membership("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    advance(&mut cluster, closing_since);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Draining), "a delayed order could still open it");
    assert_eq!(sent(&mut tracker, &cluster), [(head, GroupCommand::Leave)]);
    let report = cluster.report("d0-s0", None, &[SMALL]);
    cluster.receive_report(report);
    advance(&mut cluster, closing_since);
    assert!(cluster.tables.groups.is_empty());
}

#[test]
fn members_of_a_stalled_group_with_a_silent_head_are_freed_only_after_the_stall_limit() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.report_load("a", epoch, 5, true, false, true);
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = cluster.now;
    let mut ended_after = 0;
    while cluster.phase(epoch).is_some() && ended_after < 30_000 {
        ended_after += 100;
        cluster.now += 100;
        advance(&mut cluster, closing_since);
    }
    assert!((6_000..8_000).contains(&ended_after), "{ended_after}");
}

#[test]
fn a_silent_head_without_stall_reports_is_given_up_only_after_a_longer_time() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = cluster.now;
    cluster.now += 15_000;
    advance(&mut cluster, closing_since);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Cutting));
    cluster.now += 2_000;
    advance(&mut cluster, closing_since);
    assert_eq!(cluster.phase(epoch), None);
}

#[test]
fn a_leaving_member_lets_running_requests_finish() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.apply(GatewayCommand::SignOff { id: "d0-s1".to_string() });
    advance(&mut cluster, 0);
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Draining));
}

#[test]
fn instances_are_removed_only_outside_groups_and_after_long_silence() {
    let mut cluster = TestCluster::new(1, 3);
    cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.now += 19_000;
    assert!(reap_instances(&cluster.view()).is_empty());
    cluster.now += 2_000;
    assert_eq!(reap_instances(&cluster.view()), [GatewayCommand::Remove { id: "d0-s2".to_string() }]);
}

/// The remaining members of a group whose head is lost need not wait for the engines' own stall limit: once
/// they have left, the head can't serve even if it is only partitioned.
#[test]
fn members_leave_a_group_with_an_unreachable_head_and_become_free() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.now += 4_500;
    for id in ["d0-s1", "d0-s2", "d0-s3"] {
        cluster.report_again(id);
    }
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = cluster.now;
    let orders = OrderTracker::default().due_orders(&cluster.view(), 1);
    let leaving = orders.iter().filter(|order| order.command == GroupCommand::Leave);
    assert_eq!(leaving.map(|order| order.instance.as_str()).collect::<Vec<_>>(), ["d0-s1", "d0-s2", "d0-s3"]);
    cluster.now += 100;
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "none has left yet");
    let report = cluster.report("d0-s2", None, &[LARGE]);
    cluster.receive_report(report);
    let released = release_members(&cluster.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
    cluster.apply_all(released);
    assert!(cluster.tables.group_of("d0-s2").is_none());
    assert!(
        cluster.tables.group_of("d0-s0").is_some(),
        "the head is not free until it is certain that it has closed"
    );
}

#[test]
fn members_do_not_leave_while_the_head_responds() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let orders = OrderTracker::default().due_orders(&cluster.view(), 1);
    assert!(orders.iter().all(|order| order.command != GroupCommand::Leave), "{orders:?}");
}

#[test]
fn open_groups_are_examined_less_often_than_changing_ones() {
    let mut cluster = TestCluster::new(1, 4);
    let open = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    let draining = cluster.open_group(SMALL, &["d0-s2", "d0-s3"]);
    let phase = GroupPhase::Draining;
    cluster.apply(GatewayCommand::SetPhase { epoch: draining, phase, reason: "test".to_string() });
    for epoch in [open, draining] {
        let head = cluster.tables.groups[&epoch].members[0].clone();
        cluster.report_membership(&head, epoch, MembershipState::Broken, &[SMALL]);
    }
    let advanced = |scan_scope| {
        let commands = advance_groups(&cluster.view(), scan_scope, |_| 0);
        commands.iter().filter(|command| matches!(command, GatewayCommand::SetPhase { .. })).count()
    };
    assert_eq!(advanced(ScanScope::Unsettled), 1, "only the draining group");
    assert_eq!(advanced(ScanScope::All), 2);
    assert!(
        full_scan_interval_ms(760) <= 50,
        "a fleet of some hundred servers is examined with each decision"
    );
}
