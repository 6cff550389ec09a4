//! Decisions on small fleets.

use dockwood_api::peer::{DaemonRecord, MachineState};
use dockwood_api::resource::{Metadata, Resource, Spec, spec_from_json};
use dockwood_placement::{
    Fleet, MachineHealth, MachineObservations, Operator, PlacementPolicy, plan, shortfalls,
};
use dockwood_state::{
    ChangeAction, ChangeRequest, Command, CommandBody, Liveness, OrderState, ReplicaPhase, State,
};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A fleet whose decisions are carried out at once.
struct World {
    state: State,
    machines: MachineObservations,
    idle: BTreeSet<(String, u64)>,
    now: u64,
}

const ALIVE: MachineState = MachineState::Alive { epoch: 0, loaded: false, replica_digest: 0 };

impl World {
    /// Machines in domains of ten, alternating between two zones, and three daemons.
    fn new(machines: usize) -> World {
        let mut world = World {
            state: State::default(),
            machines: MachineObservations::default(),
            idle: BTreeSet::new(),
            now: 100_000,
        };
        let versions = json!([{ "name": "v1", "weightsMib": 100 }, { "name": "v2", "weightsMib": 100 }]);
        world.store("Model", "m", json!({ "versions": versions, "contextTokens": 1 }));
        for number in 0..machines {
            world.store_server(number, false);
            world.machines.record(world.now, &machine(number), ALIVE);
        }
        for name in ["e1", "e2", "e3"] {
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
            let record = DaemonRecord {
                name: name.to_string(),
                http: address,
                peer: address,
                zone: format!("z-{name}"),
                region: String::new(),
                frontend: None,
                operators: None,
            };
            world.apply(CommandBody::JoinDaemon { record, incarnation: 1 });
        }
        world
    }

    fn apply(&mut self, body: CommandBody) {
        self.state.apply(&Command { at_ms: self.now, body });
    }

    fn store(&mut self, kind: &str, name: &str, spec: Value) {
        let kind = kind.parse().unwrap_or_else(|_| panic!("{kind}"));
        let spec: Spec = spec_from_json(kind, spec).unwrap_or_else(|error| panic!("{error}"));
        let resource =
            Resource { metadata: Metadata { name: name.to_string(), ..Metadata::default() }, spec };
        let request = ChangeRequest {
            change_id: format!("{}", self.state.tables.revision),
            content_digest: 0,
            action: ChangeAction::Apply(resource),
        };
        self.apply(CommandBody::Change(request));
    }

    fn store_server(&mut self, number: usize, drain: bool) {
        let domain = number / 10;
        let spec = json!({
            "address": format!("127.0.0.1:{}", 1_000 + number), "domain": format!("domain-{domain}"),
            "zone": format!("zone-{}", domain % 2), "drain": drain,
        });
        self.store("Server", &machine(number), spec);
    }

    fn deploy(&mut self, replicas: u32, version: &str) {
        let spec = json!({ "model": "m", "version": version, "replicas": replicas, "machinesPerReplica": 4 });
        self.store("Deployment", "d", spec);
    }

    fn decide(&self) -> Vec<Operator> {
        plan(&self.fleet())
    }

    fn fleet(&self) -> Fleet<'_> {
        Fleet {
            tables: &self.state.tables,
            machines: &self.machines,
            idle_replicas: &self.idle,
            now: self.now,
            policy: PlacementPolicy::SpareAware,
        }
    }

    /// Decides and carries out until nothing is left to do; the reasons in order.
    fn settle(&mut self) -> Vec<&'static str> {
        let mut reasons = Vec::new();
        for _ in 0..100 {
            let operators = self.decide();
            if operators.is_empty() {
                return reasons;
            }
            for operator in operators {
                reasons.push(operator.reason);
                self.apply(operator.body);
            }
            self.confirm_live_orders();
            self.now += 100;
        }
        panic!("does not settle: {reasons:?}");
    }

    fn confirm_live_orders(&mut self) {
        let pending: Vec<_> = self
            .state
            .tables
            .orders
            .values()
            .filter(|order| order.state == OrderState::Pending)
            .cloned()
            .collect();
        for order in pending {
            if self.machines.health(self.now, &order.server) != MachineHealth::Dead {
                self.apply(CommandBody::OrderDone { server: order.server.clone(), fence: order.fence });
            }
        }
    }

    fn kill(&mut self, server: &str) {
        self.machines.record(self.now, server, MachineState::Refusing);
        self.now += 1_000;
    }

    fn serving(&self) -> usize {
        self.state.tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Serving).count()
    }

    fn drained(&mut self) {
        for row in self.state.tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Draining) {
            self.idle.insert((row.name.clone(), row.epoch));
        }
    }
}

fn machine(number: usize) -> String {
    format!("machine-{number:02}")
}

#[test]
fn replicas_are_formed_within_domains_and_spread_over_zones() {
    let mut world = World::new(40);
    world.deploy(4, "v1");
    world.settle();
    assert_eq!(world.serving(), 4);
    let zones: BTreeSet<&str> =
        world.state.tables.replicas.values().take(2).map(|row| row.zone.as_str()).collect();
    assert_eq!(zones.len(), 2);
    let domains: BTreeSet<&str> =
        world.state.tables.replicas.values().map(|row| row.domain.as_str()).collect();
    assert_eq!(domains.len(), 4, "every domain keeps spares");
}

#[test]
fn a_lost_machine_is_replaced_by_a_spare_of_its_domain() {
    let mut world = World::new(10);
    world.deploy(2, "v1");
    world.settle();
    let before = world.state.tables.replicas["d-1"].clone();
    world.kill(&before.members[1]);
    let operators = world.decide();
    assert_eq!(operators.iter().map(|one| one.reason).collect::<Vec<_>>(), ["RepairedWithSpare"]);
    assert!(operators[0].message.contains(&before.members[1]), "{}", operators[0].message);
    world.settle();
    let after = &world.state.tables.replicas["d-1"];
    assert_eq!((after.epoch, &after.members[0]), (2, &before.members[0]), "the head stays");
    assert!(!after.members.contains(&before.members[1]));
    assert_eq!(world.serving(), 2);
}

#[test]
fn a_second_loss_right_after_a_repair_is_repaired_too() {
    let mut world = World::new(10);
    world.deploy(2, "v1");
    world.settle();
    for _ in 0..2 {
        let lost = world.state.tables.replicas["d-1"].members[3].clone();
        world.kill(&lost);
        world.settle();
        assert_eq!(world.serving(), 2);
    }
    assert_eq!(world.state.tables.replicas["d-1"].epoch, 3);
}

#[test]
fn without_a_spare_the_replica_moves_to_another_domain() {
    let mut world = World::new(20);
    world.deploy(2, "v1");
    world.settle();
    let row = world.state.tables.replicas["d-1"].clone();
    let lost: Vec<String> = (0..20)
        .map(machine)
        .filter(|name| {
            let same_domain = world.state.tables.server(name).map(|spec| &spec.domain) == Some(&row.domain);
            same_domain && (!row.members.contains(name) || *name == row.members[0])
        })
        .collect();
    lost.iter().for_each(|server| world.kill(server));
    assert!(world.settle().contains(&"Dissolved"));
    assert_eq!(world.serving(), 2);
    assert!(world.state.tables.replicas.values().all(|other| other.domain != row.domain));
}

#[test]
fn with_nowhere_to_go_the_replica_waits_and_status_says_why() {
    let mut world = World::new(8);
    world.deploy(3, "v1");
    world.settle();
    assert_eq!(world.serving(), 2);
    let shortfalls = shortfalls(&world.fleet());
    assert_eq!((shortfalls.len(), shortfalls[0].missing), (1, 1));
    assert!(shortfalls[0].message.contains("no domain has 4 free machines"), "{}", shortfalls[0].message);
}

#[test]
fn a_short_silence_changes_nothing() {
    let mut world = World::new(10);
    world.deploy(2, "v1");
    world.settle();
    let member = world.state.tables.replicas["d-1"].members[2].clone();
    world.machines.record(world.now, &member, MachineState::Silent);
    world.now += 1_500;
    assert!(world.decide().is_empty());
    world.now += 2_000;
    assert_eq!(world.decide().len(), 1);
}

#[test]
fn a_machine_that_flaps_must_be_well_for_longer_each_time() {
    let mut machines = MachineObservations::default();
    machines.record(0, "a", ALIVE);
    let mut now = 10_000;
    let mut waits = Vec::new();
    for _ in 0..4 {
        machines.record(now, "a", MachineState::Refusing);
        now += 1_000;
        machines.record(now, "a", ALIVE);
        let well =
            (0..200_000).step_by(100).find(|wait| machines.health(now + wait, "a") == MachineHealth::Usable);
        waits.push(well.unwrap_or(0));
        now += 1_000;
    }
    assert!(waits.windows(2).all(|pair| pair[1] == pair[0] * 2), "{waits:?}");
}

#[test]
fn a_rollout_surges_where_it_can_and_never_drops_below_what_is_declared() {
    let mut world = World::new(20);
    world.deploy(3, "v1");
    world.settle();
    world.deploy(3, "v2");
    for _ in 0..40 {
        world.settle();
        assert!(world.serving() >= 3, "a replica less serves");
        world.drained();
    }
    assert!(world.state.tables.replicas.values().all(|row| row.version == "v2"));
    assert_eq!(world.state.tables.replicas.len(), 3);
}

#[test]
fn without_room_a_rollout_goes_one_by_one_and_says_so() {
    let mut world = World::new(10);
    world.deploy(2, "v1");
    world.settle();
    world.deploy(2, "v2");
    let operators = world.decide();
    assert_eq!(operators.len(), 1);
    assert!(operators[0].message.contains("one replica less"), "{}", operators[0].message);
    for _ in 0..10 {
        world.settle();
        assert!(world.serving() >= 1);
        world.drained();
    }
    assert!(world.state.tables.replicas.values().all(|row| row.version == "v2") && world.serving() == 2);
}

#[test]
fn a_drained_server_leaves_only_once_nothing_is_in_flight() {
    let mut world = World::new(10);
    world.deploy(2, "v1");
    world.settle();
    let server = world.state.tables.replicas["d-1"].members[2].clone();
    let number: usize = server.trim_start_matches("machine-").parse().unwrap_or(0);
    world.store_server(number, true);
    world.settle();
    assert_eq!(world.state.tables.replicas["d-1"].phase, ReplicaPhase::Draining);
    assert!(world.state.tables.replicas["d-1"].members.contains(&server));
    world.drained();
    world.settle();
    assert!(world.state.tables.is_free(&server));
    assert_eq!(world.serving(), 2);
}

#[test]
fn scaling_down_and_deleting_drain_first() {
    let mut world = World::new(20);
    world.deploy(3, "v1");
    world.settle();
    world.deploy(1, "v1");
    world.settle();
    assert_eq!(world.serving(), 1);
    assert_eq!(world.state.tables.replicas.len(), 3);
    world.drained();
    world.settle();
    assert_eq!(world.state.tables.replicas.len(), 1);
}

#[test]
fn duties_move_from_a_lost_daemon_and_only_those() {
    let mut world = World::new(20);
    world.deploy(3, "v1");
    world.settle();
    let pool = world.state.tables.pools["d"].clone();
    let (coordinator, standby) = (pool.coordinator.unwrap_or_default(), pool.standby.unwrap_or_default());
    assert_ne!(coordinator, standby);
    let kept: Vec<_> = world
        .state
        .tables
        .replicas
        .values()
        .filter(|row| row.watcher.as_ref() != Some(&coordinator))
        .cloned()
        .collect();
    world.apply(CommandBody::SetLiveness {
        daemon: coordinator.clone(),
        incarnation: 1,
        liveness: Liveness::Lost,
    });
    world.settle();
    assert_eq!(world.state.tables.pools["d"].coordinator.as_ref(), Some(&standby), "the standby takes over");
    assert!(world.state.tables.replicas.values().all(|row| row.watcher.as_ref() != Some(&coordinator)));
    for row in kept {
        assert_eq!(world.state.tables.replicas[&row.name].watcher, row.watcher);
    }
}
