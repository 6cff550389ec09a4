//! Applies the content of this daemon's own lease: state, commands, and the in-force revision.

use crate::Millis;
use crate::compression::decompress;
use crate::driver_io::{GrantedLease, Output};
use crate::node::ControlNode;
use dockwood_api::peer::{LeaseContent, RevisedCommand};
use dockwood_state::decode_command;

/// Up to this many daemons, all leases are scanned in each turn to determine the in-force revision.
const LEASES_SCANNED_EACH_TURN: usize = 64;
/// Above, additional daemons per millisecond of delay between two scans; scanning takes about 0.2
/// microseconds per daemon.
const LEASES_SCANNED_PER_MS: usize = 10;

impl<R> ControlNode<R> {
    /// Applies the content of this daemon's own lease.
    pub(crate) fn apply_lease(&mut self, lease: GrantedLease) {
        self.raise_in_force(lease.in_force_revision);
        match lease.content {
            LeaseContent::Commands { commands, through } => self.apply_lease_commands(commands, through),
            // The driver fetches the snapshot and passes it in another input.
            LeaseContent::Fetch { .. } => {}
            LeaseContent::Snapshot(bytes) => match decompress(&bytes) {
                Ok(state) => self.restore(&state),
                Err(error) => self.record_event("SnapshotRefused", error.message(), error.code()),
            },
        }
    }

    /// An unreadable command stops the daemon at the revision before it; the daemon then requests the rest
    /// again.
    fn apply_lease_commands(&mut self, commands: Vec<RevisedCommand>, through: u64) {
        for RevisedCommand { revision, command } in commands {
            match decompress(&command).and_then(|bytes| decode_command(&bytes)) {
                Ok(decoded) => {
                    if let Some(applied) = self.board.apply_at(revision, &decoded, command) {
                        self.publish_applied(&decoded, &applied);
                    }
                }
                Err(error) => {
                    self.record_event("CommandRefused", error.message(), error.code());
                    return;
                }
            }
        }
        if through > self.board.revision() {
            self.board.advance_to(through);
            self.dirty = true;
        }
    }

    /// Whether the in-force revision should be determined again now, which scans the leases of all daemons.
    pub(crate) fn claim_in_force_check(&mut self, now: Millis) -> bool {
        let is_due = self.in_force_revision < self.board.revision() && now >= self.next_in_force_check_at;
        if is_due {
            let additional = self.board.tables().daemons.len().saturating_sub(LEASES_SCANNED_EACH_TURN);
            self.next_in_force_check_at = now + (additional / LEASES_SCANNED_PER_MS) as Millis;
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
            Err(error) => self.record_event("SnapshotRefused", error.message(), error.code()),
        }
    }
}
