//! The simulated fleet: delivers events, drives the daemons' control nodes, and checks after every event.

use crate::check::Checker;
use crate::daemon::Daemon;
use crate::events::{Event, EventQueue, ToDaemon};
use crate::fault::Defect;
use crate::machine::{Machine, Power};
use crate::measure::Measures;
use crate::network::{Network, Place};
use crate::operator::Change;
use dockwood_api::peer::DaemonRecord;
use dockwood_consensus::{Node, Settings};
use dockwood_control::{ControlNode, Input, Options};
use dockwood_state::Tables;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const VOTER_TICK_MS: u64 = 20;
const FOLLOWER_TICK_MS: u64 = 250;
pub(crate) const POLL_RETRY_MS: u64 = 50;
pub(crate) const PROBE_MS: u64 = 300;
const DISPATCH_MS: u64 = 150;
const SAMPLE_MS: u64 = 50;
const ELECTION_TIMEOUT_MS: u64 = 500;
const HEARTBEAT_MS: u64 = 100;
const MAX_MESSAGE_BYTES: usize = 1 << 16;
/// A daemon that was killed starts again after this long, a machine after the second.
pub(crate) const DAEMON_RESTART_MS: u64 = 4_000;
pub(crate) const MACHINE_RESTART_MS: u64 = 8_000;

/// Sizes of the simulated fleet.
pub(crate) const DAEMONS: usize = 5;
pub(crate) const VOTERS: usize = 3;
pub(crate) const MACHINES: usize = 16;
/// The first domain holds one replica and no spare; each other one a replica and two spares.
const FIRST_DOMAIN_MACHINES: usize = 4;
const DOMAIN_MACHINES: usize = 6;
/// Every so many machines, one does not check fences.
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
    /// Replicas declared; measured from when it is set.
    pub declared: usize,
    pub leaving: Option<usize>,
    pub defect: Option<Defect>,
    pub options: Options,
    pub checked_index: Vec<u64>,
    pub followed: BTreeSet<(usize, String, u64)>,
    pub next_sample: u64,
    /// When the weight store has served all that was asked of it.
    pub store_free_at: u64,
}

/// The fabric domain of a machine.
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
    /// A fleet whose processes are about to start.
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
                // Clocks begin anywhere and drift by up to a hundredth.
                let (start, rate) =
                    (random.random_range(10_000..1_000_000), random.random_range(990..=1_010));
                let mut daemon = Daemon::new(record, voter, start, rate);
                daemon.disk.skips_sync = defect == Some(Defect::SyncSkipped);
                daemon.disk.forgets_vote = defect == Some(Defect::VoteNotPersisted);
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
            declared: 0,
            leaving: None,
            defect,
            options,
            checked_index: vec![0; DAEMONS],
            followed: BTreeSet::new(),
            next_sample: 0,
            store_free_at: 0,
        };
        (0..DAEMONS).for_each(|daemon| world.start_daemon(daemon));
        world.queue.push(DISPATCH_MS, Event::Dispatch);
        world
    }

    /// Runs until `until`, or until a check has failed.
    pub fn run_until(&mut self, until: u64) {
        while self.checker.violations.is_empty()
            && let Some((at, event)) = self.queue.pop(until)
        {
            self.sample(at);
            self.now = at;
            self.take(event);
        }
        self.now = until.max(self.now);
    }

    /// Runs until a condition holds, looking every 20 ms; whether it did by the limit.
    pub fn run_until_true(&mut self, limit_ms: u64, condition: impl Fn(&World) -> bool) -> bool {
        const LOOK_MS: u64 = 20;
        let limit = self.now + limit_ms;
        while self.now < limit && self.checker.violations.is_empty() {
            if condition(self) {
                return true;
            }
            self.run_until(self.now + LOOK_MS);
        }
        condition(self)
    }

    fn sample(&mut self, at: u64) {
        while self.declared > 0 && self.next_sample <= at {
            let led = self.leader().is_some();
            let tables = self.newest_tables();
            self.measures.sample(SAMPLE_MS as f64 / 1000.0, self.declared, &self.machines, &tables, led);
            self.next_sample += SAMPLE_MS;
        }
    }

    /// Begins to measure.
    pub fn measure(&mut self, declared: usize) {
        self.declared = declared;
        self.next_sample = self.now;
    }

    /// The newest tables that any daemon holds.
    pub fn newest_tables(&self) -> Tables {
        let nodes = self.daemons.iter().filter_map(|daemon| daemon.node.as_ref());
        let newest = nodes.max_by_key(|node| node.tables().revision);
        newest.map(|node| node.tables().clone()).unwrap_or_default()
    }

    /// The daemon that leads and holds its leader's lease.
    pub fn leader(&self) -> Option<usize> {
        (0..DAEMONS).find(|index| {
            let daemon = &self.daemons[*index];
            daemon.is_up(self.now)
                && daemon.node.as_ref().is_some_and(|node| node.leads(daemon.moment(self.now)))
        })
    }

    /// Starts a daemon's process on what its disk holds.
    pub fn start_daemon(&mut self, index: usize) {
        let now = self.now;
        let seed = self.random.random();
        let options = self.options;
        let daemon = &mut self.daemons[index];
        if daemon.node.is_some() {
            return;
        }
        daemon.forget_memory();
        daemon.incarnation += 1;
        let moment = daemon.moment(now);
        let name = daemon.record.name.clone();
        let node = match daemon.voter {
            None => ControlNode::follower(&name),
            Some(id) => {
                let (state, recovered) = daemon.disk.recover();
                self.checked_index[index] = recovered.snapshot_index;
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
        self.queue.push(now + offset, Event::Poll { daemon: index, incarnation });
        self.queue.push(now + offset, Event::Probe { daemon: index, incarnation });
    }

    /// Ends a daemon's process at once.
    pub fn kill_daemon(&mut self, index: usize, restart: bool) {
        self.daemons[index].forget_memory();
        if restart {
            self.queue.push(self.now + DAEMON_RESTART_MS, Event::StartDaemon { daemon: index });
        }
    }

    /// Changes a machine's power; it works again later.
    pub fn fail_machine(&mut self, index: usize, power: Power, for_ms: u64) {
        self.machines[index].set_power(self.now, power);
        self.queue.push(self.now + for_ms, Event::StartMachine { machine: index });
    }

    pub(crate) fn transmit(&mut self, from: Place, to: usize, incarnation: Option<u64>, message: ToDaemon) {
        for delay in self.network.delays(&mut self.random, from, Place::Daemon(to)) {
            let event = Event::Daemon { to, incarnation, message: message.clone() };
            self.queue.push(self.now + delay, event);
        }
    }

    fn take(&mut self, event: Event) {
        if let Some(paused_until) = self.paused_until(&event) {
            self.queue.push(paused_until, event);
            return;
        }
        match event {
            Event::Daemon { to, incarnation, message } => {
                if incarnation.is_none_or(|wanted| self.is_current(to, wanted)) {
                    self.deliver(to, message);
                }
            }
            Event::Tick { daemon, incarnation } if self.is_current(daemon, incarnation) => {
                let voter = self.daemons[daemon].voter.is_some();
                let next = self.now + if voter { VOTER_TICK_MS } else { FOLLOWER_TICK_MS };
                self.queue.push(next, Event::Tick { daemon, incarnation });
                self.step(daemon, Input::Tick);
            }
            Event::Poll { daemon, incarnation } if self.is_current(daemon, incarnation) => self.poll(daemon),
            Event::PollTimeout { daemon, incarnation, poll } if self.is_current(daemon, incarnation) => {
                if self.daemons[daemon].poll.is_some_and(|(number, _)| number == poll) {
                    self.daemons[daemon].poll = None;
                    self.daemons[daemon].leader = None;
                    self.poll(daemon);
                }
            }
            Event::Probe { daemon, incarnation } if self.is_current(daemon, incarnation) => {
                self.queue.push(self.now + PROBE_MS, Event::Probe { daemon, incarnation });
                self.probe(daemon);
            }
            Event::SendOrder { daemon, incarnation, machine, order, lease_until }
                if self.is_current(daemon, incarnation) =>
            {
                self.repeat_order((daemon, incarnation), machine, order, lease_until);
            }
            Event::Order { machine, from, from_incarnation, order } => {
                self.take_order(machine, from, from_incarnation, order);
            }
            Event::OrderCarriedOut { machine, machine_incarnation, order_id } => {
                self.order_carried_out(machine, machine_incarnation, &order_id);
            }
            Event::OrderTimeout { daemon, incarnation, server, fence }
                if self.is_current(daemon, incarnation) =>
            {
                if self.followed.remove(&(daemon, server.clone(), fence)) {
                    self.step(daemon, Input::OrderAnswered { server, fence, done: false });
                }
            }
            Event::SendChange { change, after_attempt } => self.send_change(change, after_attempt),
            Event::ChangeAnswered { change, attempt, from, reply } => {
                self.change_answered(change, attempt, from, reply);
            }
            Event::Dispatch => {
                self.queue.push(self.now + DISPATCH_MS, Event::Dispatch);
                self.dispatch();
            }
            Event::StartDaemon { daemon } => self.start_daemon(daemon),
            Event::StartMachine { machine } => self.machines[machine].set_power(self.now, Power::On),
            Event::HealNetwork => self.network.heal(),
            Event::Tick { .. }
            | Event::Poll { .. }
            | Event::PollTimeout { .. }
            | Event::Probe { .. }
            | Event::OrderTimeout { .. }
            | Event::SendOrder { .. } => {}
        }
        let lease_ignored = self.defect == Some(Defect::LeaseIgnored);
        self.checker.daemons(self.now, &self.daemons, lease_ignored);
    }

    pub(crate) fn is_current(&self, daemon: usize, incarnation: u64) -> bool {
        self.daemons[daemon].node.is_some() && self.daemons[daemon].incarnation == incarnation
    }

    /// Until when the event's daemon is paused; it sees the event then.
    fn paused_until(&self, event: &Event) -> Option<u64> {
        let daemon = match event {
            Event::Daemon { to, .. } => *to,
            Event::Tick { daemon, .. }
            | Event::Poll { daemon, .. }
            | Event::PollTimeout { daemon, .. }
            | Event::Probe { daemon, .. }
            | Event::OrderTimeout { daemon, .. }
            | Event::SendOrder { daemon, .. } => *daemon,
            _ => return None,
        };
        let until = self.daemons[daemon].paused_until;
        (self.daemons[daemon].node.is_some() && until > self.now).then_some(until)
    }

    fn deliver(&mut self, to: usize, message: ToDaemon) {
        if self.daemons[to].node.is_none() {
            return;
        }
        match message {
            ToDaemon::Consensus(message) => self.step(to, Input::Consensus(vec![message])),
            ToDaemon::LeaseRequest(request, reply) => self.step(to, Input::Lease(*request, reply)),
            ToDaemon::LeaseAnswer { poll, answer } => self.take_lease_answer(to, poll, *answer),
            ToDaemon::Submit { command, reply } => self.step(to, Input::Submit(vec![(command, reply)])),
            ToDaemon::Observe { term, observations, reply } => {
                self.step(to, Input::Observe(term, observations, reply));
            }
            ToDaemon::ObserveAnswer { taken } => {
                if !taken {
                    self.daemons[to].told.clear();
                    self.daemons[to].told_idle.clear();
                }
            }
            ToDaemon::OrderAnswered { server, fence, done } => {
                if self.followed.remove(&(to, server.clone(), fence)) {
                    self.step(to, Input::OrderAnswered { server, fence, done });
                }
            }
            ToDaemon::Evidence { report, from } => self.take_evidence(to, report, from),
            ToDaemon::EvidenceEcho { from, echo_ms } => {
                self.daemons[to].echoes.insert(from, echo_ms);
            }
        }
    }
}
