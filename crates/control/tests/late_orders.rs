//! Orders to join that servers leave unanswered and execute late, as the leader of the control group sees them.

use dockwood_api::gateway::{
    GroupCommand, GroupOrder, InstanceReport, InstanceState, MembershipReport, MembershipState, OrderAnswer,
};
use dockwood_control::{FormationTimes, GatewayLeaderState};
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose};
use yare::parameterized;

const HEAD: &str = "i-1";
const MEMBER: &str = "i-2";
const MODEL: &str = "small";
/// Time after which an order to join that was sent to a server can't be executed any more, in milliseconds: it is answered
/// within 400 ms, or executed within 12 s after that.
const JOIN_VOID_MS: u64 = 12_400;
/// Time at which the group opens, in milliseconds.
const OPENED_AT: u64 = 1_000;

/// The leader's part of the gateway and the tables, with one open group.
struct Fixture {
    leader: GatewayLeaderState,
    tables: GatewayTables,
    formation_times: FormationTimes,
    now: u64,
    sequence: u64,
    epoch: u64,
}

impl Fixture {
    fn with_open_group() -> Fixture {
        let mut fixture = Fixture {
            leader: GatewayLeaderState::default(),
            tables: GatewayTables::default(),
            formation_times: FormationTimes::default(),
            now: OPENED_AT,
            sequence: 0,
            epoch: 0,
        };
        fixture.decide();
        for id in [HEAD, MEMBER] {
            fixture.report(id, None);
        }
        fixture.tables.apply(&GatewayCommand::Form {
            service: "writer".to_string(),
            model: MODEL.to_string(),
            purpose: GroupPurpose::Serve,
            members: vec![HEAD.to_string(), MEMBER.to_string()],
            reason: String::new(),
        });
        fixture.epoch = fixture.tables.last_epoch;
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            fixture.set_phase(phase);
        }
        fixture.report(HEAD, Some(MembershipState::Open));
        fixture.report(MEMBER, Some(MembershipState::Ready));
        fixture
    }

    fn set_phase(&mut self, phase: GroupPhase) {
        let (epoch, reason) = (self.epoch, String::new());
        self.tables.apply(&GatewayCommand::SetPhase { epoch, phase, reason });
        self.formation_times.observe(self.now, &self.tables.groups);
    }

    fn membership(&self, state: MembershipState) -> MembershipReport {
        MembershipReport { group: format!("g{}", self.epoch), epoch: self.epoch, state }
    }

    /// Makes a server report its state in the group; `None` if it is in none.
    fn report(&mut self, id: &str, state: Option<MembershipState>) {
        self.sequence += 1;
        let report = InstanceReport {
            started_ms: None,
            id: id.to_string(),
            service: "writer".to_string(),
            address: ([127, 0, 0, 1], if id == HEAD { 1_001 } else { 1_002 }).into(),
            zone: "z".to_string(),
            slots: 8,
            state: InstanceState::Ready,
            cold_ms: 0,
            sequence: self.sequence,
            domain: Some("d".to_string()),
            staged: vec![MODEL.to_string()],
            membership: state.map(|state| self.membership(state)),
        };
        let command = self.leader.register(self.now, &self.tables, &report);
        command.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    fn decide(&mut self) {
        let commands = self.leader.decide(self.now, &self.tables, GroupingPolicy::default());
        commands.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    /// Replaces the leader by this node, which was a follower until now.
    fn change_leader(&mut self) {
        self.leader = GatewayLeaderState::default();
        self.leader.take_over(self.now, &self.tables, &self.formation_times);
        self.decide();
    }

    /// The head reports that it is in no group, and refuses all orders, as it does after it has left.
    fn refuse_orders(&mut self) {
        self.report(HEAD, None);
        // The order to close, and then the one to leave.
        for _ in 0..2 {
            self.now += 300;
            let policy = GroupingPolicy::default();
            for order in self.leader.orders_to_send(self.now, &self.tables, policy, 2) {
                self.leader.record_order_answer(self.now, &order, OrderAnswer::Unfit);
            }
        }
        self.decide();
    }

    fn has_ended(&self) -> bool {
        !self.tables.groups.contains_key(&self.epoch)
    }

    /// Records that a member of the group leaves its order to join unanswered.
    fn leave_join_unanswered(&mut self, id: &str) {
        let order = GroupOrder {
            instance: id.to_string(),
            address: self.tables.instances[id].address,
            group: format!("g{}", self.epoch),
            epoch: self.epoch,
            fence: 1,
            command: GroupCommand::Join { model: MODEL.to_string(), members: Vec::new() },
        };
        self.leader.record_order_answer(self.now, &order, OrderAnswer::Silent);
    }
}

#[test]
fn a_server_that_returns_to_a_group_that_has_ended_is_recorded_once() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(HEAD);
    fixture.report(HEAD, None);
    let (epoch, reason) = (fixture.epoch, String::new());
    fixture.tables.apply(&GatewayCommand::End { epoch, reason });
    assert_eq!(fixture.leader.take_unexpected_membership(), None);
    fixture.now += 9_200;
    fixture.report(HEAD, Some(MembershipState::Joining));
    let unexpected = fixture.leader.take_unexpected_membership().expect("the server is in no group");
    assert_eq!(unexpected.instance, HEAD);
    assert_eq!(unexpected.membership, fixture.membership(MembershipState::Joining));
    assert_eq!(unexpected.join_unanswered_for_ms, Some(9_200));
    fixture.report(HEAD, Some(MembershipState::Joining));
    assert_eq!(fixture.leader.take_unexpected_membership(), None, "its reports repeat it");
}

#[parameterized(
    a_member_of_the_group = { false },
    a_member_that_has_not_left_when_its_group_ends = { true },
)]
fn expected_memberships_are_not_recorded(ends_group: bool) {
    let mut fixture = Fixture::with_open_group();
    if ends_group {
        let (epoch, reason) = (fixture.epoch, String::new());
        fixture.tables.apply(&GatewayCommand::End { epoch, reason });
    }
    fixture.report(MEMBER, Some(MembershipState::Ready));
    assert_eq!(fixture.leader.take_unexpected_membership(), None);
}

/// Regression: a new leader did not know which orders to join its predecessor had sent. It ended a group as soon as the
/// head refused an order to leave; the head executed its order to join later, opened again, and was joined to another
/// group.
#[parameterized(
    one_was_not_answered = { true },
    all_were_answered = { false },
)]
fn a_new_leader_waits_for_unanswered_orders_to_join_of_its_predecessor(is_unanswered: bool) {
    let mut fixture = Fixture::with_open_group();
    if is_unanswered {
        fixture.leave_join_unanswered(HEAD);
    }
    fixture.decide();
    assert_eq!(fixture.tables.has_settled_joins(fixture.epoch), !is_unanswered);
    fixture.set_phase(GroupPhase::Draining);
    fixture.now += 2_000;
    fixture.change_leader();
    fixture.refuse_orders();
    assert_eq!(fixture.has_ended(), !is_unanswered);
    fixture.now = OPENED_AT + JOIN_VOID_MS;
    fixture.refuse_orders();
    assert!(fixture.has_ended());
}

#[test]
fn orders_to_join_are_settled_once_they_are_void() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(MEMBER);
    fixture.decide();
    assert!(!fixture.tables.has_settled_joins(fixture.epoch));
    fixture.now += JOIN_VOID_MS;
    fixture.report(HEAD, Some(MembershipState::Open));
    fixture.report(MEMBER, Some(MembershipState::Ready));
    fixture.decide();
    assert!(fixture.tables.has_settled_joins(fixture.epoch));
}

/// Regression: with leaders that changed more often than orders become void, groups that were not settled held their
/// servers for ever.
#[test]
fn a_further_change_of_the_leader_does_not_prolong_the_wait() {
    let mut fixture = Fixture::with_open_group();
    fixture.leave_join_unanswered(HEAD);
    fixture.set_phase(GroupPhase::Draining);
    for _ in 0..3 {
        fixture.now += 3_000;
        fixture.change_leader();
        fixture.refuse_orders();
        assert!(!fixture.has_ended());
    }
    fixture.now = OPENED_AT + JOIN_VOID_MS;
    fixture.refuse_orders();
    assert!(fixture.has_ended());
}

/// A voter that has just started doesn't know when the groups were formed.
#[test]
fn a_leader_that_does_not_know_when_a_group_was_formed_waits_from_its_election_on() {
    let mut fixture = Fixture::with_open_group();
    fixture.formation_times = FormationTimes::default();
    fixture.now += 60_000;
    fixture.change_leader();
    let changed_at = fixture.now;
    let (epoch, reason) = (fixture.epoch, String::new());
    fixture.tables.apply(&GatewayCommand::SetPhase { epoch, phase: GroupPhase::Draining, reason });
    fixture.refuse_orders();
    assert!(!fixture.has_ended());
    fixture.now = changed_at + JOIN_VOID_MS;
    fixture.refuse_orders();
    assert!(fixture.has_ended());
}
