//! What the daemons' probers, watchers and coordinators do in the simulated fleet.

use crate::check::Check;
use crate::daemon::Daemon;
use crate::events::{ReplyTo, ToDaemon};
use crate::fault::Defect;
use crate::machine::Power;
use crate::network::Place;
use crate::world::{MACHINES, World};
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{MachineState, Observation, ReplicaEvidence};
use dockwood_routing::EVIDENCE_WINDOW_MS;
use dockwood_state::{ReplicaPhase, ReplicaRow, Tables};

/// Everything is told to the leader again this often, as the daemon's reporter does.
const RETELL_MS: u64 = 10_000;
/// A draining replica has nothing in flight after this long.
const DRAIN_MS: u64 = 400;
/// Added to the evidence window: clocks drift by a hundredth and a look takes a moment.
const GATE_ALLOWANCE_MS: u64 = 100;

impl World {
    /// One round of a daemon's probes.
    pub(crate) fn probe(&mut self, index: usize) {
        let Some(node) = &self.daemons[index].node else { return };
        let tables = node.tables().clone();
        let own = self.daemons[index].record.name.clone();
        let mut observations = Vec::new();
        let term = self.daemons[index].leader_term;
        if self.daemons[index].told_term != term || self.now >= self.daemons[index].retell_at {
            let daemon = &mut self.daemons[index];
            daemon.told_term = term;
            daemon.retell_at = self.now + RETELL_MS;
            daemon.told.clear();
            daemon.told_idle.clear();
        }
        for machine in 0..MACHINES {
            let name = self.machines[machine].name.clone();
            let declared = tables.server(&name).is_some();
            if !declared || prober(&tables, &name).as_deref() != Some(own.as_str()) {
                self.daemons[index].told.remove(&name);
                continue;
            }
            let state = self.look(index, machine);
            if self.daemons[index].told.insert(name.clone(), state) != Some(state) {
                observations.push(Observation::Machine { server: name, state });
            }
        }
        observations.extend(self.idle_replicas(index, &tables));
        self.tell_leader(index, observations);
        for row in tables.replicas.values().filter(|row| row.watcher.as_deref() == Some(own.as_str())) {
            self.send_evidence(index, &tables, row);
        }
    }

    /// What a daemon sees of a machine.
    fn look(&self, daemon: usize, machine: usize) -> MachineState {
        let (here, there) = (Place::Daemon(daemon), Place::Machine(machine));
        let reachable = self.network.passes(here, there) && self.network.passes(there, here);
        if reachable { self.machines[machine].observed() } else { MachineState::Silent }
    }

    /// Drained replicas of pools that this daemon coordinates.
    fn idle_replicas(&mut self, index: usize, tables: &Tables) -> Vec<Observation> {
        let daemon = &mut self.daemons[index];
        let wall = daemon.moment(self.now).wall_ms;
        let mut idle = Vec::new();
        for row in tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Draining) {
            let pool = tables.pools.get(&row.deployment);
            let mine = pool.is_some_and(|pool| pool.coordinator.as_ref() == Some(&daemon.record.name));
            let drained = wall >= row.since_ms + DRAIN_MS;
            if mine && drained && daemon.told_idle.insert((row.name.clone(), row.epoch)) {
                idle.push(Observation::ReplicaIdle { replica: row.name.clone(), epoch: row.epoch });
            }
        }
        idle
    }

    fn tell_leader(&mut self, index: usize, observations: Vec<Observation>) {
        if observations.is_empty() {
            return;
        }
        let daemon = &mut self.daemons[index];
        let Some(leader) = daemon.leader else {
            daemon.told.clear();
            daemon.told_idle.clear();
            return;
        };
        let reply = ReplyTo::Observation { daemon: index, incarnation: daemon.incarnation };
        let message = ToDaemon::Observe { term: daemon.told_term, observations, reply };
        if self.network.lossy || !self.network.passes(Place::Daemon(index), Place::Daemon(leader)) {
            // The call may fail; everything is told again, as the daemon's reporter does.
            daemon.told.clear();
            daemon.told_idle.clear();
        }
        self.transmit(Place::Daemon(index), leader, None, message);
    }

    fn send_evidence(&mut self, index: usize, tables: &Tables, row: &ReplicaRow) {
        let complete = row.members.iter().all(|server| {
            let machine = self.machines.iter().position(|machine| machine.name == *server);
            machine.is_some_and(|machine| {
                let seen = matches!(self.look(index, machine), MachineState::Alive { .. });
                seen && self.machines[machine].works_for(&row.name, row.epoch)
            })
        });
        let Some(pool) = tables.pools.get(&row.deployment) else { return };
        let recipients: Vec<String> =
            [&pool.coordinator, &pool.standby].into_iter().flatten().cloned().collect();
        for recipient in recipients {
            let Some(to) = self.daemons.iter().position(|daemon| daemon.record.name == recipient) else {
                continue;
            };
            let report = ReplicaEvidence {
                replica: row.name.clone(),
                pool: row.deployment.clone(),
                epoch: row.epoch,
                complete,
                missing: Vec::new(),
                echo_ms: self.daemons[index].echoes.get(&to).copied().unwrap_or(0),
            };
            self.transmit(Place::Daemon(index), to, None, ToDaemon::Evidence { report, from: index });
        }
    }

    pub(crate) fn take_evidence(&mut self, index: usize, report: ReplicaEvidence, from: usize) {
        let now = self.daemons[index].moment(self.now).monotonic;
        self.daemons[index].gate.record(now, &report);
        let echo = ToDaemon::EvidenceEcho { from: index, echo_ms: now };
        self.transmit(Place::Daemon(index), from, None, echo);
    }

    /// Every coordinator that may take new work dispatches to each replica whose gate is open.
    pub(crate) fn dispatch(&mut self) {
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            let takes_work = daemon.is_up(self.now) && daemon.holds_lease(self.now);
            let Some(node) = daemon.node.as_ref().filter(|_| takes_work) else { continue };
            let open: Vec<ReplicaRow> = node
                .tables()
                .replicas
                .values()
                .filter(|row| self.may_dispatch(daemon, row))
                .map(|row| ReplicaRow::clone(row))
                .collect();
            open.iter().for_each(|row| self.judge_dispatch(row));
        }
    }

    fn may_dispatch(&self, daemon: &Daemon, row: &ReplicaRow) -> bool {
        let Some(node) = &daemon.node else { return false };
        let pool = node.tables().pools.get(&row.deployment);
        let coordinates = pool.is_some_and(|pool| pool.coordinator.as_ref() == Some(&daemon.record.name));
        let now = daemon.moment(self.now).monotonic;
        let open = daemon.gate.open_for(now, &row.name, row.epoch).is_some();
        let ignored = self.defect == Some(Defect::GateIgnored);
        coordinates && row.phase == ReplicaPhase::Serving && (open || ignored)
    }

    fn judge_dispatch(&mut self, row: &ReplicaRow) {
        let allowance = EVIDENCE_WINDOW_MS + GATE_ALLOWANCE_MS;
        // A head that has left this epoch refuses the request: nothing is run.
        let head =
            row.members.first().and_then(|head| self.machines.iter().find(|machine| machine.name == *head));
        let refuses =
            head.is_some_and(|head| head.power == Power::On && !head.works_for(&row.name, row.epoch));
        if refuses {
            return;
        }
        for server in &row.members {
            let Some(machine) = self.machines.iter().find(|machine| machine.name == *server) else {
                continue;
            };
            let missing = machine.power != Power::On && self.now > machine.power_since + allowance;
            let foreign = machine.loaded.as_ref().is_some_and(|plan| plan.replica != row.name);
            if missing || foreign {
                let what = if missing { "is missing" } else { "works for another" };
                let detail =
                    format!("dispatched to {} epoch {}, of which {server} {what}", row.name, row.epoch);
                self.checker.fail(Check::GateHolds, self.now, detail);
                return;
            }
        }
    }
}

/// The daemon that probes a machine: its replica's watcher, else by rendezvous hash.
fn prober(tables: &Tables, server: &str) -> Option<String> {
    if let Some(holder) = tables.machines.get(server).and_then(|machine| machine.holder.as_ref()) {
        return tables.replicas.get(&holder.replica).and_then(|row| row.watcher.clone());
    }
    let names = tables.live_daemons().map(|daemon| daemon.record.name.clone());
    names.max_by_key(|name| rendezvous_weight(server, name))
}
