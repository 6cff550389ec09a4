//! Scenarios: bring the fleet to a step of its lifecycle, inject faults there, heal them, and check that the
//! fleet recovers.

use crate::check::{Check, Violation};
use crate::fault::{Defect, Fault};
use crate::fault_injection::{drain_random_member, fail_random_member, inject};
use crate::machine::MachineStatus;
use crate::measures::{Measures, count_working};
use crate::operator::{apply, server_spec};
use crate::world::{DAEMONS, MACHINES, World};
use dockwood_api::resource::Kind;
use dockwood_control::Options;
use dockwood_placement::PlacementPolicy;
use dockwood_state::{Liveness, ReplicaPhase, ReplicaRow};
use rand::RngExt;
use serde::Serialize;
use serde_json::json;
use std::sync::Arc;

/// Log entries before a snapshot: few, so that runs compact often.
const COMPACT_AFTER_ENTRIES: u64 = 60;
const START_LIMIT_MS: u64 = 20_000;
const FORM_LIMIT_MS: u64 = 20_000;
const STEP_LIMIT_MS: u64 = 6_000;
/// Time for faults to take effect before everything is healed.
const FAULT_EFFECT_MS: u64 = 12_000;
const RECOVER_LIMIT_MS: u64 = 60_000;
/// Number of replicas declared in every scenario.
const REPLICAS: u32 = 2;

/// The step of the system's lifecycle at which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Step {
    /// An operator's change is in transit.
    Apply,
    /// A control leader is being elected.
    Elect,
    /// Replicas are being formed.
    Form,
    /// Machines are loading.
    Load,
    /// All declared replicas serve.
    Serve,
    /// A replica is being repaired.
    Repair,
    /// A replica has just been repaired.
    AfterRepair,
    /// A server is being drained.
    Drain,
    /// A new version is being rolled out.
    Rollout,
    /// The log has just been compacted.
    Snapshot,
    /// A daemon hands over its duties.
    HandOver,
}

impl Step {
    /// All steps.
    pub const ALL: [Step; 11] = [
        Step::Apply,
        Step::Elect,
        Step::Form,
        Step::Load,
        Step::Serve,
        Step::Repair,
        Step::AfterRepair,
        Step::Drain,
        Step::Rollout,
        Step::Snapshot,
        Step::HandOver,
    ];
}

/// The parameters of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunPlan {
    /// Seed of all randomness of the run.
    pub seed: u64,
    /// The step at which the faults are injected.
    pub step: Step,
    /// The faults, in order of injection.
    pub faults: Vec<Fault>,
    /// A defect to inject, which shows that the checks detect it.
    pub defect: Option<Defect>,
    /// Placement policy for replicas.
    #[serde(skip)]
    pub placement: PlacementPolicy,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Failed checks; a run stops at the first one.
    pub violations: Vec<Violation>,
    /// Measures of the run.
    pub measures: Measures,
    /// Simulated time from the first fault to recovery, in milliseconds; `None` if the fleet did not recover.
    pub recovered_ms: Option<u64>,
}

/// Runs a plan. Equal plans give equal results.
pub fn run(plan: &RunPlan) -> RunResult {
    let options = Options {
        compact_after_entries: COMPACT_AFTER_ENTRIES,
        placement: plan.placement,
        ..Options::default()
    };
    let mut world = World::new(plan.seed, options, plan.defect);
    let started = start_fleet(&mut world);
    let mut recovered_ms = None;
    if started && advance_to_step(&mut world, plan.step) {
        let faults_started_at = world.now;
        for fault in &plan.faults {
            let pause = world.random.random_range(0..1_500);
            inject(&mut world, *fault);
            let until = world.now + pause;
            world.run_until(until);
        }
        let until = world.now + FAULT_EFFECT_MS;
        world.run_until(until);
        recovered_ms = heal_and_recover(&mut world).then(|| world.now - faults_started_at);
    } else if world.checker.violations.is_empty() {
        let now = world.now;
        world.checker.fail(Check::Recovers, now, format!("the run did not reach step {:?}", plan.step));
    }
    if world.checker.violations.is_empty() {
        resend_all_changes(&mut world);
    }
    RunResult { violations: world.checker.violations, measures: world.measures, recovered_ms }
}

fn deploy(world: &mut World, id: &str, version: &str) {
    let spec = json!({ "model": "m", "version": version, "replicas": REPLICAS, "machinesPerReplica": 4 });
    apply(world, id, "Deployment", "d", spec);
}

/// Starts the fleet: declares the machines, and waits until every daemon holds its lease.
fn start_fleet(world: &mut World) -> bool {
    let versions = json!([{ "name": "v1", "weightsMib": 100 }, { "name": "v2", "weightsMib": 100 }]);
    apply(world, "model", "Model", "m", json!({ "versions": versions, "contextTokens": 1 }));
    for index in 0..MACHINES {
        let checks_fences = world.machines[index].checks_fences;
        let name = world.machines[index].name.clone();
        apply(world, &format!("server-{index}"), "Server", &name, server_spec(index, false, checks_fences));
    }
    world.run_until_true(START_LIMIT_MS, |world| {
        let leases = world.daemons.iter().all(|daemon| daemon.holds_lease(world.now));
        let tables = world.newest_tables();
        leases && world.all_answered() && tables.daemons.len() == DAEMONS
    })
}

fn all_replicas_serve(world: &World) -> bool {
    let tables = world.newest_tables();
    let serving = tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Serving).count();
    serving >= REPLICAS as usize && count_working(&world.machines, &tables).0 >= REPLICAS as usize
}

fn deploy_and_serve(world: &mut World) -> bool {
    deploy(world, "deploy", "v1");
    let formed =
        world.run_until_true(FORM_LIMIT_MS, |world| world.all_answered() && all_replicas_serve(world));
    world.start_measuring(REPLICAS as usize);
    formed
}

/// Brings the fleet to a step and starts measuring.
fn advance_to_step(world: &mut World, step: Step) -> bool {
    if matches!(step, Step::Form | Step::Load) {
        deploy(world, "deploy", "v1");
        world.start_measuring(REPLICAS as usize);
        return world.run_until_true(STEP_LIMIT_MS, |world| {
            let tables = world.newest_tables();
            let loading = world.machines.iter().any(|machine| machine.order.is_some());
            !tables.replicas.is_empty() && (step == Step::Form || loading)
        });
    }
    if !deploy_and_serve(world) {
        return false;
    }
    match step {
        Step::Serve => {
            let until = world.now + world.random.random_range(0..500);
            world.run_until(until);
            true
        }
        Step::Apply => {
            deploy(world, "apply", "v1");
            let until = world.now + world.random.random_range(0..20);
            world.run_until(until);
            true
        }
        Step::Elect => {
            if let Some(leader) = world.leader() {
                world.kill_daemon(leader, true);
            }
            let until = world.now + world.random.random_range(300..900);
            world.run_until(until);
            true
        }
        Step::Repair => {
            fail_random_member(world, MachineStatus::Off);
            world.run_until_true(STEP_LIMIT_MS, |world| {
                world.newest_tables().replicas.values().any(is_repaired)
            })
        }
        Step::AfterRepair => {
            fail_random_member(world, MachineStatus::Off);
            let repaired = |world: &World| {
                let tables = world.newest_tables();
                tables.replicas.values().any(|row| is_repaired(row) && row.phase == ReplicaPhase::Serving)
            };
            world.run_until_true(STEP_LIMIT_MS, repaired)
        }
        Step::Drain => {
            drain_random_member(world);
            world.run_until_true(STEP_LIMIT_MS, |world| {
                let tables = world.newest_tables();
                tables.replicas.len() > REPLICAS as usize
                    || tables.replicas.values().any(|row| row.phase == ReplicaPhase::Draining)
            })
        }
        Step::Rollout => {
            deploy(world, "rollout", "v2");
            world.run_until_true(STEP_LIMIT_MS, |world| {
                let tables = world.newest_tables();
                tables.replicas.values().any(|row| row.version == "v2" || row.phase == ReplicaPhase::Draining)
            })
        }
        Step::Snapshot => {
            let before = newest_snapshot(world);
            for number in 0..COMPACT_AFTER_ENTRIES {
                apply(
                    world,
                    &format!("tenant-{number}"),
                    "Tenant",
                    "t",
                    json!({ "tier": number % 2, "keys": ["12345678"] }),
                );
            }
            world.run_until_true(STEP_LIMIT_MS, move |world| newest_snapshot(world) > before)
        }
        Step::HandOver => {
            let tables = world.newest_tables();
            let coordinator = tables.pools.get("d").and_then(|pool| pool.coordinator.clone());
            world.leaving_daemon =
                world.daemons.iter().position(|daemon| Some(&daemon.record.name) == coordinator.as_ref());
            world.run_until_true(STEP_LIMIT_MS, |world| {
                world.newest_tables().daemons.values().any(|daemon| daemon.liveness == Liveness::Leaving)
            })
        }
        Step::Form | Step::Load => true,
    }
}

/// Whether a replica replaces one that lost a machine: under a new epoch, or as a newly formed replica.
fn is_repaired(row: &Arc<ReplicaRow>) -> bool {
    let number = row.name.rsplit('-').next().and_then(|number| number.parse::<u32>().ok());
    row.epoch > 1 || number.is_some_and(|number| number > REPLICAS)
}

fn newest_snapshot(world: &World) -> u64 {
    let cores = world.daemons.iter().filter_map(|daemon| daemon.node.as_ref()?.core());
    cores.map(|core| core.snapshot_index()).max().unwrap_or(0)
}

/// Heals all faults and waits for recovery.
fn heal_and_recover(world: &mut World) -> bool {
    world.network.heal();
    world.leaving_daemon = None;
    for index in 0..DAEMONS {
        world.daemons[index].crash_at_sync = None;
        world.start_daemon(index);
    }
    for machine in 0..MACHINES {
        let now = world.now;
        world.machines[machine].set_status(now, MachineStatus::On);
    }
    let recovered = world.run_until_true(RECOVER_LIMIT_MS, has_recovered);
    if !recovered && world.checker.violations.is_empty() {
        let detail = describe_state(world);
        let now = world.now;
        world.checker.fail(Check::Recovers, now, detail);
    }
    recovered
}

fn has_recovered(world: &World) -> bool {
    let revisions: Vec<u64> = world.daemons.iter().map(|daemon| daemon.revision()).collect();
    let agree = revisions.iter().all(|revision| *revision == revisions[0]);
    let leases = world.daemons.iter().all(|daemon| daemon.holds_lease(world.now));
    let in_force = world
        .daemons
        .iter()
        .filter_map(|daemon| daemon.node.as_ref())
        .all(|node| node.in_force_revision() == revisions[0]);
    agree && leases && in_force && world.all_answered() && all_replicas_serve(world)
}

fn describe_state(world: &World) -> String {
    let tables = world.newest_tables();
    let replicas: Vec<String> = tables
        .replicas
        .values()
        .map(|row| format!("{} {:?} epoch {} {:?}", row.name, row.phase, row.epoch, row.members))
        .collect();
    let machines: Vec<String> = world
        .machines
        .iter()
        .map(|machine| {
            let loaded = machine.loaded.as_ref().map(|plan| format!("{}/{}", plan.replica, plan.epoch));
            format!("{} {:?} {loaded:?}", machine.name, machine.status)
        })
        .collect();
    let revisions: Vec<u64> = world.daemons.iter().map(|daemon| daemon.revision()).collect();
    let cores: Vec<String> = world
        .daemons
        .iter()
        .filter_map(|daemon| daemon.node.as_ref()?.core())
        .map(|core| {
            format!(
                "{:?} term {} commit {} last {} snapshot {}",
                core.role(),
                core.term(),
                core.commit_index(),
                core.last_index(),
                core.snapshot_index()
            )
        })
        .collect();
    format!(
        "leader {:?}, cores {cores:?}, revisions {revisions:?}, answered {}, replicas {replicas:?}, machines {machines:?}",
        world.leader(),
        world.all_answered()
    )
}

/// Resends every change: an answered one must get the same answer, also after restarts and compaction.
fn resend_all_changes(world: &mut World) {
    (0..world.changes.len()).for_each(|change| world.resend_change(change));
    let until = world.now + 2_000;
    world.run_until(until);
    let tables = world.newest_tables();
    if tables.resource(Kind::Deployment, "d").is_none() {
        let now = world.now;
        world.checker.fail(
            Check::ChangesStay,
            now,
            "the deployment is missing after the resends".to_string(),
        );
    }
}
