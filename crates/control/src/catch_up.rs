//! How daemons that lag catch up: by the commands that they lack, or by the whole state where that is less.
//!
//! After a restart of many daemons all of them ask for the whole state at once. What they are sent shares the leader's
//! link with its heartbeats, so it is paced: a leader whose heartbeats are late loses its majority, and the next one is asked
//! for everything again.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::compression::compress;
use dockwood_api::peer::{LeaseContent, LeaseRequest, RevisedCommand};
use std::collections::VecDeque;

/// Encoded commands that are kept for daemons that lag; one that lacks more gets the whole state.
const RETAINED_COMMANDS: usize = 4_096;
/// Their size altogether, in bytes; the newest command is kept whatever its size.
const RETAINED_BYTES: usize = 1 << 20;
/// Commands up to this size are sent without a look at the size of the state, in bytes: it need not be encoded then.
const CHEAP_BYTES: usize = 32 << 10;
/// Bytes to daemons that start, each second: half of a link of 100 Mbit/s. What goes to others counts as well.
const PACE_BYTES_PER_SECOND: u64 = 6_000_000;
/// Bytes to daemons that start which may be sent at once.
const BURST_BYTES: i64 = 512 << 10;

/// The newest commands that daemons need, encoded and compressed.
#[derive(Clone, Debug, Default)]
pub struct RetainedCommands {
    commands: VecDeque<RevisedCommand>,
    bytes: usize,
    /// All that daemons need after this revision is kept.
    complete_after: u64,
}

impl RetainedCommands {
    /// Nothing is kept yet; the state is at `revision`.
    pub fn starting_at(revision: u64) -> Self {
        RetainedCommands { complete_after: revision, ..RetainedCommands::default() }
    }

    /// Keeps the command that made a revision, and drops the oldest ones beyond the bounds.
    pub fn push(&mut self, revision: u64, command: Vec<u8>) {
        self.bytes += command.len();
        self.commands.push_back(RevisedCommand { revision, command });
        while self.commands.len() > 1 && self.exceeds_bounds() {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.command.len();
            self.complete_after = oldest.revision;
        }
    }

    fn exceeds_bounds(&self) -> bool {
        self.commands.len() > RETAINED_COMMANDS || self.bytes > RETAINED_BYTES
    }

    /// The revision of the newest command up to a revision, of those that are kept.
    pub fn newest_up_to(&self, revision: u64) -> Option<u64> {
        self.commands.iter().rev().map(|kept| kept.revision).find(|kept| *kept <= revision)
    }

    /// The size of the commands after a revision, if they are all still kept.
    pub fn bytes_after(&self, revision: u64) -> Option<usize> {
        let is_complete = self.complete_after <= revision;
        is_complete.then(|| self.lacking(revision).map(|kept| kept.command.len()).sum())
    }

    /// The oldest revision after which all commands are kept and cheap to send.
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
        let mut commands: Vec<RevisedCommand> = self.lacking(revision).cloned().collect();
        commands.reverse();
        commands
    }

    /// The commands after a revision, the newest first.
    fn lacking(&self, revision: u64) -> impl Iterator<Item = &RevisedCommand> {
        self.commands.iter().rev().take_while(move |kept| kept.revision > revision)
    }
}

/// What a daemon that lags is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// All that it lacks.
    Sent(LeaseContent),
    /// What it lacks is too large to be sent to it now.
    Large,
}

/// The state as other daemons are sent it, encoded and compressed again only once what it lacks is no longer cheap to
/// send: otherwise a fleet that starts while the state changes would have it encoded with each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct EncodedState {
    held: Option<(u64, Vec<u8>)>,
}

impl EncodedState {
    /// The state of this board, or a slightly older one, from which the rest is had by commands.
    pub fn recent(&mut self, board: &Blackboard) -> &[u8] {
        let oldest = board.commands().cheap_after();
        let recent = self.held.take().filter(|(encoded, _)| *encoded >= oldest);
        let encode = || (board.revision(), compress(&board.state.encode_for_non_voters()));
        &self.held.insert(recent.unwrap_or_else(encode)).1
    }
}

/// What a leader sends to daemons that lag.
#[derive(Clone, Debug)]
pub struct CatchUp {
    state: EncodedState,
    /// Bytes that may be sent now; below zero after a copy that was larger.
    allowance: i64,
    refilled_at: Millis,
}

impl CatchUp {
    /// Nothing was sent yet.
    pub fn new(now: Millis) -> Self {
        CatchUp { state: EncodedState::default(), allowance: BURST_BYTES, refilled_at: now }
    }

    /// What a daemon lacks, or what it has to wait for. `in_large_fleet` if what is large is not sent to each daemon.
    pub fn content_for(
        &mut self,
        now: Millis,
        board: &Blackboard,
        request: &LeaseRequest,
        in_large_fleet: bool,
    ) -> Missing {
        let applied = request.applied_revision;
        if !request.wants_commands || applied >= board.revision() {
            return Missing::Sent(LeaseContent::Commands { commands: Vec::new(), through: applied });
        }
        self.refill(now);
        // A daemon that has just started is in no hurry; to one that follows, a change must go out at once, to keep its lease.
        let follows = applied > 0;
        if !follows && self.allowance <= 0 {
            return Missing::Large;
        }
        if let Some(bytes) = board.commands().bytes_after(applied) {
            let is_cheap = bytes <= CHEAP_BYTES;
            if !is_cheap && in_large_fleet && self.allowance <= 0 {
                return Missing::Large;
            }
            if is_cheap || (follows && bytes <= self.state.recent(board).len()) {
                self.allowance -= bytes as i64;
                let commands = board.commands().after(applied);
                return Missing::Sent(LeaseContent::Commands { commands, through: board.revision() });
            }
        }
        if self.allowance <= 0 {
            return Missing::Large;
        }
        let state = self.state.recent(board).to_vec();
        self.allowance -= state.len() as i64;
        Missing::Sent(LeaseContent::Snapshot(state))
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.refilled_at);
        let earned = elapsed_ms.saturating_mul(PACE_BYTES_PER_SECOND) / 1_000;
        self.allowance = self.allowance.saturating_add_unsigned(earned).min(BURST_BYTES);
        self.refilled_at = now;
    }
}
