//! The two measures, sampled from what the machines really do.

use crate::machine::{Machine, Power};
use dockwood_state::Tables;
use serde::Serialize;
use std::collections::BTreeMap;

/// Measures of one run, from the moment when all declared replicas served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Seconds × replicas declared and not serving.
    pub downtime_replica_seconds: f64,
    /// Seconds × live machines outside any working replica.
    pub stranded_machine_seconds: f64,
    /// Seconds measured.
    pub seconds: f64,
    /// Seconds without a control leader that holds its lease.
    pub leaderless_seconds: f64,
}

/// Replicas whose every machine works for them, and the machines in them.
pub(crate) fn working(machines: &[Machine], tables: &Tables) -> (usize, usize) {
    let by_name: BTreeMap<&str, &Machine> = machines.iter().map(|one| (one.name.as_str(), one)).collect();
    let works = |server: &String, replica: &str, epoch: u64| {
        by_name.get(server.as_str()).is_some_and(|machine| machine.works_for(replica, epoch))
    };
    let serving = tables
        .replicas
        .values()
        .filter(|row| row.members.iter().all(|server| works(server, &row.name, row.epoch)));
    serving.fold((0, 0), |(replicas, machines), row| (replicas + 1, machines + row.members.len()))
}

impl Measures {
    /// Adds one sample that stands for `seconds`.
    pub(crate) fn sample(
        &mut self,
        seconds: f64,
        declared: usize,
        machines: &[Machine],
        tables: &Tables,
        led: bool,
    ) {
        let (serving, used) = working(machines, tables);
        let live = machines.iter().filter(|machine| machine.power != Power::Off).count();
        self.seconds += seconds;
        self.downtime_replica_seconds += seconds * declared.saturating_sub(serving) as f64;
        self.stranded_machine_seconds += seconds * live.saturating_sub(used) as f64;
        self.leaderless_seconds += if led { 0.0 } else { seconds };
    }
}
