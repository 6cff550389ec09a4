//! Injects faults into the simulated fleet.

use crate::events::Event;
use crate::fault::Fault;
use crate::machine::MachineStatus;
use crate::network::Endpoint;
use crate::operator::{Change, apply, resource, server_spec};
use crate::world::{DAEMONS, MACHINE_RESTART_DELAY_MS, MACHINES, VOTERS, World};
use dockwood_api::resource::Kind;
use dockwood_state::ChangeAction;
use rand::RngExt;
use serde_json::json;

/// Returns a random running machine of the first replica other than `excluded`; `None` if there is none, as
/// before any replica is formed.
fn random_member(world: &mut World, excluded: Option<usize>) -> Option<usize> {
    let tables = world.newest_tables();
    let row = tables.replicas.values().next()?;
    let candidates: Vec<usize> = (0..MACHINES)
        .filter(|index| row.members.contains(&world.machines[*index].name) && Some(*index) != excluded)
        .filter(|index| world.machines[*index].status == MachineStatus::On)
        .collect();
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[world.random.random_range(0..candidates.len())])
}

pub(crate) fn fail_random_member(world: &mut World, status: MachineStatus) -> Option<usize> {
    let index = random_member(world, None)?;
    world.fail_machine(index, status, MACHINE_RESTART_DELAY_MS);
    Some(index)
}

pub(crate) fn drain_random_member(world: &mut World) {
    if let Some(index) = random_member(world, None) {
        let checks_fences = world.machines[index].checks_fences;
        let name = world.machines[index].name.clone();
        apply(world, "drain", "Server", &name, server_spec(index, true, checks_fences));
    }
}

fn all_endpoints() -> impl Iterator<Item = Endpoint> {
    let daemons = (0..DAEMONS).map(Endpoint::Daemon);
    daemons.chain((0..MACHINES).map(Endpoint::Machine)).chain([Endpoint::Operator])
}

pub(crate) fn inject(world: &mut World, fault: Fault) {
    const NETWORK_FAULT_MS: u64 = 4_000;
    const SILENCE_MS: u64 = 5_000;
    let now = world.now;
    let leader = world.leader().unwrap_or(0);
    match fault {
        Fault::KillLeader => world.kill_daemon(leader, true),
        Fault::KillLeaderAtSync => {
            let before = world.random.random_range(0..2) == 0;
            world.daemons[leader].crash_at_sync = Some(before);
        }
        Fault::KillFollower => world.kill_daemon((leader + 1) % VOTERS, true),
        Fault::KillCoordinator => {
            let tables = world.newest_tables();
            let coordinator = tables.pools.get("d").and_then(|pool| pool.coordinator.clone());
            let index =
                world.daemons.iter().position(|daemon| Some(&daemon.record.name) == coordinator.as_ref());
            world.kill_daemon(index.unwrap_or(DAEMONS - 1), true);
        }
        Fault::PauseLeader => world.daemons[leader].paused_until = now + 10_000,
        Fault::PauseDaemon => world.daemons[DAEMONS - 1].paused_until = now + 6_000,
        Fault::CutOffLeader => {
            world.network.isolate(Endpoint::Daemon(leader), all_endpoints());
            world.queue.push(now + NETWORK_FAULT_MS * 2, Event::HealNetwork);
        }
        Fault::MuteLeader => {
            for other in all_endpoints() {
                world.network.block_one_way(Endpoint::Daemon(leader), other);
            }
            world.queue.push(now + NETWORK_FAULT_MS, Event::HealNetwork);
        }
        Fault::LossyNetwork => {
            world.network.lossy = true;
            world.queue.push(now + NETWORK_FAULT_MS, Event::HealNetwork);
        }
        Fault::KillAllVoters => (0..VOTERS).for_each(|voter| world.kill_daemon(voter, true)),
        Fault::KillMachine => drop(fail_random_member(world, MachineStatus::Off)),
        Fault::RestartMachine => {
            if let Some(index) = random_member(world, None) {
                world.machines[index].set_status(now, MachineStatus::Off);
                world.queue.push(now + 100, Event::StartMachine { machine: index });
            }
        }
        Fault::SilenceMachine => {
            if let Some(index) = random_member(world, None) {
                world.fail_machine(index, MachineStatus::Silent, SILENCE_MS);
            }
        }
        Fault::KillTwoMachines => {
            let first = fail_random_member(world, MachineStatus::Off);
            if let Some(second) = random_member(world, first) {
                world.fail_machine(second, MachineStatus::Off, MACHINE_RESTART_DELAY_MS);
            }
        }
        Fault::RaceOperators => submit_conflicting_updates(world),
        Fault::LoseAnswers => {
            submit_tenant_change(world);
            for change in &mut world.changes {
                change.loses_answers_until = now + 2_000;
            }
        }
    }
}

/// Submits two updates of one server at the same resource version, with different content.
fn submit_conflicting_updates(world: &mut World) {
    let tables = world.newest_tables();
    let version = tables.resource(Kind::Server, "m00").map_or(0, |one| one.metadata.resource_version);
    let number = world.changes.len();
    for index in 0..2_usize {
        let mut spec = server_spec(0, false, world.machines[0].checks_fences);
        spec["zone"] = json!(format!("race-{index}"));
        if let Some(resource) = resource("Server", "m00", version, spec) {
            let action = ChangeAction::Update(resource);
            world.submit(Change::new(format!("race-{number}-{index}"), action));
        }
    }
}

fn submit_tenant_change(world: &mut World) {
    let number = world.changes.len();
    let spec = json!({ "tier": number % 2, "keys": ["87654321"] });
    apply(world, &format!("again-{number}"), "Tenant", "u", spec);
}
