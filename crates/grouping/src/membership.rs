//! Whether it is certain that a server has left a group.
//!
//! A report describes the time at which it was sent, which only its server knows, and it may arrive seconds
//! later. A report of being in no group therefore shows that a server has left a group only if it is known to
//! have been sent after the server joined.

use crate::{Millis, View};

/// Maximum delay of a report: longer than a link is interrupted while the report is in transit.
const MAX_REPORT_DELAY_MS: Millis = 16_000;

/// Maximum delay, in milliseconds, after which an unanswered order to join may still be executed: several
/// times the seconds that servers are known to take.
const MAX_JOIN_DELAY_MS: Millis = 8_000;

/// Whether it is certain that a server has left a group that has been closing since `closing_since`.
pub(crate) fn is_departure_confirmed(
    view: &View<'_>,
    instance: &str,
    epoch: u64,
    closing_since: Millis,
) -> bool {
    if is_departure_observed(view, instance, epoch) {
        return true;
    }
    // All members joined before the group began to close, so a report that was sent later reflects whether
    // the server is still a member.
    let Some(seen) = view.observations.instance(instance) else { return false };
    let was_sent_after_closing = seen.newest_report_at >= closing_since + MAX_REPORT_DELAY_MS;
    was_sent_after_closing && !seen.is_reported_in(epoch)
}

/// Whether a server's reports and answers prove that it has left a group.
pub(crate) fn is_departure_observed(view: &View<'_>, instance: &str, epoch: u64) -> bool {
    let Some(seen) = view.observations.instance(instance) else { return false };
    if seen.is_reported_in(epoch) {
        return false;
    }
    // A server rejects orders to join a group older than its last one, so a server that has been in a newer
    // group never returns to this one. A server that has left this group may rejoin it while an earlier order
    // to join may still be executed.
    let may_rejoin = seen
        .unanswered_join
        .is_some_and(|order| order.epoch == epoch && view.now < order.timed_out_at + MAX_JOIN_DELAY_MS);
    let has_left = seen.max_reported_epoch == epoch || seen.left_epoch == epoch;
    seen.max_reported_epoch > epoch || (has_left && !may_rejoin)
}
