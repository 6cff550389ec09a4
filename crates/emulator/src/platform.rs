//! The platform's list of live and leaving machines, which is delayed.

use crate::machine::{Machine, MachineStatus};
use crate::wall_ms;
use dockwood_api::engine::PlatformMachine;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which the machines are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Samples of the list. The visible one is the newest that is at least `lag_ms` old.
#[derive(Debug)]
pub struct PlatformList {
    lag_ms: u64,
    samples: Mutex<VecDeque<(u64, Vec<PlatformMachine>)>>,
}

impl PlatformList {
    /// Creates an empty list with this delay.
    pub fn new(lag_ms: u64) -> Self {
        PlatformList { lag_ms, samples: Mutex::default() }
    }

    /// Samples the machines periodically. Never returns.
    pub async fn run(self: Arc<Self>, machines: Vec<Arc<Machine>>) {
        loop {
            let rows = machines.iter().map(|machine| row(machine)).collect();
            self.push(rows);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
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

    /// Returns the list that the platform currently shows.
    pub fn visible(&self) -> Vec<PlatformMachine> {
        let samples = self.samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        samples.front().map(|(_, rows)| rows.clone()).unwrap_or_default()
    }
}

fn row(machine: &Machine) -> PlatformMachine {
    PlatformMachine {
        server: machine.config.name.clone(),
        live: machine.status().0 != MachineStatus::Stopped,
        leaving: machine.leaving_since().is_some(),
    }
}
