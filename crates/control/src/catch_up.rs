//! Brings lagging daemons up to date, with the commands that they lack or with a snapshot if that is smaller.
//!
//! After a restart of many daemons all of them request the whole state at once. The replies share the
//! leader's link with its heartbeats, so they are rate limited: a leader whose heartbeats are late loses its
//! majority, and its successor receives all the requests again.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::compression::compress;
use dockwood_api::peer::{LeaseContent, LeaseRequest, RevisedCommand};
use std::collections::VecDeque;

/// Maximum number of retained commands; a daemon that lacks more gets a snapshot.
const MAX_RETAINED_COMMANDS: usize = 4_096;
/// Maximum total size of the retained commands in bytes; the newest command is kept whatever its size.
const MAX_RETAINED_BYTES: usize = 1 << 20;
/// Commands up to this total size in bytes are sent without comparing them with a snapshot, which then need
/// not be encoded.
const CHEAP_BYTES: usize = 32 << 10;
/// Rate limit for replies to starting daemons: half of a 100 Mbit/s link. Replies to other daemons count
/// towards it.
const RATE_BYTES_PER_SECOND: u64 = 6_000_000;
/// Burst size of the rate limit.
const BURST_BYTES: i64 = 512 << 10;

/// The newest commands that daemons need, encoded and compressed.
#[derive(Clone, Debug, Default)]
pub struct RetainedCommands {
    commands: VecDeque<RevisedCommand>,
    bytes: usize,
    /// All relevant commands after this revision are retained.
    complete_after: u64,
}

impl RetainedCommands {
    /// Creates an empty buffer for a state at `revision`.
    pub fn starting_at(revision: u64) -> Self {
        RetainedCommands { complete_after: revision, ..RetainedCommands::default() }
    }

    /// Retains the command of a revision and drops the oldest ones beyond the limits.
    pub fn push(&mut self, revision: u64, command: Vec<u8>) {
        self.bytes += command.len();
        self.commands.push_back(RevisedCommand { revision, command });
        while self.commands.len() > 1 && self.exceeds_limits() {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.command.len();
            self.complete_after = oldest.revision;
        }
    }

    fn exceeds_limits(&self) -> bool {
        self.commands.len() > MAX_RETAINED_COMMANDS || self.bytes > MAX_RETAINED_BYTES
    }

    /// The newest retained revision that is not above `revision`.
    pub fn newest_up_to(&self, revision: u64) -> Option<u64> {
        self.commands.iter().rev().map(|kept| kept.revision).find(|kept| *kept <= revision)
    }

    /// Total size of the commands after a revision, or `None` if some of them are no longer retained.
    pub fn bytes_after(&self, revision: u64) -> Option<usize> {
        let is_complete = self.complete_after <= revision;
        is_complete.then(|| self.newer_than(revision).map(|kept| kept.command.len()).sum())
    }

    /// The oldest revision after which all commands are retained and cheap to send.
    pub fn cheap_after(&self) -> u64 {
        let mut bytes = 0;
        for kept in self.commands.iter().rev() {
            bytes += kept.command.len();
            if bytes > CHEAP_BYTES {
                return kept.revision;
            }
        }
        self.complete_after
    }

    /// The commands after a revision.
    pub fn after(&self, revision: u64) -> Vec<RevisedCommand> {
        let mut commands: Vec<RevisedCommand> = self.newer_than(revision).cloned().collect();
        commands.reverse();
        commands
    }

    /// The commands after a revision, newest first.
    fn newer_than(&self, revision: u64) -> impl Iterator<Item = &RevisedCommand> {
        self.commands.iter().rev().take_while(move |kept| kept.revision > revision)
    }
}

/// What to reply to a lagging daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpReply {
    /// Everything that it lacks.
    Content(LeaseContent),
    /// The missing content is too large to be sent to it now.
    TooLarge,
}

/// Cached snapshot for other daemons, encoded and compressed. Encoded again only once the commands after it
/// are no longer cheap to send: otherwise it would be encoded for each change while a fleet starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotCache {
    cached: Option<(u64, Vec<u8>)>,
}

impl SnapshotCache {
    /// Returns a snapshot of the current state, or of a slightly older one that can be completed by commands.
    pub fn recent(&mut self, board: &Blackboard) -> &[u8] {
        let oldest = board.commands().cheap_after();
        let recent = self.cached.take().filter(|(encoded, _)| *encoded >= oldest);
        let encode = || (board.revision(), compress(&board.state.encode_for_non_voters()));
        &self.cached.insert(recent.unwrap_or_else(encode)).1
    }
}

/// Selects what a leader sends to lagging daemons.
#[derive(Clone, Debug)]
pub struct CatchUp {
    snapshots: SnapshotCache,
    /// Remaining budget of the rate limit; negative after a larger snapshot.
    budget: i64,
    refilled_at: Millis,
}

impl CatchUp {
    /// Creates a limiter with a full budget.
    pub fn new(now: Millis) -> Self {
        CatchUp { snapshots: SnapshotCache::default(), budget: BURST_BYTES, refilled_at: now }
    }

    /// Selects the content for a daemon. `in_large_fleet`: large content is not sent to each daemon
    /// individually.
    pub fn content_for(
        &mut self,
        now: Millis,
        board: &Blackboard,
        request: &LeaseRequest,
        in_large_fleet: bool,
    ) -> CatchUpReply {
        let applied = request.applied_revision;
        if !request.wants_commands || applied >= board.revision() {
            return CatchUpReply::Content(LeaseContent::Commands { commands: Vec::new(), through: applied });
        }
        self.refill(now);
        // A daemon that has just started can wait; one that follows needs a change at once to keep its lease.
        let follows = applied > 0;
        if !follows && self.budget <= 0 {
            return CatchUpReply::TooLarge;
        }
        if let Some(bytes) = board.commands().bytes_after(applied) {
            let is_cheap = bytes <= CHEAP_BYTES;
            if !is_cheap && in_large_fleet && self.budget <= 0 {
                return CatchUpReply::TooLarge;
            }
            if is_cheap || (follows && bytes <= self.snapshots.recent(board).len()) {
                self.budget -= bytes as i64;
                let commands = board.commands().after(applied);
                return CatchUpReply::Content(LeaseContent::Commands { commands, through: board.revision() });
            }
        }
        if self.budget <= 0 {
            return CatchUpReply::TooLarge;
        }
        let state = self.snapshots.recent(board).to_vec();
        self.budget -= state.len() as i64;
        CatchUpReply::Content(LeaseContent::Snapshot(state))
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.refilled_at);
        let refill = elapsed_ms.saturating_mul(RATE_BYTES_PER_SECOND) / 1_000;
        self.budget = self.budget.saturating_add_unsigned(refill).min(BURST_BYTES);
        self.refilled_at = now;
    }
}
