//! Replication: appending, acknowledging, committing, reads and the leader's lease.

use crate::message::{Body, Probe};
use crate::node::{Node, Role};
use crate::types::{Entry, LogIndex, Millis, NodeId, Output, Payload, Term, Voter};
use std::collections::BTreeMap;

/// The lease is this share of the election time-out, in percent: the rest allows for clocks that drift.
const LEASE_PERCENT: Millis = 80;

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
struct Progress {
    /// The next entry to send; runs ahead of `matched` while messages are in flight.
    next: LogIndex,
    matched: LogIndex,
    acknowledged: Probe,
    /// When this leader began to send to it.
    began_at: Millis,
    /// What was last sent again because the follower lacked some entries. A follower that was cut off rejects every
    /// message that has waited for it, and must not be sent everything again for each: of the same round or an earlier
    /// one, only a rejection that asks for earlier entries still counts.
    resent: Resent,
    /// A snapshot is under way; nothing else is sent until it is answered or this time has come.
    snapshot_until: Option<Millis>,
}

/// Entries that were sent again.
#[derive(Clone, Copy, Debug, Default)]
struct Resent {
    /// The leader's round.
    round: u64,
    /// The first of them.
    from: LogIndex,
}

impl Progress {
    fn new(last_index: LogIndex, now: Millis) -> Self {
        Progress {
            next: last_index + 1,
            matched: 0,
            acknowledged: Probe::default(),
            began_at: now,
            resent: Resent::default(),
            snapshot_until: None,
        }
    }
}

/// A read that waits until a majority has confirmed that this node still leads.
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
    reads: Vec<PendingRead>,
}

impl LeaderState {
    pub(crate) fn new(peers: &[NodeId], last_index: LogIndex, now: Millis) -> Self {
        LeaderState {
            followers: peers.iter().map(|id| (*id, Progress::new(last_index, now))).collect(),
            round: 0,
            heartbeat_due: now,
            quorum_check_due: now,
            elected_at: now,
            reads: Vec::new(),
        }
    }

    /// The value that a majority (this node counted as `own`) has reached.
    fn quorum_value(&self, own: u64, quorum: usize, value: impl Fn(&Progress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.followers.values().map(value).collect();
        values.push(own);
        values.sort_unstable_by(|left, right| right.cmp(left));
        values[quorum - 1]
    }
}

impl Node {
    /// True while no other node can have been elected: a majority has acknowledged a message that was sent
    /// less than the lease ago, and holds back its votes for longer than that.
    pub fn leader_lease_valid(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let acknowledged =
            leader.quorum_value(now, self.membership.quorum(), |peer| peer.acknowledged.sent_at);
        now < acknowledged + self.settings.election_timeout_ms * LEASE_PERCENT / 100
    }

    /// At a leader: for each other voter, the time since it last answered.
    pub fn silent_for(&self, now: Millis) -> BTreeMap<NodeId, Millis> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let since = |progress: &Progress| progress.acknowledged.sent_at.max(progress.began_at);
        let silent = |(id, progress): (&NodeId, &Progress)| (*id, now.saturating_sub(since(progress)));
        leader.followers.iter().map(silent).collect()
    }

    pub(crate) fn leader_tick(&mut self, now: Millis) {
        let Role::Leader(leader) = &mut self.role else { return };
        if now >= leader.quorum_check_due {
            leader.quorum_check_due = now + self.settings.election_timeout_ms;
            let acknowledged =
                leader.quorum_value(now, self.membership.quorum(), |peer| peer.acknowledged.sent_at);
            let silent_since = acknowledged.max(leader.elected_at);
            if now > silent_since + self.settings.election_timeout_ms {
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
        // Sent before the own disk has synced: the followers' disks work at the same time, and the leader
        // counts itself only once `Persisted` arrives.
        self.broadcast(now);
        self.persist(false, entries);
    }

    /// Appends new voters, who count at once. The leader itself stays a voter.
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
        self.membership.appended(entry.index, &voters);
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

    pub(crate) fn entries_persisted(&mut self, index: LogIndex, term: Term) {
        // A conflicting entry may have replaced it in the meantime.
        if self.log.term_at(index) == Some(term) {
            self.persisted = self.persisted.max(index);
            self.advance_commit();
        }
    }

    /// Sends every follower what it lacks, or a heartbeat.
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
        if progress.snapshot_until.is_some_and(|until| now < until) {
            return;
        }
        let previous_index = progress.next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            progress.snapshot_until = Some(now + self.settings.election_timeout_ms * 4);
            self.outputs.push(Output::SnapshotNeeded { to });
            return;
        };
        progress.snapshot_until = None;
        let entries = self.log.slice(progress.next, last_index, max_bytes);
        progress.next += entries.len() as LogIndex;
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
        progress.next = index + 1;
        self.send(to, Body::Snapshot { index, term, data, probe });
    }

    pub(crate) fn append_entries(
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
        let fresh = self.log.merge(entries);
        if let Some(first) = fresh.first() {
            self.persisted = self.persisted.min(first.index - 1);
            self.membership.truncated(first.index);
            for entry in &fresh {
                if let Payload::Voters(voters) = &entry.payload {
                    self.membership.appended(entry.index, voters);
                    self.outputs.push(Output::VotersChanged(voters.clone()));
                }
            }
            self.persist(false, fresh);
        }
        self.commit = self.commit.max(commit.min(matched_index));
        self.send(from, Body::AppendReply { matched: true, index: matched_index, probe });
    }

    pub(crate) fn reject_append(&mut self, from: NodeId, probe: Probe) {
        let index = self.log.last_index();
        self.send(from, Body::AppendReply { matched: false, index, probe });
    }

    pub(crate) fn append_replied(
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
            progress.snapshot_until = None;
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
        } else {
            let next = (index + 1).max(progress.matched + 1);
            let is_answered = probe.round <= progress.resent.round && next >= progress.resent.from;
            if !is_answered {
                progress.next = next;
                progress.resent = Resent { round: leader.round, from: next };
            }
        }
        let lacks_entries = progress.next <= last_index;
        self.advance_commit();
        self.answer_reads();
        if lacks_entries {
            self.send_append(now, from);
        }
    }

    /// Commits what a majority has synced, but by counting only for entries of the leader's own term.
    fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let agreed = leader.quorum_value(self.persisted, self.membership.quorum(), |peer| peer.matched);
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.hard_state.term) {
            self.commit = agreed;
        }
    }

    pub(crate) fn restore_snapshot(
        &mut self,
        from: NodeId,
        index: LogIndex,
        term: Term,
        data: Vec<u8>,
        probe: Probe,
    ) {
        if index > self.commit && self.log.term_at(index) == Some(term) {
            // The log holds all that the snapshot covers, and maybe more that was acknowledged since the snapshot
            // was sent: nothing of it may be dropped for a snapshot that arrives late.
            self.commit = index;
        } else if index > self.commit {
            self.log.reset(index, term);
            self.mark_restored(index);
            self.outputs.push(Output::Restore { index, term, data });
        }
        self.send(from, Body::AppendReply { matched: true, index, probe });
    }

    pub(crate) fn read(&mut self, now: Millis, id: u64) {
        let commit = self.commit;
        let commits_own_term = self.log.term_at(commit) == Some(self.hard_state.term);
        let lease_valid = self.leader_lease_valid(now);
        let Role::Leader(leader) = &mut self.role else { return };
        if commits_own_term && lease_valid {
            self.outputs.push(Output::ReadReady { id, index: commit });
            return;
        }
        leader.reads.push(PendingRead { id, index: commit, round: leader.round + 1 });
        self.broadcast(now);
    }

    fn answer_reads(&mut self) {
        let commit = self.commit;
        if self.log.term_at(commit) != Some(self.hard_state.term) {
            return;
        }
        let quorum = self.membership.quorum();
        let Role::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.quorum_value(leader.round, quorum, |peer| peer.acknowledged.round);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut leader.reads).into_iter().partition(|read| read.round <= confirmed);
        leader.reads = waiting;
        for read in ready {
            self.outputs.push(Output::ReadReady { id: read.id, index: read.index.max(commit) });
        }
    }
}
