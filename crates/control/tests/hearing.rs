//! What a leader does that hears nobody because it is itself late.

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

/// The size at which a late leader was found to give up half of the fleet.
const DAEMONS: usize = 300;
const SERVERS: usize = 760;
const DOMAIN: usize = 19;
const PULSE_MS: u64 = 100;

/// Servers and daemons that tell a leader that they live, and what the leader has ordered the servers.
struct Fleet {
    leader: Leader,
    sequence: u64,
}

impl Fleet {
    /// All daemons have joined, and all groups that fit serve.
    fn serving() -> Fleet {
        let mut fleet = Fleet { leader: Leader::elected(), sequence: 0 };
        fleet.configure();
        fleet.pass(5_000, &Heard::All);
        assert!(fleet.open_groups().len() >= SERVERS / DOMAIN, "{} groups serve", fleet.open_groups().len());
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

    /// Lets time pass, in which the leader hears what `heard` says.
    fn pass(&mut self, span_ms: u64, heard: &Heard) {
        for _ in 0..span_ms / TICK_MS {
            self.leader.pass(TICK_MS);
            if *heard == Heard::Nothing {
                continue;
            }
            if self.leader.now.is_multiple_of(PULSE_MS) {
                self.leader.step(Input::Pulse);
            }
            self.tell(heard);
        }
    }

    /// Each daemon asks for its lease every 400 ms, and each server reports every 1,200 ms, in turn.
    fn tell(&mut self, heard: &Heard) {
        let turn = (self.leader.now / TICK_MS) as usize;
        let is_heard = |number: usize| *heard == Heard::All || number.is_multiple_of(2);
        let revision = self.leader.node.tables().revision;
        for number in (turn % 20..DAEMONS).step_by(20).filter(|number| is_heard(*number)) {
            self.leader.ask(&format!("daemon-{number}"), revision);
        }
        for number in (turn % 60..SERVERS).step_by(60).filter(|number| is_heard(*number)) {
            let report = self.report(number);
            self.leader.step(Input::Register(report, "server".to_string()));
        }
    }

    /// A server does what its group asks of it.
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

    /// Groups of `before` that don't serve any more.
    fn ended(&self, before: &BTreeSet<u64>) -> usize {
        before.difference(&self.open_groups()).count()
    }

    fn live_daemons(&self) -> usize {
        let daemons = self.leader.node.tables().daemons.values();
        daemons.filter(|daemon| daemon.liveness == Liveness::Live).count()
    }
}

/// What reaches the leader.
#[derive(PartialEq)]
enum Heard {
    All,
    Half,
    Nothing,
}

/// Found on unidos-despacho-large: 276 daemons were taken for lost in one second and 212 of 242 groups were dissolved, as
/// the leader was busy; forming them anew kept it busy.
#[test]
fn a_leader_that_is_late_by_seconds_gives_up_nobody() {
    let mut fleet = Fleet::serving();
    let (groups, daemons) = (fleet.open_groups(), fleet.live_daemons());
    for late_ms in [500, 2_000, 6_000] {
        fleet.pass(late_ms, &Heard::Nothing);
        assert_eq!((fleet.ended(&groups), fleet.live_daemons()), (0, daemons), "while it was late");
        fleet.pass(2_000, &Heard::All);
        assert_eq!((fleet.ended(&groups), fleet.live_daemons()), (0, daemons), "after {late_ms} ms");
    }
}

#[test]
fn a_leader_that_hears_half_of_the_reports_ends_no_group_that_serves() {
    let mut fleet = Fleet::serving();
    let groups = fleet.open_groups();
    fleet.pass(3_000, &Heard::Half);
    assert_eq!(fleet.ended(&groups), 0);
    assert!(
        fleet.live_daemons() <= DAEMONS / 2 + 1,
        "those that are not heard are not recommended to callers"
    );
    fleet.pass(2_000, &Heard::All);
    assert_eq!(fleet.ended(&groups), 0);
    assert_eq!(fleet.live_daemons(), DAEMONS);
}

/// The check itself can fail: whoever is silent while the leader hears well is found out.
#[test]
fn a_leader_that_hears_well_finds_out_who_is_silent() {
    let mut fleet = Fleet::serving();
    for _ in 0..2_000 / TICK_MS {
        fleet.leader.pass(TICK_MS);
        if fleet.leader.now.is_multiple_of(PULSE_MS) {
            fleet.leader.step(Input::Pulse);
        }
    }
    assert_eq!(fleet.live_daemons(), 0);
}
