//! What a daemon takes from its own lease: the state, what was committed since, and what is in force everywhere.

use crate::Millis;
use crate::compression::decompress;
use crate::driver_io::{GrantedLease, Output};
use crate::node::ControlNode;
use dockwood_api::peer::{LeaseContent, RevisedCommand};
use dockwood_state::decode_command;

/// Daemons whose leases are all looked at in each turn, to find what is in force everywhere.
const LOOKED_AT_EACH_TURN: usize = 64;
/// Further daemons for each millisecond between two such looks: one takes some 0.2 microseconds for each daemon.
const LOOKED_AT_PER_MS: usize = 10;

impl<R> ControlNode<R> {
    /// What came with this daemon's own lease.
    pub(crate) fn take_lease(&mut self, lease: GrantedLease) {
        self.raise_in_force(lease.in_force_revision);
        match lease.content {
            LeaseContent::Commands { commands, through } => self.take_commands_of_lease(commands, through),
            // The driver has fetched it, and gives what came.
            LeaseContent::Fetch { .. } => {}
            LeaseContent::Snapshot(bytes) => match decompress(&bytes) {
                Ok(state) => self.restore(&state),
                Err(error) => self.record_own("SnapshotRefused", error.message(), error.code()),
            },
        }
    }

    /// A command that can't be read stops the daemon at the revision before it: it asks for the rest again.
    fn take_commands_of_lease(&mut self, commands: Vec<RevisedCommand>, through: u64) {
        for RevisedCommand { revision, command } in commands {
            match decompress(&command).and_then(|bytes| decode_command(&bytes)) {
                Ok(decoded) => {
                    if let Some(applied) = self.board.apply_at(revision, &decoded, command) {
                        self.note_applied(&decoded, &applied);
                    }
                }
                Err(error) => {
                    self.record_own("CommandRefused", error.message(), error.code());
                    return;
                }
            }
        }
        if through > self.board.revision() {
            self.board.advance_to(through);
            self.dirty = true;
        }
    }

    /// Whether it may be looked again at what is in force everywhere, which takes a look at all daemons' leases.
    pub(crate) fn claim_in_force_check(&mut self, now: Millis) -> bool {
        let is_due = self.in_force_revision < self.board.revision() && now >= self.in_force_at;
        if is_due {
            let further = self.board.tables().daemons.len().saturating_sub(LOOKED_AT_EACH_TURN);
            self.in_force_at = now + (further / LOOKED_AT_PER_MS) as Millis;
        }
        is_due
    }

    pub(crate) fn raise_in_force(&mut self, revision: u64) {
        if revision > self.in_force_revision {
            self.in_force_revision = revision;
            self.dirty = true;
        }
    }

    pub(crate) fn restore(&mut self, bytes: &[u8]) {
        match self.board.restore(bytes) {
            Ok(true) => {
                self.outputs.push(Output::Restored { revision: self.board.revision() });
                self.dirty = true;
            }
            Ok(false) => {}
            Err(error) => self.record_own("SnapshotRefused", error.message(), error.code()),
        }
    }
}
