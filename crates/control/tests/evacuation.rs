//! Places granted to entries at groups in an evacuated zone.

use dockwood_api::gateway::{
    EngineProfile, GatewayConfiguration, InstanceReport, InstanceState, LoadReport, ModelProfile,
    ServiceProfile,
};
use dockwood_control::GatewayLeaderState;
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose, InstanceRow};
use std::sync::Arc;

const SERVICE: &str = "writer";
const MODEL: &str = "small";
const SLOTS: u32 = 8;

fn row(zone: &str, number: u16) -> InstanceRow {
    InstanceRow::from(&InstanceReport {
        started_ms: None,
        id: format!("s{number}"),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: zone.to_string(),
        slots: SLOTS,
        state: InstanceState::Ready,
        cold_ms: 0,
        sequence: 1,
        domain: Some(zone.to_string()),
        staged: Vec::new(),
        membership: None,
    })
}

/// An open group of one server in each of two zones.
fn two_groups() -> GatewayTables {
    let model =
        ModelProfile { name: MODEL.into(), size: 1, share: 1.0, pace: 1.0, load_ms: 100, warm_ms: 100 };
    let engine = EngineProfile { slots: SLOTS, models: vec![model], ..EngineProfile::default() };
    let service = ServiceProfile {
        name: SERVICE.to_string(),
        health_path: "/health".to_string(),
        max_connections: 100,
        cold_start: None,
        engine: Some(engine),
    };
    let configuration =
        GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
    let mut commands = vec![GatewayCommand::Configure(Arc::new(configuration))];
    for (zone, number) in [("z", 1), ("y", 2)] {
        commands.push(GatewayCommand::Register(row(zone, number)));
        commands.push(GatewayCommand::Form {
            service: SERVICE.to_string(),
            model: MODEL.to_string(),
            purpose: GroupPurpose::Serve,
            members: vec![format!("s{number}")],
            reason: String::new(),
        });
        let epoch = u64::from(number);
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            commands.push(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
        }
    }
    let mut tables = GatewayTables::default();
    commands.iter().for_each(|command| {
        tables.apply(command);
    });
    tables
}

/// Groups at which an entry is granted places.
fn granted(leader: &mut GatewayLeaderState, now: u64, tables: &GatewayTables) -> Vec<u64> {
    let report =
        LoadReport { daemon: "entry".to_string(), scope: None, groups: Vec::new(), models: Vec::new() };
    let digest = leader.exchange_load(now, tables, 1, report, true);
    digest.groups.iter().filter(|shared| shared.granted > 0).map(|shared| shared.epoch).collect()
}

#[test]
fn entries_are_granted_no_places_in_an_evacuated_zone() {
    let mut tables = two_groups();
    let mut leader = GatewayLeaderState::default();
    assert_eq!(granted(&mut leader, 1_000, &tables), [1, 2]);
    for (generation, evacuated, expected) in [(0, true, vec![2]), (1, false, vec![1, 2])] {
        let zone = "z".to_string();
        tables.apply(&GatewayCommand::SetEvacuation { zone, evacuated, generation });
        assert_eq!(granted(&mut leader, 2_000 + generation, &tables), expected);
    }
}
