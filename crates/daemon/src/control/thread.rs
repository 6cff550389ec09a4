//! The control thread's loop.

use super::account::accounts;
use super::blackboard::Blackboard;
use super::consensus_driver::{ConsensusDriver, DriverEvent, command_bytes};
use super::leader::Leadership;
use super::{ControlMessage, GrantedLease, OrderSender};
use crate::clock::{monotonic_ms, wall_ms};
use crate::published::{Published, RoutingTable};
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::peer::{ControlAnswer, LeaseAnswer, LeaseContent, LeaseRequest, SubmitReply};
use dockwood_consensus::{Entry, Input, Message, RoleName};
use dockwood_state::{Command, State, CommandBody, decode_command, encode_command, encode_outcome};
use dockwood_storage::StorageError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time between ticks of a voter.
const VOTER_TICK: Duration = Duration::from_millis(20);
/// Time between ticks of any other daemon.
const FOLLOWER_TICK: Duration = Duration::from_millis(250);
/// Messages taken at once; their commands share one synced write.
const BATCH: usize = 512;

/// Who waits for a proposed command.
enum Waiter {
    Caller(oneshot::Sender<SubmitReply>),
    Controller,
}

/// A command that this node proposed and that is not yet committed.
struct Proposal {
    term: u64,
    waiter: Waiter,
}

/// What only a voter has.
struct VoterPart {
    driver: ConsensusDriver,
    applied_index: u64,
    proposals: BTreeMap<u64, Proposal>,
    leadership: Option<Leadership>,
    leader: Option<SocketAddr>,
}

/// The control thread's state.
pub struct ControlThread {
    shared: Arc<Shared>,
    messages: mpsc::Receiver<ControlMessage>,
    board: Blackboard,
    orders: OrderSender,
    voter: Option<VoterPart>,
    in_force_revision: u64,
    dirty: bool,
    stopping: bool,
}

/// Commands gathered from one batch of messages, to be proposed together.
#[derive(Default)]
struct Batch {
    commands: Vec<Vec<u8>>,
    waiters: Vec<Waiter>,
}

/// Runs the control thread until it is told to stop. A disk that fails is final: what it holds is unknown, so
/// the process must not go on.
pub async fn run_control_thread(mut control: ControlThread) -> Result<(), StorageError> {
    let tick_every = if control.voter.is_some() { VOTER_TICK } else { FOLLOWER_TICK };
    let mut ticks = tokio::time::interval(tick_every);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut received = Vec::new();
    control.publish();
    while !control.stopping {
        tokio::select! {
            count = control.messages.recv_many(&mut received, BATCH) => {
                if count == 0 {
                    return Ok(());
                }
            }
            _ = ticks.tick() => {}
        }
        control.take(std::mem::take(&mut received))?;
        control.finish_round()?;
    }
    Ok(())
}

impl ControlThread {
    /// A control thread; `driver` is set at voters.
    pub fn new(
        shared: Arc<Shared>,
        messages: mpsc::Receiver<ControlMessage>,
        state: State,
        driver: Option<ConsensusDriver>,
        orders: OrderSender,
    ) -> Self {
        let board = Blackboard::new(state);
        let voter = driver.map(|driver| VoterPart {
            applied_index: driver.node().snapshot_index(),
            driver,
            proposals: BTreeMap::new(),
            leadership: None,
            leader: None,
        });
        let in_force_revision = 0;
        ControlThread { shared, messages, board, orders, voter, in_force_revision, dirty: true, stopping: false }
    }

    fn take(&mut self, messages: Vec<ControlMessage>) -> Result<(), StorageError> {
        let mut batch = Batch::default();
        for message in messages {
            self.take_one(message, &mut batch)?;
        }
        self.step(Input::Tick)?;
        self.propose(batch)
    }

    fn take_one(&mut self, message: ControlMessage, batch: &mut Batch) -> Result<(), StorageError> {
        match message {
            ControlMessage::Consensus { from, messages } => self.receive_consensus(from, &messages)?,
            ControlMessage::Submit { command, reply } => self.take_submit(command, reply, batch),
            ControlMessage::Lease { request, reply } => self.take_lease(request, reply),
            ControlMessage::Observe { term, observations, reply } => {
                let now = monotonic_ms();
                let leads_term = self.leadership().is_some_and(|leadership| leadership.term == term);
                if leads_term {
                    super::leader::record_observations(&mut self.board.observed, now, observations);
                }
                let _ = reply.send(leads_term);
            }
            ControlMessage::View { reply } => {
                let _ = reply.send(self.view());
            }
            ControlMessage::LeaseGranted { lease, reply } => {
                self.take_lease_content(lease);
                let _ = reply.send(self.board.revision());
            }
            ControlMessage::OrderAnswered { server, fence, done } => {
                let now = monotonic_ms();
                if let Some(leadership) = self.leadership_mut() {
                    leadership.order_answered(now, &server, fence, done);
                }
                if done {
                    batch.add(CommandBody::OrderDone { server, fence });
                }
            }
            ControlMessage::PlatformList(rows) => {
                let leaving = rows.into_iter().filter(|row| row.leaving).map(|row| row.server).collect();
                self.board.observed.machines.set_leaving(leaving);
            }
            ControlMessage::Stop => self.stopping = true,
        }
        Ok(())
    }

    fn leadership(&self) -> Option<&Leadership> {
        self.voter.as_ref()?.leadership.as_ref()
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        self.voter.as_mut()?.leadership.as_mut()
    }

    /// Whether this node may act as the leader right now.
    fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.leadership.is_some() && voter.driver.leads())
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        match &self.voter {
            Some(voter) => voter.leader,
            None => self.shared.leader(),
        }
    }

    fn receive_consensus(&mut self, from: u64, encoded: &[u8]) -> Result<(), StorageError> {
        let Ok(messages) = postcard::from_bytes::<Vec<Message>>(encoded) else { return Ok(()) };
        for message in messages.into_iter().filter(|message| message.from == from) {
            self.step(Input::Receive(message))?;
        }
        Ok(())
    }

    fn take_submit(&mut self, command: Vec<u8>, reply: oneshot::Sender<SubmitReply>, batch: &mut Batch) {
        if !self.leads() {
            let _ = reply.send(SubmitReply::NotLeader { leader: self.leader_address() });
            return;
        }
        if let Err(error) = decode_command(&command) {
            let failed = SubmitReply::Failed { code: error.code(), message: error.message().to_string() };
            let _ = reply.send(failed);
            return;
        }
        batch.commands.push(command);
        batch.waiters.push(Waiter::Caller(reply));
    }

    fn take_lease(&mut self, request: LeaseRequest, reply: oneshot::Sender<LeaseAnswer>) {
        let leader = self.leader_address();
        let leads = self.leads();
        let now = monotonic_ms();
        match self.leadership_mut() {
            Some(leadership) if leads => leadership.take_lease_request(now, request, reply),
            _ => {
                let _ = reply.send(LeaseAnswer::NotLeader { leader });
            }
        }
    }

    fn view(&self) -> ControlAnswer {
        match self.leadership() {
            Some(leadership) if self.leads() => {
                let name = &self.shared.settings.name;
                let now = monotonic_ms();
                ControlAnswer::View(leadership.view(&self.board, self.in_force_revision, name, now))
            }
            _ => ControlAnswer::NotLeader { leader: self.leader_address() },
        }
    }

    /// What came with this daemon's own lease.
    fn take_lease_content(&mut self, lease: GrantedLease) {
        self.raise_in_force(lease.in_force_revision);
        match lease.content {
            LeaseContent::Commands(commands) => {
                for (revision, bytes) in commands {
                    if revision == self.board.revision() + 1
                        && let Ok(command) = decode_command(&bytes)
                    {
                        self.apply(&command);
                    }
                }
            }
            LeaseContent::Snapshot(bytes) => self.restore(&bytes),
        }
        self.publish();
    }

    fn raise_in_force(&mut self, revision: u64) {
        if revision > self.in_force_revision {
            self.in_force_revision = revision;
            self.dirty = true;
        }
    }

    fn restore(&mut self, bytes: &[u8]) {
        match self.board.restore(bytes) {
            Ok(true) => {
                self.shared.watch_hub.reset(self.board.revision());
                self.dirty = true;
            }
            Ok(false) => {}
            Err(error) => {
                let subject = Subject::new("daemon", &self.shared.settings.name);
                self.shared.timeline.record(subject, "SnapshotRefused", error.message(), None, error.code());
            }
        }
    }

    fn apply(&mut self, command: &Command) -> dockwood_state::Applied {
        let applied = self.board.apply(command);
        self.shared.metrics.commands_committed.inc();
        if command.body.is_configuration() {
            let revision = self.board.revision();
            self.shared.watch_hub.push(revision, applied.touched.clone());
            self.dirty = true;
            if self.voter.is_some() {
                for account in accounts(command, &applied, self.board.tables()) {
                    let (subject, code) = (account.subject, account.code);
                    self.shared.timeline.record(subject, &account.reason, &account.message, Some(revision), code);
                }
            }
        }
        applied
    }

    /// Gives the consensus core an input and acts on what follows.
    fn step(&mut self, input: Input) -> Result<(), StorageError> {
        let Some(voter) = &mut self.voter else { return Ok(()) };
        let events = voter.driver.step(input)?;
        for event in events {
            match event {
                DriverEvent::Committed(entries) => entries.into_iter().for_each(|entry| self.commit(entry)),
                DriverEvent::Restored(data) => {
                    self.restore(&data);
                    self.note_restored();
                }
                DriverEvent::RoleChanged { role, term, leader } => self.role_changed(role, term, leader),
            }
        }
        Ok(())
    }

    fn note_restored(&mut self) {
        if let Some(voter) = &mut self.voter {
            voter.applied_index = voter.driver.node().snapshot_index();
        }
    }

    fn commit(&mut self, entry: Entry) {
        let applied = command_bytes(&entry).and_then(|bytes| decode_command(bytes).ok()).map(|command| self.apply(&command));
        let revision = self.board.revision();
        let Some(voter) = &mut self.voter else { return };
        voter.applied_index = entry.index;
        let Some(proposal) = voter.proposals.remove(&entry.index) else { return };
        if matches!(proposal.waiter, Waiter::Controller)
            && let Some(leadership) = &mut voter.leadership
        {
            leadership.controller_command_committed();
        }
        if let Waiter::Caller(reply) = proposal.waiter {
            let answer = match applied {
                Some(applied) if proposal.term == entry.term => {
                    SubmitReply::Applied { revision, outcome: encode_outcome(&applied.outcome) }
                }
                _ => dropped("another leader's entry took its place"),
            };
            let _ = reply.send(answer);
        }
    }

    fn role_changed(&mut self, role: RoleName, term: u64, leader: Option<SocketAddr>) {
        let now = monotonic_ms();
        let Some(voter) = &mut self.voter else { return };
        voter.leader = leader;
        if leader.is_some() {
            self.shared.set_leader(leader);
        }
        let led_before = voter.leadership.is_some();
        voter.leadership = (role == RoleName::Leader).then(|| Leadership::new(term, now));
        self.shared.metrics.is_leader.set(i64::from(role == RoleName::Leader));
        if role != RoleName::Leader {
            // Whether they will be committed is no longer this node's to know; the caller resends.
            for (_, proposal) in std::mem::take(&mut voter.proposals) {
                if let Waiter::Caller(reply) = proposal.waiter {
                    let _ = reply.send(dropped("this node ceased to lead before the command was committed"));
                }
            }
        }
        if role == RoleName::Leader || led_before {
            let reason = if role == RoleName::Leader { "Elected" } else { "SteppedDown" };
            let subject = Subject::new("daemon", &self.shared.settings.name);
            self.shared.timeline.record(subject, reason, &format!("term {term}"), None, ResultCode::Ok);
        }
    }

    fn propose(&mut self, batch: Batch) -> Result<(), StorageError> {
        if batch.commands.is_empty() {
            return Ok(());
        }
        let Some(voter) = &mut self.voter else { return Ok(()) };
        if voter.leadership.is_none() {
            for waiter in batch.waiters {
                if let Waiter::Caller(reply) = waiter {
                    let _ = reply.send(SubmitReply::NotLeader { leader: voter.leader });
                }
            }
            return Ok(());
        }
        let term = voter.driver.node().term();
        let first = voter.driver.node().last_index() + 1;
        for (index, waiter) in (first..).zip(batch.waiters) {
            voter.proposals.insert(index, Proposal { term, waiter });
        }
        self.step(Input::Propose(batch.commands))
    }

    /// What follows each batch: snapshots for followers, controllers, publication, held leases, compaction.
    fn finish_round(&mut self) -> Result<(), StorageError> {
        self.supply_snapshots()?;
        self.run_controllers()?;
        if let Some(revision) = self.compute_in_force() {
            self.raise_in_force(revision);
        }
        self.publish();
        self.answer_held_leases();
        self.compact()
    }

    fn supply_snapshots(&mut self) -> Result<(), StorageError> {
        let Some(voter) = &mut self.voter else { return Ok(()) };
        let wanted = voter.driver.take_snapshot_wanted();
        let index = voter.applied_index;
        let Some(term) = voter.driver.node().term_at(index) else { return Ok(()) };
        for to in wanted {
            let data = self.board.state.encode();
            self.step(Input::SnapshotLoaded { to, index, term, data })?;
        }
        Ok(())
    }

    fn run_controllers(&mut self) -> Result<(), StorageError> {
        if !self.leads() {
            return Ok(());
        }
        let Some(voter) = &mut self.voter else { return Ok(()) };
        let Some(leadership) = &mut voter.leadership else { return Ok(()) };
        // Until an entry of the own term is applied, the tables may lack what an earlier leader committed.
        if voter.driver.node().term_at(voter.applied_index) != Some(leadership.term) {
            return Ok(());
        }
        let now = monotonic_ms();
        self.board.forget_gone();
        leadership.send_orders(now, &self.board, &self.orders);
        let commands = leadership.decide(now, &self.board);
        let mut batch = Batch::default();
        commands.into_iter().for_each(|body| batch.add(body));
        self.propose(batch)
    }

    fn compute_in_force(&self) -> Option<u64> {
        let leadership = self.leadership()?;
        if !self.leads() {
            return None;
        }
        leadership.leases.in_force_revision(monotonic_ms(), self.board.tables())
    }

    fn answer_held_leases(&mut self) {
        if !self.leads() {
            let leader = self.leader_address();
            if let Some(leadership) = self.leadership_mut() {
                leadership.refuse_held(leader);
            }
            return;
        }
        let stamp = self.shared.timeline.stamp();
        let in_force_revision = self.in_force_revision;
        let now = monotonic_ms();
        let Some(voter) = &mut self.voter else { return };
        if let Some(leadership) = &mut voter.leadership {
            leadership.answer_held(now, &self.board, in_force_revision, stamp);
        }
    }

    fn compact(&mut self) -> Result<(), StorageError> {
        let Some(voter) = &mut self.voter else { return Ok(()) };
        if voter.driver.wants_compaction(voter.applied_index) {
            voter.driver.compact(voter.applied_index, self.board.state.encode())?;
        }
        Ok(())
    }

    fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let tables = Arc::new(self.board.tables().clone());
        let routing = Arc::new(RoutingTable::build(&tables));
        self.shared.publish(Published { tables, in_force_revision: self.in_force_revision, routing });
    }
}

impl Batch {
    fn add(&mut self, body: CommandBody) {
        self.commands.push(encode_command(&Command { at_ms: wall_ms(), body }));
        self.waiters.push(Waiter::Controller);
    }
}

fn dropped(message: &str) -> SubmitReply {
    SubmitReply::Failed { code: ResultCode::ProposalDropped, message: message.to_string() }
}
