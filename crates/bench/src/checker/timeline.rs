//! Checks of guarantees on machines and replicas, and the downtime and stranding measures. Replays the ledger in
//! order of time.

use super::{EVIDENCE_ALLOWANCE_MS, LEAVING_ALLOWANCE_MS, RunParameters};
use crate::summary::Counts;
use dockwood_emulator::LedgerRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A replica at an epoch.
type Group = (String, u64);

/// State of the fleet at one point of the replayed ledger.
#[derive(Debug, Default)]
struct LedgerReplay {
    /// The group that each machine is loaded for.
    loaded: BTreeMap<String, Group>,
    /// Machines that are not responding.
    down: BTreeSet<String>,
    /// Members of each group.
    members: BTreeMap<Group, Vec<String>>,
}

impl LedgerReplay {
    fn serves_in(&self, machine: &String, group: &Group) -> bool {
        self.loaded.get(machine) == Some(group) && !self.down.contains(machine)
    }

    fn serving_groups(&self) -> impl Iterator<Item = &Group> {
        let serves = |(group, members): &(&Group, &Vec<String>)| {
            members.iter().all(|machine| self.serves_in(machine, group))
        };
        self.members.iter().filter(serves).map(|(group, _)| group)
    }

    fn serving_machines(&self) -> usize {
        self.serving_groups().map(|group| self.members[group].len()).sum()
    }

    fn apply(&mut self, record: &LedgerRecord) {
        match record {
            LedgerRecord::MachineLoaded { server, replica, epoch, .. } => {
                match replica {
                    Some(replica) => self.loaded.insert(server.clone(), (replica.clone(), *epoch)),
                    None => self.loaded.remove(server),
                };
            }
            LedgerRecord::GroupFormed { replica, epoch, members, .. } => {
                // A new epoch of a replica replaces the previous one.
                self.members.retain(|(name, older), _| name != replica || older > epoch);
                self.members.insert((replica.clone(), *epoch), members.clone());
            }
            LedgerRecord::MachineChanged { server, change, .. } => self.apply_machine_change(server, change),
            _ => {}
        }
    }

    fn apply_machine_change(&mut self, server: &str, change: &str) {
        match change {
            "kill" => {
                self.loaded.remove(server);
                self.down.insert(server.to_string());
            }
            "restart" => {
                self.loaded.remove(server);
                self.down.remove(server);
            }
            "pause" | "cut" => {
                self.down.insert(server.to_string());
            }
            "start" | "resume" | "heal" => {
                self.down.remove(server);
            }
            _ => {}
        }
    }
}

fn time_of(record: &LedgerRecord) -> u64 {
    match record {
        LedgerRecord::Dispatched { at_ms, .. }
        | LedgerRecord::Started { at_ms, .. }
        | LedgerRecord::Ended { at_ms, .. }
        | LedgerRecord::GroupFormed { at_ms, .. }
        | LedgerRecord::MachineLoaded { at_ms, .. }
        | LedgerRecord::MachineChanged { at_ms, .. }
        | LedgerRecord::RequestRejected { at_ms, .. }
        | LedgerRecord::ServiceCalled { at_ms, .. } => *at_ms,
    }
}

pub(super) fn count(ledger: &[LedgerRecord], parameters: &RunParameters, counts: &mut Counts) {
    let mut replay = LedgerReplay::default();
    let mut measured_until = parameters.start_ms;
    for record in ledger {
        let now = time_of(record).clamp(parameters.start_ms, parameters.end_ms);
        measure(&replay, now.saturating_sub(measured_until), parameters, counts);
        measured_until = now.max(measured_until);
        replay.apply(record);
        if let LedgerRecord::Dispatched { at_ms, replica, epoch, missing, leaving, .. } = record {
            let stale = missing.iter().any(|(_, since)| since + EVIDENCE_ALLOWANCE_MS < *at_ms);
            counts.dispatch_with_missing_machine += u64::from(stale);
            let allowance = parameters.list_lag_ms + LEAVING_ALLOWANCE_MS;
            let late = leaving.iter().any(|(_, since)| since + allowance < *at_ms);
            counts.late_work_after_leaving += u64::from(late);
            counts.machine_in_two_replicas +=
                u64::from(has_member_of_other_replica(&replay, replica, *epoch));
        }
    }
    measure(&replay, parameters.end_ms.saturating_sub(measured_until), parameters, counts);
}

/// Whether a machine of the group is currently loaded for another replica.
fn has_member_of_other_replica(replay: &LedgerReplay, replica: &str, epoch: u64) -> bool {
    let Some(members) = replay.members.get(&(replica.to_string(), epoch)) else { return false };
    let foreign = |machine: &String| replay.loaded.get(machine).is_some_and(|(other, _)| other != replica);
    members.iter().any(foreign)
}

fn measure(replay: &LedgerReplay, elapsed_ms: u64, parameters: &RunParameters, counts: &mut Counts) {
    if elapsed_ms == 0 {
        return;
    }
    let seconds = elapsed_ms as f64 / 1000.0;
    let serving = replay.serving_groups().count();
    let down = parameters.declared_replicas.saturating_sub(serving);
    counts.group_downtime_replica_seconds += seconds * down as f64;
    let live = parameters.machines - replay.down.len().min(parameters.machines);
    let stranded = live.saturating_sub(replay.serving_machines());
    counts.stranded_machine_seconds += seconds * stranded as f64;
}
