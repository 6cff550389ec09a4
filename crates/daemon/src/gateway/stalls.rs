//! When the source of a stream counts as standing still.

use super::Gateway;
use super::source::Source;
use dockwood_routing::gateway::{SendOutcome, StallTimeout};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause between two looks at whether a group moves on with others.
const PROGRESS_PAUSE: Duration = Duration::from_millis(50);
/// A group that has shown an event to any stream here within this many milliseconds is at work.
const PROGRESS_SPAN_MS: u64 = 150;

/// Notes that a group stood still.
pub fn abandon(gateway: &Gateway, source: &Source) -> SendOutcome {
    if let Source::Group(place) = source {
        gateway.loads.suspect(place.epoch, false);
    }
    SendOutcome::Abandoned
}

/// How a send ended whose connection broke. A head whose process has ended is avoided from now on, and the control
/// leader is told that it refuses connections.
pub async fn broken(gateway: &Gateway, source: &Source) -> SendOutcome {
    let outcome = gateway.pool.broken(source.address()).await;
    if let (SendOutcome::ServerEnded, Source::Group(place)) = (outcome, source) {
        gateway.loads.suspect(place.epoch, true);
    }
    outcome
}

/// Completes once the source counts as standing still, which has shown nothing since `since`. Once it is suspicious the
/// group is avoided for new requests and its members are asked; some time later, or as soon as the group is closed,
/// this request moves on.
pub async fn stands_still(
    gateway: &Gateway,
    source: &Source,
    since: Instant,
    silence: Option<StallTimeout>,
    changes: &mut watch::Receiver<u64>,
) {
    let (Source::Group(place), Some(silence)) = (source, silence) else {
        return std::future::pending().await;
    };
    let silent = async {
        let suspicious_at = since + Duration::from_millis(silence.suspect_after_ms);
        tokio::time::sleep_until(suspicious_at).await;
        if !gateway.loads.progressed_within(place.epoch, silence.suspect_after_ms) {
            gateway.loads.suspect(place.epoch, false);
        }
        tokio::time::sleep_until(suspicious_at + Duration::from_millis(silence.grace_ms)).await;
        // Where the group goes on with others, this request may rightly wait for its turn.
        while gateway.loads.progressed_within(place.epoch, PROGRESS_SPAN_MS) {
            tokio::time::sleep(PROGRESS_PAUSE).await;
        }
    };
    let closed = async {
        while gateway.loads.is_open(place.epoch) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    };
    tokio::select! {
        () = silent => {}
        () = closed => {}
    }
}
