//! The search for another source while those that have the request have stalled.

use super::open_send::{OpenSend, Position};
use super::sender::RequestSender;
use crate::log_line::NoOtherSource;
use std::time::Duration;
use tokio::time::Instant;

/// Pause after a search that found no source.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between two searches.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// State of the search.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceSearch {
    /// Whether the newest source has stalled.
    is_needed: bool,
    /// When a source is looked for again.
    next_at: Option<Instant>,
    failures: u32,
}

impl SourceSearch {
    /// Whether no source is looked for.
    pub fn is_idle(&self) -> bool {
        !self.is_needed
    }

    /// Begins: the newest source has stalled.
    pub fn begin(&mut self) {
        self.is_needed = true;
    }

    /// Ends: the newest source has not stalled.
    pub fn end(&mut self) {
        self.is_needed = false;
    }

    /// Records that no source was found.
    pub fn failed(&mut self, reason: NoOtherSource) {
        let pause = match reason {
            // Requests wait in line for places, which is worth little if the line is left for long.
            NoOtherSource::NoPlace => FIRST_PAUSE,
            _ => FIRST_PAUSE.saturating_mul(1 << self.failures.min(10)).min(MAX_PAUSE),
        };
        self.failures += 1;
        self.next_at = Some(Instant::now() + pause);
    }

    /// Sends the request to another source when the search is due. May be cancelled: the request has not been sent then.
    ///
    /// # Errors
    /// Returns why it was not sent.
    pub async fn open_another(
        &self,
        sender: &mut RequestSender,
        position: Position,
    ) -> Result<OpenSend, NoOtherSource> {
        if let Some(next_at) = self.next_at {
            tokio::time::sleep_until(next_at).await;
        }
        sender.open_another(position).await
    }
}
