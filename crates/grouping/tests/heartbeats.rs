//! How long servers may be silent follows from how often they report: a large fleet has them report seldom.

mod common;

use common::{SMALL, World};
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{HeartbeatInterval, Scrutiny, advance_groups, reap_instances};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// Interval of a fleet of some thousand servers, in milliseconds.
const SELDOM_MS: u64 = 5_000;

/// Two servers that report every five seconds, last seen just now.
fn seldom_reporting() -> World {
    let mut world = World::new(1, 2);
    world.expect_heartbeats(SELDOM_MS);
    world
}

fn form(world: &mut World) -> u64 {
    world.apply(GatewayCommand::Form {
        service: common::SERVICE.to_string(),
        model: SMALL.to_string(),
        purpose: GroupPurpose::Serve,
        members: vec!["d0-s0".to_string(), "d0-s1".to_string()],
        reason: "test".to_string(),
    });
    world.tables.last_epoch
}

#[test]
fn servers_between_two_heartbeats_are_planned_with() {
    let mut world = seldom_reporting();
    world.now += SELDOM_MS - 1;
    assert_eq!(common::formed(&world.plan().commands).len(), 1, "both servers are there");
}

#[test]
fn a_forming_group_survives_the_pause_between_two_heartbeats() {
    let mut world = seldom_reporting();
    let epoch = form(&mut world);
    world.now += SELDOM_MS - 1;
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| 0);
    assert!(commands.is_empty(), "no member is lost: {commands:?}");
    assert_eq!(world.phase(epoch), Some(GroupPhase::Forming));
}

#[test]
fn a_server_that_misses_two_heartbeats_is_missing() {
    let mut world = seldom_reporting();
    let epoch = form(&mut world);
    world.now += HeartbeatInterval::from_millis(SELDOM_MS).missing_after_ms();
    world.hear_member("d0-s0", epoch, MembershipState::Joining, &[]);
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| 0);
    world.apply_all(commands);
    assert!(world.tables.groups.is_empty(), "the other member is lost");
}

#[test]
fn a_free_server_is_forgotten_only_after_several_missed_heartbeats() {
    let mut world = seldom_reporting();
    world.now += 4 * SELDOM_MS;
    assert!(reap_instances(&world.view()).is_empty());
    world.now += 2 * SELDOM_MS;
    assert_eq!(reap_instances(&world.view()).len(), 2);
}
