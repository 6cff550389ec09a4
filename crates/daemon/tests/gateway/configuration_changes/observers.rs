//! Tasks that probe the entries and read the configuration until a run is over.

use super::checks::Bounds;
use super::operator::{Operator, Read};
use super::probes::{Probe, keep_probing};
use crate::fixture::Fleet;
use futures::future::join_all;
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::task::JoinHandle;

/// The tasks of a run.
pub struct Observers {
    is_over: Arc<AtomicBool>,
    probing: Vec<JoinHandle<Vec<Probe>>>,
    reading: JoinHandle<Vec<Read>>,
}

impl Observers {
    pub fn start(fleet: &Fleet, operator: &Arc<Operator>, bounds: Bounds) -> Observers {
        let is_over = Arc::new(AtomicBool::new(false));
        let probing = (0..fleet.entries.len()).map(|entry| {
            let url = fleet.entry(entry as u8);
            let (operator, is_over) = (operator.clone(), is_over.clone());
            tokio::spawn(keep_probing(operator, entry, url, bounds.applied_within, is_over))
        });
        let probing = probing.collect();
        let reading = tokio::spawn(operator.clone().keep_reading(is_over.clone()));
        Observers { is_over, probing, reading }
    }

    /// Ends the observation, and returns what was observed.
    pub async fn finish(self) -> Result<(Vec<Probe>, Vec<Read>)> {
        self.is_over.store(true, Ordering::SeqCst);
        let probes = join_all(self.probing).await.into_iter().collect::<std::result::Result<Vec<_>, _>>();
        Ok((probes.map_err(Error::other)?.concat(), self.reading.await.map_err(Error::other)?))
    }
}
