//! Brings faults about in a simulated fleet.

use crate::events::Event;
use crate::fault::Fault;
use crate::machine::Power;
use crate::network::Place;
use crate::operator::{Change, apply, resource, server_spec};
use crate::world::{DAEMONS, MACHINE_RESTART_MS, MACHINES, VOTERS, World};
use dockwood_api::resource::Kind;
use dockwood_state::ChangeAction;
use rand::RngExt;
use serde_json::json;

/// A machine of a replica, picked by the seed; `None` before any replica is formed.
fn member(world: &mut World, but_not: Option<usize>) -> Option<usize> {
    let tables = world.newest_tables();
    let row = tables.replicas.values().next()?;
    let candidates: Vec<usize> = (0..MACHINES)
        .filter(|index| row.members.contains(&world.machines[*index].name) && Some(*index) != but_not)
        .filter(|index| world.machines[*index].power == Power::On)
        .collect();
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[world.random.random_range(0..candidates.len())])
}

pub(crate) fn lose_member(world: &mut World, power: Power) -> Option<usize> {
    let index = member(world, None)?;
    world.fail_machine(index, power, MACHINE_RESTART_MS);
    Some(index)
}

pub(crate) fn drain_member(world: &mut World) {
    if let Some(index) = member(world, None) {
        let checks_fences = world.machines[index].checks_fences;
        let name = world.machines[index].name.clone();
        apply(world, "drain", "Server", &name, server_spec(index, true, checks_fences));
    }
}

fn everybody() -> impl Iterator<Item = Place> {
    let daemons = (0..DAEMONS).map(Place::Daemon);
    daemons.chain((0..MACHINES).map(Place::Machine)).chain([Place::Operator])
}

pub(crate) fn bring_about(world: &mut World, fault: Fault) {
    const NETWORK_FAULT_MS: u64 = 4_000;
    const SILENCE_MS: u64 = 5_000;
    let now = world.now;
    let leader = world.leader().unwrap_or(0);
    match fault {
        Fault::KillLeader => world.kill_daemon(leader, true),
        Fault::KillLeaderAtSync => {
            let before = world.random.random_range(0..2) == 0;
            world.daemons[leader].dies_at_sync = Some(before);
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
            world.network.cut_off(Place::Daemon(leader), everybody());
            world.queue.push(now + NETWORK_FAULT_MS * 2, Event::HealNetwork);
        }
        Fault::MuteLeader => {
            for other in everybody() {
                world.network.cut_one_way(Place::Daemon(leader), other);
            }
            world.queue.push(now + NETWORK_FAULT_MS, Event::HealNetwork);
        }
        Fault::LossyNetwork => {
            world.network.lossy = true;
            world.queue.push(now + NETWORK_FAULT_MS, Event::HealNetwork);
        }
        Fault::KillAllVoters => (0..VOTERS).for_each(|voter| world.kill_daemon(voter, true)),
        Fault::KillMachine => drop(lose_member(world, Power::Off)),
        Fault::RestartMachine => {
            if let Some(index) = member(world, None) {
                world.machines[index].set_power(now, Power::Off);
                world.queue.push(now + 100, Event::StartMachine { machine: index });
            }
        }
        Fault::SilenceMachine => {
            if let Some(index) = member(world, None) {
                world.fail_machine(index, Power::Silent, SILENCE_MS);
            }
        }
        Fault::KillTwoMachines => {
            let first = lose_member(world, Power::Off);
            if let Some(second) = member(world, first) {
                world.fail_machine(second, Power::Off, MACHINE_RESTART_MS);
            }
        }
        Fault::RaceOperators => race(world),
        Fault::LoseAnswers => {
            deploy_again(world);
            for change in &mut world.changes {
                change.deaf_until = now + 2_000;
            }
        }
    }
}

/// Two changes of one tenant at one version, with different content.
fn race(world: &mut World) {
    let tables = world.newest_tables();
    let version = tables.resource(Kind::Server, "m00").map_or(0, |one| one.metadata.resource_version);
    let number = world.changes.len();
    for racer in 0..2_usize {
        let mut spec = server_spec(0, false, world.machines[0].checks_fences);
        spec["zone"] = json!(format!("race-{racer}"));
        if let Some(resource) = resource("Server", "m00", version, spec) {
            let action = ChangeAction::Update(resource);
            world.submit(Change::new(format!("race-{number}-{racer}"), action));
        }
    }
}

fn deploy_again(world: &mut World) {
    let number = world.changes.len();
    let spec = json!({ "tier": number % 2, "keys": ["87654321"] });
    apply(world, &format!("again-{number}"), "Tenant", "u", spec);
}
