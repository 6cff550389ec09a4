//! Scenarios: bring the fleet to a step of its life, let things fail there, heal, and see that all is well.

use crate::check::{Check, Violation};
use crate::fault::{Defect, Fault};
use crate::injection::{bring_about, drain_member, lose_member};
use crate::machine::Power;
use crate::measure::{Measures, working};
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

/// Entries in the log before a snapshot: few, so that runs compact often.
const COMPACT_AFTER_ENTRIES: u64 = 60;
const START_LIMIT_MS: u64 = 20_000;
const FORM_LIMIT_MS: u64 = 20_000;
const STEP_LIMIT_MS: u64 = 6_000;
/// Time for a fault to have its effects, before everything is healed.
const FAULT_MS: u64 = 12_000;
const RECOVER_LIMIT_MS: u64 = 60_000;
/// Replicas declared in every scenario.
const REPLICAS: u32 = 2;

/// A step in the system's life, during which things fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Step {
    /// An operator's change is on its way.
    Apply,
    /// A control leader is being elected.
    Elect,
    /// Replicas are being formed.
    Form,
    /// Machines are loading.
    Load,
    /// Everything serves.
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
    /// A daemon hands its duties over.
    HandOver,
}

impl Step {
    /// Every step.
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

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct RunPlan {
    /// Seeds everything.
    pub seed: u64,
    /// Where things fail.
    pub step: Step,
    /// What fails, in order.
    pub faults: Vec<Fault>,
    /// A defect of the code, to prove the checks.
    pub defect: Option<Defect>,
    /// How replicas are placed.
    #[serde(skip)]
    pub placement: PlacementPolicy,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Checks that failed; a run stops at the first.
    pub violations: Vec<Violation>,
    /// The two measures.
    pub measures: Measures,
    /// Simulated time from the first fault until all was well again.
    pub recovered_ms: Option<u64>,
}

/// Runs a plan. The same plan gives the same result.
pub fn run(plan: &RunPlan) -> RunResult {
    let options = Options {
        compact_after_entries: COMPACT_AFTER_ENTRIES,
        placement: plan.placement,
        ..Options::default()
    };
    let mut world = World::new(plan.seed, options, plan.defect);
    let started = start(&mut world);
    let mut recovered_ms = None;
    if started && reach(&mut world, plan.step) {
        let begun = world.now;
        for fault in &plan.faults {
            let pause = world.random.random_range(0..1_500);
            bring_about(&mut world, *fault);
            let until = world.now + pause;
            world.run_until(until);
        }
        let until = world.now + FAULT_MS;
        world.run_until(until);
        recovered_ms = recover(&mut world).then(|| world.now - begun);
    } else if world.checker.violations.is_empty() {
        let now = world.now;
        world.checker.fail(Check::Recovers, now, format!("the run did not get as far as {:?}", plan.step));
    }
    if world.checker.violations.is_empty() {
        resend_everything(&mut world);
    }
    RunResult { violations: world.checker.violations, measures: world.measures, recovered_ms }
}

fn deploy(world: &mut World, id: &str, version: &str) {
    let spec = json!({ "model": "m", "version": version, "replicas": REPLICAS, "machinesPerReplica": 4 });
    apply(world, id, "Deployment", "d", spec);
}

/// Brings the fleet up to where machines are declared and every daemon holds its lease.
fn start(world: &mut World) -> bool {
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

fn all_serve(world: &World) -> bool {
    let tables = world.newest_tables();
    let serving = tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Serving).count();
    serving >= REPLICAS as usize && working(&world.machines, &tables).0 >= REPLICAS as usize
}

fn serve(world: &mut World) -> bool {
    deploy(world, "deploy", "v1");
    let formed = world.run_until_true(FORM_LIMIT_MS, |world| world.all_answered() && all_serve(world));
    world.measure(REPLICAS as usize);
    formed
}

/// Brings the fleet to a step, and starts to measure.
fn reach(world: &mut World, step: Step) -> bool {
    if matches!(step, Step::Form | Step::Load) {
        deploy(world, "deploy", "v1");
        world.measure(REPLICAS as usize);
        return world.run_until_true(STEP_LIMIT_MS, |world| {
            let tables = world.newest_tables();
            let loading = world.machines.iter().any(|machine| machine.order.is_some());
            !tables.replicas.is_empty() && (step == Step::Form || loading)
        });
    }
    if !serve(world) {
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
            lose_member(world, Power::Off);
            world.run_until_true(STEP_LIMIT_MS, |world| {
                world.newest_tables().replicas.values().any(is_repaired)
            })
        }
        Step::AfterRepair => {
            lose_member(world, Power::Off);
            let repaired = |world: &World| {
                let tables = world.newest_tables();
                tables.replicas.values().any(|row| is_repaired(row) && row.phase == ReplicaPhase::Serving)
            };
            world.run_until_true(STEP_LIMIT_MS, repaired)
        }
        Step::Drain => {
            drain_member(world);
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
            world.leaving =
                world.daemons.iter().position(|daemon| Some(&daemon.record.name) == coordinator.as_ref());
            world.run_until_true(STEP_LIMIT_MS, |world| {
                world.newest_tables().daemons.values().any(|daemon| daemon.liveness == Liveness::Leaving)
            })
        }
        Step::Form | Step::Load => true,
    }
}

/// Whether a replica has taken the place of one that lost a machine: by a new epoch, or formed anew.
fn is_repaired(row: &Arc<ReplicaRow>) -> bool {
    let number = row.name.rsplit('-').next().and_then(|number| number.parse::<u32>().ok());
    row.epoch > 1 || number.is_some_and(|number| number > REPLICAS)
}

fn newest_snapshot(world: &World) -> u64 {
    let cores = world.daemons.iter().filter_map(|daemon| daemon.node.as_ref()?.core());
    cores.map(|core| core.snapshot_index()).max().unwrap_or(0)
}

/// Heals everything and waits until all is well.
fn recover(world: &mut World) -> bool {
    world.network.heal();
    world.leaving = None;
    for index in 0..DAEMONS {
        world.daemons[index].dies_at_sync = None;
        world.start_daemon(index);
    }
    for machine in 0..MACHINES {
        let now = world.now;
        world.machines[machine].set_power(now, Power::On);
    }
    let well = world.run_until_true(RECOVER_LIMIT_MS, is_well);
    if !well && world.checker.violations.is_empty() {
        let detail = describe(world);
        let now = world.now;
        world.checker.fail(Check::Recovers, now, detail);
    }
    well
}

fn is_well(world: &World) -> bool {
    let revisions: Vec<u64> = world.daemons.iter().map(|daemon| daemon.revision()).collect();
    let agree = revisions.iter().all(|revision| *revision == revisions[0]);
    let leases = world.daemons.iter().all(|daemon| daemon.holds_lease(world.now));
    let in_force = world
        .daemons
        .iter()
        .filter_map(|daemon| daemon.node.as_ref())
        .all(|node| node.in_force_revision() == revisions[0]);
    agree && leases && in_force && world.all_answered() && all_serve(world)
}

fn describe(world: &World) -> String {
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
            format!("{} {:?} {loaded:?}", machine.name, machine.power)
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

/// Every answered change is sent once more; its answer must be the same, also after restarts and compaction.
fn resend_everything(world: &mut World) {
    (0..world.changes.len()).for_each(|change| world.resend_change(change));
    let until = world.now + 2_000;
    world.run_until(until);
    let tables = world.newest_tables();
    if tables.resource(Kind::Deployment, "d").is_none() {
        let now = world.now;
        world.checker.fail(Check::ChangesStay, now, "the deployment is gone".to_string());
    }
}
