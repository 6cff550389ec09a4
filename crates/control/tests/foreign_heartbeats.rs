//! Heartbeats of other writers that bear the id of a registered server.

use dockwood_api::gateway::{GatewayConfiguration, InstanceReport, InstanceState, ServiceProfile};
use dockwood_control::GatewayLeaderState;
use dockwood_grouping::GroupingPolicy;
use dockwood_state::{GatewayCommand, GatewayTables, InstanceRow};
use std::sync::Arc;

const SERVICE: &str = "board";
/// A service that is configured in some of the tests only.
const OTHER_SERVICE: &str = "nobody";
const ID: &str = "i-1";
/// Far above the sequence numbers of the server's own heartbeats.
const HIGH_SEQUENCE: u64 = 1_000_000;
/// Interval between two heartbeats of a server.
const HEARTBEAT_MS: u64 = 1_200;
/// Longer than the silence after which a server counts as missing.
const MISSING_MS: u64 = 5_000;

/// A heartbeat of the server itself.
fn own(sequence: u64) -> InstanceReport {
    InstanceReport {
        started_ms: None,
        id: ID.to_string(),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "z".to_string(),
        slots: 8,
        state: InstanceState::Ready,
        cold_ms: 0,
        sequence,
        domain: None,
        staged: Vec::new(),
        membership: None,
    }
}

/// The same with another number of slots, which must reach the tables.
fn own_with_slots(sequence: u64, slots: u32) -> InstanceReport {
    InstanceReport { slots, ..own(sequence) }
}

fn of_other_service() -> InstanceReport {
    InstanceReport { service: OTHER_SERVICE.to_string(), ..own(HIGH_SEQUENCE) }
}

fn from_other_address() -> InstanceReport {
    InstanceReport { address: ([127, 0, 0, 1], 2_000).into(), ..own(HIGH_SEQUENCE) }
}

struct Fixture {
    leader: GatewayLeaderState,
    tables: GatewayTables,
    now: u64,
}

impl Fixture {
    fn without_configuration() -> Fixture {
        let mut fixture =
            Fixture { leader: GatewayLeaderState::default(), tables: GatewayTables::default(), now: 100 };
        fixture.decide();
        fixture
    }

    fn with_services(services: &[&str]) -> Fixture {
        let mut fixture = Fixture::without_configuration();
        fixture.configure(1, services);
        fixture
    }

    /// The server is registered, and its service is configured.
    fn registered() -> Fixture {
        let mut fixture = Fixture::with_services(&[SERVICE]);
        fixture.receive(&own(40));
        fixture
    }

    fn configure(&mut self, version: u64, services: &[&str]) {
        let service = |name: &&str| ServiceProfile {
            name: name.to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: None,
        };
        let services = services.iter().map(service).collect();
        let configuration = GatewayConfiguration { version, services, ..GatewayConfiguration::default() };
        self.tables.apply(&GatewayCommand::Configure(Arc::new(configuration)));
    }

    fn receive(&mut self, report: &InstanceReport) {
        let command = self.leader.register(self.now, &self.tables, report);
        command.iter().for_each(|command| {
            self.tables.apply(command);
        });
        self.decide();
    }

    fn decide(&mut self) {
        let commands = self.leader.decide(self.now, &self.tables, GroupingPolicy::default());
        commands.iter().for_each(|command| {
            self.tables.apply(command);
        });
    }

    fn row(&self) -> &InstanceRow {
        &self.tables.instances[ID]
    }
}

/// Regression: the row was replaced, and the server's own heartbeats counted as older for good.
#[test]
fn a_heartbeat_for_a_service_that_is_not_configured_replaces_neither_the_row_nor_the_sequence() {
    let mut fixture = Fixture::registered();
    let before = fixture.row().clone();
    fixture.receive(&of_other_service());
    assert_eq!(*fixture.row(), before);
    fixture.now += HEARTBEAT_MS;
    fixture.receive(&own_with_slots(41, 9));
    assert_eq!(fixture.row().slots, 9, "the server's next heartbeat is newer than its last one");
}

#[test]
fn a_later_start_for_a_service_that_is_not_configured_replaces_no_server_of_a_configured_one() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&InstanceReport { started_ms: Some(5), ..own(40) });
    fixture.receive(&InstanceReport { started_ms: Some(500), ..of_other_service() });
    assert_eq!((fixture.row().service.as_str(), fixture.row().started_ms), (SERVICE, Some(5)));
}

#[test]
fn a_heartbeat_with_another_address_changes_nothing_while_the_server_sends_its_own() {
    let mut fixture = Fixture::registered();
    let before = fixture.row().clone();
    for sequence in 41..51 {
        fixture.receive(&from_other_address());
        assert_eq!(*fixture.row(), before);
        fixture.now += HEARTBEAT_MS;
        fixture.receive(&own(sequence));
    }
    fixture.receive(&own_with_slots(51, 9));
    assert_eq!(fixture.row().slots, 9);
}

/// Model servers receive requests only through their groups.
#[test]
fn a_heartbeat_without_a_fabric_domain_makes_no_plain_server_of_a_model_server() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&InstanceReport { domain: Some("d".to_string()), ..own(40) });
    fixture.receive(&own(HIGH_SEQUENCE));
    assert!(fixture.row().is_engine());
}

/// Which of the two is the server is not known at first.
#[test]
fn a_server_whose_id_another_writer_used_first_is_registered_once_only_its_own_heartbeats_come() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&from_other_address());
    let silent_since = fixture.now;
    let mut sequence = 1;
    while fixture.now < silent_since + MISSING_MS {
        fixture.now += HEARTBEAT_MS;
        fixture.receive(&own(sequence));
        sequence += 1;
    }
    assert_eq!(fixture.row().address, own(0).address);
    fixture.receive(&own_with_slots(sequence, 9));
    assert_eq!(fixture.row().slots, 9);
}

#[test]
fn a_server_of_a_configured_service_replaces_another_writers_row_at_once() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&of_other_service());
    fixture.now += HEARTBEAT_MS;
    fixture.receive(&own(1));
    assert_eq!(fixture.row().service, SERVICE);
    fixture.receive(&own_with_slots(2, 9));
    assert_eq!(fixture.row().slots, 9);
}

#[test]
fn a_server_that_registered_before_the_first_configuration_stays_registered() {
    let mut fixture = Fixture::without_configuration();
    fixture.receive(&own(40));
    fixture.receive(&of_other_service());
    fixture.configure(1, &[SERVICE]);
    assert_eq!(fixture.row().service, SERVICE);
    fixture.receive(&own_with_slots(41, 9));
    assert_eq!(fixture.row().slots, 9);
}

#[test]
fn a_heartbeat_counts_once_its_service_is_added_to_the_configuration() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&of_other_service());
    let before = fixture.row().clone();
    fixture.configure(2, &[SERVICE, OTHER_SERVICE]);
    fixture.now += HEARTBEAT_MS;
    fixture.receive(&InstanceReport { sequence: HIGH_SEQUENCE + 1, slots: 9, ..of_other_service() });
    assert_eq!(*fixture.row(), InstanceRow { slots: 9, ..before });
}

#[test]
fn a_server_that_starts_again_at_another_address_is_registered_there_at_once() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&InstanceReport { started_ms: Some(5), ..own(40) });
    let address = from_other_address().address;
    fixture.receive(&InstanceReport { started_ms: Some(500), address, ..own(1) });
    assert_eq!(fixture.row().address, address);
}

/// Registering a server removes the one that holds its address, for good.
#[test]
fn a_heartbeat_with_the_address_of_another_sound_server_does_not_remove_that_server() {
    let mut fixture = Fixture::with_services(&[SERVICE]);
    fixture.receive(&InstanceReport { started_ms: Some(5), ..own(40) });
    let other = InstanceReport { id: "i-2".to_string(), ..from_other_address() };
    fixture.receive(&other);
    fixture.receive(&InstanceReport { started_ms: Some(500), ..from_other_address() });
    assert!(fixture.tables.instances.contains_key("i-2"));
    assert_eq!(fixture.row().address, own(0).address);
}

/// Another writer may send any number of heartbeats.
#[test]
fn foreign_heartbeats_are_recorded_but_not_each_of_them() {
    let mut fixture = Fixture::registered();
    fixture.receive(&own(41));
    assert_eq!(fixture.leader.take_foreign_heartbeat(), None);
    let mut recorded = 0;
    for _ in 0..100 {
        fixture.receive(&of_other_service());
        recorded += usize::from(fixture.leader.take_foreign_heartbeat().is_some());
        fixture.now += 10;
    }
    assert_eq!(recorded, 1);
}
