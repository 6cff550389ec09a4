//! Servers that start again under their id: what was known of the former start counts no more.

use dockwood_api::gateway::{InstanceReport, InstanceState, MembershipReport, MembershipState};
use dockwood_control::GatewayLeadership;
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose};

/// A model server's report. `start` tells when it started, in milliseconds.
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

struct World {
    leader: GatewayLeadership,
    tables: GatewayTables,
}

impl World {
    /// A group of two servers that serves.
    fn serving() -> World {
        let mut world = World { leader: GatewayLeadership::default(), tables: GatewayTables::default() };
        world.decide(0);
        for id in ["head", "member"] {
            world.take(10, &report(id, 5, 40, None));
        }
        let members = vec!["head".to_string(), "member".to_string()];
        let (service, model) = ("s".to_string(), "m".to_string());
        let reason = String::new();
        world.tables.apply(&GatewayCommand::Form {
            service,
            model,
            members,
            purpose: GroupPurpose::Serve,
            reason,
        });
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            world.tables.apply(&GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
        }
        for id in ["head", "member"] {
            world.take(20, &report(id, 5, 41, Some(1)));
        }
        world.decide(100);
        world
    }

    fn take(&mut self, now: u64, report: &InstanceReport) {
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
fn a_group_whose_member_started_again_is_cut_at_once() {
    let mut world = World::serving();
    assert_eq!(world.phase(), Some(GroupPhase::Open));
    world.take(200, &report("member", 150, 1, None));
    assert_eq!(world.phase(), Some(GroupPhase::Cutting), "though its count is below the former one");
}

#[test]
fn a_group_whose_head_started_again_has_ended() {
    let mut world = World::serving();
    world.take(200, &report("head", 150, 1, None));
    world.decide(300);
    assert_eq!(world.phase(), None, "nobody serves it any more");
}

#[test]
fn a_late_report_of_a_former_start_changes_nothing() {
    let mut world = World::serving();
    world.take(200, &report("member", 150, 1, None));
    let before = world.tables.clone();
    world.take(210, &report("member", 5, 42, Some(1)));
    assert_eq!(world.tables, before);
    let start = world.tables.instances["member"].started_ms;
    assert_eq!(start, Some(150));
}

#[test]
fn a_server_that_left_is_back_once_it_has_started_again() {
    let mut world = World::serving();
    world.tables.apply(&GatewayCommand::SignOff { id: "member".to_string() });
    world.take(200, &report("member", 5, 42, None));
    assert_eq!(world.tables.instances["member"].state, InstanceState::Draining, "a late report");
    world.take(210, &report("member", 150, 1, None));
    assert_eq!(world.tables.instances["member"].state, InstanceState::Ready);
}
