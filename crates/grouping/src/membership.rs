//! Whether it is certain that a server has left a group.
//!
//! A report describes the time at which it was sent, which only its server knows, and it may arrive seconds
//! later. A report of being in no group therefore shows that a server has left a group only if it is known to
//! have been sent after the server joined. A server that has left may return while an order to join that it
//! did not answer may still be executed.

use crate::outstanding_joins::JoinsVoid;
use crate::{Millis, View};

/// Maximum delay of a report: longer than a link is interrupted while the report is in transit.
const MAX_REPORT_DELAY_MS: Millis = 16_000;

/// What is known about a server's departure from a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// It may be a member.
    Unproven,
    /// It has left, but an outstanding order to join may still bring it back.
    Revocable,
    /// It has left, and can't return.
    Final,
}

/// Whether it is certain that a server has left a group that has been closing since `closing_since`.
pub(crate) fn is_departure_confirmed(
    view: &View<'_>,
    instance: &str,
    epoch: u64,
    closing_since: Millis,
) -> bool {
    if departure(view, instance, epoch) == Departure::Final {
        return true;
    }
    // All orders to join were sent before the group began to close. A report that was sent after that, and after they
    // became void, reflects whether the server is still a member.
    let Some(seen) = view.observations.instance(instance) else { return false };
    let may_join_until = match seen.outstanding_joins.void(epoch) {
        None => closing_since,
        Some(JoinsVoid::At(void_at)) => closing_since.max(void_at),
        Some(JoinsVoid::Unknown) => return false,
    };
    let was_sent_after = seen.newest_report_at >= may_join_until + MAX_REPORT_DELAY_MS;
    was_sent_after && !seen.is_reported_in(epoch)
}

/// What a server's reports and answers prove about its departure from a group.
pub(crate) fn departure(view: &View<'_>, instance: &str, epoch: u64) -> Departure {
    let Some(seen) = view.observations.instance(instance) else { return Departure::Unproven };
    if seen.is_reported_in(epoch) {
        return Departure::Unproven;
    }
    // A server rejects orders to join a group older than its last one, so a server that has been in a newer
    // group never returns to this one.
    if seen.max_reported_epoch > epoch {
        return Departure::Final;
    }
    if !seen.has_left_once(epoch) {
        return Departure::Unproven;
    }
    let Some(void) = seen.outstanding_joins.void(epoch) else { return Departure::Final };
    let last_proof = seen.left.filter(|left| left.epoch == epoch);
    if last_proof.is_some_and(|left| void.is_by(left.after)) {
        return Departure::Final;
    }
    if void.is_by(view.now) { Departure::Unproven } else { Departure::Revocable }
}

/// Earliest time at which an order to leave must have been sent for its answer to prove that a server has left a group
/// for good. 0 if the answer to any order proves it, or none does yet.
pub(crate) fn proving_leave_from(view: &View<'_>, instance: &str, epoch: u64) -> Millis {
    let void = view.observations.instance(instance).and_then(|seen| seen.outstanding_joins.void(epoch));
    match void {
        Some(JoinsVoid::At(void_at)) if void_at <= view.now => void_at,
        _ => 0,
    }
}
