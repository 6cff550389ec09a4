//! When the source of a stream counts as standing still.

use super::Gateway;
use super::loads::GroupPlace;
use super::targets::Picked;
use dockwood_routing::gateway::SendOutcome;
use std::time::Duration;
use tokio::sync::watch;

/// Further bounds of silence after which a request moves on.
const MOVE_AFTER_BOUNDS: u32 = 1;
/// The least pause between a first suspicion and a move.
const LEAST_MOVE_PAUSE: Duration = Duration::from_millis(150);
/// A group that has shown an event to any stream here within this many milliseconds is at work.
const PROGRESS_SPAN_MS: u64 = 150;

/// Where a stream comes from.
pub enum Source {
    /// A place at a group.
    Group(GroupPlace),
    /// A server of a plain service.
    Server(Picked),
}

/// Notes that a group stood still.
pub fn abandon(gateway: &Gateway, source: &Source) -> SendOutcome {
    if let Source::Group(place) = source {
        gateway.loads.suspect(place.epoch, false);
    }
    SendOutcome::Abandoned
}

/// Completes once the source counts as standing still. After one bound of silence the group is avoided for new
/// requests and its members are asked; after some more, or as soon as the group is closed, this request moves on: a
/// move costs another reading of the prompt, and mostly the target too, so it waits until it is sure.
pub async fn stands_still(
    gateway: &Gateway,
    source: &Source,
    bound: Option<Duration>,
    changes: &mut watch::Receiver<u64>,
) {
    let (Source::Group(place), Some(bound)) = (source, bound) else {
        return std::future::pending().await;
    };
    let silence = async {
        tokio::time::sleep(bound).await;
        if !gateway.loads.progressed_within(place.epoch, bound.as_millis() as u64) {
            gateway.loads.suspect(place.epoch, false);
        }
        tokio::time::sleep((bound * MOVE_AFTER_BOUNDS).max(LEAST_MOVE_PAUSE)).await;
        // Where the group goes on with others, this request may rightly wait for its turn.
        while gateway.loads.progressed_within(place.epoch, PROGRESS_SPAN_MS) {
            tokio::time::sleep(LEAST_MOVE_PAUSE).await;
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
        () = silence => {}
        () = closed => {}
    }
}
