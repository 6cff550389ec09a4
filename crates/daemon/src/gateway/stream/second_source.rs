//! The search for a second source while the current one has stalled.

use super::open_send::{OpenSend, Position};
use super::sender::RequestSender;
use crate::log_line::{NoOtherSource, StallCause};
use std::time::Duration;
use tokio::time::Instant;

/// Pause after the first search that found no source. It doubles with each one, as the place or the retry that is missing
/// is missing for many streams at the same time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between two searches.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Which of the two sends of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SourceSlot {
    /// The send whose events are forwarded.
    Current,
    /// The send to a second source, while the current one has stalled.
    Second,
}

impl SourceSlot {
    pub fn of<'a>(
        self,
        current: &'a mut Option<OpenSend>,
        second: &'a mut Option<OpenSend>,
    ) -> &'a mut Option<OpenSend> {
        match self {
            SourceSlot::Current => current,
            SourceSlot::Second => second,
        }
    }
}

/// State of the search.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceSearch {
    /// The stall that began it; `None` if the current source has not stalled.
    stall: Option<StallCause>,
    /// When a source is looked for again.
    next_at: Option<Instant>,
    failures: u32,
}

impl SourceSearch {
    /// Begins a search after a stall.
    pub fn begin(cause: StallCause) -> SourceSearch {
        SourceSearch { stall: Some(cause), next_at: None, failures: 0 }
    }

    /// Whether no source is looked for.
    pub fn is_idle(&self) -> bool {
        self.stall.is_none()
    }

    /// Records that no source was found, or that the one found did not answer.
    pub fn failed(&mut self) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(10)).min(MAX_PAUSE);
        self.failures += 1;
        self.next_at = Some(Instant::now() + pause);
    }

    /// Sends the request to a second source when the search is due. May be cancelled: the request has not been sent then.
    ///
    /// # Errors
    /// Returns why it was not sent.
    pub async fn open_second(
        &self,
        sender: &mut RequestSender,
        epoch: Option<u64>,
        position: Position,
    ) -> Result<OpenSend, NoOtherSource> {
        if let Some(next_at) = self.next_at {
            tokio::time::sleep_until(next_at).await;
        }
        let silent_group = epoch.filter(|_| self.stall == Some(StallCause::Silent));
        sender.open_second(silent_group, position).await
    }
}
