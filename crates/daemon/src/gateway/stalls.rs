//! Detection of stalled stream sources.

use super::Gateway;
use super::loads::{ModelKey, SilenceProbe};
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

/// Records that a source of a model has stalled, and returns how.
pub fn record_stall(
    gateway: &Gateway,
    model: &ModelKey,
    epoch: Option<u64>,
    cause: StallCause,
    since: Instant,
) -> StallLine {
    let silent_ms = since.elapsed().as_millis() as u64;
    let silence = gateway.loads.silence(model, silent_ms);
    epoch.into_iter().for_each(|epoch| gateway.loads.suspect_group(epoch, false));
    StallLine { cause, silent_ms, groups_in_use: silence.in_use, groups_silent: silence.silent }
}

/// Keeps new requests away from a group for some more time if it still sends nothing.
pub fn renew_suspicion(gateway: &Gateway, epoch: u64) {
    if !gateway.loads.progressed_within(epoch, PROGRESS_WINDOW_MS) {
        gateway.loads.suspect_group(epoch, false);
    }
}

/// Returns the outcome of a send whose connection broke. A group whose head process is gone is avoided from now on, and
/// the control leader is told that the head refuses connections.
pub async fn broken_connection_outcome(
    gateway: &Arc<Gateway>,
    gate: &mut SuspectGate,
    epoch: Option<u64>,
) -> SendOutcome {
    match gate.connection_broke(on_exit_of(gateway, epoch)).await {
        true => SendOutcome::ServerEnded,
        false => SendOutcome::Unknown,
    }
}

/// Returns what to do once the head process of a group is known to be gone.
pub fn on_exit_of(gateway: &Arc<Gateway>, epoch: Option<u64>) -> impl FnOnce() + Send + 'static + use<> {
    let gateway = gateway.clone();
    move || epoch.into_iter().for_each(|epoch| gateway.loads.suspect_group(epoch, true))
}

/// A group that is watched for a stall.
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    /// Epoch of the group.
    pub epoch: u64,
    /// It has sent nothing on this stream since then.
    pub since: Instant,
    /// How long it may send nothing.
    pub timeout: StallTimeout,
}

/// Completes once the group counts as stalled. After the suspicion timeout, it is avoided for new requests and its members
/// are probed. After the grace period, or as soon as it is closed, another source is needed. Never completes if nothing is
/// watched.
pub async fn wait_for_stall(
    gateway: &Gateway,
    watch: Option<StallWatch>,
    changes: &mut watch::Receiver<u64>,
) -> StallCause {
    let Some(StallWatch { epoch, since, timeout }) = watch else {
        return std::future::pending().await;
    };
    let timed_out = async {
        let suspected_at = since + Duration::from_millis(timeout.suspect_after_ms);
        tokio::time::sleep_until(suspected_at).await;
        if !gateway.loads.progressed_within(epoch, timeout.suspect_after_ms) {
            gateway.loads.suspect_group(epoch, false);
        }
        tokio::time::sleep_until(suspected_at + Duration::from_millis(timeout.grace_ms)).await;
        // If the group makes progress on other streams, this request may just be queued.
        while gateway.loads.progressed_within(epoch, PROGRESS_WINDOW_MS) {
            tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
        }
    };
    let closed = async {
        while gateway.loads.is_open(epoch) {
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

/// Waits until a stalled stream may be sent to another group. If all groups that this entry uses are silent, another one is
/// probably silent for the same reason, and the retries are needed for other failures: one stream is sent then, and the
/// others wait until any group sends something. Returns the probe if this stream is the one that is sent.
pub async fn wait_for_working_group(gateway: &Arc<Gateway>, model: &ModelKey) -> Option<SilenceProbe> {
    while gateway.loads.silence(model, PROGRESS_WINDOW_MS).is_of_all_groups() {
        if let Some(probe) = SilenceProbe::begin(gateway, model) {
            return Some(probe);
        }
        tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
    }
    None
}
