//! A leader that receives nothing because it is itself delayed.

mod common;

use common::leader::{Leader, TICK_MS};
use dockwood_api::gateway::{
    EngineProfile, GatewayConfiguration, InstanceReport, InstanceState, MembershipReport, MembershipState,
    ModelProfile, ServiceProfile,
};
use dockwood_control::Input;
use dockwood_state::{Command, CommandBody, GatewayCommand, GroupPhase, Liveness, encode_command};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// The fleet size at which a delayed leader was seen to abandon half of the fleet.
const DAEMONS: usize = 300;
const SERVERS: usize = 760;
const DOMAIN: usize = 19;
const PULSE_MS: u64 = 100;

/// Servers and daemons that report to a leader; the servers follow the leader's orders.
struct Fleet {
    leader: Leader,
    sequence: u64,
}

impl Fleet {
    /// All daemons have joined, and as many groups as possible are serving.
    fn serving() -> Fleet {
        let mut fleet = Fleet { leader: Leader::elected(), sequence: 0 };
        fleet.configure();
        fleet.advance(5_000, &Received::All);
        assert!(
            fleet.open_groups().len() >= SERVERS / DOMAIN,
            "{} groups are serving",
            fleet.open_groups().len()
        );
        fleet
    }

    fn configure(&mut self) {
        let model =
            ModelProfile { name: "m".to_string(), size: 8, share: 1.0, pace: 1.0, load_ms: 100, warm_ms: 10 };
        let engine = EngineProfile {
            slots: 8,
            memory_tokens: 100_000,
            step_ms: 8.0,
            per_sequence_ms: 0.1,
            read_per_second: 40_000.0,
            chunk: 2_048,
            stride: 5,
            loads_per_second: 100.0,
            loads_at_once: 100,
            staged_models: 1,
            models: vec![model],
        };
        let service = ServiceProfile {
            name: "s".to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: Some(engine),
        };
        let configuration =
            GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
        let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
        let command = encode_command(&Command { at_ms: 0, body });
        self.leader.step(Input::Submit(vec![(command, "operator".to_string())]));
    }

    /// Advances time; the leader receives what `received` allows.
    fn advance(&mut self, span_ms: u64, received: &Received) {
        for _ in 0..span_ms / TICK_MS {
            self.leader.advance(TICK_MS);
            if *received == Received::Nothing {
                continue;
            }
            if self.leader.now.is_multiple_of(PULSE_MS) {
                self.leader.step(Input::Pulse);
            }
            self.send_reports(received);
        }
    }

    /// Each daemon requests a lease every 400 ms and each server reports every 1,200 ms, staggered.
    fn send_reports(&mut self, received: &Received) {
        let turn = (self.leader.now / TICK_MS) as usize;
        let is_received = |number: usize| *received == Received::All || number.is_multiple_of(2);
        let revision = self.leader.node.tables().revision;
        for number in (turn % 20..DAEMONS).step_by(20).filter(|number| is_received(*number)) {
            self.leader.request_lease(&format!("daemon-{number}"), revision);
        }
        for number in (turn % 60..SERVERS).step_by(60).filter(|number| is_received(*number)) {
            let report = self.report(number);
            self.leader.step(Input::Register(report, "server".to_string()));
        }
    }

    /// The report of a server that follows its group's orders.
    fn report(&mut self, number: usize) -> InstanceReport {
        self.sequence += 1;
        let id = format!("i-{number}");
        let gateway = &self.leader.node.tables().gateway;
        let membership = gateway.group_of(&id).map(|group| {
            let is_open_head = group.members[0] == id && group.phase != GroupPhase::Forming;
            let state = if is_open_head { MembershipState::Open } else { MembershipState::Ready };
            MembershipReport { group: group.name.clone(), epoch: group.epoch, state }
        });
        InstanceReport {
            started_ms: None,
            id,
            service: "s".to_string(),
            address: SocketAddr::from(([127, 0, 0, 2], 1_000 + number as u16)),
            zone: "z".to_string(),
            slots: 8,
            state: InstanceState::Ready,
            cold_ms: 0,
            sequence: self.sequence,
            domain: Some(format!("domain-{}", number / DOMAIN)),
            staged: Vec::new(),
            membership,
        }
    }

    fn open_groups(&self) -> BTreeSet<u64> {
        let groups = self.leader.node.tables().gateway.groups.values();
        groups.filter(|group| group.phase == GroupPhase::Open).map(|group| group.epoch).collect()
    }

    /// Number of groups in `before` that are no longer open.
    fn closed_groups(&self, before: &BTreeSet<u64>) -> usize {
        before.difference(&self.open_groups()).count()
    }

    fn live_daemons(&self) -> usize {
        let daemons = self.leader.node.tables().daemons.values();
        daemons.filter(|daemon| daemon.liveness == Liveness::Live).count()
    }
}

/// What reaches the leader.
#[derive(PartialEq)]
enum Received {
    All,
    Half,
    Nothing,
}

/// Regression (unidos-despacho-large): while the leader was busy, 276 daemons were considered lost within one
/// second and 212 of 242 groups were dissolved; forming them again kept it busy.
#[test]
fn a_leader_delayed_by_seconds_abandons_nobody() {
    let mut fleet = Fleet::serving();
    let (groups, daemons) = (fleet.open_groups(), fleet.live_daemons());
    for delay_ms in [500, 2_000, 6_000] {
        fleet.advance(delay_ms, &Received::Nothing);
        assert_eq!(
            (fleet.closed_groups(&groups), fleet.live_daemons()),
            (0, daemons),
            "while the leader was delayed"
        );
        fleet.advance(2_000, &Received::All);
        assert_eq!(
            (fleet.closed_groups(&groups), fleet.live_daemons()),
            (0, daemons),
            "after a delay of {delay_ms} ms"
        );
    }
}

#[test]
fn a_leader_that_receives_half_of_the_reports_ends_no_serving_group() {
    let mut fleet = Fleet::serving();
    let groups = fleet.open_groups();
    fleet.advance(3_000, &Received::Half);
    assert_eq!(fleet.closed_groups(&groups), 0);
    assert!(
        fleet.live_daemons() <= DAEMONS / 2 + 1,
        "clients are not sent to daemons that are not heard from"
    );
    fleet.advance(2_000, &Received::All);
    assert_eq!(fleet.closed_groups(&groups), 0);
    assert_eq!(fleet.live_daemons(), DAEMONS);
}

/// Counter-check: silent daemons are detected while the leader itself is not delayed.
#[test]
fn a_leader_without_delay_detects_silent_daemons() {
    let mut fleet = Fleet::serving();
    for _ in 0..2_000 / TICK_MS {
        fleet.leader.advance(TICK_MS);
        if fleet.leader.now.is_multiple_of(PULSE_MS) {
            fleet.leader.step(Input::Pulse);
        }
    }
    assert_eq!(fleet.live_daemons(), 0);
}
