//! How long a group continues to accept requests after one of its members announces that it is leaving.

mod common;

use common::{SMALL, TestCluster};
use dockwood_api::gateway::{GroupCommand, InstanceState};
use dockwood_grouping::{
    Observations, OrderTracker, ProbeResult, ScanScope, advance_groups, departing_groups,
};
use dockwood_state::{GatewayCommand, GroupPhase, InstanceRow};

const HEAD: &str = "d0-s0";
const MEMBER: &str = "d0-s1";
/// Start time of the clusters in these tests.
const START_MS: u64 = 15_000;
/// Well before and after the time until which a group with a leaving member accepts requests.
const EARLY_MS: u64 = 1_900;
const LATE_MS: u64 = 2_500;

fn cluster_with_open_group() -> (TestCluster, u64) {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &[HEAD, MEMBER]);
    (cluster, epoch)
}

fn announce_leaving(cluster: &mut TestCluster, id: &str) {
    let membership = cluster.observations.instance(id).and_then(|seen| seen.membership.clone());
    let mut report = cluster.report(id, membership, &[SMALL]);
    report.state = InstanceState::Draining;
    cluster.apply(GatewayCommand::Register(InstanceRow::from(&report)));
    cluster.receive_report(report);
    cluster.observations.note_departures(cluster.now, &cluster.tables);
}

fn sign_off(cluster: &mut TestCluster, id: &str) {
    cluster.apply(GatewayCommand::SignOff { id: id.to_string() });
    cluster.observations.note_departures(cluster.now, &cluster.tables);
}

fn phase_after(cluster: &mut TestCluster, epoch: u64, span_ms: u64) -> Option<GroupPhase> {
    cluster.now += span_ms;
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| START_MS);
    cluster.apply_all(commands);
    cluster.phase(epoch)
}

#[test]
fn a_group_with_a_leaving_member_accepts_requests_until_shortly_before_it_stops_listening() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, EARLY_MS), Some(GroupPhase::Open));
    assert_eq!(departing_groups(&cluster.tables), 1);
    assert_eq!(phase_after(&mut cluster, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
    assert_eq!(cluster.tables.groups[&epoch].reason, "its member d0-s1 is leaving");
    assert_eq!(departing_groups(&cluster.tables), 0);
}

#[test]
fn a_repeated_announcement_does_not_extend_the_time() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, EARLY_MS), Some(GroupPhase::Open));
    announce_leaving(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
}

#[test]
fn a_group_with_a_leaving_head_drains_at_once() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, HEAD);
    assert_eq!(phase_after(&mut cluster, epoch, 0), Some(GroupPhase::Draining));
    assert_eq!(cluster.tables.groups[&epoch].reason, "its head d0-s0 is leaving");
}

#[test]
fn a_head_that_leaves_after_a_member_drains_the_group_at_once() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, 500), Some(GroupPhase::Open));
    announce_leaving(&mut cluster, HEAD);
    assert_eq!(phase_after(&mut cluster, epoch, 0), Some(GroupPhase::Draining));
}

#[test]
fn a_member_that_signs_off_without_announcement_serves_equally_long() {
    let (mut cluster, epoch) = cluster_with_open_group();
    sign_off(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, EARLY_MS), Some(GroupPhase::Open));
    assert_eq!(phase_after(&mut cluster, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
}

#[test]
fn a_member_that_signs_off_after_its_announcement_drains_the_group_at_once() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, 500), Some(GroupPhase::Open));
    sign_off(&mut cluster, MEMBER);
    assert_eq!(phase_after(&mut cluster, epoch, 0), Some(GroupPhase::Draining));
}

#[test]
fn a_new_leader_that_does_not_know_the_time_of_an_announcement_drains_at_once() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    cluster.observations = Observations::default();
    cluster.observations.assume_present(cluster.now, cluster.tables.instances.keys().cloned());
    assert_eq!(phase_after(&mut cluster, epoch, 500), Some(GroupPhase::Draining));
}

#[test]
fn a_leaving_member_that_is_lost_cuts_off_its_group() {
    let (mut cluster, epoch) = cluster_with_open_group();
    announce_leaving(&mut cluster, MEMBER);
    cluster.observations.record_probe(cluster.now, MEMBER, ProbeResult::Silent);
    cluster.report_load("entry", epoch, 1, true, false, true);
    assert_eq!(phase_after(&mut cluster, epoch, 500), Some(GroupPhase::Cutting));
}

/// If a head stops without having reported that it has closed, the other members are ordered to leave and
/// need not wait for it.
#[test]
fn a_silent_head_that_signed_off_delays_its_group_only_while_requests_run() {
    let (mut cluster, epoch) = cluster_with_open_group();
    sign_off(&mut cluster, HEAD);
    assert_eq!(phase_after(&mut cluster, epoch, 0), Some(GroupPhase::Draining));
    cluster.now += 3_900;
    cluster.report_again(MEMBER);
    cluster.report_load("entry", epoch, 1, false, false, true);
    assert_eq!(phase_after(&mut cluster, epoch, 200), Some(GroupPhase::Draining), "a request is running");
    cluster.report_load("entry", epoch, 0, false, false, true);
    assert_eq!(phase_after(&mut cluster, epoch, 0), Some(GroupPhase::Cutting));
    let orders = OrderTracker::default().due_orders(&cluster.view(), 1);
    let sent: Vec<_> = orders.iter().map(|order| (order.instance.as_str(), &order.command)).collect();
    assert!(sent.contains(&(MEMBER, &GroupCommand::Leave)), "{sent:?}");
}
