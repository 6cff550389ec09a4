//! When a server counts as having left its group. Reports may arrive seconds late, and describe the time at
//! which they were sent.

mod common;

use common::orders::{commands, cut, join_order, process_answer, send_due};
use common::{LARGE, SMALL, TestCluster};
use dockwood_api::gateway::{GroupCommand, MembershipState, OrderAnswer};
use dockwood_grouping::{Observations, OrderTracker, ScanScope, advance_groups, release_members};
use dockwood_state::{GatewayCommand, GroupPhase};

/// Longer than the maximum delay of a report.
const BEYOND_REPORT_DELAY_MS: u64 = 17_000;
/// Longest time after its time-out for which an unanswered order may be executed, from the engines' documentation.
const MAX_EXECUTION_DELAY_MS: u64 = 12_000;

/// Replaces the leader by a new one without reports of its own.
fn change_leader(cluster: &mut TestCluster) {
    cluster.observations = Observations::default();
    cluster.observations.assume_present(cluster.now, cluster.tables.instances.keys().cloned());
}

#[test]
fn a_report_sent_before_the_join_frees_no_member() {
    let mut cluster = TestCluster::new(1, 4);
    let members = ["d0-s0", "d0-s1", "d0-s2", "d0-s3"];
    let late = cluster.report("d0-s2", None, &[LARGE]);
    let epoch = cluster.open_group(LARGE, &members);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    cluster.now += 2_000;
    cluster.receive_report(late);
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "it was sent before it joined");
    cluster.report_membership("d0-s2", epoch, MembershipState::Ready, &[LARGE]);
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "it is in the group");
    let left = cluster.report("d0-s2", None, &[LARGE]);
    cluster.receive_report(left);
    let released = release_members(&cluster.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
}

#[test]
fn a_report_sent_before_the_join_ends_no_group() {
    let mut cluster = TestCluster::new(1, 2);
    let late = cluster.report("d0-s0", None, &[SMALL]);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    cluster.now += 2_000;
    cluster.receive_report(late);
    assert!(
        advance_groups(&cluster.view(), ScanScope::All, |_| closing_since).is_empty(),
        "the head may be open"
    );
    cluster.report_membership("d0-s0", epoch, MembershipState::Open, &[SMALL]);
    assert!(
        advance_groups(&cluster.view(), ScanScope::All, |_| closing_since).is_empty(),
        "the head is open"
    );
}

#[test]
fn a_member_that_reports_a_newer_group_has_left() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    cluster.report_membership("d0-s1", epoch - 1, MembershipState::Ready, &[LARGE]);
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "it was sent before it joined");
    cluster.report_membership("d0-s1", epoch + 1, MembershipState::Ready, &[LARGE]);
    assert_eq!(release_members(&cluster.view(), |_| closing_since).len(), 1);
}

/// Reports that arrive out of order: what the earlier one shows counts nevertheless.
#[test]
fn a_member_has_left_if_a_delayed_earlier_report_shows_it_in_the_group() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut cluster, epoch);
    let member = dockwood_api::gateway::MembershipReport {
        group: format!("g{epoch}"),
        epoch,
        state: MembershipState::Ready,
    };
    let earlier = cluster.report("d0-s1", Some(member), &[LARGE]);
    let later = cluster.report("d0-s1", None, &[LARGE]);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    cluster.receive_report(later);
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty());
    cluster.receive_report(earlier);
    assert_eq!(release_members(&cluster.view(), |_| closing_since).len(), 1);
}

#[test]
fn a_member_that_answered_an_order_to_leave_is_free_regardless_of_earlier_reports() {
    let mut cluster = TestCluster::new(1, 4);
    let late = cluster.report("d0-s2", None, &[LARGE]);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    cluster.now += 4_500;
    cluster.receive_report(late);
    let mut tracker = OrderTracker::default();
    let sent = send_due(&mut cluster, &mut tracker);
    let leave = sent.iter().find(|order| order.instance == "d0-s2").expect("an order to leave");
    assert_eq!(leave.command, GroupCommand::Leave);
    process_answer(&mut cluster, &mut tracker, leave, OrderAnswer::Silent);
    assert!(
        release_members(&cluster.view(), |_| closing_since).is_empty(),
        "the order may not have been executed"
    );
    process_answer(&mut cluster, &mut tracker, leave, OrderAnswer::Begun);
    let released = release_members(&cluster.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
}

/// The head left under a former leader, so no report shows the group to the new leader, but the head's
/// answers do.
#[test]
fn the_group_of_a_head_that_left_before_the_leader_changed_ends_by_its_answers() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    let report = cluster.report("d0-s0", None, &[SMALL]);
    cluster.receive_report(report);
    let mut tracker = OrderTracker::default();
    let sent = send_due(&mut cluster, &mut tracker);
    assert_eq!(commands(&sent), [("d0-s0", &GroupCommand::Close { truncate: true })]);
    process_answer(&mut cluster, &mut tracker, &sent[0], OrderAnswer::Unfit);
    assert!(advance_groups(&cluster.view(), ScanScope::All, |_| closing_since).is_empty());
    cluster.now += 300;
    let sent = send_due(&mut cluster, &mut tracker);
    assert_eq!(commands(&sent), [("d0-s0", &GroupCommand::Leave)]);
    process_answer(&mut cluster, &mut tracker, &sent[0], OrderAnswer::Unfit);
    cluster.apply_all(advance_groups(&cluster.view(), ScanScope::All, |_| closing_since));
    assert_eq!(cluster.phase(epoch), None);
}

#[test]
fn members_are_free_once_a_report_must_have_been_sent_after_closing() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut cluster, epoch);
    change_leader(&mut cluster);
    let closing_since = cluster.now;
    for id in ["d0-s0", "d0-s1"] {
        let report = cluster.report(id, None, &[LARGE]);
        cluster.receive_report(report);
    }
    cluster.now += BEYOND_REPORT_DELAY_MS;
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "no report has arrived since");
    let report = cluster.report("d0-s1", None, &[LARGE]);
    cluster.receive_report(report);
    let released = release_members(&cluster.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s1".to_string() }]);
}

/// A group that was reported as stalled long ago and has recovered doesn't count as broken sooner than
/// others.
#[test]
fn a_group_that_recovered_from_a_stall_is_given_up_no_sooner_than_others() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.report_load("a", epoch, 2, true, false, true);
    cluster.now += 1_000;
    cluster.report_load("a", epoch, 2, false, true, true);
    cut(&mut cluster, epoch);
    let closing_since = cluster.now;
    cluster.now += 8_000;
    assert!(
        advance_groups(&cluster.view(), ScanScope::All, |_| closing_since).is_empty(),
        "the head may still be serving"
    );
    cluster.now += BEYOND_REPORT_DELAY_MS;
    cluster.apply_all(advance_groups(&cluster.view(), ScanScope::All, |_| closing_since));
    assert_eq!(cluster.phase(epoch), None);
}

/// Load pattern: servers don't answer orders and execute them seconds later.
#[test]
fn a_member_that_may_still_execute_its_order_to_join_is_not_free() {
    let mut cluster = TestCluster::new(1, 4);
    let mut tracker = OrderTracker::default();
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let join = join_order(&cluster, "d0-s1", epoch, LARGE);
    process_answer(&mut cluster, &mut tracker, &join, OrderAnswer::Silent);
    cut(&mut cluster, epoch);
    let closing_since = cluster.now;
    let left = cluster.report("d0-s1", None, &[LARGE]);
    cluster.receive_report(left);
    assert!(
        release_members(&cluster.view(), |_| closing_since).is_empty(),
        "it may still execute the order to join"
    );
    cluster.now += MAX_EXECUTION_DELAY_MS - 1;
    cluster.report_again("d0-s1");
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "the order is not void yet");
    cluster.now += 1;
    assert!(release_members(&cluster.view(), |_| closing_since).is_empty(), "its last report may be older");
    let sent = send_due(&mut cluster, &mut tracker);
    let leave = sent.iter().find(|order| order.instance == "d0-s1").expect("it is ordered to leave again");
    process_answer(&mut cluster, &mut tracker, leave, OrderAnswer::Unfit);
    assert_eq!(release_members(&cluster.view(), |_| closing_since).len(), 1);
}

#[test]
fn a_head_that_is_finishing_requests_is_ordered_to_close_again_and_not_to_leave() {
    let mut cluster = TestCluster::new(1, 2);
    let mut tracker = OrderTracker::default();
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, reason: String::new() });
    let first = send_due(&mut cluster, &mut tracker);
    assert!(matches!(first[0].command, GroupCommand::Close { truncate: false }), "{first:?}");
    cluster.report_membership("d0-s0", epoch, MembershipState::Closing, &[SMALL]);
    process_answer(&mut cluster, &mut tracker, &first[0], OrderAnswer::Unfit);
    cluster.now += 300;
    let again = send_due(&mut cluster, &mut tracker);
    assert!(commands(&again).iter().all(|(_, command)| **command != GroupCommand::Leave), "{again:?}");
}

#[test]
fn a_group_that_was_stalled_long_ago_does_not_count_as_broken() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.report_load("entry", epoch, 1, true, false, true);
    cluster.now += 60_000;
    cut(&mut cluster, epoch);
    let closing_since = cluster.now;
    cluster.now += 10_000;
    assert!(
        advance_groups(&cluster.view(), ScanScope::All, |_| closing_since).is_empty(),
        "the head may be partitioned and still be serving"
    );
}
