//! Which orders are sent, and how many groups are examined for it: the leader of a large fleet runs this in
//! each of its turns.

mod common;

use common::{LARGE, SERVICE, SMALL, TestCluster};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_grouping::OrderTracker;
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// The fleet size at which a failure was found: 40 domains of 19 servers.
const DOMAINS: usize = 40;
const SERVERS: usize = 19;

fn form(cluster: &mut TestCluster, model: &str, members: Vec<String>) -> u64 {
    let (service, reason) = (SERVICE.to_string(), String::new());
    let purpose = GroupPurpose::Serve;
    cluster.apply(GatewayCommand::Form { service, model: model.to_string(), purpose, members, reason });
    cluster.tables.last_epoch
}

fn members(domain: usize, servers: std::ops::Range<usize>) -> Vec<String> {
    servers.map(|server| format!("d{domain}-s{server}")).collect()
}

/// A fleet with four open groups of the larger model in each domain.
fn large_fleet() -> TestCluster {
    let mut cluster = TestCluster::new(DOMAINS, SERVERS);
    for domain in 0..DOMAINS {
        for first in [0, 4, 8, 12] {
            let ids = members(domain, first..first + 4);
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            cluster.open_group(LARGE, &ids);
        }
    }
    cluster
}

fn joins(orders: &[GroupOrder]) -> usize {
    orders.iter().filter(|order| matches!(order.command, GroupCommand::Join { .. })).count()
}

/// Found on unidos-despacho-large: each turn scanned all groups and their members regardless of changes,
/// which delayed the leader's heartbeats.
#[test]
fn a_turn_examines_no_open_groups() {
    let mut cluster = large_fleet();
    let mut tracker = OrderTracker::default();
    tracker.due_orders(&cluster.view(), 1);
    let before = tracker.groups_examined();
    for _ in 0..1_000 {
        cluster.now += 1;
        assert!(tracker.due_orders(&cluster.view(), 1).is_empty());
    }
    assert_eq!(tracker.groups_examined(), before, "nothing has changed");
}

#[test]
fn a_turn_examines_only_changed_groups() {
    let mut cluster = large_fleet();
    let mut tracker = OrderTracker::default();
    tracker.due_orders(&cluster.view(), 1);
    let before = tracker.groups_examined();
    let epoch = form(&mut cluster, SMALL, members(7, 16..18));
    assert_eq!(joins(&tracker.due_orders(&cluster.view(), 1)), 2);
    assert_eq!(tracker.groups_examined() - before, 1);
    cluster.now += 10;
    cluster.report_membership("d7-s16", epoch, MembershipState::Joining, &[]);
    tracker.touch(epoch);
    tracker.due_orders(&cluster.view(), 1);
    assert_eq!(tracker.groups_examined() - before, 2, "once more for the member's report");
    tracker.due_orders(&cluster.view(), 1);
    assert_eq!(tracker.groups_examined() - before, 2);
}

/// Found on unidos-despacho-large: sending 760 orders to join in one turn blocked the leader for longer than
/// its followers' timeout.
#[test]
fn orders_to_join_are_sent_in_bounded_batches() {
    let mut cluster = TestCluster::new(DOMAINS, SERVERS);
    for domain in 0..DOMAINS {
        for first in [0, 4, 8, 12] {
            form(&mut cluster, LARGE, members(domain, first..first + 4));
        }
    }
    let mut tracker = OrderTracker::default();
    let mut sent_joins = 0;
    for _ in 0..100 {
        let orders = tracker.due_orders(&cluster.view(), 1);
        assert!(joins(&orders) <= 64, "{} in one batch", joins(&orders));
        sent_joins += joins(&orders);
        for order in &orders {
            tracker.answered(cluster.now, order, OrderAnswer::Begun);
        }
        cluster.now += 20;
    }
    assert_eq!(sent_joins, DOMAINS * 16, "each member gets one order within two seconds");
}

#[test]
fn an_unanswered_order_does_not_block_other_groups_once_its_group_has_ended() {
    let mut cluster = TestCluster::new(DOMAINS, SERVERS);
    let mut tracker = OrderTracker::default();
    for domain in 0..16 {
        form(&mut cluster, LARGE, members(domain, 0..4));
    }
    assert_eq!(joins(&tracker.due_orders(&cluster.view(), 1)), 64);
    let waiting = form(&mut cluster, LARGE, members(20, 0..4));
    cluster.now += 50;
    assert!(tracker.due_orders(&cluster.view(), 1).is_empty(), "the maximum number of joins is pending");
    cluster.apply(GatewayCommand::End { epoch: 1, reason: String::new() });
    cluster.now += 50;
    let orders = tracker.due_orders(&cluster.view(), 1);
    assert_eq!(orders.iter().map(|order| order.epoch).collect::<Vec<u64>>(), [waiting; 4]);
}

#[test]
fn orders_to_close_are_sent_while_many_joins_are_pending() {
    let mut cluster = TestCluster::new(DOMAINS, SERVERS);
    let open = cluster.open_group(LARGE, &["d39-s0", "d39-s1", "d39-s2", "d39-s3"]);
    let mut tracker = OrderTracker::default();
    for domain in 0..16 {
        form(&mut cluster, LARGE, members(domain, 0..4));
    }
    assert_eq!(joins(&tracker.due_orders(&cluster.view(), 1)), 64);
    let phase = GroupPhase::Cutting;
    cluster.apply(GatewayCommand::SetPhase { epoch: open, phase, reason: String::new() });
    let orders = tracker.due_orders(&cluster.view(), 1);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].command, GroupCommand::Close { truncate: true });
}

#[test]
fn plans_of_a_large_fleet_are_bounded_and_contain_serving_groups_first() {
    let mut cluster = TestCluster::new(DOMAINS, SERVERS);
    let mut formed = Vec::new();
    for _ in 0..10 {
        let commands = cluster.plan().commands;
        assert!(commands.len() <= 40, "{} in one batch", commands.len());
        formed.push(common::formed_groups(&commands).len());
        cluster.apply_all(commands);
    }
    assert!(formed[0] == 40, "groups that serve come before spare servers: {formed:?}");
    assert!(formed.last() == Some(&0), "all groups are formed: {formed:?}");
}
