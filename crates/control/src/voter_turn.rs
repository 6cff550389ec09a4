//! What a voter does after each input: proposes commands, runs the leader's controllers, and compacts its
//! log.

use crate::admission::VoterGroup;
use crate::driver_io::{Moment, Output, StoredSnapshot};
use crate::node::{Batch, ControlNode};
use crate::voter::{Proposal, Waiter};
use crate::zone_balance::ZonesById;
use dockwood_api::peer::SubmitReply;
use dockwood_consensus as consensus;

/// Total size of callers' commands up to which more are accepted before they are applied; a single larger command
/// is still accepted. Until then they can't be compacted, and concurrent changes of the gateway's configuration may
/// be as large as the state each.
const MAX_UNCOMMITTED_BYTES: u64 = 8 << 20;

impl<R> ControlNode<R> {
    /// Whether a caller's command of this size has to be sent again later, because too much waits to be committed and
    /// applied.
    pub(crate) fn has_too_much_to_apply(&self, batch: &Batch<R>, command_bytes: usize) -> bool {
        let Some(voter) = &self.voter else { return false };
        let waiting = batch.bytes() + voter.core.payload_bytes_after(voter.applied_index);
        waiting > 0 && waiting + command_bytes as u64 > MAX_UNCOMMITTED_BYTES
    }

    pub(crate) fn propose(&mut self, now: Moment, batch: Batch<R>) {
        if batch.commands.is_empty() {
            return;
        }
        let leads = self.leads(now);
        let Some(voter) = &mut self.voter else { return };
        if !leads {
            let leader = voter.leader;
            for waiter in batch.waiters {
                if let Waiter::Caller(reply) = waiter {
                    self.outputs.push(Output::SubmitReply(reply, SubmitReply::NotLeader { leader }));
                }
            }
            return;
        }
        let term = voter.core.term();
        let first = voter.core.last_index() + 1;
        for (index, waiter) in (first..).zip(batch.waiters) {
            voter.proposals.insert(index, Proposal { term, waiter });
        }
        self.step_core(now, consensus::Input::Propose(batch.commands));
    }

    pub(crate) fn supply_snapshot(&mut self, now: Moment, to: u64) {
        let Some(voter) = &self.voter else { return };
        let index = voter.applied_index;
        let Some(term) = voter.core.term_at(index) else { return };
        let data = self.board.state.encode();
        self.step_core(now, consensus::Input::SnapshotLoaded { to, index, term, data });
    }

    /// Records which groups have been formed.
    pub(crate) fn observe_formations(&mut self, now: Moment) {
        if let Some(voter) = &mut self.voter {
            voter.formation_times.observe(now.monotonic, &self.board.state.tables.gateway.groups);
        }
    }

    pub(crate) fn run_controllers(&mut self, now: Moment) {
        let Some(voter) = &mut self.voter else { return };
        if !voter.leads_with_current_state(now.monotonic) {
            return;
        }
        let Some(leader_state) = &mut voter.leader_state else { return };
        self.board.drop_stale_observations();
        let gateway_tables = &self.board.state.tables.gateway;
        leader_state.gateway.take_over(now.monotonic, gateway_tables, &voter.formation_times);
        let group_orders = leader_state.gateway.orders_to_send(
            now.monotonic,
            gateway_tables,
            self.options.grouping,
            leader_state.term,
        );
        let probes = leader_state.gateway.probes(now.monotonic, gateway_tables);
        let orders = leader_state.orders_to_send(now.monotonic, &self.board);
        let commands = leader_state.decide(now, &self.board, &self.options);
        self.outputs.extend(orders.into_iter().map(|order| Output::SendOrder(Box::new(order))));
        let group_orders = group_orders.into_iter().map(|order| Output::SendGroupOrder(Box::new(order)));
        self.outputs.extend(group_orders);
        self.outputs.extend(probes.into_iter().map(Output::Probe));
        let mut batch = Batch::default();
        commands.into_iter().for_each(|body| batch.add(now, body));
        self.propose(now, batch);
        self.change_voters(now);
        self.announce_leader(now);
        self.report_zone_balance(now);
    }

    /// Announces this leader to daemons that have not found it.
    fn announce_leader(&mut self, now: Moment) {
        let Some(leader_state) = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut()) else {
            return;
        };
        let tables = &self.board.state.tables;
        let to =
            leader_state.announcements.due(now.monotonic, &self.name, tables, &leader_state.responder.leases);
        if !to.is_empty() {
            self.outputs.push(Output::AnnounceLeader { to, term: leader_state.term });
        }
    }

    /// Adds or removes a voter, one at a time.
    fn change_voters(&mut self, now: Moment) {
        if !self.voter.as_ref().is_some_and(|voter| voter.core.voters_settled()) {
            return;
        }
        let tolerates_zone_loss = self.options.tolerates_zone_loss;
        let zones = if tolerates_zone_loss { self.voter_zones() } else { ZonesById::new() };
        let Some(voter) = &mut self.voter else { return };
        let (voters, silent_for) = (voter.known_voters(), voter.core.silent_for(now.monotonic));
        let group = VoterGroup {
            own_id: voter.core.id(),
            voters: &voters,
            silent_for: &silent_for,
            target_voters: self.options.target_voters,
            zones: &zones,
            tolerates_zone_loss,
        };
        let Some(leader_state) = &mut voter.leader_state else { return };
        let next = leader_state.candidates.next_voters(now.monotonic, &group);
        if let Some(next) = next {
            self.step_core(now, consensus::Input::ChangeVoters(next));
        }
    }

    pub(crate) fn raise_in_force_as_leader(&mut self, now: Moment) {
        if !self.leads_with_current_state(now) || !self.claim_in_force_check(now.monotonic) {
            return;
        }
        let leader_state = self.leader_state();
        let revision = leader_state
            .and_then(|leader| leader.responder.leases.in_force_revision(now.monotonic, self.board.tables()));
        if let Some(revision) = revision {
            self.raise_in_force(revision);
        }
    }

    /// Replaces the log by a snapshot once it has many entries or takes much more room than the snapshot.
    pub(crate) fn compact_if_due(&mut self) {
        let Some(voter) = &self.voter else { return };
        if !voter.is_compaction_due(self.options.compact_after_entries) {
            return;
        }
        if let Some(snapshot) = self.snapshot_of_applied() {
            self.record_compaction(&snapshot);
            self.outputs.push(Output::StoreSnapshot(snapshot));
        }
    }

    /// What can replace the stored log: a snapshot up to the newest applied entry, and the entries after it. Contains
    /// everything that the outputs up to now write to the log. `None` if no entry was applied since the previous
    /// snapshot.
    pub fn snapshot_of_applied(&self) -> Option<StoredSnapshot> {
        let voter = self.voter.as_ref()?;
        let index = voter.applied_index;
        if index <= voter.core.snapshot_index() {
            return None;
        }
        let term = voter.core.term_at(index)?;
        self.with_log(index, term, self.board.state.encode())
    }

    /// Compacts the log in memory, and records that the stored one is replaced.
    pub fn record_compaction(&mut self, snapshot: &StoredSnapshot) {
        let Some(voter) = &mut self.voter else { return };
        voter.core.step(0, consensus::Input::Compact { index: snapshot.index });
        voter.log_size.replaced(snapshot.data.len(), &snapshot.entries);
    }

    /// Combines a snapshot with the hard state and the entries after it.
    pub(crate) fn with_log(&self, index: u64, term: u64, data: Vec<u8>) -> Option<StoredSnapshot> {
        let core = &self.voter.as_ref()?.core;
        let (hard_state, entries) = (core.hard_state(), core.entries_after(index));
        Some(StoredSnapshot { index, term, data, hard_state, entries })
    }
}
