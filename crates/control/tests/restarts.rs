//! Servers that restart under the same id: the state of the previous start is discarded.

use dockwood_api::gateway::{InstanceReport, InstanceState, MembershipReport, MembershipState};
use dockwood_control::GatewayLeaderState;
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose};

/// Report of a model server that started at `start`, in milliseconds.
fn report(id: &str, start: u64, sequence: u64, epoch: Option<u64>) -> InstanceReport {
    let port = if id == "head" { 1_000 } else { 1_001 };
    InstanceReport {
        started_ms: Some(start),
        id: id.to_string(),
        service: "s".to_string(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z".to_string(),
        slots: 8,
        state: InstanceState::Ready,
        cold_ms: 0,
        sequence,
        domain: Some("d".to_string()),
        staged: Vec::new(),
        membership: epoch.map(|epoch| MembershipReport {
            group: format!("g{epoch}"),
            epoch,
            state: MembershipState::Open,
        }),
    }
}

struct Fixture {
    leader: GatewayLeaderState,
    tables: GatewayTables,
}

impl Fixture {
    /// A serving group of two servers.
    fn serving() -> Fixture {
        let mut fixture = Fixture { leader: GatewayLeaderState::default(), tables: GatewayTables::default() };
        fixture.decide(0);
        for id in ["head", "member"] {
            fixture.register(10, &report(id, 5, 40, None));
        }
        let members = vec!["head".to_string(), "member".to_string()];
        let (service, model) = ("s".to_string(), "m".to_string());
        let reason = String::new();
        fixture.tables.apply(&GatewayCommand::Form {
            service,
            model,
            members,
            purpose: GroupPurpose::Serve,
            reason,
        });
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            fixture.tables.apply(&GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
        }
        for id in ["head", "member"] {
            fixture.register(20, &report(id, 5, 41, Some(1)));
        }
        fixture.decide(100);
        fixture
    }

    fn register(&mut self, now: u64, report: &InstanceReport) {
        let command = self.leader.register(now, &self.tables, report);
        command.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    fn decide(&mut self, now: u64) {
        let commands = self.leader.decide(now, &self.tables, GroupingPolicy::default());
        commands.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    fn phase(&self) -> Option<GroupPhase> {
        self.tables.groups.get(&1).map(|group| group.phase)
    }
}

#[test]
fn a_group_whose_member_restarted_is_cut_at_once() {
    let mut fixture = Fixture::serving();
    assert_eq!(fixture.phase(), Some(GroupPhase::Open));
    fixture.register(200, &report("member", 150, 1, None));
    assert_eq!(
        fixture.phase(),
        Some(GroupPhase::Cutting),
        "although its sequence number is lower than before the restart"
    );
}

#[test]
fn a_group_whose_head_restarted_has_ended() {
    let mut fixture = Fixture::serving();
    fixture.register(200, &report("head", 150, 1, None));
    fixture.decide(300);
    assert_eq!(fixture.phase(), None, "a group without a head has ended");
}

#[test]
fn a_late_report_of_an_earlier_start_changes_nothing() {
    let mut fixture = Fixture::serving();
    fixture.register(200, &report("member", 150, 1, None));
    let before = fixture.tables.clone();
    fixture.register(210, &report("member", 5, 42, Some(1)));
    assert_eq!(fixture.tables, before);
    let start = fixture.tables.instances["member"].started_ms;
    assert_eq!(start, Some(150));
}

#[test]
fn a_server_that_left_is_ready_again_after_a_restart() {
    let mut fixture = Fixture::serving();
    fixture.tables.apply(&GatewayCommand::SignOff { id: "member".to_string() });
    fixture.register(200, &report("member", 5, 42, None));
    assert_eq!(
        fixture.tables.instances["member"].state,
        InstanceState::Draining,
        "a late report of the earlier start"
    );
    fixture.register(210, &report("member", 150, 1, None));
    assert_eq!(fixture.tables.instances["member"].state, InstanceState::Ready);
}
