//! The last check before a request is written to the server that was selected for it. Since the selection, the server may
//! have been put on hold, its zone may have been evacuated, or the process may have been suspended.

use super::Gateway;
use super::evacuation::check_zone_and_lease;
use super::receive::ReceivedRequest;
use crate::pushback::{SendPermit, SendPurpose, SendTarget};
use crate::suspects::SuspectGate;
use dockwood_routing::Millis;
use dockwood_routing::gateway::WithheldReason;

/// The server that a request is about to be written to.
pub struct Selection<'a> {
    /// The server, as the target of a send permit.
    pub target: SendTarget,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it was cold when it was selected.
    pub is_cold: bool,
    /// When the selection expires; `None` if it does not expire.
    pub valid_until: Option<Millis>,
}

/// Acquires the permit to write a request. The caller must write it without awaiting anything else.
///
/// # Errors
/// Returns why the request may not be written to this server now.
pub async fn acquire_write_permit(
    gateway: &Gateway,
    received: &ReceivedRequest,
    gate: &SuspectGate,
    selection: Selection<'_>,
) -> Result<SendPermit, WithheldReason> {
    let permit = wait_for_permit(gateway, received, gate, selection).await;
    if let Err(reason) = &permit {
        gateway.shared.metrics.withheld_sends.with_label_values(&[reason.name()]).inc();
    }
    permit
}

async fn wait_for_permit(
    gateway: &Gateway,
    received: &ReceivedRequest,
    gate: &SuspectGate,
    selection: Selection<'_>,
) -> Result<SendPermit, WithheldReason> {
    let Selection { target, zone, is_cold, valid_until } = selection;
    let instance = target.start.id.clone();
    let purpose = SendPurpose::Request { rank: received.rank };
    let permit = SendPermit::acquire(&gateway.shared, target, purpose).await?;
    if received.remaining_ms() == 0 {
        return Err(WithheldReason::DeadlinePassed);
    }
    if !gate.may_write() {
        return Err(WithheldReason::Suspect);
    }
    check_zone_and_lease(gateway, zone)?;
    let (metrics, service) = (&gateway.shared.metrics, &received.service.name);
    if !gateway.cold.may_send(metrics, service, &instance, is_cold, valid_until) {
        return Err(WithheldReason::SelectionExpired);
    }
    Ok(permit)
}
