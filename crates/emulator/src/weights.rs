//! The weight store: one rate for all machines, shared in small pieces in order of arrival.

use std::time::Duration;
use tokio::sync::Mutex;

/// A load takes turns with others after this many MiB.
const PIECE_MIB: u64 = 64;

/// A rate-limited store.
#[derive(Debug)]
pub struct WeightStore {
    mib_per_second: u64,
    turn: Mutex<()>,
}

impl WeightStore {
    /// A store of this rate.
    pub fn new(mib_per_second: u64) -> Self {
        WeightStore { mib_per_second: mib_per_second.max(1), turn: Mutex::new(()) }
    }

    /// Fetches so many MiB; returns when the last has arrived.
    pub async fn fetch(&self, mib: u64) {
        let mut left = mib;
        while left > 0 {
            let piece = left.min(PIECE_MIB);
            let _turn = self.turn.lock().await;
            tokio::time::sleep(Duration::from_micros(piece * 1_000_000 / self.mib_per_second)).await;
            left -= piece;
        }
    }
}
