//! The control thread: drives the control logic with clocks, disk and network.

use super::announcer::Announcer;
use super::delegation::Delegation;
use super::identity::Identity;
use super::inputs::input_of;
use super::outbox::OUTBOX_CAPACITY;
use super::turn::{TurnTimer, WorkKind};
use super::voter_disk::{StartError, VoterDisk, WriteResult};
use super::{ControlMessage, GroupOrderSender, OrderSender, Reply, run_outbox};
use crate::clock::{monotonic_ms, wall_ms};
use crate::metrics::Metrics;
use crate::published::{Published, RoutingTable};
use crate::settings::Settings;
use crate::shared::Shared;
use dockwood_api::gateway::OrderAnswer;
use dockwood_api::peer::LeaseAnswer;
use dockwood_consensus::{Message, Node, NodeId, Payload, Voter};
use dockwood_control::{
    ControlNode, GroupingPolicy, Input, Moment, Options, Output, voters_for_losses, voters_of,
};
use dockwood_storage::StorageError;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time between ticks of a member of the control group.
const VOTER_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between ticks of any other daemon.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of messages handled in one turn; their commands share one synced write.
pub(super) const MAX_BATCH_MESSAGES: usize = 512;
/// Minimum time without a leader before an election, in milliseconds.
const ELECTION_TIMEOUT_MS: u64 = 500;
/// Interval of a leader's heartbeats to an idle follower, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Tables are published after this time at the latest while a long log is being applied.
const MAX_PUBLISH_DELAY: Duration = Duration::from_millis(200);
/// Maximum payload of one append message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A control node with its persistent storage.
pub struct StartedControl {
    node: ControlNode<Reply>,
    disk: Option<VoterDisk>,
    /// This member's id within the control group.
    pub member_id: Option<NodeId>,
    voters: Vec<Voter>,
}

impl StartedControl {
    /// Creates the control node; at a member of the control group, restores it from its data folder.
    pub fn open(settings: &Settings, metrics: &Metrics) -> Result<StartedControl, StartError> {
        if !settings.is_control_member() {
            let node = ControlNode::follower(&settings.name);
            return Ok(StartedControl { node, disk: None, member_id: None, voters: Vec::new() });
        }
        let folder = settings.data_folder.clone().unwrap_or_default();
        let found = VoterDisk::open(&folder, metrics.clone())?;
        let identity = match settings.own_voter() {
            Some(own) => Identity { id: own.id, founders: configured_voters(settings) },
            None => Identity::load_or_create(found.disk.folder(), settings)?,
        };
        let mut voters = identity.founders.clone();
        voters.extend(voters_of(&found.state));
        for entry in &found.recovered.entries {
            if let Payload::Voters(changed) = &entry.payload {
                voters.extend(changed);
            }
        }
        let core_settings = dockwood_consensus::Settings {
            id: identity.id,
            voters: identity.founders.iter().map(|voter| voter.id).collect(),
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_ms: HEARTBEAT_MS,
            max_message_bytes: MAX_MESSAGE_BYTES,
            seed: wall_ms(),
        };
        let core = Node::new(core_settings, found.recovered, monotonic_ms());
        let addresses = voters.iter().map(|voter| (voter.id, voter.address)).collect();
        let policy = settings.gateway.as_ref().map(|gateway| GroupingPolicy {
            stall_ms: gateway.stall.as_millis() as u64,
            drain_ms: gateway.drain.as_millis() as u64,
            heartbeat: gateway.heartbeat,
        });
        let grouping = policy.unwrap_or_default();
        let target_voters = voters_for_losses(settings.seeds.losses_tolerated).max(settings.voters.len());
        let node = ControlNode::voter(&settings.name, found.state, core, addresses).with_options(Options {
            grouping,
            cold_limit: settings.cold_limit(),
            started_at: monotonic_ms(),
            target_voters,
            tolerates_zone_loss: settings.seeds.tolerates_zone_loss,
            leader_leases_up_to: settings.leader_leases_up_to,
            ..Options::default()
        });
        Ok(StartedControl { node, disk: Some(found.disk), member_id: Some(identity.id), voters })
    }
}

fn configured_voters(settings: &Settings) -> Vec<Voter> {
    settings.voters.iter().map(|voter| Voter { id: voter.id, address: voter.peer }).collect()
}

/// Outboxes of the other voters; each is created when its voter becomes known.
struct Outboxes {
    own_id: Option<NodeId>,
    senders: BTreeMap<NodeId, mpsc::Sender<Message>>,
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

impl Outboxes {
    /// Creates an outbox for each voter that has none.
    fn add_voters(&mut self, voters: &[Voter]) {
        for voter in voters.iter().filter(|voter| Some(voter.id) != self.own_id) {
            if self.senders.contains_key(&voter.id) {
                continue;
            }
            let (sender, receiver) = mpsc::channel(OUTBOX_CAPACITY);
            self.senders.insert(voter.id, sender);
            self.runtime.spawn(run_outbox(self.shared.clone(), voter.address, receiver));
        }
    }

    fn send(&self, message: Message) {
        if let Some(outbox) = self.senders.get(&message.to) {
            // A full outbox drops the message, which the consensus protocol tolerates like packet loss.
            let _ = outbox.try_send(message);
        }
    }
}

/// The control thread's state.
pub struct ControlThread {
    pub(super) shared: Arc<Shared>,
    pub(super) messages: mpsc::Receiver<ControlMessage>,
    node: ControlNode<Reply>,
    disk: Option<VoterDisk>,
    /// Outputs of the node that are not carried out yet, in order; left over from an earlier turn while the disk is full.
    pending: VecDeque<Output<Reply>>,
    outboxes: Outboxes,
    orders: OrderSender,
    group_orders: GroupOrderSender,
    announcer: Announcer,
    delegation: Delegation,
    turns: TurnTimer,
    published_at: Instant,
    pub(super) stopping: bool,
}

/// Runs the control thread until it is asked to stop. A disk error is fatal, because the content of the disk is unknown after
/// it; only a write that is refused for lack of room is made again later.
pub async fn run_control_thread(mut control: ControlThread) -> Result<(), StorageError> {
    let tick_interval = if control.disk.is_some() { VOTER_TICK_INTERVAL } else { FOLLOWER_TICK_INTERVAL };
    let mut ticks = tokio::time::interval(tick_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut received = Vec::new();
    control.publish();
    while !control.stopping {
        if control.waits_for_disk() {
            control.wait_for_disk().await?;
            control.publish();
            continue;
        }
        tokio::select! {
            count = control.messages.recv_many(&mut received, MAX_BATCH_MESSAGES) => {
                if count == 0 {
                    return Ok(());
                }
                control.handle_messages(std::mem::take(&mut received))?;
            }
            _ = ticks.tick() => control.step(Input::Tick)?,
            // Messages that have arrived meanwhile are handled between two parts of a long log.
            () = tokio::task::yield_now(), if control.node.has_entries_to_apply() => control.step(Input::Tick)?,
        }
        control.publish();
        control.turns.end_turn();
    }
    Ok(())
}

impl ControlThread {
    /// Creates the control thread of a started node; `voter_links` is the runtime for messages to the other voters.
    pub fn new(
        shared: Arc<Shared>,
        messages: mpsc::Receiver<ControlMessage>,
        started: StartedControl,
        orders: OrderSender,
        group_orders: GroupOrderSender,
        announcer: Announcer,
        voter_links: tokio::runtime::Handle,
    ) -> Self {
        let StartedControl { node, disk, member_id, voters } = started;
        let senders = BTreeMap::new();
        let mut outboxes =
            Outboxes { own_id: member_id, senders, shared: shared.clone(), runtime: voter_links };
        let delegation = Delegation::new(shared.clone(), outboxes.runtime.clone());
        outboxes.add_voters(&voters);
        let turns = TurnTimer::new(&shared.settings.name, &shared.metrics);
        ControlThread {
            shared,
            messages,
            node,
            disk,
            pending: VecDeque::new(),
            outboxes,
            orders,
            group_orders,
            announcer,
            delegation,
            turns,
            published_at: Instant::now(),
            stopping: false,
        }
    }

    /// Handles messages that arrived together, and finishes the turn once for all of them.
    fn handle_messages(&mut self, messages: Vec<ControlMessage>) -> Result<(), StorageError> {
        let mut submitted = Vec::new();
        for message in messages {
            match message {
                ControlMessage::Submit { command, reply } => submitted.push((command, Reply::Submit(reply))),
                // The lease client continues only once the content of the lease is published.
                ControlMessage::LeaseGranted { lease, reply } => {
                    self.step(Input::LeaseGranted(lease))?;
                    self.publish();
                    let _ = reply.send(self.node.tables().revision);
                }
                ControlMessage::Stop => self.stopping = true,
                other => self.handle_message(other),
            }
        }
        if !submitted.is_empty() {
            self.handle_input(Instant::now(), Input::Submit(submitted));
        }
        self.finish_turn()
    }

    /// Passes a message to the node as an input, if it is one.
    pub(super) fn handle_message(&mut self, message: ControlMessage) {
        let begun = Instant::now();
        if let Some(input) = input_of(message) {
            self.handle_input(begun, input);
        }
    }

    /// Passes one input to the node; `begun` is when work on the message started.
    fn handle_input(&mut self, begun: Instant, input: Input<Reply>) {
        let work = WorkKind::of_input(&input);
        self.node.handle_input(now(), input);
        self.turns.record(work, begun);
    }

    /// Passes one input to the node and carries out its outputs.
    fn step(&mut self, input: Input<Reply>) -> Result<(), StorageError> {
        self.handle_input(Instant::now(), input);
        self.finish_turn()
    }

    /// Carries out the outputs of the node in order, until no output results in another input or the disk is full.
    pub(super) fn finish_turn(&mut self) -> Result<(), StorageError> {
        while !self.waits_for_disk() {
            let begun = Instant::now();
            let outputs = self.node.finish_turn(now());
            self.turns.record(WorkKind::Decisions, begun);
            self.pending.extend(outputs);
            if !self.carry_out_pending()? {
                break;
            }
        }
        Ok(())
    }

    /// Whether outputs wait for a disk that was full.
    pub(super) fn waits_for_disk(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Carries out pending outputs up to one that the disk has no room for. Returns true if any resulted in an input.
    pub(super) fn carry_out_pending(&mut self) -> Result<bool, StorageError> {
        let mut has_new_inputs = false;
        while let Some(output) = self.pending.pop_front() {
            let (work, begun) = (WorkKind::of_output(&output), Instant::now());
            if self.write(&output)? == WriteResult::DiskFull {
                self.pending.push_front(output);
                break;
            }
            let next = self.carry_out(output);
            self.turns.record(work, begun);
            if let Some(input) = next {
                has_new_inputs = true;
                self.handle_input(Instant::now(), input);
            }
        }
        Ok(has_new_inputs)
    }

    fn write(&mut self, output: &Output<Reply>) -> Result<WriteResult, StorageError> {
        match &mut self.disk {
            Some(disk) => disk.write(&mut self.node, output, &self.pending),
            None => Ok(WriteResult::Stored),
        }
    }

    /// Carries out an output whose data, if it has any to store, is stored.
    fn carry_out(&mut self, output: Output<Reply>) -> Option<Input<Reply>> {
        match output {
            Output::Persist { entries, .. } => {
                let last = entries.last()?;
                return Some(Input::Persisted { index: last.index, term: last.term });
            }
            Output::StoreSnapshot(_) => {}
            Output::Send(message) => self.outboxes.send(message),
            Output::VotersChanged(voters) => {
                self.outboxes.add_voters(&voters);
                self.publish_voters();
            }
            Output::LoadReply(reply, digest) => reply.load(digest),
            Output::PlaceReply(reply, place) => reply.place(place),
            Output::AdmitReply(reply, answer) => reply.admit(answer),
            Output::ReadReply(reply, answer) => reply.read(answer),
            Output::SnapshotReply(reply, snapshot) => reply.snapshot(snapshot),
            Output::AnnounceLeader { to, term } => self.announcer.announce(&to, term),
            Output::SendGroupOrder(order) if self.node.may_send_group_order(now(), &order) => {
                self.group_orders.send(order);
            }
            Output::SendGroupOrder(order) => {
                self.group_orders.log_answer(&order, OrderAnswer::NotSent);
                return Some(Input::GroupOrderAnswered(*order, OrderAnswer::NotSent));
            }
            Output::Probe(probe) => self.group_orders.probe(probe),
            Output::SubmitReply(reply, answer) => reply.submit(answer),
            Output::LeaseReply(reply, answer) => reply.lease(self.with_stamp(answer)),
            Output::DelegateLeases { leader, number, requests } => {
                self.delegation.send(leader, number, requests);
            }
            Output::DelegationReply(reply, answer) => reply.delegation(answer),
            Output::ObserveReply(reply, accepted) => reply.observe(accepted),
            Output::ViewReply(reply, view) => reply.view(view),
            Output::SendOrder(order) => self.orders.send(*order),
            Output::Record { event, revision } => {
                let (subject, code) = (event.subject, event.code);
                self.shared.timeline.record(subject, &event.reason, &event.message, revision, code);
            }
            Output::Touched { revision, keys } => {
                self.shared.metrics.commands_committed.inc();
                self.shared.watch_hub.push(revision, keys);
            }
            Output::Restored { revision } => self.shared.watch_hub.reset(revision),
            Output::LeaderChanged { leader, leads } => {
                self.shared.metrics.is_leader.set(i64::from(leads));
                self.shared.set_knows_control_leader(leader.is_some());
                if let Some(leader) = leader {
                    let term = self.node.core().map_or(0, |core| core.term());
                    self.shared.known_leader.elected(monotonic_ms(), leader, term);
                }
            }
        }
        None
    }

    /// Fills in the clock stamp of a granted lease.
    fn with_stamp(&self, answer: LeaseAnswer) -> LeaseAnswer {
        match answer {
            LeaseAnswer::Granted { term, leader, ask_next, revision, in_force_revision, content, .. } => {
                let stamp = self.shared.timeline.stamp();
                LeaseAnswer::Granted { term, leader, ask_next, revision, in_force_revision, content, stamp }
            }
            refused @ LeaseAnswer::NotLeader { .. } => refused,
        }
    }

    /// Publishes the voters at a member of the control group; other daemons do not know them.
    fn publish_voters(&mut self) {
        if self.disk.is_none() {
            return;
        }
        self.shared.set_is_voter(self.node.is_voter());
        self.shared.metrics.set_voters(&self.node.voters_by_zone());
    }

    /// Publishes the tables if they have changed. While a long log is being applied, they are published only now and then: each
    /// time takes as long as the tables are large.
    fn publish(&mut self) {
        let is_deferred = self.node.has_entries_to_apply() && self.published_at.elapsed() < MAX_PUBLISH_DELAY;
        if is_deferred || !self.node.take_dirty() {
            return;
        }
        let begun = Instant::now();
        self.published_at = begun;
        self.publish_voters();
        let tables = Arc::new(self.node.tables().clone());
        let routing = Arc::new(RoutingTable::build(&tables));
        let in_force_revision = self.node.in_force_revision();
        self.shared.publish(Published { tables, in_force_revision, routing });
        self.turns.record(WorkKind::Publishing, begun);
    }
}

fn now() -> Moment {
    Moment { monotonic: monotonic_ms(), wall_ms: wall_ms() }
}
