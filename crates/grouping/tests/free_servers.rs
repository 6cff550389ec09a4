//! When a server counts as having left its group: reports may come seconds late, and tell of the time when they were
//! sent.

mod common;

use common::{LARGE, SMALL, World};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_grouping::{Observations, OrderBook, Scrutiny, advance_groups, release_members};
use dockwood_state::{GatewayCommand, GroupPhase};

/// Longer than any report takes.
const LONG_MS: u64 = 17_000;

fn cut(world: &mut World, epoch: u64) {
    let reason = "test".to_string();
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason });
}

/// A new leader, which has heard nothing of its own yet.
fn change_leader(world: &mut World) {
    world.observations = Observations::default();
    world.observations.assume_present(world.now, world.tables.instances.keys().cloned());
}

fn orders(book: &mut OrderBook, world: &World) -> Vec<GroupOrder> {
    book.to_send(&world.view(), 1)
}

fn commands(orders: &[GroupOrder]) -> Vec<(&str, &GroupCommand)> {
    orders.iter().map(|order| (order.instance.as_str(), &order.command)).collect()
}

/// Answers an order as the leader takes it.
fn answer(world: &mut World, book: &mut OrderBook, order: &GroupOrder, answer: OrderAnswer) {
    book.answered(world.now, order, answer);
    world.observations.record_answer(world.now, order, answer);
}

#[test]
fn a_report_from_before_the_join_frees_no_member() {
    let mut world = World::new(1, 4);
    let members = ["d0-s0", "d0-s1", "d0-s2", "d0-s3"];
    let late = world.report("d0-s2", None, &[LARGE]);
    let epoch = world.open_group(LARGE, &members);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    world.now += 2_000;
    world.hear(late);
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "it was sent before it joined");
    world.hear_member("d0-s2", epoch, MembershipState::Ready, &[LARGE]);
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "it is in the group");
    let left = world.report("d0-s2", None, &[LARGE]);
    world.hear(left);
    let released = release_members(&world.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
}

#[test]
fn a_report_from_before_the_join_ends_no_group() {
    let mut world = World::new(1, 2);
    let late = world.report("d0-s0", None, &[SMALL]);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    world.now += 2_000;
    world.hear(late);
    assert!(
        advance_groups(&world.view(), Scrutiny::All, |_| closing_since).is_empty(),
        "the head may be open"
    );
    world.hear_member("d0-s0", epoch, MembershipState::Open, &[SMALL]);
    assert!(advance_groups(&world.view(), Scrutiny::All, |_| closing_since).is_empty(), "the head is open");
}

#[test]
fn a_member_that_reports_a_newer_group_has_left() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    world.hear_member("d0-s1", epoch - 1, MembershipState::Ready, &[LARGE]);
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "it was sent before it joined");
    world.hear_member("d0-s1", epoch + 1, MembershipState::Ready, &[LARGE]);
    assert_eq!(release_members(&world.view(), |_| closing_since).len(), 1);
}

/// Reports that overtake one another: what the earlier one shows counts all the same.
#[test]
fn a_member_has_left_if_an_earlier_report_that_comes_later_shows_it_in_the_group() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut world, epoch);
    let member = dockwood_api::gateway::MembershipReport {
        group: format!("g{epoch}"),
        epoch,
        state: MembershipState::Ready,
    };
    let earlier = world.report("d0-s1", Some(member), &[LARGE]);
    let later = world.report("d0-s1", None, &[LARGE]);
    change_leader(&mut world);
    let closing_since = world.now;
    world.hear(later);
    assert!(release_members(&world.view(), |_| closing_since).is_empty());
    world.hear(earlier);
    assert_eq!(release_members(&world.view(), |_| closing_since).len(), 1);
}

#[test]
fn a_member_whose_order_to_leave_was_answered_is_free_whatever_was_heard_before() {
    let mut world = World::new(1, 4);
    let late = world.report("d0-s2", None, &[LARGE]);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    world.now += 4_500;
    world.hear(late);
    let mut book = OrderBook::default();
    let sent = orders(&mut book, &world);
    let leave = sent.iter().find(|order| order.instance == "d0-s2").expect("it is told to leave");
    assert_eq!(leave.command, GroupCommand::Leave);
    answer(&mut world, &mut book, leave, OrderAnswer::Silent);
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "it may not have been taken");
    answer(&mut world, &mut book, leave, OrderAnswer::Begun);
    let released = release_members(&world.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s2".to_string() }]);
}

/// The head left under a former leader, so that no report shows this leader the group: its answers do.
#[test]
fn a_head_that_left_before_the_leader_changed_is_told_to_close_and_to_leave_and_its_group_ends() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    let report = world.report("d0-s0", None, &[SMALL]);
    world.hear(report);
    let mut book = OrderBook::default();
    let sent = orders(&mut book, &world);
    assert_eq!(commands(&sent), [("d0-s0", &GroupCommand::Close { truncate: true })]);
    answer(&mut world, &mut book, &sent[0], OrderAnswer::Unfit);
    assert!(advance_groups(&world.view(), Scrutiny::All, |_| closing_since).is_empty());
    world.now += 300;
    let sent = orders(&mut book, &world);
    assert_eq!(commands(&sent), [("d0-s0", &GroupCommand::Leave)]);
    answer(&mut world, &mut book, &sent[0], OrderAnswer::Unfit);
    world.apply_all(advance_groups(&world.view(), Scrutiny::All, |_| closing_since));
    assert_eq!(world.phase(epoch), None);
}

#[test]
fn nobody_waits_for_longer_than_any_report_takes() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut world, epoch);
    change_leader(&mut world);
    let closing_since = world.now;
    for id in ["d0-s0", "d0-s1"] {
        let report = world.report(id, None, &[LARGE]);
        world.hear(report);
    }
    world.now += LONG_MS;
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "nothing was heard since");
    let report = world.report("d0-s1", None, &[LARGE]);
    world.hear(report);
    let released = release_members(&world.view(), |_| closing_since);
    assert_eq!(released, [GatewayCommand::Release { epoch, member: "d0-s1".to_string() }]);
}

/// A group that entries found standing still long ago, and that moved on, is not taken for broken sooner than others.
#[test]
fn a_group_that_moved_on_since_it_stood_still_is_waited_for_as_any_other() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.load("a", epoch, 2, true, false, true);
    world.now += 1_000;
    world.load("a", epoch, 2, false, true, true);
    cut(&mut world, epoch);
    let closing_since = world.now;
    world.now += 8_000;
    assert!(advance_groups(&world.view(), Scrutiny::All, |_| closing_since).is_empty(), "the head may go on");
    world.now += LONG_MS;
    world.apply_all(advance_groups(&world.view(), Scrutiny::All, |_| closing_since));
    assert_eq!(world.phase(epoch), None);
}

/// Load pattern: servers leave orders unanswered and carry them out seconds later.
#[test]
fn a_member_that_may_still_carry_out_its_order_to_join_is_not_free_yet() {
    let mut world = World::new(1, 4);
    let mut book = OrderBook::default();
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    let join = GroupOrder {
        instance: "d0-s1".to_string(),
        address: world.tables.instances["d0-s1"].address,
        group: format!("g{epoch}"),
        epoch,
        fence: 1,
        command: GroupCommand::Join { model: LARGE.to_string(), members: Vec::new() },
    };
    answer(&mut world, &mut book, &join, OrderAnswer::Silent);
    cut(&mut world, epoch);
    let closing_since = world.now;
    let left = world.report("d0-s1", None, &[LARGE]);
    world.hear(left);
    assert!(release_members(&world.view(), |_| closing_since).is_empty(), "it may join once more");
    world.now += 8_000;
    assert_eq!(release_members(&world.view(), |_| closing_since).len(), 1);
}

#[test]
fn a_head_that_finishes_its_requests_is_told_to_close_again_and_not_to_leave() {
    let mut world = World::new(1, 2);
    let mut book = OrderBook::default();
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, reason: String::new() });
    let first = orders(&mut book, &world);
    assert!(matches!(first[0].command, GroupCommand::Close { truncate: false }), "{first:?}");
    world.hear_member("d0-s0", epoch, MembershipState::Closing, &[SMALL]);
    answer(&mut world, &mut book, &first[0], OrderAnswer::Unfit);
    world.now += 300;
    let again = orders(&mut book, &world);
    assert!(commands(&again).iter().all(|(_, command)| **command != GroupCommand::Leave), "{again:?}");
}

#[test]
fn a_group_that_stood_still_long_ago_is_not_taken_for_broken_now() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.load("entry", epoch, 1, true, false, true);
    world.now += 60_000;
    cut(&mut world, epoch);
    let closing_since = world.now;
    world.now += 10_000;
    assert!(
        advance_groups(&world.view(), Scrutiny::All, |_| closing_since).is_empty(),
        "it may be cut off and serve"
    );
}
