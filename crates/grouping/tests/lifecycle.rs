//! When groups open, when they are closed, and when their servers are free again.

mod common;

use common::{LARGE, SMALL, World};
use dockwood_api::gateway::GroupCommand;
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{
    OrderBook, Scrutiny, advance_groups, reap_instances, release_members, scrutiny_pause_ms,
};
use dockwood_state::{GatewayCommand, GroupPhase};

fn advance(world: &mut World, closing_since: u64) {
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| closing_since);
    world.apply_all(commands);
}

#[test]
fn a_group_opens_only_once_every_member_is_ready_under_its_name_and_epoch() {
    let mut world = World::new(1, 2);
    let commands = world.plan().commands;
    world.apply_all(commands);
    let epoch = world.tables.last_epoch;
    assert_eq!(world.phase(epoch), Some(GroupPhase::Forming));
    world.hear_member("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    world.hear_member("d0-s1", epoch, MembershipState::Joining, &[]);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Forming));
    world.hear_member("d0-s1", epoch + 1, MembershipState::Ready, &[SMALL]);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Forming), "ready in another group");
    world.hear_member("d0-s1", epoch, MembershipState::Ready, &[SMALL]);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Opening));
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Opening), "the head has not opened yet");
    world.hear_member("d0-s0", epoch, MembershipState::Open, &[SMALL]);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Open));
}

#[test]
fn a_forming_group_that_loses_a_member_ends_at_once() {
    let mut world = World::new(1, 2);
    let commands = world.plan().commands;
    world.apply_all(commands);
    world.now += 4_500;
    world.hear_again("d0-s0");
    advance(&mut world, 0);
    assert!(world.tables.groups.is_empty());
}

/// Found by a hunt: a cut that resets connections let the entries on control's own machines tell of a head that
/// refuses, while all others went on with it; its members were joined elsewhere while it was open.
#[test]
fn what_only_entries_on_control_machines_see_closes_no_group() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.now += 4_500;
    world.load("on-control", epoch, 3, true, false, false);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Open));
    world.load("elsewhere", epoch, 3, true, false, true);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn progress_at_any_entry_refutes_silence_at_others() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.now += 4_500;
    world.load("a", epoch, 3, true, false, true);
    world.load("b", epoch, 3, false, true, true);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Open));
    world.now += 400;
    world.load("a", epoch, 3, true, false, true);
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Cutting));
}

#[test]
fn servers_cut_off_from_control_alone_go_on_while_entries_see_progress() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    for _ in 0..60 {
        world.now += 500;
        world.load("a", epoch, 2, false, true, true);
        advance(&mut world, 0);
    }
    assert_eq!(world.phase(epoch), Some(GroupPhase::Open));
}

/// Found by a hunt: an order to open that was left unanswered was carried out after the group had been closed, and its
/// head was joined elsewhere while it was open again.
#[test]
fn a_group_ends_only_once_its_head_has_closed_and_left() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    let reason = "test".to_string();
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, reason });
    let closing_since = world.now;
    let mut book = OrderBook::default();
    let sent = |book: &mut OrderBook, world: &World| {
        let orders = book.to_send(&world.view(), 1);
        orders.into_iter().map(|order| (order.instance, order.command)).collect::<Vec<_>>()
    };
    let head = "d0-s0".to_string();
    assert_eq!(sent(&mut book, &world), [(head.clone(), GroupCommand::Close { truncate: false })]);
    world.now += 100;
    advance(&mut world, closing_since);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Draining), "the report is older than the order");
    world.hear_member("d0-s0", epoch, MembershipState::Closing, &[SMALL]);
    advance(&mut world, closing_since);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Draining), "requests are still running");
    world.hear_member("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    advance(&mut world, closing_since);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Draining), "a late order could still open it");
    assert_eq!(sent(&mut book, &world), [(head, GroupCommand::Leave)]);
    let report = world.report("d0-s0", None, &[SMALL]);
    world.hear(report);
    advance(&mut world, closing_since);
    assert!(world.tables.groups.is_empty());
}

#[test]
fn a_head_that_is_never_heard_again_frees_its_members_only_after_the_stall_bound() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.load("a", epoch, 5, true, false, true);
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = world.now;
    let mut ended_after = 0;
    while world.phase(epoch).is_some() && ended_after < 30_000 {
        ended_after += 100;
        world.now += 100;
        advance(&mut world, closing_since);
    }
    assert!((6_000..8_000).contains(&ended_after), "{ended_after}");
}

#[test]
fn a_head_that_nobody_saw_standing_still_is_waited_for_longer_than_a_cut_lasts() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = world.now;
    world.now += 15_000;
    advance(&mut world, closing_since);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Cutting));
    world.now += 2_000;
    advance(&mut world, closing_since);
    assert_eq!(world.phase(epoch), None);
}

#[test]
fn a_leaving_member_lets_running_requests_finish() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.apply(GatewayCommand::SignOff { id: "d0-s1".to_string() });
    advance(&mut world, 0);
    assert_eq!(world.phase(epoch), Some(GroupPhase::Draining));
}

#[test]
fn instances_are_forgotten_only_outside_groups_and_after_long_silence() {
    let mut world = World::new(1, 3);
    world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.now += 19_000;
    assert!(reap_instances(&world.view()).is_empty());
    world.now += 2_000;
    assert_eq!(reap_instances(&world.view()), [GatewayCommand::Remove { id: "d0-s2".to_string() }]);
}

/// Survivors of a group whose head is lost in silence need not wait for the engines' own bound: once they have left, the
/// head can't go on even if it is only cut off.
#[test]
fn members_leave_a_group_whose_head_cannot_be_asked_and_are_free() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.now += 4_500;
    for id in ["d0-s1", "d0-s2", "d0-s3"] {
        world.hear_again(id);
    }
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let closing_since = world.now;
    let orders = OrderBook::default().to_send(&world.view(), 1);
    let leaving = orders.iter().filter(|order| order.command == GroupCommand::Leave);
    assert_eq!(leaving.map(|order| order.instance.as_str()).collect::<Vec<_>>(), ["d0-s1", "d0-s2", "d0-s3"]);
    world.now += 100;
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "none has left yet");
    let report = world.report("d0-s2", None, &[LARGE]);
    world.hear(report);
    let released = release_members(&world.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
    world.apply_all(released);
    assert!(world.tables.group_of("d0-s2").is_none());
    assert!(world.tables.group_of("d0-s0").is_some(), "the head is not free before it has surely closed");
}

#[test]
fn nobody_leaves_while_the_head_answers() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: String::new() });
    let orders = OrderBook::default().to_send(&world.view(), 1);
    assert!(orders.iter().all(|order| order.command != GroupCommand::Leave), "{orders:?}");
}

#[test]
fn groups_that_serve_are_looked_at_less_often_than_those_that_change() {
    let mut world = World::new(1, 4);
    let open = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    let draining = world.open_group(SMALL, &["d0-s2", "d0-s3"]);
    let phase = GroupPhase::Draining;
    world.apply(GatewayCommand::SetPhase { epoch: draining, phase, reason: "test".to_string() });
    for epoch in [open, draining] {
        let head = world.tables.groups[&epoch].members[0].clone();
        world.hear_member(&head, epoch, MembershipState::Broken, &[SMALL]);
    }
    let advanced = |scrutiny| {
        let commands = advance_groups(&world.view(), scrutiny, |_| 0);
        commands.iter().filter(|command| matches!(command, GatewayCommand::SetPhase { .. })).count()
    };
    assert_eq!(advanced(Scrutiny::Unsettled), 1, "the one that drains");
    assert_eq!(advanced(Scrutiny::All), 2);
    assert!(scrutiny_pause_ms(760) <= 50, "a fleet of some hundred servers is looked at with each decision");
}
