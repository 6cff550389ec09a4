//! The control node: handles inputs, drives the consensus core and the leader's controllers, and collects
//! outputs.

use crate::Millis;
use crate::admission::voters_for_losses;
use crate::blackboard::Blackboard;
use crate::catch_up::SnapshotCache;
use crate::driver_io::{Input, Moment, Output};
use crate::entry_summary::{DaemonDerived, EntrySummary};
use crate::leader::{LeaderState, record_observations};
use crate::timeline::{TimelineEvent, timeline_events};
use crate::voter::{VoterState, Waiter, proposal_dropped};
use crate::voter_zones::MemberZones;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::gateway::GroupOrder;
use dockwood_api::peer::{AdmitAnswer, ControlAnswer, SubmitReply, VoterRecord};
use dockwood_consensus::{self as consensus, Message, Node, Voter};
use dockwood_grouping::{ColdLimit, GroupingPolicy};
use dockwood_placement::PlacementPolicy;
use dockwood_state::{Applied, Command, CommandBody, State, Tables, decode_command, encode_command};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Default number of daemons up to which the leader answers all lease requests itself.
pub const LEADER_LEASES_UP_TO: usize = 200;

/// Configuration of a control node.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Log entries after which a snapshot replaces them.
    pub compact_after_entries: u64,
    /// Placement policy of the leader.
    pub placement: PlacementPolicy,
    /// Grouping policy of the gateway's engines.
    pub grouping: GroupingPolicy,
    /// By how much the rate declared by cold servers may be exceeded, over all daemons.
    pub cold_limit: ColdLimit,
    /// When this process started.
    pub started_at: Millis,
    /// Number of voters to keep if enough members are available.
    pub target_voters: usize,
    /// Whether to tolerate the loss of a whole zone: then no zone may hold half of the voters.
    pub tolerates_zone_loss: bool,
    /// Number of daemons up to which the leader answers all lease requests itself; with more daemons the
    /// other voters grant leases on its behalf.
    pub leader_leases_up_to: usize,
}

impl Default for Options {
    fn default() -> Self {
        const COMPACT_AFTER_ENTRIES: u64 = 2_000;
        Options {
            compact_after_entries: COMPACT_AFTER_ENTRIES,
            placement: PlacementPolicy::default(),
            grouping: GroupingPolicy::default(),
            cold_limit: ColdLimit::default(),
            started_at: 0,
            target_voters: voters_for_losses(1),
            tolerates_zone_loss: false,
            leader_leases_up_to: LEADER_LEASES_UP_TO,
        }
    }
}

/// Commands collected from the inputs of one turn, to be proposed together.
#[derive(Debug)]
pub(crate) struct Batch<R> {
    pub commands: Vec<Vec<u8>>,
    pub waiters: Vec<Waiter<R>>,
}

impl<R> Default for Batch<R> {
    fn default() -> Self {
        Batch { commands: Vec::new(), waiters: Vec::new() }
    }
}

/// Control logic of one daemon.
#[derive(Debug)]
pub struct ControlNode<R> {
    pub(crate) name: String,
    pub(crate) options: Options,
    pub(crate) board: Blackboard,
    pub(crate) voter: Option<VoterState<R>>,
    pub(crate) in_force_revision: u64,
    pub(crate) dirty: bool,
    /// Commands of the inputs handled in the current turn.
    batch: Batch<R>,
    pub(crate) entry_summary: DaemonDerived<EntrySummary>,
    /// Zones of the daemons that may be voters, by peer address.
    pub(crate) member_zones: DaemonDerived<MemberZones>,
    pub(crate) next_in_force_check_at: Millis,
    /// Snapshot for daemons that are referred to this one.
    snapshot_cache: SnapshotCache,
    pub(crate) outputs: Vec<Output<R>>,
}

impl<R> ControlNode<R> {
    /// Creates a daemon that is not a voter: it learns the state with its leases.
    pub fn follower(name: &str) -> Self {
        ControlNode {
            name: name.to_string(),
            options: Options::default(),
            board: Blackboard::default(),
            voter: None,
            in_force_revision: 0,
            dirty: true,
            batch: Batch::default(),
            entry_summary: DaemonDerived::default(),
            member_zones: DaemonDerived::default(),
            next_in_force_check_at: 0,
            snapshot_cache: SnapshotCache::default(),
            outputs: Vec::new(),
        }
    }

    /// Creates a member of the control group from its stored snapshot and the peer addresses of all members.
    pub fn voter(name: &str, state: State, core: Node, addresses: BTreeMap<u64, SocketAddr>) -> Self {
        let board = Blackboard::new(state);
        ControlNode { board, voter: Some(VoterState::new(core, addresses)), ..ControlNode::follower(name) }
    }

    /// Replaces the options.
    pub fn with_options(self, options: Options) -> Self {
        ControlNode { options, ..self }
    }

    /// Handles one input as a turn of its own and returns the outputs in order.
    pub fn step(&mut self, now: Moment, input: Input<R>) -> Vec<Output<R>> {
        self.handle_input(now, input);
        self.finish_turn(now)
    }

    /// Handles one input. Everything that follows from it is deferred to [`ControlNode::finish_turn`], so that
    /// inputs that arrive together share one proposal and one run of the controllers.
    pub fn handle_input(&mut self, now: Moment, input: Input<R>) {
        let mut batch = std::mem::take(&mut self.batch);
        self.dispatch(now, input, &mut batch);
        self.batch = batch;
    }

    /// Ends a turn: processes the inputs handled so far and returns the outputs in order.
    pub fn finish_turn(&mut self, now: Moment) -> Vec<Output<R>> {
        self.step_core(now, consensus::Input::Tick);
        self.apply_committed();
        self.observe_formations(now);
        let batch = std::mem::take(&mut self.batch);
        self.propose(now, batch);
        self.run_controllers(now);
        self.raise_in_force_as_leader(now);
        self.answer_leases(now);
        self.compact_if_due();
        std::mem::take(&mut self.outputs)
    }

    fn dispatch(&mut self, now: Moment, input: Input<R>, batch: &mut Batch<R>) {
        match input {
            Input::Tick => {}
            Input::Pulse => {
                if let Some(leader_state) = self.leader_state_mut() {
                    leader_state.record_pulse(now.monotonic);
                }
            }
            Input::Consensus(messages) => self.receive(now, messages),
            Input::Submit(commands) => self.collect_commands(now, commands, batch),
            Input::Lease(request, reply) => self.handle_lease_request(now, request, reply),
            Input::Delegate(requests, reply) => self.record_delegated_requests(now, &requests, reply),
            Input::Delegated { number, answer } => self.handle_delegation_answer(number, answer),
            Input::Observe(term, observations, reply) => {
                let leads_term = self.leader_state().is_some_and(|leader_state| leader_state.term == term);
                if leads_term {
                    record_observations(&mut self.board.observed, now.monotonic, observations);
                }
                self.outputs.push(Output::ObserveReply(reply, leads_term));
            }
            Input::View(reply) => {
                let view = self.view(now);
                self.outputs.push(Output::ViewReply(reply, view));
            }
            Input::LeaseGranted(lease) => self.apply_lease(lease),
            Input::OrderAnswered { server, fence, done } => {
                if let Some(leader_state) = self.leader_state_mut() {
                    leader_state.record_order_answer(now.monotonic, &server, fence, done);
                }
                if done {
                    batch.add(now, CommandBody::OrderDone { server, fence });
                }
            }
            Input::Register(report, reply) => self.register(now, report, reply, batch),
            Input::ExchangeLoad(report, reply) => {
                let digest = self.exchange_load(now, report);
                self.outputs.push(Output::LoadReply(reply, digest));
            }
            Input::AssignPlace(request, reply) => {
                let place = self.assign_place(now, &request);
                self.outputs.push(Output::PlaceReply(reply, place));
            }
            Input::GroupOrderAnswered(order, answer) => {
                if let Some(leader_state) = self.leader_state_mut() {
                    leader_state.gateway.record_order_answer(now.monotonic, &order, answer);
                }
            }
            Input::ServerLimits(limits) => {
                if let Some(leader_state) = self.leader_state_mut() {
                    leader_state.gateway.set_server_limits(limits);
                }
            }
            Input::Probed { instance, result, slowness } => {
                if let Some(leader_state) = self.leader_state_mut() {
                    leader_state.gateway.record_probe(now.monotonic, &instance, result, slowness);
                }
            }
            Input::AdmitVoter { id, address, zone, reply } => {
                let leads = self.leads(now);
                let leader = self.leader_address();
                let answer = match self.voter.as_mut().filter(|_| leads) {
                    Some(voter) => AdmitAnswer::Noted(voter.add_candidate(now.monotonic, id, address, &zone)),
                    None => AdmitAnswer::NotLeader { leader },
                };
                self.outputs.push(Output::AdmitReply(reply, answer));
            }
            Input::LearnVoters(records) => {
                let voters: Vec<Voter> = records.into_iter().map(to_voter).collect();
                if let Some(voter) = &mut self.voter {
                    voter.learn_addresses(&voters);
                }
                self.outputs.push(Output::VotersChanged(voters));
            }
            Input::ReadRevision(reply) => {
                let answer = self.read_revision(now);
                self.outputs.push(Output::ReadReply(reply, answer));
            }
            Input::FetchSnapshot(reply) => {
                let holds_state = self.board.revision() > 0;
                let copy = holds_state.then(|| self.snapshot_cache.recent(&self.board).to_vec());
                self.outputs.push(Output::SnapshotReply(reply, copy));
            }
            Input::Leaving(servers) => self.board.observed.machines.set_leaving(servers),
            Input::Persisted { index, term } => {
                self.step_core(now, consensus::Input::Persisted { index, term })
            }
        }
    }

    /// The replicated tables, as applied on this node.
    pub fn tables(&self) -> &Tables {
        self.board.tables()
    }

    /// The whole replicated state, as applied on this node.
    pub fn state(&self) -> &State {
        &self.board.state
    }

    /// The blackboard.
    pub fn board(&self) -> &Blackboard {
        &self.board
    }

    /// The newest revision known to be in force everywhere.
    pub fn in_force_revision(&self) -> u64 {
        self.in_force_revision
    }

    /// The consensus core, if this node is a member of the control group.
    pub fn core(&self) -> Option<&Node> {
        self.voter.as_ref().map(|voter| &voter.core)
    }

    /// Whether this node leads and holds the leader lease, so that no other node can lead now.
    pub fn leads(&self, now: Moment) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leads(now.monotonic))
    }

    /// Whether an order to a server may be sent now: this node still leads in the term in which it was given. Outputs may be
    /// carried out late, and a new leader relies on earlier ones to send nothing more.
    pub fn may_send_group_order(&self, now: Moment, order: &GroupOrder) -> bool {
        self.leads(now) && self.leader_state().is_some_and(|leader_state| leader_state.term == order.fence)
    }

    /// Whether this node leads and has applied everything that earlier leaders committed. Before, its state may be older than
    /// what was acknowledged.
    pub(crate) fn leads_with_current_state(&self, now: Moment) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leads_with_current_state(now.monotonic))
    }

    /// Drops the deduplication records of operators' changes. Only for the simulator, which injects this
    /// defect to verify that its checks detect it.
    #[doc(hidden)]
    pub fn forget_change_ids(&mut self) {
        self.board.state.changes = Default::default();
    }

    /// Whether any published value has changed since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    pub(crate) fn leader_state(&self) -> Option<&LeaderState<R>> {
        self.voter.as_ref()?.leader_state.as_ref()
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState<R>> {
        self.voter.as_mut()?.leader_state.as_mut()
    }

    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        self.voter.as_ref().and_then(|voter| voter.leader)
    }

    fn receive(&mut self, now: Moment, messages: Vec<Message>) {
        for message in messages {
            self.step_core(now, consensus::Input::Receive(message));
        }
    }

    fn collect_commands(&mut self, now: Moment, commands: Vec<(Vec<u8>, R)>, batch: &mut Batch<R>) {
        let leads = self.leads(now);
        let leader = self.leader_address();
        for (command, reply) in commands {
            if !leads {
                self.outputs.push(Output::SubmitReply(reply, SubmitReply::NotLeader { leader }));
            } else if let Err(error) = decode_command(&command) {
                let failure =
                    SubmitReply::Failed { code: error.code(), message: error.message().to_string() };
                self.outputs.push(Output::SubmitReply(reply, failure));
            } else if self.has_too_much_to_apply(batch, command.len()) {
                let failure = proposal_dropped("too many bytes wait to be applied");
                self.outputs.push(Output::SubmitReply(reply, failure));
            } else {
                batch.commands.push(command);
                batch.waiters.push(Waiter::Caller(reply));
            }
        }
    }

    fn view(&mut self, now: Moment) -> ControlAnswer {
        let voters = self.voter_statuses(now);
        match self.leader_state() {
            Some(leader_state) if self.leads_with_current_state(now) => ControlAnswer::View(
                leader_state.view(&self.board, self.in_force_revision, &self.name, &voters, now.monotonic),
            ),
            _ => ControlAnswer::NotLeader { leader: self.leader_address() },
        }
    }

    pub(crate) fn record_event(&mut self, reason: &str, message: &str, code: ResultCode) {
        let event = TimelineEvent {
            subject: Subject::new("daemon", &self.name),
            reason: reason.to_string(),
            message: message.to_string(),
            code,
        };
        self.outputs.push(Output::Record { event, revision: None });
    }

    pub(crate) fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.board.apply(command);
        self.publish_applied(command, &applied);
        applied
    }

    pub(crate) fn publish_applied(&mut self, command: &Command, applied: &Applied) {
        if !command.body.is_configuration() {
            return;
        }
        let revision = self.board.revision();
        self.outputs.push(Output::Touched { revision, keys: applied.changed_keys.clone() });
        self.dirty = true;
        // All voters record timeline events, so that they survive the loss of any one voter.
        if self.voter.is_some() {
            for event in timeline_events(command, applied, self.board.tables()) {
                self.outputs.push(Output::Record { event, revision: Some(revision) });
            }
        }
    }
}

fn to_voter(record: VoterRecord) -> Voter {
    Voter { id: record.id, address: record.address }
}

/// The voters of a state, as consensus voters.
pub fn voters_of(state: &State) -> Vec<Voter> {
    state.voters.iter().map(|voter| Voter { id: voter.id, address: voter.address }).collect()
}

impl<R> Batch<R> {
    /// Total size of the commands, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.commands.iter().map(|command| command.len() as u64).sum()
    }

    pub(crate) fn add(&mut self, now: Moment, body: CommandBody) {
        self.commands.push(encode_command(&Command { at_ms: now.wall_ms, body }));
        self.waiters.push(Waiter::Controller);
    }
}
