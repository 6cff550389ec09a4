//! What must hold after every event.

use crate::daemon::Daemon;
use crate::machine::Machine;
use crate::operator::Change;
use dockwood_api::digest::content_digest;
use dockwood_consensus::{Entry, Payload, RoleName};
use dockwood_state::{OrderState, Outcome, Tables};
use serde::Serialize;
use std::collections::BTreeMap;

/// What is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Check {
    /// No two nodes commit different entries at one index.
    OneLog,
    /// No two nodes lead in one term.
    OneLeaderPerTerm,
    /// No two nodes hold a leader's lease at one moment.
    OneLeaderLease,
    /// A change that was answered stays, and every resend gets the same answer.
    ChangesStay,
    /// Revisions never go back at a process.
    RevisionsGrow,
    /// What is said to be in force is applied at every daemon that may take new work.
    InForce,
    /// No machine is in two replicas.
    MachineInOneReplica,
    /// Fences and epochs only grow.
    FencesGrow,
    /// An order counts as carried out only once its machine has carried it out.
    OrdersConfirmed,
    /// Nothing is dispatched to a replica with a machine missing, or with one that works for another.
    GateHolds,
    /// Once everything is healed, all that is declared serves and all daemons agree.
    Recovers,
}

/// A check that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub check: Check,
    /// When, in simulated milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

/// What the checks remember over a run.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    log: BTreeMap<u64, u64>,
    leaders: BTreeMap<u64, usize>,
    fences: BTreeMap<String, u64>,
    epochs: BTreeMap<String, u64>,
    checked_revision: u64,
    pub in_force: u64,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn fail(&mut self, check: Check, at_ms: u64, detail: String) {
        // One of each kind tells enough, and keeps a broken run short.
        if self.violations.iter().all(|known| known.check != check) {
            self.violations.push(Violation { check, at_ms, detail });
        }
    }

    /// Entries that a node has committed.
    pub fn committed(&mut self, at_ms: u64, daemon: usize, entries: &[Entry]) {
        for entry in entries {
            let content = match &entry.payload {
                Payload::Empty => entry.term,
                Payload::Command(bytes) => content_digest(bytes) ^ entry.term,
                Payload::Voters(voters) => content_digest(format!("{voters:?}").as_bytes()) ^ entry.term,
            };
            let known = *self.log.entry(entry.index).or_insert(content);
            if known != content {
                let detail = format!("daemon {daemon} committed another entry at index {}", entry.index);
                self.fail(Check::OneLog, at_ms, detail);
            }
        }
    }

    /// A node was elected.
    pub fn elected(&mut self, at_ms: u64, daemon: usize, term: u64) {
        let known = *self.leaders.entry(term).or_insert(daemon);
        if known != daemon {
            self.fail(
                Check::OneLeaderPerTerm,
                at_ms,
                format!("daemons {known} and {daemon} lead in term {term}"),
            );
        }
    }

    /// A change was answered.
    pub fn answered(&mut self, at_ms: u64, change: &mut Change, outcome: Outcome) {
        match &change.answer {
            None => change.answer = Some(outcome),
            Some(first) if *first != outcome => {
                let detail = format!("{}: first {first:?}, then {outcome:?}", change.request.change_id);
                self.fail(Check::ChangesStay, at_ms, detail);
            }
            Some(_) => {}
        }
    }

    /// Looks at all daemons.
    pub fn daemons(&mut self, now: u64, daemons: &[Daemon], lease_ignored: bool) {
        let leads = |daemon: &&Daemon| {
            daemon.is_up(now) && daemon.node.as_ref().is_some_and(|node| node.leads(daemon.moment(now)))
        };
        let leaders: Vec<&str> =
            daemons.iter().filter(leads).map(|daemon| daemon.record.name.as_str()).collect();
        if leaders.len() > 1 {
            self.fail(Check::OneLeaderLease, now, format!("{leaders:?}"));
        }
        for daemon in daemons {
            let Some(node) = &daemon.node else { continue };
            self.in_force = self.in_force.max(node.in_force_revision());
            if daemon.revision() < daemon.highest_revision {
                let detail = format!(
                    "{} from {} to {}",
                    daemon.record.name,
                    daemon.highest_revision,
                    daemon.revision()
                );
                self.fail(Check::RevisionsGrow, now, detail);
            }
        }
        for daemon in daemons {
            let takes_work =
                daemon.is_up(now) && (daemon.holds_lease(now) || (lease_ignored && daemon.lease_until > 0));
            if takes_work && daemon.revision() < self.in_force {
                let detail = format!(
                    "{} is at {}, in force is {}",
                    daemon.record.name,
                    daemon.revision(),
                    self.in_force
                );
                self.fail(Check::InForce, now, detail);
            }
        }
    }

    /// Looks at tables that have changed.
    pub fn tables(&mut self, now: u64, tables: &Tables, machines: &[Machine]) {
        if tables.revision <= self.checked_revision {
            return;
        }
        self.checked_revision = tables.revision;
        let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
        for row in tables.replicas.values() {
            for member in &row.members {
                if let Some(other) = holders.insert(member, &row.name) {
                    let detail = format!("{member} is in {other} and {}", row.name);
                    self.fail(Check::MachineInOneReplica, now, detail);
                }
            }
            let known = self.epochs.entry(row.name.clone()).or_insert(row.epoch);
            if row.epoch < *known {
                let detail = format!("epoch of {} from {known} to {}", row.name, row.epoch);
                self.fail(Check::FencesGrow, now, detail);
            } else {
                *known = row.epoch;
            }
        }
        for (server, machine) in &tables.machines {
            let known = self.fences.entry(server.clone()).or_insert(machine.fence);
            if machine.fence < *known {
                let detail = format!("fence of {server} from {known} to {}", machine.fence);
                self.fail(Check::FencesGrow, now, detail);
            } else {
                *known = machine.fence;
            }
        }
        for machine in machines {
            let Some(order) = tables.orders.get(&machine.name) else { continue };
            if order.state == OrderState::Done && machine.highest_carried_out < order.fence {
                let detail = format!("order {} counts as done", order.id);
                self.fail(Check::OrdersConfirmed, now, detail);
            }
        }
    }

    /// Whether any node claims to lead.
    pub fn claims_to_lead(daemon: &Daemon) -> Option<u64> {
        let core = daemon.node.as_ref()?.core()?;
        (core.role() == RoleName::Leader).then(|| core.term())
    }
}
