//! The weight store. All machines share its bandwidth: it serves their loads in small chunks, in order of
//! arrival.

use std::time::Duration;
use tokio::sync::Mutex;

/// Size of a chunk in MiB, after which other loads get their turn.
const CHUNK_MIB: u64 = 64;

/// A store with limited bandwidth.
#[derive(Debug)]
pub struct WeightStore {
    mib_per_second: u64,
    turn: Mutex<()>,
}

impl WeightStore {
    /// Creates a store with this bandwidth.
    pub fn new(mib_per_second: u64) -> Self {
        WeightStore { mib_per_second: mib_per_second.max(1), turn: Mutex::new(()) }
    }

    /// Fetches weights of this size. Returns when the last chunk has arrived.
    pub async fn fetch(&self, mib: u64) {
        let mut remaining = mib;
        while remaining > 0 {
            let chunk = remaining.min(CHUNK_MIB);
            let _turn = self.turn.lock().await;
            tokio::time::sleep(Duration::from_micros(chunk * 1_000_000 / self.mib_per_second)).await;
            remaining -= chunk;
        }
    }
}
