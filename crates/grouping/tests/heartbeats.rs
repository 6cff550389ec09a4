//! The permitted silence of servers derives from their report interval, which is long in large fleets.

mod common;

use common::{SMALL, TestCluster};
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{HeartbeatInterval, ScanScope, advance_groups, reap_instances};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// Interval of a fleet of a few thousand servers, in milliseconds.
const LONG_INTERVAL_MS: u64 = 5_000;

/// Two servers that report every five seconds and have just reported.
fn with_long_interval() -> TestCluster {
    let mut cluster = TestCluster::new(1, 2);
    cluster.expect_heartbeats(LONG_INTERVAL_MS);
    cluster
}

fn form(cluster: &mut TestCluster) -> u64 {
    cluster.apply(GatewayCommand::Form {
        service: common::SERVICE.to_string(),
        model: SMALL.to_string(),
        purpose: GroupPurpose::Serve,
        members: vec!["d0-s0".to_string(), "d0-s1".to_string()],
        reason: "test".to_string(),
    });
    cluster.tables.last_epoch
}

#[test]
fn servers_between_two_heartbeats_are_included_in_plans() {
    let mut cluster = with_long_interval();
    cluster.now += LONG_INTERVAL_MS - 1;
    assert_eq!(common::formed_groups(&cluster.plan().commands).len(), 1, "both servers are present");
}

#[test]
fn a_forming_group_survives_the_interval_between_two_heartbeats() {
    let mut cluster = with_long_interval();
    let epoch = form(&mut cluster);
    cluster.now += LONG_INTERVAL_MS - 1;
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| 0);
    assert!(commands.is_empty(), "no member is lost: {commands:?}");
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Forming));
}

#[test]
fn a_server_that_misses_two_heartbeats_counts_as_missing() {
    let mut cluster = with_long_interval();
    let epoch = form(&mut cluster);
    cluster.now += HeartbeatInterval::from_millis(LONG_INTERVAL_MS).missing_after_ms();
    cluster.report_membership("d0-s0", epoch, MembershipState::Joining, &[]);
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| 0);
    cluster.apply_all(commands);
    assert!(cluster.tables.groups.is_empty(), "the other member is lost");
}

#[test]
fn a_free_server_is_removed_only_after_several_missed_heartbeats() {
    let mut cluster = with_long_interval();
    cluster.now += 4 * LONG_INTERVAL_MS;
    assert!(reap_instances(&cluster.view()).is_empty());
    cluster.now += 2 * LONG_INTERVAL_MS;
    assert_eq!(reap_instances(&cluster.view()).len(), 2);
}
