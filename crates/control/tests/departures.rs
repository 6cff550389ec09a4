//! The leader's reaction to servers that announce that they leave, or sign off, while their group is serving.

use dockwood_api::gateway::{
    EngineProfile, GatewayConfiguration, InstanceReport, InstanceState, MembershipReport, MembershipState,
    ModelProfile, ServiceProfile,
};
use dockwood_control::GatewayLeaderState;
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose};
use std::sync::Arc;

const SERVICE: &str = "writer";
const MODEL: &str = "small";
const GROUP: &str = "g1";
const EPOCH: u64 = 1;

fn report(number: u16, sequence: u64, state: Option<MembershipState>) -> InstanceReport {
    let membership = |state| MembershipReport { group: GROUP.to_string(), epoch: EPOCH, state };
    InstanceReport {
        started_ms: None,
        id: format!("s{number}"),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_string(),
        slots: 8,
        state: InstanceState::Ready,
        cold_ms: 0,
        sequence,
        domain: Some("d".to_string()),
        staged: vec![MODEL.to_string()],
        membership: state.map(membership),
    }
}

/// A leader and its tables, with a serving group of two servers.
struct ServingGroup {
    leader: GatewayLeaderState,
    tables: GatewayTables,
}

impl ServingGroup {
    fn new() -> ServingGroup {
        let model =
            ModelProfile { name: MODEL.into(), size: 2, share: 1.0, pace: 1.0, load_ms: 100, warm_ms: 100 };
        let engine = EngineProfile { models: vec![model], ..EngineProfile::default() };
        let service = ServiceProfile {
            name: SERVICE.to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: Some(engine),
        };
        let configuration =
            GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
        let (leader, tables) = (GatewayLeaderState::default(), GatewayTables::default());
        let mut serving = ServingGroup { leader, tables };
        serving.apply(GatewayCommand::Configure(Arc::new(configuration)));
        (0..2).for_each(|number| serving.register(100, &report(number, 1, None)));
        serving.apply(GatewayCommand::Form {
            service: SERVICE.to_string(),
            model: MODEL.to_string(),
            purpose: GroupPurpose::Serve,
            members: vec!["s0".to_string(), "s1".to_string()],
            reason: String::new(),
        });
        serving.register(200, &report(0, 2, Some(MembershipState::Open)));
        serving.register(200, &report(1, 2, Some(MembershipState::Ready)));
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            serving.apply(GatewayCommand::SetPhase { epoch: EPOCH, phase, reason: String::new() });
        }
        serving.decide(200);
        serving
    }

    fn apply(&mut self, command: GatewayCommand) {
        self.tables.apply(&command);
    }

    fn register(&mut self, now: u64, report: &InstanceReport) {
        let command = self.leader.register(now, &self.tables, report);
        command.into_iter().for_each(|command| self.apply(command));
    }

    /// Decides, and sends the orders that are due.
    fn decide(&mut self, now: u64) {
        let policy = GroupingPolicy::default();
        let commands = self.leader.decide(now, &self.tables, policy);
        commands.into_iter().for_each(|command| self.apply(command));
        self.leader.orders_to_send(now, &self.tables, policy, 1);
    }

    fn phase(&self) -> Option<GroupPhase> {
        self.tables.groups.get(&EPOCH).map(|group| group.phase)
    }
}

#[test]
fn the_grace_period_of_a_group_starts_when_the_leader_learns_that_a_member_leaves() {
    let mut serving = ServingGroup::new();
    let mut leaving = report(1, 3, Some(MembershipState::Ready));
    leaving.state = InstanceState::Draining;
    serving.register(1_000, &leaving);
    serving.decide(1_000);
    serving.decide(2_900);
    assert_eq!(serving.phase(), Some(GroupPhase::Open));
    serving.decide(3_400);
    assert_eq!(serving.phase(), Some(GroupPhase::Draining));
}

#[test]
fn a_new_leader_that_finds_a_member_leaving_drains_its_group() {
    let mut serving = ServingGroup::new();
    serving.apply(GatewayCommand::SignOff { id: "s1".to_string() });
    serving.leader = GatewayLeaderState::default();
    serving.decide(60_000);
    assert_eq!(serving.phase(), Some(GroupPhase::Draining));
}

/// A head that signs off without prior notice keeps serving, closes its group and reports that.
#[test]
fn reports_of_a_signed_off_head_on_its_group_are_accepted() {
    let mut serving = ServingGroup::new();
    serving.apply(GatewayCommand::SignOff { id: "s0".to_string() });
    serving.decide(1_000);
    assert_eq!(serving.phase(), Some(GroupPhase::Draining));
    serving.register(1_500, &report(0, 3, Some(MembershipState::Ready)));
    serving.register(1_600, &report(0, 4, None));
    serving.decide(1_600);
    assert_eq!(serving.phase(), None, "the group has closed");
    assert!(
        serving.tables.instances["s0"].state == InstanceState::Draining,
        "a signed-off server must not become ready again"
    );
}
