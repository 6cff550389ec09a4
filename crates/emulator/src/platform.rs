//! The platform's list of live and leaving machines, which lags.

use crate::machine::{Machine, Power};
use crate::wall_ms;
use dockwood_api::engine::PlatformMachine;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two looks at the machines.
const SAMPLE_EVERY: Duration = Duration::from_millis(250);

/// Samples of the list; the one shown is as old as the lag says.
#[derive(Debug)]
pub struct PlatformList {
    lag_ms: u64,
    samples: Mutex<VecDeque<(u64, Vec<PlatformMachine>)>>,
}

impl PlatformList {
    /// An empty list of this lag.
    pub fn new(lag_ms: u64) -> Self {
        PlatformList { lag_ms, samples: Mutex::default() }
    }

    /// Samples the machines for ever.
    pub async fn run(self: Arc<Self>, machines: Vec<Arc<Machine>>) {
        loop {
            let rows = machines.iter().map(|machine| row(machine)).collect();
            self.push(rows);
            tokio::time::sleep(SAMPLE_EVERY).await;
        }
    }

    fn push(&self, rows: Vec<PlatformMachine>) {
        let now = wall_ms();
        let mut samples = self.samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        samples.push_back((now, rows));
        while samples.len() > 1 && samples[1].0 + self.lag_ms <= now {
            samples.pop_front();
        }
    }

    /// The list as the platform shows it now.
    pub fn shown(&self) -> Vec<PlatformMachine> {
        let samples = self.samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        samples.front().map(|(_, rows)| rows.clone()).unwrap_or_default()
    }
}

fn row(machine: &Machine) -> PlatformMachine {
    PlatformMachine {
        server: machine.config.name.clone(),
        live: machine.power().0 != Power::Off,
        leaving: machine.leaving_since().is_some(),
    }
}
