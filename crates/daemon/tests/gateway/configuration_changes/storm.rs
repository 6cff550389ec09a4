//! Series of changes.

use super::change::Change;
use super::operator::{Defect, Operator};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An accepted configuration out of this many is submitted again.
const SUBMITTED_AGAIN_EVERY: u64 = 4;

/// A series of new configurations.
#[derive(Clone, Debug)]
pub struct Storm {
    pub at_ms: u64,
    pub gap_ms: u64,
    pub changes: Vec<Change>,
}

impl Operator {
    /// Submits the configurations of all storms, one storm after the other.
    pub async fn submit_storms(self: Arc<Self>, started: Instant, mut storms: Vec<Storm>) {
        storms.sort_by_key(|storm| storm.at_ms);
        for storm in storms {
            tokio::time::sleep_until((started + Duration::from_millis(storm.at_ms)).into()).await;
            for change in storm.changes {
                let accepted = self.submit(change).await;
                if let Some(version) =
                    accepted.filter(|version| version.is_multiple_of(SUBMITTED_AGAIN_EVERY))
                {
                    self.submit_again(version).await;
                }
                tokio::time::sleep(Duration::from_millis(storm.gap_ms)).await;
            }
        }
        if self.defect == Defect::InventsConfiguration {
            self.invent_configuration();
        }
    }
}
