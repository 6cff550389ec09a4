//! Servers that report to be in a group which the tables don't have them in.

mod common;

use common::orders::{commands, cut, send_due};
use common::{LARGE, SMALL, TestCluster, formed_groups};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState};
use dockwood_grouping::{OrderTracker, StaleMembers};
use dockwood_state::{GatewayCommand, GroupPurpose};
use yare::parameterized;

const HEAD: &str = "d0-s0";
const MEMBER: &str = "d0-s1";
/// Delay before an order to leave is sent again.
const RETRY_MS: u64 = 500;

/// Two servers without a group, which have been in a group that has ended.
fn after_the_end() -> (TestCluster, u64) {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &[HEAD, MEMBER]);
    cluster.end_group(epoch);
    (cluster, epoch)
}

fn plans_a_group(cluster: &TestCluster) -> bool {
    !formed_groups(&cluster.plan().commands).is_empty()
}

fn due(stale: &mut StaleMembers, cluster: &TestCluster) -> Vec<GroupOrder> {
    stale.scan(&cluster.view());
    stale.due_orders(&cluster.view(), 1)
}

/// Regression: a server that reported to be the open head of an ended group was used for the next group at once.
#[test]
fn the_open_head_of_an_ended_group_closes_and_leaves_before_it_is_used_again() {
    let (mut cluster, epoch) = after_the_end();
    let mut stale = StaleMembers::default();
    assert!(plans_a_group(&cluster));
    assert!(due(&mut stale, &cluster).is_empty());
    cluster.report_membership(HEAD, epoch, MembershipState::Open, &[SMALL]);
    assert!(!plans_a_group(&cluster));
    let close = GroupCommand::Close { truncate: false };
    let sent = due(&mut stale, &cluster);
    assert_eq!(commands(&sent), [(HEAD, &close)], "its requests may finish");
    assert!(due(&mut stale, &cluster).is_empty(), "the order is in flight");
    cluster.report_membership(HEAD, epoch, MembershipState::Closing, &[SMALL]);
    assert!(due(&mut stale, &cluster).is_empty());
    cluster.report_membership(HEAD, epoch, MembershipState::Ready, &[SMALL]);
    assert!(!plans_a_group(&cluster), "an order to open that it has not answered may open it again");
    assert_eq!(commands(&due(&mut stale, &cluster)), [(HEAD, &GroupCommand::Leave)]);
    let left = cluster.report(HEAD, None, &[SMALL]);
    cluster.receive_report(left);
    assert!(plans_a_group(&cluster));
    assert!(due(&mut stale, &cluster).is_empty());
}

#[test]
fn an_order_to_leave_is_repeated_until_the_server_reports_that_it_has_left() {
    let (mut cluster, epoch) = after_the_end();
    let mut stale = StaleMembers::default();
    cluster.report_membership(HEAD, epoch, MembershipState::Open, &[SMALL]);
    cluster.report_membership(HEAD, epoch, MembershipState::Ready, &[SMALL]);
    let sent = due(&mut stale, &cluster);
    stale.answered(cluster.now, &sent[0]);
    cluster.now += RETRY_MS - 1;
    assert!(due(&mut stale, &cluster).is_empty());
    cluster.now += 1;
    assert_eq!(commands(&due(&mut stale, &cluster)), [(HEAD, &GroupCommand::Leave)]);
}

/// Members that have not left their group when it ends are used for other groups as they are: its head serves no more.
#[parameterized(
    the_head_has_left = { None, true },
    the_head_has_broken = { Some(MembershipState::Broken), true },
    the_head_is_open = { Some(MembershipState::Open), false },
)]
fn a_member_is_used_at_once_unless_the_head_may_be_serving(head: Option<MembershipState>, is_used: bool) {
    let (mut cluster, epoch) = after_the_end();
    cluster.report_membership(MEMBER, epoch, MembershipState::Ready, &[SMALL]);
    if let Some(state) = head {
        cluster.report_membership(HEAD, epoch, MembershipState::Open, &[SMALL]);
        cluster.report_membership(HEAD, epoch, state, &[SMALL]);
    }
    assert_eq!(plans_a_group(&cluster), is_used);
    let sent = due(&mut StaleMembers::default(), &cluster);
    assert_eq!(sent.iter().any(|order| order.instance == MEMBER), !is_used);
}

#[test]
fn the_head_of_an_ended_group_counts_no_more_once_it_is_removed() {
    let (mut cluster, epoch) = after_the_end();
    cluster.report_membership(MEMBER, epoch, MembershipState::Ready, &[SMALL]);
    cluster.report_membership(HEAD, epoch, MembershipState::Open, &[SMALL]);
    cluster.apply(GatewayCommand::Remove { id: HEAD.to_string() });
    cluster.observations.retain(&cluster.tables);
    assert!(due(&mut StaleMembers::default(), &cluster).is_empty());
}

/// A member was released from a group whose head is cut off while open, and returns to it by a late order.
#[test]
fn a_released_member_that_returns_to_its_group_leaves_it_again() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cut(&mut cluster, epoch);
    cluster.apply(GatewayCommand::Release { epoch, member: MEMBER.to_string() });
    let left = cluster.report(MEMBER, None, &[LARGE]);
    cluster.receive_report(left);
    assert!(due(&mut StaleMembers::default(), &cluster).is_empty());
    cluster.report_membership(MEMBER, epoch, MembershipState::Ready, &[LARGE]);
    let sent = due(&mut StaleMembers::default(), &cluster);
    assert_eq!(commands(&sent), [(MEMBER, &GroupCommand::Leave)]);
}

#[test]
fn a_planned_member_is_not_joined_to_its_group_before_it_has_left_another_one() {
    let (mut cluster, epoch) = after_the_end();
    cluster.apply(GatewayCommand::Form {
        service: common::SERVICE.to_string(),
        model: SMALL.to_string(),
        purpose: GroupPurpose::Serve,
        members: vec![HEAD.to_string(), MEMBER.to_string()],
        reason: String::new(),
    });
    cluster.report_membership(HEAD, epoch, MembershipState::Open, &[SMALL]);
    let mut tracker = OrderTracker::default();
    let sent = send_due(&mut cluster, &mut tracker);
    assert_eq!(sent.iter().map(|order| order.instance.as_str()).collect::<Vec<_>>(), [MEMBER]);
    assert_eq!(
        commands(&due(&mut StaleMembers::default(), &cluster)).len(),
        1,
        "the head is ordered to close"
    );
    let left = cluster.report(HEAD, None, &[SMALL]);
    cluster.receive_report(left);
    tracker.touch(cluster.tables.last_epoch);
    let sent = send_due(&mut cluster, &mut tracker);
    assert_eq!(sent.iter().map(|order| order.instance.as_str()).collect::<Vec<_>>(), [HEAD]);
}
