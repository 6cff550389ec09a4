//! Which of a server's reports change whether the leader considers it cold.

use dockwood_api::gateway::{InstanceReport, InstanceState};
use dockwood_control::GatewayLeaderState;
use dockwood_state::{GatewayCommand, GatewayTables};

fn report(sequence: u64, cold_ms: u64) -> InstanceReport {
    InstanceReport {
        started_ms: None,
        id: "s".to_string(),
        service: "writer".to_string(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "z".to_string(),
        slots: 8,
        state: InstanceState::Ready,
        cold_ms,
        sequence,
        domain: Some("d".to_string()),
        staged: Vec::new(),
        membership: None,
    }
}

/// A leader and its tables; commands that it returns are applied at once.
#[derive(Default)]
struct Leader {
    leader_state: GatewayLeaderState,
    tables: GatewayTables,
}

impl Leader {
    /// Whether the report resulted in a command.
    fn commits(&mut self, report: &InstanceReport) -> bool {
        let command: Option<GatewayCommand> = self.leader_state.register(100, &self.tables, report);
        command.iter().for_each(|command| {
            self.tables.apply(command);
        });
        command.is_some()
    }

    fn is_cold(&self) -> bool {
        self.tables.instances["s"].is_cold
    }
}

#[test]
fn only_the_change_between_cold_and_warm_is_committed() {
    let mut leader = Leader::default();
    assert!(leader.commits(&report(1, u64::MAX)));
    assert!(!leader.commits(&report(2, 9_000)));
    assert!(!leader.commits(&report(3, 1)));
    assert!(leader.is_cold());
    assert!(leader.commits(&report(4, 0)));
    assert!(!leader.commits(&report(5, 0)));
    assert!(!leader.is_cold());
    assert!(leader.commits(&report(6, 9_000)), "a server can become cold again");
    assert!(leader.is_cold());
}

#[test]
fn a_late_report_changes_nothing() {
    let mut leader = Leader::default();
    leader.commits(&report(5, 0));
    leader.commits(&report(7, 9_000));
    assert!(!leader.commits(&report(6, 0)), "sent before it became cold");
    assert!(leader.is_cold());
    leader.commits(&report(9, 0));
    assert!(!leader.commits(&report(8, 300)), "sent before it was warm");
    assert!(!leader.is_cold());
}
