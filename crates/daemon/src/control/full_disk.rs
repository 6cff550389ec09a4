//! What the control thread of a voter does while its disk has no room for a write.
//!
//! The voter behaves as if its disk were slow: nothing that follows the write is carried out, so that nothing is
//! acknowledged that is not stored. It goes on once the write succeeds. Ending the process would not help: the restarted
//! process would need the same write.

use super::ControlMessage;
use super::thread::{ControlThread, MAX_BATCH_MESSAGES};
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_storage::StorageError;
use std::time::Duration;

/// Time between two attempts to make a write that was refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl ControlThread {
    /// Repeats the refused write until the disk takes it or the thread is asked to stop.
    pub(super) async fn wait_for_disk(&mut self) -> Result<(), StorageError> {
        self.record_disk_event("DiskFull", ResultCode::StorageFull);
        while self.waits_for_disk() && !self.stopping {
            self.drop_messages_until_retry().await;
            self.carry_out_pending()?;
        }
        if !self.waits_for_disk() {
            self.record_disk_event("DiskHasRoom", ResultCode::Ok);
        }
        self.finish_turn()
    }

    async fn drop_messages_until_retry(&mut self) {
        let retry = tokio::time::sleep(RETRY_INTERVAL);
        tokio::pin!(retry);
        let mut received = Vec::new();
        // A granted lease is requested again as soon as its reply channel is closed.
        let mut granted_leases = Vec::new();
        while !self.stopping {
            tokio::select! {
                count = self.messages.recv_many(&mut received, MAX_BATCH_MESSAGES) => {
                    self.stopping |= count == 0;
                    for message in received.drain(..) {
                        match message {
                            lease @ ControlMessage::LeaseGranted { .. } => granted_leases.push(lease),
                            other => self.receive_while_full(other),
                        }
                    }
                }
                () = &mut retry => return,
            }
        }
    }

    /// Drops messages, so that they do not accumulate in memory: the other voters repeat theirs, and callers turn to another
    /// voter once their reply channels are closed.
    fn receive_while_full(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Stop => self.stopping = true,
            // These replace what was known before, and are not repeated.
            state @ (ControlMessage::PlatformList(_) | ControlMessage::ServerLimits(_)) => {
                self.handle_message(state);
            }
            _ => {}
        }
    }

    fn record_disk_event(&self, reason: &str, code: ResultCode) {
        let subject = Subject::new("daemon", &self.shared.settings.name);
        self.shared.timeline.record(subject, reason, "", None, code);
    }
}
