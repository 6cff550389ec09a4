//! The entries' evidence on whether a group makes progress.

use crate::Millis;

/// Validity of an entry's report that a group is stalled.
const STALL_VALID_MS: Millis = 1_500;
/// A group that made progress at any entry within this time is working, whatever others report. Longer than
/// the interval between two of the entries' reports.
pub(crate) const PROGRESS_VALID_MS: Millis = 250;

/// The entries' evidence on one group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupEvidence {
    /// Time of the last report that it is stalled.
    pub stalled_at: Option<Millis>,
    /// Time of the last report of progress.
    pub progressed_at: Option<Millis>,
    /// When its members were probed last.
    pub probed_at: Option<Millis>,
}

impl GroupEvidence {
    /// Whether the group was stalled at `since` or later according to the last reports, with no progress
    /// reported then or since.
    pub fn was_stalled(&self, since: Millis) -> bool {
        let Some(stalled_at) = self.stalled_at else { return false };
        stalled_at + STALL_VALID_MS >= since
            && self.progressed_at.is_none_or(|at| at + PROGRESS_VALID_MS <= stalled_at)
    }

    /// Whether entries currently report the group as stalled.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.is_recent(now) && !self.progressed_within(now, PROGRESS_VALID_MS)
    }

    /// Whether the last report that the group is stalled is recent; it may have recovered since.
    pub fn is_recent(&self, now: Millis) -> bool {
        self.stalled_at.is_some_and(|at| now < at + STALL_VALID_MS)
    }

    /// Whether an entry reported progress within `span`.
    pub fn progressed_within(&self, now: Millis, span: Millis) -> bool {
        self.progressed_at.is_some_and(|at| now < at + span)
    }
}
