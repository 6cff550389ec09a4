//! Placement decisions on small fleets.

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

/// A fleet to which all planned commands are applied immediately.
struct TestCluster {
    state: State,
    machines: MachineObservations,
    idle: BTreeSet<(String, u64)>,
    now: u64,
}

const ALIVE: MachineState = MachineState::Alive { epoch: 0, loaded: false, replica_digest: 0 };

impl TestCluster {
    /// Creates machines in domains of ten, with domains alternating between two zones, and three daemons.
    fn new(machines: usize) -> TestCluster {
        let mut cluster = TestCluster {
            state: State::default(),
            machines: MachineObservations::default(),
            idle: BTreeSet::new(),
            now: 100_000,
        };
        let versions = json!([{ "name": "v1", "weightsMib": 100 }, { "name": "v2", "weightsMib": 100 }]);
        cluster.store_resource("Model", "m", json!({ "versions": versions, "contextTokens": 1 }));
        for number in 0..machines {
            cluster.store_server(number, false);
            cluster.machines.record(cluster.now, &machine(number), ALIVE);
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
            cluster.apply(CommandBody::JoinDaemon { record, incarnation: 1 });
        }
        cluster
    }

    fn apply(&mut self, body: CommandBody) {
        self.state.apply(&Command { at_ms: self.now, body });
    }

    fn store_resource(&mut self, kind: &str, name: &str, spec: Value) {
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
        self.store_resource("Server", &machine(number), spec);
    }

    fn deploy(&mut self, replicas: u32, version: &str) {
        let spec = json!({ "model": "m", "version": version, "replicas": replicas, "machinesPerReplica": 4 });
        self.store_resource("Deployment", "d", spec);
    }

    fn plan_now(&self) -> Vec<Operator> {
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

    /// Plans and applies commands until none are left, and returns their reasons in order.
    fn apply_until_stable(&mut self) -> Vec<&'static str> {
        let mut reasons = Vec::new();
        for _ in 0..100 {
            let operators = self.plan_now();
            if operators.is_empty() {
                return reasons;
            }
            for operator in operators {
                reasons.push(operator.reason);
                self.apply(operator.body);
            }
            self.complete_orders_of_live_machines();
            self.now += 100;
        }
        panic!("the plan does not become stable: {reasons:?}");
    }

    fn complete_orders_of_live_machines(&mut self) {
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

    fn fail_machine(&mut self, server: &str) {
        self.machines.record(self.now, server, MachineState::Refusing);
        self.now += 1_000;
    }

    fn serving(&self) -> usize {
        self.state.tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Serving).count()
    }

    fn report_drained(&mut self) {
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
    let mut cluster = TestCluster::new(40);
    cluster.deploy(4, "v1");
    cluster.apply_until_stable();
    assert_eq!(cluster.serving(), 4);
    let zones: BTreeSet<&str> =
        cluster.state.tables.replicas.values().take(2).map(|row| row.zone.as_str()).collect();
    assert_eq!(zones.len(), 2);
    let domains: BTreeSet<&str> =
        cluster.state.tables.replicas.values().map(|row| row.domain.as_str()).collect();
    assert_eq!(domains.len(), 4, "every domain keeps spares");
}

#[test]
fn a_lost_machine_is_replaced_by_a_spare_of_its_domain() {
    let mut cluster = TestCluster::new(10);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    let before = cluster.state.tables.replicas["d-1"].clone();
    cluster.fail_machine(&before.members[1]);
    let operators = cluster.plan_now();
    assert_eq!(operators.iter().map(|operator| operator.reason).collect::<Vec<_>>(), ["RepairedWithSpare"]);
    assert!(operators[0].message.contains(&before.members[1]), "{}", operators[0].message);
    cluster.apply_until_stable();
    let after = &cluster.state.tables.replicas["d-1"];
    assert_eq!((after.epoch, &after.members[0]), (2, &before.members[0]), "the head does not change");
    assert!(!after.members.contains(&before.members[1]));
    assert_eq!(cluster.serving(), 2);
}

#[test]
fn a_second_loss_right_after_a_repair_is_repaired_too() {
    let mut cluster = TestCluster::new(10);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    for _ in 0..2 {
        let lost = cluster.state.tables.replicas["d-1"].members[3].clone();
        cluster.fail_machine(&lost);
        cluster.apply_until_stable();
        assert_eq!(cluster.serving(), 2);
    }
    assert_eq!(cluster.state.tables.replicas["d-1"].epoch, 3);
}

#[test]
fn without_a_spare_the_replica_is_formed_in_another_domain() {
    let mut cluster = TestCluster::new(20);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    let row = cluster.state.tables.replicas["d-1"].clone();
    let lost: Vec<String> = (0..20)
        .map(machine)
        .filter(|name| {
            let same_domain = cluster.state.tables.server(name).map(|spec| &spec.domain) == Some(&row.domain);
            same_domain && (!row.members.contains(name) || *name == row.members[0])
        })
        .collect();
    lost.iter().for_each(|server| cluster.fail_machine(server));
    assert!(cluster.apply_until_stable().contains(&"Dissolved"));
    assert_eq!(cluster.serving(), 2);
    assert!(cluster.state.tables.replicas.values().all(|other| other.domain != row.domain));
}

#[test]
fn without_enough_machines_the_shortfall_is_reported_with_its_reason() {
    let mut cluster = TestCluster::new(8);
    cluster.deploy(3, "v1");
    cluster.apply_until_stable();
    assert_eq!(cluster.serving(), 2);
    let shortfalls = shortfalls(&cluster.fleet());
    assert_eq!((shortfalls.len(), shortfalls[0].missing), (1, 1));
    assert!(shortfalls[0].message.contains("no domain has 4 free machines"), "{}", shortfalls[0].message);
}

#[test]
fn a_short_silence_is_tolerated() {
    let mut cluster = TestCluster::new(10);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    let member = cluster.state.tables.replicas["d-1"].members[2].clone();
    cluster.machines.record(cluster.now, &member, MachineState::Silent);
    cluster.now += 1_500;
    assert!(cluster.plan_now().is_empty());
    cluster.now += 2_000;
    assert_eq!(cluster.plan_now().len(), 1);
}

#[test]
fn a_flapping_machine_must_be_stable_twice_as_long_each_time() {
    let mut machines = MachineObservations::default();
    machines.record(0, "a", ALIVE);
    let mut now = 10_000;
    let mut waits = Vec::new();
    for _ in 0..4 {
        machines.record(now, "a", MachineState::Refusing);
        now += 1_000;
        machines.record(now, "a", ALIVE);
        let usable_after =
            (0..200_000).step_by(100).find(|wait| machines.health(now + wait, "a") == MachineHealth::Usable);
        waits.push(usable_after.unwrap_or(0));
        now += 1_000;
    }
    assert!(waits.windows(2).all(|pair| pair[1] == pair[0] * 2), "{waits:?}");
}

#[test]
fn a_rollout_surges_and_keeps_the_declared_number_serving() {
    let mut cluster = TestCluster::new(20);
    cluster.deploy(3, "v1");
    cluster.apply_until_stable();
    cluster.deploy(3, "v2");
    for _ in 0..40 {
        cluster.apply_until_stable();
        assert!(cluster.serving() >= 3, "fewer replicas serve than declared");
        cluster.report_drained();
    }
    assert!(cluster.state.tables.replicas.values().all(|row| row.version == "v2"));
    assert_eq!(cluster.state.tables.replicas.len(), 3);
}

#[test]
fn without_spare_machines_a_rollout_replaces_one_replica_at_a_time() {
    let mut cluster = TestCluster::new(10);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    cluster.deploy(2, "v2");
    let operators = cluster.plan_now();
    assert_eq!(operators.len(), 1);
    assert!(operators[0].message.contains("one replica less"), "{}", operators[0].message);
    for _ in 0..10 {
        cluster.apply_until_stable();
        assert!(cluster.serving() >= 1);
        cluster.report_drained();
    }
    assert!(cluster.state.tables.replicas.values().all(|row| row.version == "v2") && cluster.serving() == 2);
}

#[test]
fn a_drained_server_is_freed_only_once_nothing_is_in_flight() {
    let mut cluster = TestCluster::new(10);
    cluster.deploy(2, "v1");
    cluster.apply_until_stable();
    let server = cluster.state.tables.replicas["d-1"].members[2].clone();
    let number: usize = server.trim_start_matches("machine-").parse().unwrap_or(0);
    cluster.store_server(number, true);
    cluster.apply_until_stable();
    assert_eq!(cluster.state.tables.replicas["d-1"].phase, ReplicaPhase::Draining);
    assert!(cluster.state.tables.replicas["d-1"].members.contains(&server));
    cluster.report_drained();
    cluster.apply_until_stable();
    assert!(cluster.state.tables.is_free(&server));
    assert_eq!(cluster.serving(), 2);
}

#[test]
fn scaling_down_and_deleting_drain_first() {
    let mut cluster = TestCluster::new(20);
    cluster.deploy(3, "v1");
    cluster.apply_until_stable();
    cluster.deploy(1, "v1");
    cluster.apply_until_stable();
    assert_eq!(cluster.serving(), 1);
    assert_eq!(cluster.state.tables.replicas.len(), 3);
    cluster.report_drained();
    cluster.apply_until_stable();
    assert_eq!(cluster.state.tables.replicas.len(), 1);
}

#[test]
fn only_the_assignments_of_a_lost_daemon_move() {
    let mut cluster = TestCluster::new(20);
    cluster.deploy(3, "v1");
    cluster.apply_until_stable();
    let pool = cluster.state.tables.pools["d"].clone();
    let (coordinator, standby) = (pool.coordinator.unwrap_or_default(), pool.standby.unwrap_or_default());
    assert_ne!(coordinator, standby);
    let kept: Vec<_> = cluster
        .state
        .tables
        .replicas
        .values()
        .filter(|row| row.watcher.as_ref() != Some(&coordinator))
        .cloned()
        .collect();
    cluster.apply(CommandBody::SetLiveness {
        daemon: coordinator.clone(),
        incarnation: 1,
        liveness: Liveness::Lost,
    });
    cluster.apply_until_stable();
    assert_eq!(
        cluster.state.tables.pools["d"].coordinator.as_ref(),
        Some(&standby),
        "the standby takes over"
    );
    assert!(cluster.state.tables.replicas.values().all(|row| row.watcher.as_ref() != Some(&coordinator)));
    for row in kept {
        assert_eq!(cluster.state.tables.replicas[&row.name].watcher, row.watcher);
    }
}
