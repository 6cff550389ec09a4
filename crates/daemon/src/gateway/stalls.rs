//! Detection of stalled stream sources.

use super::Gateway;
use super::loads::GroupSilence;
use super::source::Source;
use crate::log_line::{StallCause, StallLine};
use crate::suspects::SuspectGate;
use dockwood_routing::gateway::{SendOutcome, StallTimeout};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval at which a group's progress on other streams is checked.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A group that has sent an event on any stream of this entry within this time is working, in milliseconds.
const PROGRESS_WINDOW_MS: u64 = 150;

/// Records that a group has stalled, and returns how.
pub fn record_stall(gateway: &Gateway, source: &Source, cause: StallCause, since: Instant) -> StallLine {
    let silent_ms = since.elapsed().as_millis() as u64;
    let mut silence = GroupSilence::default();
    if let Source::Group(place) = source {
        gateway.loads.suspect_group(place.epoch, false);
        silence = gateway.loads.silence(place.epoch, silent_ms);
    }
    StallLine { cause, silent_ms, groups_in_use: silence.in_use, groups_silent: silence.silent }
}

/// Returns the outcome of a send whose connection broke. A group whose head process is gone is avoided from now on, and
/// the control leader is told that the head refuses connections.
pub async fn broken_connection_outcome(
    gateway: &Arc<Gateway>,
    gate: &mut SuspectGate,
    source: &Source,
) -> SendOutcome {
    let (gateway, epoch) = (gateway.clone(), source.epoch());
    let on_exit = move || epoch.into_iter().for_each(|epoch| gateway.loads.suspect_group(epoch, true));
    match gate.connection_broke(on_exit).await {
        true => SendOutcome::ServerEnded,
        false => SendOutcome::Unknown,
    }
}

/// Completes once the source counts as stalled; it has sent nothing since `since`. After the suspicion timeout, the
/// group is avoided for new requests and its members are probed. After the grace period, or as soon as the group is
/// closed, this request is moved to another source.
pub async fn wait_for_stall(
    gateway: &Gateway,
    source: &Source,
    since: Instant,
    timeout: Option<StallTimeout>,
    changes: &mut watch::Receiver<u64>,
) -> StallCause {
    let (Source::Group(place), Some(timeout)) = (source, timeout) else {
        return std::future::pending().await;
    };
    let timed_out = async {
        let suspected_at = since + Duration::from_millis(timeout.suspect_after_ms);
        tokio::time::sleep_until(suspected_at).await;
        if !gateway.loads.progressed_within(place.epoch, timeout.suspect_after_ms) {
            gateway.loads.suspect_group(place.epoch, false);
        }
        tokio::time::sleep_until(suspected_at + Duration::from_millis(timeout.grace_ms)).await;
        // If the group makes progress on other streams, this request may just be queued.
        while gateway.loads.progressed_within(place.epoch, PROGRESS_WINDOW_MS) {
            tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
        }
    };
    let closed = async {
        while gateway.loads.is_open(place.epoch) {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        () = timed_out => StallCause::Silent,
        () = closed => StallCause::GroupClosed,
    }
}
