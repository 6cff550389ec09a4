//! Whether a server has surely left a group.
//!
//! A report tells of the time when it was sent, which nobody but its server knows: it may arrive seconds later. So "in
//! no group" shows that a server has left a group only beside proof that it was sent after the server had joined.

use crate::{Millis, View};

/// No report arrives later than this after it was sent: longer than a link is interrupted with the report on its way.
const LATEST_REPORT_MS: Millis = 16_000;

/// An order to join that was left unanswered may be carried out this much later, in milliseconds: some times the
/// seconds that servers are known to take.
const LATEST_JOIN_MS: Millis = 8_000;

/// Whether a server has surely left a group that is being closed since `closing_since`.
pub(crate) fn has_surely_left(view: &View<'_>, instance: &str, epoch: u64, closing_since: Millis) -> bool {
    if has_shown_leaving(view, instance, epoch) {
        return true;
    }
    // All members joined before the group was closed, so a report that was sent later tells of it.
    let Some(seen) = view.observations.instance(instance) else { return false };
    let was_sent_later = seen.newest_at >= closing_since + LATEST_REPORT_MS;
    was_sent_later && !seen.is_shown_in(epoch)
}

/// Whether a server's reports and answers, taken together, show that it has left a group.
pub(crate) fn has_shown_leaving(view: &View<'_>, instance: &str, epoch: u64) -> bool {
    let Some(seen) = view.observations.instance(instance) else { return false };
    if seen.is_shown_in(epoch) {
        return false;
    }
    // A server takes no order to join a group older than its last one, so one that was in a newer group never comes
    // back. One that has left this one may, while an order to join it may still be carried out.
    let may_rejoin = seen
        .unanswered_join
        .is_some_and(|order| order.epoch == epoch && view.now < order.noted_at + LATEST_JOIN_MS);
    let has_left = seen.last_epoch == epoch || seen.left_epoch == epoch;
    seen.last_epoch > epoch || (has_left && !may_rejoin)
}
