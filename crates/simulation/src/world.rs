//! The simulated fleet: processes events, drives the daemons' control nodes, and checks the invariants after
//! every event.

use crate::check::Checker;
use crate::daemon::Daemon;
use crate::events::{DaemonMessage, Event, EventQueue};
use crate::fault::Defect;
use crate::machine::{Machine, MachineStatus};
use crate::measures::Measures;
use crate::network::{Endpoint, Network};
use crate::operator::Change;
use dockwood_api::peer::DaemonRecord;
use dockwood_consensus::{Node, Settings};
use dockwood_control::{ControlNode, Input, Options};
use dockwood_state::Tables;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const VOTER_TICK_INTERVAL_MS: u64 = 20;
const FOLLOWER_TICK_INTERVAL_MS: u64 = 250;
pub(crate) const NO_LEADER_RETRY_MS: u64 = 50;
pub(crate) const PROBE_INTERVAL_MS: u64 = 300;
const DISPATCH_INTERVAL_MS: u64 = 150;
const SAMPLE_INTERVAL_MS: u64 = 50;
const ELECTION_TIMEOUT_MS: u64 = 500;
const HEARTBEAT_MS: u64 = 100;
const MAX_MESSAGE_BYTES: usize = 1 << 16;
/// Delay before a killed daemon restarts.
pub(crate) const DAEMON_RESTART_DELAY_MS: u64 = 4_000;
/// Delay before a killed machine restarts.
pub(crate) const MACHINE_RESTART_DELAY_MS: u64 = 8_000;

/// Number of daemons.
pub(crate) const DAEMONS: usize = 5;
/// Number of daemons that are voters: the first ones.
pub(crate) const VOTERS: usize = 3;
/// Number of machines.
pub(crate) const MACHINES: usize = 16;
/// Machines in the first domain: one replica and no spare.
const FIRST_DOMAIN_MACHINES: usize = 4;
/// Machines in each of the other domains: one replica and two spares.
const DOMAIN_MACHINES: usize = 6;
/// One machine in this many does not check fences.
const UNFENCED_EVERY: usize = 4;

/// The simulated fleet.
#[derive(Debug)]
pub(crate) struct World {
    pub now: u64,
    pub random: StdRng,
    pub queue: EventQueue,
    pub daemons: Vec<Daemon>,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub changes: Vec<Change>,
    pub checker: Checker,
    pub measures: Measures,
    /// Number of declared replicas. Measures are sampled once this is set.
    pub declared_replicas: usize,
    /// The daemon that is handing over its duties.
    pub leaving_daemon: Option<usize>,
    pub defect: Option<Defect>,
    pub options: Options,
    /// Log index up to which each daemon's committed entries were checked.
    pub checked_log_index: Vec<u64>,
    /// Orders that a daemon has sent and not seen answered: daemon, server and fence.
    pub awaited_orders: BTreeSet<(usize, String, u64)>,
    pub next_sample: u64,
    /// When the weight store has finished all queued loads.
    pub store_free_at: u64,
}

/// Returns the fabric domain of a machine.
pub(crate) fn domain_of(machine: usize) -> usize {
    machine.checked_sub(FIRST_DOMAIN_MACHINES).map_or(0, |rest| 1 + rest / DOMAIN_MACHINES)
}

pub(crate) fn machine_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8 + 1], 8_000))
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_001))
}

pub(crate) fn daemon_at(address: SocketAddr) -> Option<usize> {
    (0..DAEMONS).find(|index| peer_address(*index) == address)
}

impl World {
    /// Creates a fleet whose processes are about to start.
    pub fn new(seed: u64, options: Options, defect: Option<Defect>) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let daemons: Vec<Daemon> = (0..DAEMONS)
            .map(|index| {
                let record = DaemonRecord {
                    name: format!("e{index}"),
                    http: peer_address(index),
                    peer: peer_address(index),
                    zone: format!("z{}", index % 3),
                    region: "r".to_string(),
                    frontend: None,
                    operators: None,
                };
                let voter = (index < VOTERS).then_some(index as u64 + 1);
                // Clocks start at arbitrary values and drift by up to 1 %.
                let (start, rate) =
                    (random.random_range(10_000..1_000_000), random.random_range(990..=1_010));
                let mut daemon = Daemon::new(record, voter, start, rate);
                daemon.disk.skips_sync = defect == Some(Defect::SyncSkipped);
                daemon.disk.drops_hard_state = defect == Some(Defect::VoteNotPersisted);
                daemon
            })
            .collect();
        let machines = (0..MACHINES)
            .map(|index| Machine::new(format!("m{index:02}"), index % UNFENCED_EVERY != 0))
            .collect();
        let mut world = World {
            now: 0,
            random,
            queue: EventQueue::default(),
            daemons,
            machines,
            network: Network::default(),
            changes: Vec::new(),
            checker: Checker::default(),
            measures: Measures::default(),
            declared_replicas: 0,
            leaving_daemon: None,
            defect,
            options,
            checked_log_index: vec![0; DAEMONS],
            awaited_orders: BTreeSet::new(),
            next_sample: 0,
            store_free_at: 0,
        };
        (0..DAEMONS).for_each(|daemon| world.start_daemon(daemon));
        world.queue.push(DISPATCH_INTERVAL_MS, Event::Dispatch);
        world
    }

    /// Processes events until the time `until` or until a check fails.
    pub fn run_until(&mut self, until: u64) {
        while self.checker.violations.is_empty()
            && let Some((at, event)) = self.queue.pop(until)
        {
            self.sample(at);
            self.now = at;
            self.handle_event(event);
        }
        self.now = until.max(self.now);
    }

    /// Runs until a condition holds or the time limit has passed, and returns whether it holds. The condition
    /// is evaluated every 20 ms.
    pub fn run_until_true(&mut self, limit_ms: u64, condition: impl Fn(&World) -> bool) -> bool {
        const CHECK_INTERVAL_MS: u64 = 20;
        let limit = self.now + limit_ms;
        while self.now < limit && self.checker.violations.is_empty() {
            if condition(self) {
                return true;
            }
            self.run_until(self.now + CHECK_INTERVAL_MS);
        }
        condition(self)
    }

    fn sample(&mut self, at: u64) {
        while self.declared_replicas > 0 && self.next_sample <= at {
            let has_leader = self.leader().is_some();
            let tables = self.newest_tables();
            self.measures.sample(
                SAMPLE_INTERVAL_MS as f64 / 1000.0,
                self.declared_replicas,
                &self.machines,
                &tables,
                has_leader,
            );
            self.next_sample += SAMPLE_INTERVAL_MS;
        }
    }

    /// Starts to sample measures.
    pub fn start_measuring(&mut self, declared_replicas: usize) {
        self.declared_replicas = declared_replicas;
        self.next_sample = self.now;
    }

    /// Returns the newest tables of all running daemons.
    pub fn newest_tables(&self) -> Tables {
        let nodes = self.daemons.iter().filter_map(|daemon| daemon.node.as_ref());
        let newest = nodes.max_by_key(|node| node.tables().revision);
        newest.map(|node| node.tables().clone()).unwrap_or_default()
    }

    /// Returns the daemon that is leader and holds the leader lease.
    pub fn leader(&self) -> Option<usize> {
        (0..DAEMONS).find(|index| {
            let daemon = &self.daemons[*index];
            daemon.is_up(self.now)
                && daemon.node.as_ref().is_some_and(|node| node.leads(daemon.moment(self.now)))
        })
    }

    /// Starts a daemon's process from the content of its disk.
    pub fn start_daemon(&mut self, index: usize) {
        let now = self.now;
        let seed = self.random.random();
        let options = self.options;
        let daemon = &mut self.daemons[index];
        if daemon.node.is_some() {
            return;
        }
        daemon.discard_memory();
        daemon.incarnation += 1;
        let moment = daemon.moment(now);
        let name = daemon.record.name.clone();
        let node = match daemon.voter {
            None => ControlNode::follower(&name),
            Some(id) => {
                let (state, recovered) = daemon.disk.recover();
                self.checked_log_index[index] = recovered.snapshot_index;
                let settings = Settings {
                    id,
                    voters: (1..=VOTERS as u64).collect(),
                    election_timeout_ms: ELECTION_TIMEOUT_MS,
                    heartbeat_ms: HEARTBEAT_MS,
                    max_message_bytes: MAX_MESSAGE_BYTES,
                    seed,
                };
                let addresses = (0..VOTERS).map(|voter| (voter as u64 + 1, peer_address(voter))).collect();
                ControlNode::voter(&name, state, Node::new(settings, recovered, moment.monotonic), addresses)
            }
        };
        daemon.node = Some(node.with_options(options));
        let incarnation = daemon.incarnation;
        let offset = self.random.random_range(1..20);
        self.queue.push(now + offset, Event::Tick { daemon: index, incarnation });
        self.queue.push(now + offset, Event::RequestLease { daemon: index, incarnation });
        self.queue.push(now + offset, Event::Probe { daemon: index, incarnation });
    }

    /// Kills a daemon's process.
    pub fn kill_daemon(&mut self, index: usize, restart: bool) {
        self.daemons[index].discard_memory();
        if restart {
            self.queue.push(self.now + DAEMON_RESTART_DELAY_MS, Event::StartDaemon { daemon: index });
        }
    }

    /// Changes a machine's status, and restores it after `duration_ms`.
    pub fn fail_machine(&mut self, index: usize, status: MachineStatus, duration_ms: u64) {
        self.machines[index].set_status(self.now, status);
        self.queue.push(self.now + duration_ms, Event::StartMachine { machine: index });
    }

    pub(crate) fn send_to_daemon(
        &mut self,
        from: Endpoint,
        to: usize,
        incarnation: Option<u64>,
        message: DaemonMessage,
    ) {
        for delay in self.network.delivery_delays(&mut self.random, from, Endpoint::Daemon(to)) {
            let event = Event::Message { to, incarnation, message: message.clone() };
            self.queue.push(self.now + delay, event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Some(paused_until) = self.paused_until(&event) {
            self.queue.push(paused_until, event);
            return;
        }
        match event {
            Event::Message { to, incarnation, message } => {
                if incarnation.is_none_or(|wanted| self.is_current(to, wanted)) {
                    self.deliver(to, message);
                }
            }
            Event::Tick { daemon, incarnation } if self.is_current(daemon, incarnation) => {
                let voter = self.daemons[daemon].voter.is_some();
                let next = self.now + if voter { VOTER_TICK_INTERVAL_MS } else { FOLLOWER_TICK_INTERVAL_MS };
                self.queue.push(next, Event::Tick { daemon, incarnation });
                self.step(daemon, Input::Tick);
            }
            Event::RequestLease { daemon, incarnation } if self.is_current(daemon, incarnation) => {
                self.request_lease(daemon)
            }
            Event::LeaseRequestTimeout { daemon, incarnation, request_id }
                if self.is_current(daemon, incarnation) =>
            {
                if self.daemons[daemon].pending_lease_request.is_some_and(|(number, _)| number == request_id)
                {
                    self.daemons[daemon].pending_lease_request = None;
                    self.daemons[daemon].leader = None;
                    self.request_lease(daemon);
                }
            }
            Event::Probe { daemon, incarnation } if self.is_current(daemon, incarnation) => {
                self.queue.push(self.now + PROBE_INTERVAL_MS, Event::Probe { daemon, incarnation });
                self.probe(daemon);
            }
            Event::SendOrder { daemon, incarnation, machine, order, lease_until }
                if self.is_current(daemon, incarnation) =>
            {
                self.send_order_until_answered((daemon, incarnation), machine, order, lease_until);
            }
            Event::Order { machine, from, from_incarnation, order } => {
                self.receive_order(machine, from, from_incarnation, order);
            }
            Event::OrderCarriedOut { machine, machine_incarnation, order_id } => {
                self.order_carried_out(machine, machine_incarnation, &order_id);
            }
            Event::OrderTimeout { daemon, incarnation, server, fence }
                if self.is_current(daemon, incarnation) =>
            {
                if self.awaited_orders.remove(&(daemon, server.clone(), fence)) {
                    self.step(daemon, Input::OrderAnswered { server, fence, done: false });
                }
            }
            Event::SendChange { change, after_attempt } => self.send_change(change, after_attempt),
            Event::ChangeAnswered { change, attempt, from, reply } => {
                self.change_answered(change, attempt, from, reply);
            }
            Event::Dispatch => {
                self.queue.push(self.now + DISPATCH_INTERVAL_MS, Event::Dispatch);
                self.dispatch();
            }
            Event::StartDaemon { daemon } => self.start_daemon(daemon),
            Event::StartMachine { machine } => self.machines[machine].set_status(self.now, MachineStatus::On),
            Event::HealNetwork => self.network.heal(),
            Event::Tick { .. }
            | Event::RequestLease { .. }
            | Event::LeaseRequestTimeout { .. }
            | Event::Probe { .. }
            | Event::OrderTimeout { .. }
            | Event::SendOrder { .. } => {}
        }
        let lease_ignored = self.defect == Some(Defect::LeaseIgnored);
        self.checker.check_daemons(self.now, &self.daemons, lease_ignored);
    }

    pub(crate) fn is_current(&self, daemon: usize, incarnation: u64) -> bool {
        self.daemons[daemon].node.is_some() && self.daemons[daemon].incarnation == incarnation
    }

    /// Returns the end of the pause of the event's daemon, to which the event is deferred.
    fn paused_until(&self, event: &Event) -> Option<u64> {
        let daemon = match event {
            Event::Message { to, .. } => *to,
            Event::Tick { daemon, .. }
            | Event::RequestLease { daemon, .. }
            | Event::LeaseRequestTimeout { daemon, .. }
            | Event::Probe { daemon, .. }
            | Event::OrderTimeout { daemon, .. }
            | Event::SendOrder { daemon, .. } => *daemon,
            _ => return None,
        };
        let until = self.daemons[daemon].paused_until;
        (self.daemons[daemon].node.is_some() && until > self.now).then_some(until)
    }

    fn deliver(&mut self, to: usize, message: DaemonMessage) {
        if self.daemons[to].node.is_none() {
            return;
        }
        match message {
            DaemonMessage::Consensus(message) => self.step(to, Input::Consensus(vec![message])),
            DaemonMessage::LeaseRequest(request, reply) => self.step(to, Input::Lease(*request, reply)),
            DaemonMessage::LeaseAnswer { request_id, answer } => {
                self.receive_lease_answer(to, request_id, *answer)
            }
            DaemonMessage::Submit { command, reply } => self.step(to, Input::Submit(vec![(command, reply)])),
            DaemonMessage::Observe { term, observations, reply } => {
                self.step(to, Input::Observe(term, observations, reply));
            }
            DaemonMessage::ObserveAnswer { accepted } => {
                if !accepted {
                    self.daemons[to].reported_machines.clear();
                    self.daemons[to].reported_idle_replicas.clear();
                }
            }
            DaemonMessage::OrderAnswered { server, fence, done } => {
                if self.awaited_orders.remove(&(to, server.clone(), fence)) {
                    self.step(to, Input::OrderAnswered { server, fence, done });
                }
            }
            DaemonMessage::Evidence { report, from } => self.receive_evidence(to, report, from),
            DaemonMessage::EvidenceEcho { from, echo_ms } => {
                self.daemons[to].echoes.insert(from, echo_ms);
            }
        }
    }
}
