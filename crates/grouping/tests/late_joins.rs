//! Orders to join that are left unanswered and executed late, after their server has left the group again.

mod common;

use common::orders::{commands, cut, join_order, process_answer, send_due};
use common::{SMALL, TestCluster};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_grouping::{OrderTracker, ScanScope, advance_groups, release_members};
use dockwood_state::GatewayCommand;
use yare::parameterized;

const HEAD: &str = "d0-s0";
const MEMBER: &str = "d0-s1";
/// Longest time after its time-out for which an unanswered order may be executed, from the engines' documentation.
const MAX_EXECUTION_DELAY_MS: u64 = 12_000;

/// A group of two servers.
struct Fixture {
    cluster: TestCluster,
    tracker: OrderTracker,
    epoch: u64,
    closing_since: u64,
}

impl Fixture {
    fn with_open_group() -> Fixture {
        let mut cluster = TestCluster::new(1, 4);
        let epoch = cluster.open_group(SMALL, &[HEAD, MEMBER]);
        Fixture { closing_since: cluster.now, cluster, tracker: OrderTracker::default(), epoch }
    }

    fn cut(&mut self) {
        cut(&mut self.cluster, self.epoch);
        self.closing_since = self.cluster.now;
    }

    fn send(&mut self) -> Vec<GroupOrder> {
        self.tracker.touch(self.epoch);
        send_due(&mut self.cluster, &mut self.tracker)
    }

    fn answer(&mut self, order: &GroupOrder, answer: OrderAnswer) {
        process_answer(&mut self.cluster, &mut self.tracker, order, answer);
    }

    /// Sends the only order that is due, and answers it.
    fn answer_next(&mut self, command: &GroupCommand, answer: OrderAnswer) {
        let sent = self.send();
        assert_eq!(commands(&sent).iter().map(|(_, command)| *command).collect::<Vec<_>>(), [command]);
        self.answer(&sent[0], answer);
    }

    /// Sends the orders that are due, and answers the one that tells a server to leave.
    fn answer_leave_of(&mut self, id: &str, answer: OrderAnswer) {
        let sent = self.send();
        let leave = sent.iter().find(|order| order.instance == id).expect("the server is sent an order");
        assert_eq!(leave.command, GroupCommand::Leave);
        self.answer(leave, answer);
    }

    fn leave_join_unanswered(&mut self, id: &str, epoch: u64) {
        let join = join_order(&self.cluster, id, epoch, SMALL);
        self.cluster.observations.record_sent(self.cluster.now, &join);
        self.answer(&join, OrderAnswer::Silent);
    }

    fn report(&mut self, id: &str, state: Option<MembershipState>) {
        match state {
            Some(state) => self.cluster.report_membership(id, self.epoch, state, &[SMALL]),
            None => {
                let report = self.cluster.report(id, None, &[SMALL]);
                self.cluster.receive_report(report);
            }
        }
    }

    /// The head closes and leaves, and reports that.
    fn close_and_leave(&mut self) {
        self.cut();
        self.answer_next(&GroupCommand::Close { truncate: true }, OrderAnswer::Begun);
        self.report(HEAD, Some(MembershipState::Ready));
        self.answer_next(&GroupCommand::Leave, OrderAnswer::Holds);
        self.report(HEAD, None);
    }

    fn ends(&self) -> bool {
        let commands = advance_groups(&self.cluster.view(), ScanScope::All, |_| self.closing_since);
        commands.iter().any(|command| matches!(command, GatewayCommand::End { .. }))
    }

    fn releases(&self) -> bool {
        !release_members(&self.cluster.view(), |_| self.closing_since).is_empty()
    }
}

/// Regression: a group ended 8 s after its head had left an order to join unanswered; the head executed it later,
/// opened again, and was joined to another group.
#[parameterized(
    shortly_before_it_is_void = { 11_900, false },
    once_it_is_void = { 12_000, true },
)]
fn a_group_ends_only_after_the_orders_to_join_of_its_head_are_void(after_ms: u64, ends: bool) {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(HEAD, fixture.epoch);
    let timed_out_at = fixture.cluster.now;
    fixture.close_and_leave();
    assert!(!fixture.ends(), "the order may still be executed");
    assert!(fixture.send().is_empty(), "nothing more to order until it is void or executed");
    fixture.cluster.now = timed_out_at + after_ms;
    fixture.cluster.report_all();
    assert!(!fixture.ends(), "the report may be older than the execution of the order");
    for leave in fixture.send() {
        assert_eq!(leave.command, GroupCommand::Leave);
        fixture.answer(&leave, OrderAnswer::Unfit);
    }
    assert_eq!(fixture.ends(), ends);
}

#[test]
fn a_head_that_executes_its_order_to_join_late_is_closed_and_leaves_again() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(HEAD, fixture.epoch);
    fixture.close_and_leave();
    fixture.cluster.now += 9_000;
    fixture.report(HEAD, Some(MembershipState::Open));
    fixture.answer_next(&GroupCommand::Close { truncate: true }, OrderAnswer::Begun);
    fixture.report(HEAD, Some(MembershipState::Ready));
    fixture.answer_next(&GroupCommand::Leave, OrderAnswer::Holds);
    fixture.report(HEAD, None);
    assert!(!fixture.ends(), "the order is not known to be the one that was executed");
    fixture.cluster.now += MAX_EXECUTION_DELAY_MS - 9_000;
    fixture.report(HEAD, None);
    fixture.answer_next(&GroupCommand::Leave, OrderAnswer::Unfit);
    assert!(fixture.ends());
}

/// An order to leave that was answered just before the order to join became void is not waited for.
#[test]
fn a_server_is_ordered_to_leave_as_soon_as_its_orders_to_join_are_void() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(HEAD, fixture.epoch);
    fixture.cluster.now += MAX_EXECUTION_DELAY_MS - 100;
    fixture.report(HEAD, Some(MembershipState::Open));
    fixture.close_and_leave();
    assert!(!fixture.ends());
    fixture.cluster.now += 100;
    fixture.answer_next(&GroupCommand::Leave, OrderAnswer::Unfit);
    assert!(fixture.ends());
}

#[test]
fn a_group_ends_at_once_if_its_head_answered_all_orders_to_join() {
    let mut fixture = Fixture::with_open_group();
    let join = join_order(&fixture.cluster, HEAD, fixture.epoch, SMALL);
    fixture.cluster.observations.record_sent(fixture.cluster.now, &join);
    fixture.answer(&join, OrderAnswer::Holds);
    fixture.close_and_leave();
    assert!(fixture.ends());
}

/// The group opened by the reports of an earlier order, and a repeated one is still in flight.
#[parameterized(
    refused = { OrderAnswer::Unfit, true },
    unanswered = { OrderAnswer::Silent, false },
    accepted_perhaps_after_it_left = { OrderAnswer::Begun, false },
)]
fn a_group_does_not_end_while_an_order_to_join_is_in_flight(answer: OrderAnswer, ends: bool) {
    let mut fixture = Fixture::with_open_group();
    let join = join_order(&fixture.cluster, HEAD, fixture.epoch, SMALL);
    fixture.cluster.observations.record_sent(fixture.cluster.now, &join);
    fixture.close_and_leave();
    assert!(!fixture.ends());
    fixture.cluster.now += 400;
    fixture.answer(&join, answer);
    assert_eq!(fixture.ends(), ends);
}

/// Regression: members were released from a group whose head was cut off while open, executed their orders to join
/// late, and were joined to other groups.
#[test]
fn a_member_is_not_released_for_its_reports_alone_once_its_order_to_join_is_void() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(MEMBER, fixture.epoch);
    fixture.cluster.now += 8_900;
    fixture.report(MEMBER, Some(MembershipState::Ready));
    fixture.cut();
    fixture.answer_leave_of(MEMBER, OrderAnswer::Holds);
    fixture.report(MEMBER, None);
    assert!(!fixture.releases());
    fixture.cluster.now += 3_100;
    fixture.report(MEMBER, Some(MembershipState::Joining));
    assert!(!fixture.releases(), "it has returned");
    fixture.cluster.now += 200;
    fixture.answer_leave_of(MEMBER, OrderAnswer::Holds);
    assert!(!fixture.releases(), "its last report shows it in the group");
    fixture.report(MEMBER, None);
    assert!(fixture.releases());
}

/// A server that restarts under its id forgets the epochs that it has seen, so that any of the orders to its former
/// process may bring it into a group.
#[test]
fn a_restarted_server_is_not_released_before_all_orders_to_its_former_process_are_void() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(MEMBER, fixture.epoch - 1);
    fixture.cluster.observations.reset_restarted_instance(MEMBER, 1, Some(fixture.epoch));
    fixture.cut();
    fixture.report(MEMBER, None);
    assert!(!fixture.releases());
    fixture.cluster.now += MAX_EXECUTION_DELAY_MS;
    fixture.report(MEMBER, None);
    fixture.answer_leave_of(MEMBER, OrderAnswer::Unfit);
    assert!(fixture.releases());
}
