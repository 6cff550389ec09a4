//! Invariants that are checked after every event.

use crate::daemon::Daemon;
use crate::machine::Machine;
use crate::operator::Change;
use dockwood_api::digest::content_digest;
use dockwood_consensus::{Entry, Payload, RoleName};
use dockwood_state::{OrderState, Outcome, Tables};
use serde::Serialize;
use std::collections::BTreeMap;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Check {
    /// No two nodes commit different entries at one index.
    OneLog,
    /// No two nodes are leader in one term.
    OneLeaderPerTerm,
    /// No two nodes hold the leader lease at the same time.
    OneLeaderLease,
    /// An answered change is not lost, and every resend gets the same answer.
    ChangesStay,
    /// The revision of a process never decreases.
    RevisionsGrow,
    /// Every daemon that may take new work has applied the revision that is reported as in force.
    InForce,
    /// No machine is a member of two replicas.
    MachineInOneReplica,
    /// Fences and epochs never decrease.
    FencesGrow,
    /// An order is marked as done only after its machine has carried it out.
    OrdersConfirmed,
    /// No request is dispatched to a replica with a missing machine, or with one that works for another
    /// replica.
    GateHolds,
    /// After all faults are healed, all declared replicas serve and all daemons are at the same revision.
    Recovers,
}

/// A failed check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    pub check: Check,
    /// Simulated time in milliseconds.
    pub at_ms: u64,
    /// Details of the violation.
    pub detail: String,
}

/// State of the checks over a run.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    /// Digest of the committed entry by index.
    log: BTreeMap<u64, u64>,
    /// Leader by term.
    leaders: BTreeMap<u64, usize>,
    fences: BTreeMap<String, u64>,
    epochs: BTreeMap<String, u64>,
    checked_revision: u64,
    pub in_force: u64,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn fail(&mut self, check: Check, at_ms: u64, detail: String) {
        // One violation of each kind is enough, and keeps the report of a failed run short.
        if self.violations.iter().all(|previous| previous.check != check) {
            self.violations.push(Violation { check, at_ms, detail });
        }
    }

    /// Checks entries that a node has committed.
    pub fn check_committed(&mut self, at_ms: u64, daemon: usize, entries: &[Entry]) {
        for entry in entries {
            let content = match &entry.payload {
                Payload::Empty => entry.term,
                Payload::Command(bytes) => content_digest(bytes) ^ entry.term,
                Payload::Voters(voters) => content_digest(format!("{voters:?}").as_bytes()) ^ entry.term,
            };
            let previous = *self.log.entry(entry.index).or_insert(content);
            if previous != content {
                let detail = format!("daemon {daemon} committed another entry at index {}", entry.index);
                self.fail(Check::OneLog, at_ms, detail);
            }
        }
    }

    /// Checks that no other node is leader in the term.
    pub fn check_elected(&mut self, at_ms: u64, daemon: usize, term: u64) {
        let previous = *self.leaders.entry(term).or_insert(daemon);
        if previous != daemon {
            self.fail(
                Check::OneLeaderPerTerm,
                at_ms,
                format!("daemons {previous} and {daemon} lead in term {term}"),
            );
        }
    }

    /// Records the first answer to a change, and checks later ones against it.
    pub fn check_answer(&mut self, at_ms: u64, change: &mut Change, outcome: Outcome) {
        match &change.answer {
            None => change.answer = Some(outcome),
            Some(first) if *first != outcome => {
                let detail = format!("{}: first {first:?}, then {outcome:?}", change.request.change_id);
                self.fail(Check::ChangesStay, at_ms, detail);
            }
            Some(_) => {}
        }
    }

    /// Checks leases and revisions of all daemons.
    pub fn check_daemons(&mut self, now: u64, daemons: &[Daemon], lease_ignored: bool) {
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
            let may_take_work =
                daemon.is_up(now) && (daemon.holds_lease(now) || (lease_ignored && daemon.lease_until > 0));
            if may_take_work && daemon.revision() < self.in_force {
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

    /// Checks tables that are newer than the last checked ones.
    pub fn check_tables(&mut self, now: u64, tables: &Tables, machines: &[Machine]) {
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
            let previous = self.epochs.entry(row.name.clone()).or_insert(row.epoch);
            if row.epoch < *previous {
                let detail = format!("epoch of {} from {previous} to {}", row.name, row.epoch);
                self.fail(Check::FencesGrow, now, detail);
            } else {
                *previous = row.epoch;
            }
        }
        for (server, machine) in &tables.machines {
            let previous = self.fences.entry(server.clone()).or_insert(machine.fence);
            if machine.fence < *previous {
                let detail = format!("fence of {server} from {previous} to {}", machine.fence);
                self.fail(Check::FencesGrow, now, detail);
            } else {
                *previous = machine.fence;
            }
        }
        for machine in machines {
            let Some(order) = tables.orders.get(&machine.name) else { continue };
            if order.state == OrderState::Done && machine.highest_carried_out < order.fence {
                let detail = format!("order {} is marked as done, but was not carried out", order.id);
                self.fail(Check::OrdersConfirmed, now, detail);
            }
        }
    }

    /// Returns the term in which a daemon considers itself the leader.
    pub fn leading_term(daemon: &Daemon) -> Option<u64> {
        let core = daemon.node.as_ref()?.core()?;
        (core.role() == RoleName::Leader).then(|| core.term())
    }
}
