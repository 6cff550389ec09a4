//! Replication: appends and acknowledgements, commitment, linearizable reads and the leader's lease.

use crate::message::{Body, Probe};
use crate::node::{Node, Role};
use crate::types::{Entry, LogIndex, Millis, NodeId, Output, Payload, Term, Voter};
use std::collections::BTreeMap;

/// Duration of the leader's lease as a percentage of the election timeout; the rest is a margin for clock drift.
const LEASE_PERCENT: Millis = 80;

/// A leader's view of one follower.
#[derive(Clone, Debug)]
struct Progress {
    /// Index of the next entry to send; ahead of `match_index` while messages are in flight.
    next_index: LogIndex,
    match_index: LogIndex,
    acknowledged: Probe,
    /// When this leader started to replicate to the follower.
    started_at: Millis,
    /// The last retransmission of entries that the follower lacked. After a partition a follower rejects every message
    /// that was queued for it, and the entries that it lacks must not be sent again for each of them: of the rejections
    /// of the same or an earlier round, only those that request earlier entries cause another retransmission.
    retransmission: Retransmission,
    /// Set while a snapshot is in flight; nothing else is sent until it is acknowledged or this time is reached.
    snapshot_deadline: Option<Millis>,
}

/// A retransmission of entries.
#[derive(Clone, Copy, Debug, Default)]
struct Retransmission {
    /// The leader's round at the time.
    round: u64,
    /// Index of the first entry.
    first_index: LogIndex,
}

impl Progress {
    fn new(last_index: LogIndex, now: Millis) -> Self {
        Progress {
            next_index: last_index + 1,
            match_index: 0,
            acknowledged: Probe::default(),
            started_at: now,
            retransmission: Retransmission::default(),
            snapshot_deadline: None,
        }
    }
}

/// A read that waits until a majority has confirmed that this node is still the leader.
#[derive(Clone, Debug)]
struct PendingRead {
    id: u64,
    index: LogIndex,
    round: u64,
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    followers: BTreeMap<NodeId, Progress>,
    round: u64,
    heartbeat_due: Millis,
    quorum_check_due: Millis,
    elected_at: Millis,
    pending_reads: Vec<PendingRead>,
}

impl LeaderState {
    pub(crate) fn new(peers: &[NodeId], last_index: LogIndex, now: Millis) -> Self {
        LeaderState {
            followers: peers.iter().map(|id| (*id, Progress::new(last_index, now))).collect(),
            round: 0,
            heartbeat_due: now,
            quorum_check_due: now,
            elected_at: now,
            pending_reads: Vec::new(),
        }
    }

    /// The highest value that a majority has reached, counting this node with `own`.
    fn quorum_value(&self, own: u64, quorum: usize, value: impl Fn(&Progress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.followers.values().map(value).collect();
        values.push(own);
        values.sort_unstable_by(|left, right| right.cmp(left));
        values[quorum - 1]
    }
}

impl Node {
    /// Whether the leader's lease is valid, so that no other node can have been elected: a majority has acknowledged a
    /// message sent less than the lease duration ago, and withholds its votes for longer than that.
    pub fn leader_lease_valid(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let acknowledged =
            leader.quorum_value(now, self.membership.quorum(), |peer| peer.acknowledged.sent_at);
        now < acknowledged + self.settings.election_timeout_ms * LEASE_PERCENT / 100
    }

    /// On a leader, how long ago it sent the last message that each other voter has answered, or started to replicate to
    /// that voter if none was answered since; empty on other nodes.
    pub fn silent_for(&self, now: Millis) -> BTreeMap<NodeId, Millis> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let since = |progress: &Progress| progress.acknowledged.sent_at.max(progress.started_at);
        let silence = |(id, progress): (&NodeId, &Progress)| (*id, now.saturating_sub(since(progress)));
        leader.followers.iter().map(silence).collect()
    }

    pub(crate) fn leader_tick(&mut self, now: Millis) {
        let Role::Leader(leader) = &mut self.role else { return };
        if now >= leader.quorum_check_due {
            leader.quorum_check_due = now + self.settings.election_timeout_ms;
            let acknowledged =
                leader.quorum_value(now, self.membership.quorum(), |peer| peer.acknowledged.sent_at);
            let last_quorum_contact = acknowledged.max(leader.elected_at);
            if now > last_quorum_contact + self.settings.election_timeout_ms {
                self.become_follower(now, self.hard_state.term, None);
                return;
            }
        }
        if now >= leader.heartbeat_due {
            self.broadcast(now);
        }
    }

    pub(crate) fn propose(&mut self, now: Millis, commands: Vec<Vec<u8>>) {
        if !matches!(self.role, Role::Leader(_)) || commands.is_empty() {
            return;
        }
        let term = self.hard_state.term;
        let entries: Vec<Entry> =
            commands.into_iter().map(|command| self.log.append(term, Payload::Command(command))).collect();
        // Sent before the local disk has synced, so that the followers' disks write in parallel; the leader counts
        // itself only once `Persisted` arrives.
        self.broadcast(now);
        self.persist(false, entries);
    }

    /// Appends a membership change, which takes effect immediately. The leader itself must remain a voter.
    pub(crate) fn change_voters(&mut self, now: Millis, voters: Vec<Voter>) {
        let old = self.membership.voters();
        let added = voters.iter().filter(|voter| !old.contains(&voter.id)).count();
        let removed = old.iter().filter(|id| voters.iter().all(|voter| voter.id != **id)).count();
        let keeps_itself = voters.iter().any(|voter| voter.id == self.settings.id);
        let commits_own_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        let allowed = added + removed == 1 && keeps_itself && self.voters_settled() && commits_own_term;
        if !matches!(self.role, Role::Leader(_)) || !allowed {
            return;
        }
        let entry = self.log.append(self.hard_state.term, Payload::Voters(voters.clone()));
        self.membership.record_append(entry.index, &voters);
        self.outputs.push(Output::VotersChanged(voters));
        let (peers, last_index) = (self.peers(), self.log.last_index());
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|id, _| peers.contains(id));
        for peer in peers {
            leader.followers.entry(peer).or_insert_with(|| Progress::new(last_index - 1, now));
        }
        self.broadcast(now);
        self.persist(false, vec![entry]);
    }

    pub(crate) fn handle_persisted(&mut self, index: LogIndex, term: Term) {
        // The entry may have been replaced by a conflicting one in the meantime.
        if self.log.term_at(index) == Some(term) {
            self.persisted = self.persisted.max(index);
            self.advance_commit();
        }
    }

    /// Sends every follower the entries that it lacks, or a heartbeat.
    pub(crate) fn broadcast(&mut self, now: Millis) {
        let heartbeat_ms = self.settings.heartbeat_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.heartbeat_due = now + heartbeat_ms;
        for peer in self.peers() {
            self.send_append(now, peer);
        }
    }

    fn send_append(&mut self, now: Millis, to: NodeId) {
        let last_index = self.log.last_index();
        let max_bytes = self.settings.max_message_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let probe = Probe { round: leader.round, sent_at: now };
        let Some(progress) = leader.followers.get_mut(&to) else { return };
        if progress.snapshot_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            progress.snapshot_deadline = Some(now + self.settings.election_timeout_ms * 4);
            self.outputs.push(Output::SnapshotNeeded { to });
            return;
        };
        progress.snapshot_deadline = None;
        let entries = self.log.slice(progress.next_index, last_index, max_bytes);
        progress.next_index += entries.len() as LogIndex;
        let commit = self.commit;
        self.send(to, Body::Append { previous_index, previous_term, entries, commit, probe });
    }

    pub(crate) fn send_snapshot(
        &mut self,
        now: Millis,
        to: NodeId,
        index: LogIndex,
        term: Term,
        data: Vec<u8>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let probe = Probe { round: leader.round, sent_at: now };
        let Some(progress) = leader.followers.get_mut(&to) else { return };
        progress.next_index = index + 1;
        self.send(to, Body::Snapshot { index, term, data, probe });
    }

    pub(crate) fn handle_append(
        &mut self,
        from: NodeId,
        previous_index: LogIndex,
        previous_term: Term,
        entries: Vec<Entry>,
        commit: LogIndex,
        probe: Probe,
    ) {
        let before_snapshot = previous_index < self.log.snapshot_index();
        if !before_snapshot && self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.log.last_index().min(previous_index.saturating_sub(1)).max(self.commit);
            self.send(from, Body::AppendReply { matched: false, index, probe });
            return;
        }
        let matched_index = previous_index + entries.len() as LogIndex;
        let appended = self.log.merge(entries);
        if let Some(first) = appended.first() {
            self.persisted = self.persisted.min(first.index - 1);
            self.membership.truncate_from(first.index);
            for entry in &appended {
                if let Payload::Voters(voters) = &entry.payload {
                    self.membership.record_append(entry.index, voters);
                    self.outputs.push(Output::VotersChanged(voters.clone()));
                }
            }
            self.persist(false, appended);
        }
        self.commit = self.commit.max(commit.min(matched_index));
        self.send(from, Body::AppendReply { matched: true, index: matched_index, probe });
    }

    pub(crate) fn reject_append(&mut self, from: NodeId, probe: Probe) {
        let index = self.log.last_index();
        self.send(from, Body::AppendReply { matched: false, index, probe });
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        now: Millis,
        from: NodeId,
        matched: bool,
        index: LogIndex,
        probe: Probe,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.followers.get_mut(&from) else { return };
        if probe.round >= progress.acknowledged.round {
            progress.acknowledged =
                Probe { round: probe.round, sent_at: probe.sent_at.max(progress.acknowledged.sent_at) };
        }
        if matched {
            progress.snapshot_deadline = None;
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(index + 1);
        } else {
            let next_index = (index + 1).max(progress.match_index + 1);
            let is_retransmitted = probe.round <= progress.retransmission.round
                && next_index >= progress.retransmission.first_index;
            if !is_retransmitted {
                progress.next_index = next_index;
                progress.retransmission = Retransmission { round: leader.round, first_index: next_index };
            }
        }
        let lacks_entries = progress.next_index <= last_index;
        self.advance_commit();
        self.answer_confirmed_reads();
        if lacks_entries {
            self.send_append(now, from);
        }
    }

    /// Advances the commit index to what a majority has synced, provided that entry is of the leader's own term.
    fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let agreed = leader.quorum_value(self.persisted, self.membership.quorum(), |peer| peer.match_index);
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.hard_state.term) {
            self.commit = agreed;
        }
    }

    pub(crate) fn handle_snapshot(
        &mut self,
        from: NodeId,
        index: LogIndex,
        term: Term,
        data: Vec<u8>,
        probe: Probe,
    ) {
        if index > self.commit && self.log.term_at(index) == Some(term) {
            // The log contains everything that the snapshot covers, and possibly entries that were acknowledged after the
            // snapshot was sent: a delayed snapshot must not discard them.
            self.commit = index;
        } else if index > self.commit {
            self.log.reset(index, term);
            self.mark_restored(index);
            self.outputs.push(Output::Restore { index, term, data });
        }
        self.send(from, Body::AppendReply { matched: true, index, probe });
    }

    pub(crate) fn handle_read(&mut self, now: Millis, id: u64) {
        let commit = self.commit;
        let commits_own_term = self.log.term_at(commit) == Some(self.hard_state.term);
        let lease_valid = self.leader_lease_valid(now);
        let Role::Leader(leader) = &mut self.role else { return };
        if commits_own_term && lease_valid {
            self.outputs.push(Output::ReadReady { id, index: commit });
            return;
        }
        leader.pending_reads.push(PendingRead { id, index: commit, round: leader.round + 1 });
        self.broadcast(now);
    }

    fn answer_confirmed_reads(&mut self) {
        let commit = self.commit;
        if self.log.term_at(commit) != Some(self.hard_state.term) {
            return;
        }
        let quorum = self.membership.quorum();
        let Role::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.quorum_value(leader.round, quorum, |peer| peer.acknowledged.round);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut leader.pending_reads).into_iter().partition(|read| read.round <= confirmed);
        leader.pending_reads = waiting;
        for read in ready {
            self.outputs.push(Output::ReadReady { id: read.id, index: read.index.max(commit) });
        }
    }
}
