//! Probing, evidence and dispatch: the daemons' probers, watchers and coordinators in the simulated fleet.

use crate::check::Check;
use crate::daemon::Daemon;
use crate::events::{DaemonMessage, ReplyTarget};
use crate::fault::Defect;
use crate::machine::MachineStatus;
use crate::network::Endpoint;
use crate::world::{MACHINES, World};
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{MachineState, Observation, ReplicaEvidence};
use dockwood_routing::EVIDENCE_WINDOW_MS;
use dockwood_state::{ReplicaPhase, ReplicaRow, Tables};

/// Interval of complete reports to the leader, as in the daemon's reporter.
const FULL_REPORT_INTERVAL_MS: u64 = 10_000;
/// Time after which a draining replica has no requests in flight.
const DRAIN_MS: u64 = 400;
/// Tolerance added to the evidence window: clocks drift by up to 1 %, and a probe takes some time.
const GATE_TOLERANCE_MS: u64 = 100;

impl World {
    /// Runs one round of a daemon's probes.
    pub(crate) fn probe(&mut self, index: usize) {
        let Some(node) = &self.daemons[index].node else { return };
        let tables = node.tables().clone();
        let own_name = self.daemons[index].record.name.clone();
        let mut observations = Vec::new();
        let term = self.daemons[index].leader_term;
        if self.daemons[index].reported_term != term || self.now >= self.daemons[index].full_report_at {
            let daemon = &mut self.daemons[index];
            daemon.reported_term = term;
            daemon.full_report_at = self.now + FULL_REPORT_INTERVAL_MS;
            daemon.reported_machines.clear();
            daemon.reported_idle_replicas.clear();
        }
        for machine in 0..MACHINES {
            let name = self.machines[machine].name.clone();
            let is_declared = tables.server(&name).is_some();
            if !is_declared || prober(&tables, &name).as_deref() != Some(own_name.as_str()) {
                self.daemons[index].reported_machines.remove(&name);
                continue;
            }
            let state = self.observe_machine(index, machine);
            if self.daemons[index].reported_machines.insert(name.clone(), state) != Some(state) {
                observations.push(Observation::Machine { server: name, state });
            }
        }
        observations.extend(self.idle_replicas(index, &tables));
        self.report_to_leader(index, observations);
        for row in tables.replicas.values().filter(|row| row.watcher.as_deref() == Some(own_name.as_str())) {
            self.send_evidence(index, &tables, row);
        }
    }

    /// Returns the machine state that a daemon observes.
    fn observe_machine(&self, daemon: usize, machine: usize) -> MachineState {
        let (here, there) = (Endpoint::Daemon(daemon), Endpoint::Machine(machine));
        let is_reachable = self.network.delivers(here, there) && self.network.delivers(there, here);
        if is_reachable { self.machines[machine].observed_state() } else { MachineState::Silent }
    }

    /// Returns the drained replicas of pools that this daemon coordinates, each only once.
    fn idle_replicas(&mut self, index: usize, tables: &Tables) -> Vec<Observation> {
        let daemon = &mut self.daemons[index];
        let wall = daemon.moment(self.now).wall_ms;
        let mut idle = Vec::new();
        for row in tables.replicas.values().filter(|row| row.phase == ReplicaPhase::Draining) {
            let pool = tables.pools.get(&row.deployment);
            let is_coordinator =
                pool.is_some_and(|pool| pool.coordinator.as_ref() == Some(&daemon.record.name));
            let is_drained = wall >= row.since_ms + DRAIN_MS;
            if is_coordinator
                && is_drained
                && daemon.reported_idle_replicas.insert((row.name.clone(), row.epoch))
            {
                idle.push(Observation::ReplicaIdle { replica: row.name.clone(), epoch: row.epoch });
            }
        }
        idle
    }

    fn report_to_leader(&mut self, index: usize, observations: Vec<Observation>) {
        if observations.is_empty() {
            return;
        }
        let daemon = &mut self.daemons[index];
        let Some(leader) = daemon.leader else {
            daemon.reported_machines.clear();
            daemon.reported_idle_replicas.clear();
            return;
        };
        let reply = ReplyTarget::Observation { daemon: index, incarnation: daemon.incarnation };
        let message = DaemonMessage::Observe { term: daemon.reported_term, observations, reply };
        if self.network.lossy || !self.network.delivers(Endpoint::Daemon(index), Endpoint::Daemon(leader)) {
            // The call may fail, so everything is reported again, as the daemon's reporter does.
            daemon.reported_machines.clear();
            daemon.reported_idle_replicas.clear();
        }
        self.send_to_daemon(Endpoint::Daemon(index), leader, None, message);
    }

    fn send_evidence(&mut self, index: usize, tables: &Tables, row: &ReplicaRow) {
        let complete = row.members.iter().all(|server| {
            let machine = self.machines.iter().position(|machine| machine.name == *server);
            machine.is_some_and(|machine| {
                let is_alive = matches!(self.observe_machine(index, machine), MachineState::Alive { .. });
                is_alive && self.machines[machine].works_for(&row.name, row.epoch)
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
            self.send_to_daemon(
                Endpoint::Daemon(index),
                to,
                None,
                DaemonMessage::Evidence { report, from: index },
            );
        }
    }

    pub(crate) fn receive_evidence(&mut self, index: usize, report: ReplicaEvidence, from: usize) {
        let now = self.daemons[index].moment(self.now).monotonic;
        self.daemons[index].gate.record(now, &report);
        let echo = DaemonMessage::EvidenceEcho { from: index, echo_ms: now };
        self.send_to_daemon(Endpoint::Daemon(index), from, None, echo);
    }

    /// Lets every coordinator that may take new work dispatch to each replica whose gate is open.
    pub(crate) fn dispatch(&mut self) {
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            let may_take_work = daemon.is_up(self.now) && daemon.holds_lease(self.now);
            let Some(node) = daemon.node.as_ref().filter(|_| may_take_work) else { continue };
            let open: Vec<ReplicaRow> = node
                .tables()
                .replicas
                .values()
                .filter(|row| self.may_dispatch(daemon, row))
                .map(|row| ReplicaRow::clone(row))
                .collect();
            open.iter().for_each(|row| self.check_dispatch(row));
        }
    }

    fn may_dispatch(&self, daemon: &Daemon, row: &ReplicaRow) -> bool {
        let Some(node) = &daemon.node else { return false };
        let pool = node.tables().pools.get(&row.deployment);
        let is_coordinator = pool.is_some_and(|pool| pool.coordinator.as_ref() == Some(&daemon.record.name));
        let now = daemon.moment(self.now).monotonic;
        let is_open = daemon.gate.open_for(now, &row.name, row.epoch).is_some();
        let is_ignored = self.defect == Some(Defect::GateIgnored);
        is_coordinator && row.phase == ReplicaPhase::Serving && (is_open || is_ignored)
    }

    fn check_dispatch(&mut self, row: &ReplicaRow) {
        let tolerance = EVIDENCE_WINDOW_MS + GATE_TOLERANCE_MS;
        // A head that is no longer in this epoch refuses the request, so nothing runs.
        let head =
            row.members.first().and_then(|head| self.machines.iter().find(|machine| machine.name == *head));
        let is_refused = head
            .is_some_and(|head| head.status == MachineStatus::On && !head.works_for(&row.name, row.epoch));
        if is_refused {
            return;
        }
        for server in &row.members {
            let Some(machine) = self.machines.iter().find(|machine| machine.name == *server) else {
                continue;
            };
            let is_missing =
                machine.status != MachineStatus::On && self.now > machine.status_since + tolerance;
            let is_in_other_replica = machine.loaded.as_ref().is_some_and(|plan| plan.replica != row.name);
            if is_missing || is_in_other_replica {
                let state = if is_missing { "is missing" } else { "works for another replica" };
                let detail =
                    format!("dispatched to {} epoch {}, whose member {server} {state}", row.name, row.epoch);
                self.checker.fail(Check::GateHolds, self.now, detail);
                return;
            }
        }
    }
}

/// Returns the daemon that probes a machine: the watcher of its replica, or the one that rendezvous hashing
/// selects.
fn prober(tables: &Tables, server: &str) -> Option<String> {
    if let Some(holder) = tables.machines.get(server).and_then(|machine| machine.holder.as_ref()) {
        return tables.replicas.get(&holder.replica).and_then(|row| row.watcher.clone());
    }
    let names = tables.live_daemons().map(|daemon| daemon.record.name.clone());
    names.max_by_key(|name| rendezvous_weight(server, name))
}
