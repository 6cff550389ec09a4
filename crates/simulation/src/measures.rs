//! Measures of a run, sampled from the actual state of the machines.

use crate::machine::{Machine, MachineStatus};
use dockwood_state::Tables;
use serde::Serialize;
use std::collections::BTreeMap;

/// Measures of one run. Sampling starts when all declared replicas serve for the first time, or with the
/// deployment in runs whose step comes before that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Replica-seconds during which declared replicas did not serve.
    pub downtime_replica_seconds: f64,
    /// Machine-seconds during which live machines were outside any working replica.
    pub stranded_machine_seconds: f64,
    /// Measured time in seconds.
    pub seconds: f64,
    /// Time without a control leader that holds its lease, in seconds.
    pub leaderless_seconds: f64,
}

/// Returns the number of replicas whose machines all work for them, and the number of these machines.
pub(crate) fn count_working(machines: &[Machine], tables: &Tables) -> (usize, usize) {
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
    /// Adds one sample that covers `seconds`.
    pub(crate) fn sample(
        &mut self,
        seconds: f64,
        declared_replicas: usize,
        machines: &[Machine],
        tables: &Tables,
        has_leader: bool,
    ) {
        let (serving, used) = count_working(machines, tables);
        let live = machines.iter().filter(|machine| machine.status != MachineStatus::Off).count();
        self.seconds += seconds;
        self.downtime_replica_seconds += seconds * declared_replicas.saturating_sub(serving) as f64;
        self.stranded_machine_seconds += seconds * live.saturating_sub(used) as f64;
        self.leaderless_seconds += if has_leader { 0.0 } else { seconds };
    }
}
