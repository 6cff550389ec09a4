//! The control node: takes inputs, drives the consensus core and the leader's controllers, and gathers outputs.

use crate::Millis;
use crate::account::{Account, accounts};
use crate::admission::voters_to_lose;
use crate::blackboard::Blackboard;
use crate::catch_up::EncodedState;
use crate::census::{EntryCensus, FromDaemons};
use crate::driver_io::{Input, Moment, Output};
use crate::leader::{Leadership, record_observations};
use crate::voter::{VoterPart, Waiter};
use crate::voter_zones::MemberZones;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::peer::{AdmitAnswer, ControlAnswer, SubmitReply, VoterRecord};
use dockwood_consensus::{self as consensus, Message, Node, Voter};
use dockwood_grouping::{ColdLimit, GroupingPolicy};
use dockwood_placement::PlacementPolicy;
use dockwood_state::{Applied, Command, CommandBody, State, Tables, decode_command, encode_command};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Daemons up to which the leader answers all requests for leases itself, unless the settings say otherwise.
pub const LEADER_LEASES_UP_TO: usize = 200;

/// Parameters of a control node.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Entries in the log before a snapshot replaces them.
    pub compact_after_entries: u64,
    /// How the leader places replicas.
    pub placement: PlacementPolicy,
    /// Bounds of the gateway's engines.
    pub grouping: GroupingPolicy,
    /// By how much the rate that cold servers declare may be exceeded, over all daemons.
    pub cold_limit: ColdLimit,
    /// Voters that the control group keeps when it can.
    pub usual_voters: usize,
    /// Whether the loss of a whole zone is to be borne: then no zone may hold half of the voters.
    pub bears_zone_loss: bool,
    /// Daemons up to which the leader answers all requests for leases itself; with more, the other voters do in its name.
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
            usual_voters: voters_to_lose(1),
            bears_zone_loss: false,
            leader_leases_up_to: LEADER_LEASES_UP_TO,
        }
    }
}

/// Commands gathered from the inputs of one turn, to be proposed together.
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
    pub(crate) voter: Option<VoterPart<R>>,
    pub(crate) in_force_revision: u64,
    pub(crate) dirty: bool,
    /// Commands of the inputs taken since the last settling.
    batch: Batch<R>,
    pub(crate) entries: FromDaemons<EntryCensus>,
    /// Zones of the daemons that may be voters, by peer address.
    pub(crate) member_zones: FromDaemons<MemberZones>,
    pub(crate) in_force_at: Millis,
    /// The state for daemons that are sent here to fetch it.
    copy: EncodedState,
    pub(crate) outputs: Vec<Output<R>>,
}

impl<R> ControlNode<R> {
    /// A daemon that is no voter: it learns everything with its leases.
    pub fn follower(name: &str) -> Self {
        ControlNode {
            name: name.to_string(),
            options: Options::default(),
            board: Blackboard::default(),
            voter: None,
            in_force_revision: 0,
            dirty: true,
            batch: Batch::default(),
            entries: FromDaemons::default(),
            member_zones: FromDaemons::default(),
            in_force_at: 0,
            copy: EncodedState::default(),
            outputs: Vec::new(),
        }
    }

    /// A member of the control group, with the state of its stored snapshot and the peer addresses of all.
    pub fn voter(name: &str, state: State, core: Node, addresses: BTreeMap<u64, SocketAddr>) -> Self {
        let board = Blackboard::new(state);
        ControlNode { board, voter: Some(VoterPart::new(core, addresses)), ..ControlNode::follower(name) }
    }

    /// The same node with other parameters.
    pub fn with_options(self, options: Options) -> Self {
        ControlNode { options, ..self }
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn step(&mut self, now: Moment, input: Input<R>) -> Vec<Output<R>> {
        self.take(now, input);
        self.settle(now)
    }

    /// Takes one input. What follows from it is left to [`ControlNode::settle`], so that inputs that arrive together
    /// share one proposal and one run of the controllers.
    pub fn take(&mut self, now: Moment, input: Input<R>) {
        let mut batch = std::mem::take(&mut self.batch);
        self.dispatch(now, input, &mut batch);
        self.batch = batch;
    }

    /// Decides on all that was taken, and returns what is to be done, in order.
    pub fn settle(&mut self, now: Moment) -> Vec<Output<R>> {
        self.drive(now, consensus::Input::Tick);
        let batch = std::mem::take(&mut self.batch);
        self.propose(now, batch);
        self.run_controllers(now);
        self.raise_in_force_as_leader(now);
        self.answer_leases(now);
        self.compact();
        std::mem::take(&mut self.outputs)
    }

    fn dispatch(&mut self, now: Moment, input: Input<R>, batch: &mut Batch<R>) {
        match input {
            Input::Tick => {}
            Input::Pulse => {
                if let Some(leadership) = self.leadership_mut() {
                    leadership.pulse(now.monotonic);
                }
            }
            Input::Consensus(messages) => self.receive(now, messages),
            Input::Submit(commands) => self.take_commands(now, commands, batch),
            Input::Lease(request, reply) => self.take_lease_request(now, request, reply),
            Input::Delegate(requests, reply) => self.take_delegated(now, &requests, reply),
            Input::Delegated { number, answer } => self.delegation_answered(number, answer),
            Input::Observe(term, observations, reply) => {
                let leads_term = self.leadership().is_some_and(|leadership| leadership.term == term);
                if leads_term {
                    record_observations(&mut self.board.observed, now.monotonic, observations);
                }
                self.outputs.push(Output::ObserveReply(reply, leads_term));
            }
            Input::View(reply) => {
                let view = self.view(now);
                self.outputs.push(Output::ViewReply(reply, view));
            }
            Input::LeaseGranted(lease) => self.take_lease(lease),
            Input::OrderAnswered { server, fence, done } => {
                if let Some(leadership) = self.leadership_mut() {
                    leadership.order_answered(now.monotonic, &server, fence, done);
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
                if let Some(leadership) = self.leadership_mut() {
                    leadership.gateway.order_answered(now.monotonic, &order, answer);
                }
            }
            Input::ServerLimits(limits) => {
                if let Some(leadership) = self.leadership_mut() {
                    leadership.gateway.note_limits(limits);
                }
            }
            Input::Probed { instance, result, slowness } => {
                if let Some(leadership) = self.leadership_mut() {
                    leadership.gateway.probed(now.monotonic, &instance, result, slowness);
                }
            }
            Input::AdmitVoter { id, address, zone, reply } => {
                let leads = self.leads(now);
                let leader = self.leader_address();
                let answer = match self.voter.as_mut().filter(|_| leads) {
                    Some(voter) => {
                        AdmitAnswer::Noted(voter.take_candidate(now.monotonic, id, address, &zone))
                    }
                    None => AdmitAnswer::NotLeader { leader },
                };
                self.outputs.push(Output::AdmitReply(reply, answer));
            }
            Input::LearnVoters(records) => {
                let voters: Vec<Voter> = records.into_iter().map(voter_of).collect();
                if let Some(voter) = &mut self.voter {
                    voter.learn_addresses(&voters);
                }
                self.outputs.push(Output::VotersChanged(voters));
            }
            Input::ReadRevision(reply) => {
                let answer = self.read_revision(now);
                self.outputs.push(Output::ReadReply(reply, answer));
            }
            Input::CopyState(reply) => {
                let holds_state = self.board.revision() > 0;
                let copy = holds_state.then(|| self.copy.recent(&self.board).to_vec());
                self.outputs.push(Output::CopyReply(reply, copy));
            }
            Input::Leaving(servers) => self.board.observed.machines.set_leaving(servers),
            Input::Persisted { index, term } => self.drive(now, consensus::Input::Persisted { index, term }),
        }
    }

    /// The replicated tables as applied here.
    pub fn tables(&self) -> &Tables {
        self.board.tables()
    }

    /// The whole replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.board.state
    }

    /// The blackboard.
    pub fn board(&self) -> &Blackboard {
        &self.board
    }

    /// Newest revision known to be in force everywhere.
    pub fn in_force_revision(&self) -> u64 {
        self.in_force_revision
    }

    /// The consensus core, at a voter.
    pub fn core(&self) -> Option<&Node> {
        self.voter.as_ref().map(|voter| &voter.core)
    }

    /// Whether this node leads, and nobody else can at this moment.
    pub fn leads(&self, now: Moment) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leads(now.monotonic))
    }

    /// Forgets the first answers to operators' changes. For the simulator alone, which seeds this defect to see
    /// whether its checks find it.
    #[doc(hidden)]
    pub fn forget_change_ids(&mut self) {
        self.board.state.changes = Default::default();
    }

    /// Whether anything that is published has changed since the last call.
    pub fn take_dirty(&mut self) -> bool {
        std::mem::take(&mut self.dirty)
    }

    pub(crate) fn leadership(&self) -> Option<&Leadership<R>> {
        self.voter.as_ref()?.leadership.as_ref()
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership<R>> {
        self.voter.as_mut()?.leadership.as_mut()
    }

    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        self.voter.as_ref().and_then(|voter| voter.leader)
    }

    fn receive(&mut self, now: Moment, messages: Vec<Message>) {
        for message in messages {
            self.drive(now, consensus::Input::Receive(message));
        }
    }

    fn take_commands(&mut self, now: Moment, commands: Vec<(Vec<u8>, R)>, batch: &mut Batch<R>) {
        let leads = self.leads(now);
        let leader = self.leader_address();
        for (command, reply) in commands {
            if !leads {
                self.outputs.push(Output::SubmitReply(reply, SubmitReply::NotLeader { leader }));
            } else if let Err(error) = decode_command(&command) {
                let failed = SubmitReply::Failed { code: error.code(), message: error.message().to_string() };
                self.outputs.push(Output::SubmitReply(reply, failed));
            } else {
                batch.commands.push(command);
                batch.waiters.push(Waiter::Caller(reply));
            }
        }
    }

    fn view(&mut self, now: Moment) -> ControlAnswer {
        let voters = self.voters_shown(now);
        match self.leadership() {
            Some(leadership) if self.leads(now) => ControlAnswer::View(leadership.view(
                &self.board,
                self.in_force_revision,
                &self.name,
                &voters,
                now.monotonic,
            )),
            _ => ControlAnswer::NotLeader { leader: self.leader_address() },
        }
    }

    pub(crate) fn record_own(&mut self, reason: &str, message: &str, code: ResultCode) {
        let account = Account {
            subject: Subject::new("daemon", &self.name),
            reason: reason.to_string(),
            message: message.to_string(),
            code,
        };
        self.outputs.push(Output::Record { account, revision: None });
    }

    pub(crate) fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.board.apply(command);
        self.note_applied(command, &applied);
        applied
    }

    pub(crate) fn note_applied(&mut self, command: &Command, applied: &Applied) {
        if !command.body.is_configuration() {
            return;
        }
        let revision = self.board.revision();
        self.outputs.push(Output::Touched { revision, keys: applied.changed_keys.clone() });
        self.dirty = true;
        // All voters record the time line, so that it survives any one of them.
        if self.voter.is_some() {
            for account in accounts(command, applied, self.board.tables()) {
                self.outputs.push(Output::Record { account, revision: Some(revision) });
            }
        }
    }
}

fn voter_of(record: VoterRecord) -> Voter {
    Voter { id: record.id, address: record.address }
}

/// Voters by a state, in the core's terms.
pub fn voters_of(state: &State) -> Vec<Voter> {
    state.voters.iter().map(|voter| Voter { id: voter.id, address: voter.address }).collect()
}

impl<R> Batch<R> {
    pub(crate) fn add(&mut self, now: Moment, body: CommandBody) {
        self.commands.push(encode_command(&Command { at_ms: now.wall_ms, body }));
        self.waiters.push(Waiter::Controller);
    }
}
