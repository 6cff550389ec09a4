//! Which orders are sent, and how much is looked at for it: the leader of a large fleet runs this in each of its turns.

mod common;

use common::{LARGE, SERVICE, SMALL, World};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_grouping::OrderBook;
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// The size that was found to collapse: 40 domains of 19 servers.
const DOMAINS: usize = 40;
const SERVERS: usize = 19;

fn form(world: &mut World, model: &str, members: Vec<String>) -> u64 {
    let (service, reason) = (SERVICE.to_string(), String::new());
    let purpose = GroupPurpose::Serve;
    world.apply(GatewayCommand::Form { service, model: model.to_string(), purpose, members, reason });
    world.tables.last_epoch
}

fn members(domain: usize, servers: std::ops::Range<usize>) -> Vec<String> {
    servers.map(|server| format!("d{domain}-s{server}")).collect()
}

/// Each domain serves by four groups of the larger model.
fn large_fleet() -> World {
    let mut world = World::new(DOMAINS, SERVERS);
    for domain in 0..DOMAINS {
        for first in [0, 4, 8, 12] {
            let ids = members(domain, first..first + 4);
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            world.open_group(LARGE, &ids);
        }
    }
    world
}

fn joins(orders: &[GroupOrder]) -> usize {
    orders.iter().filter(|order| matches!(order.command, GroupCommand::Join { .. })).count()
}

/// Found on unidos-despacho-large: each turn walked all groups and their members, whatever had come in, and the leader's
/// heartbeats were late for it.
#[test]
fn a_turn_looks_at_no_group_that_is_open() {
    let mut world = large_fleet();
    let mut book = OrderBook::default();
    book.to_send(&world.view(), 1);
    let before = book.examined();
    for _ in 0..1_000 {
        world.now += 1;
        assert!(book.to_send(&world.view(), 1).is_empty());
    }
    assert_eq!(book.examined(), before, "nothing has changed");
}

#[test]
fn a_turn_looks_at_the_groups_that_changed_alone() {
    let mut world = large_fleet();
    let mut book = OrderBook::default();
    book.to_send(&world.view(), 1);
    let before = book.examined();
    let epoch = form(&mut world, SMALL, members(7, 16..18));
    assert_eq!(joins(&book.to_send(&world.view(), 1)), 2);
    assert_eq!(book.examined() - before, 1);
    world.now += 10;
    world.hear_member("d7-s16", epoch, MembershipState::Joining, &[]);
    book.touch(epoch);
    book.to_send(&world.view(), 1);
    assert_eq!(book.examined() - before, 2, "once more for the member's report");
    book.to_send(&world.view(), 1);
    assert_eq!(book.examined() - before, 2);
}

/// Found on the same site: 760 orders to join, sent in one turn, kept the leader busy for longer than its followers wait.
#[test]
fn a_fleet_that_forms_is_told_in_portions() {
    let mut world = World::new(DOMAINS, SERVERS);
    for domain in 0..DOMAINS {
        for first in [0, 4, 8, 12] {
            form(&mut world, LARGE, members(domain, first..first + 4));
        }
    }
    let mut book = OrderBook::default();
    let mut told = 0;
    for _ in 0..100 {
        let orders = book.to_send(&world.view(), 1);
        assert!(joins(&orders) <= 64, "{} at a time", joins(&orders));
        told += joins(&orders);
        for order in &orders {
            book.answered(world.now, order, OrderAnswer::Begun);
        }
        world.now += 20;
    }
    assert_eq!(told, DOMAINS * 16, "each member is told once within two seconds");
}

#[test]
fn an_answer_that_never_comes_holds_up_no_other_group_once_its_own_has_ended() {
    let mut world = World::new(DOMAINS, SERVERS);
    let mut book = OrderBook::default();
    for domain in 0..16 {
        form(&mut world, LARGE, members(domain, 0..4));
    }
    assert_eq!(joins(&book.to_send(&world.view(), 1)), 64);
    let waiting = form(&mut world, LARGE, members(20, 0..4));
    world.now += 50;
    assert!(book.to_send(&world.view(), 1).is_empty(), "as many as may be under way are");
    world.apply(GatewayCommand::End { epoch: 1, reason: String::new() });
    world.now += 50;
    let orders = book.to_send(&world.view(), 1);
    assert_eq!(orders.iter().map(|order| order.epoch).collect::<Vec<u64>>(), [waiting; 4]);
}

#[test]
fn a_group_that_closes_is_told_though_many_joins_are_under_way() {
    let mut world = World::new(DOMAINS, SERVERS);
    let open = world.open_group(LARGE, &["d39-s0", "d39-s1", "d39-s2", "d39-s3"]);
    let mut book = OrderBook::default();
    for domain in 0..16 {
        form(&mut world, LARGE, members(domain, 0..4));
    }
    assert_eq!(joins(&book.to_send(&world.view(), 1)), 64);
    let phase = GroupPhase::Cutting;
    world.apply(GatewayCommand::SetPhase { epoch: open, phase, reason: String::new() });
    let orders = book.to_send(&world.view(), 1);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].command, GroupCommand::Close { truncate: true });
}

#[test]
fn a_plan_of_a_large_fleet_comes_in_portions_with_the_groups_that_serve_first() {
    let mut world = World::new(DOMAINS, SERVERS);
    let mut formed = Vec::new();
    for _ in 0..10 {
        let commands = world.plan().commands;
        assert!(commands.len() <= 40, "{} at a time", commands.len());
        formed.push(common::formed(&commands).len());
        world.apply_all(commands);
    }
    assert!(formed[0] == 40, "groups that serve come before spare servers: {formed:?}");
    assert!(formed.last() == Some(&0), "all are formed: {formed:?}");
}
