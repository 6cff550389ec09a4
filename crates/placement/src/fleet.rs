//! What the checkers look at: the replicated tables and what has been observed of the machines.

use crate::Millis;
use dockwood_api::peer::MachineState;
use dockwood_state::Tables;
use std::collections::{BTreeMap, BTreeSet};

/// A refused connection must last this long: a restart of an engine is no failure of the machine if it is
/// shorter, and one probe may hit a full backlog.
const REFUSING_DEAD_MS: Millis = 600;
/// Silence must last this long. Shorter pauses are waited out, because loading weights takes longer still.
const SILENT_DEAD_MS: Millis = 3_000;
/// A machine must have answered for this long before it is used again.
const STABLE_MS: Millis = 2_000;
/// Each failure within [`FLAP_MEMORY_MS`] doubles the time a machine must be stable, up to this factor.
const MAX_FLAP_FACTOR_SHIFT: u32 = 6;
/// Failures are forgotten after this long without one.
const FLAP_MEMORY_MS: Millis = 600_000;

/// How placement may treat a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealth {
    /// It answers, and has for long enough.
    Usable,
    /// It answers, but came back only now; not used for anything new.
    Recovering,
    /// It fails to answer, not yet for long enough to act on.
    Suspect,
    /// It failed.
    Dead,
    /// It answers and is about to be taken away.
    Leaving,
    /// Nothing is known yet.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    state: MachineState,
    /// When the machine began to answer, or ceased to.
    since: Millis,
    failures: u32,
    failed_at: Millis,
}

/// What probers have reported on each machine.
#[derive(Clone, Debug, Default)]
pub struct MachineObservations {
    rows: BTreeMap<String, Row>,
    leaving: BTreeSet<String>,
}

fn answers(state: &MachineState) -> bool {
    matches!(state, MachineState::Alive { .. })
}

impl MachineObservations {
    /// Takes a report. The first one on a machine counts as if it had been so for long.
    pub fn record(&mut self, now: Millis, server: &str, state: MachineState) {
        let Some(row) = self.rows.get_mut(server) else {
            let since = now.saturating_sub(STABLE_MS);
            self.rows.insert(server.to_string(), Row { state, since, failures: 0, failed_at: 0 });
            return;
        };
        let changed = answers(&row.state) != answers(&state);
        if changed {
            row.since = now;
        }
        if changed && !answers(&state) {
            let forgotten = now > row.failed_at + FLAP_MEMORY_MS;
            row.failures = if forgotten { 1 } else { row.failures + 1 };
            row.failed_at = now;
        }
        row.state = state;
    }

    /// Takes the platform's word on which machines it will take away.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// The newest report on a machine.
    pub fn state(&self, server: &str) -> Option<MachineState> {
        self.rows.get(server).map(|row| row.state)
    }

    /// Forgets machines that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.rows.retain(|server, _| keep(server));
    }

    /// How placement may treat a machine now.
    pub fn health(&self, now: Millis, server: &str) -> MachineHealth {
        let Some(row) = self.rows.get(server) else { return MachineHealth::Unknown };
        let lasted = now.saturating_sub(row.since);
        match row.state {
            MachineState::Alive { .. } if self.leaving.contains(server) => MachineHealth::Leaving,
            MachineState::Alive { .. } if lasted >= stable_for(row) => MachineHealth::Usable,
            MachineState::Alive { .. } => MachineHealth::Recovering,
            MachineState::Refusing if lasted >= REFUSING_DEAD_MS => MachineHealth::Dead,
            MachineState::Silent if lasted >= SILENT_DEAD_MS => MachineHealth::Dead,
            MachineState::Refusing | MachineState::Silent => MachineHealth::Suspect,
        }
    }
}

/// Time that a machine must have answered; grows with its recent failures, so that one that flaps isn't used
/// again and again.
fn stable_for(row: &Row) -> Millis {
    STABLE_MS << row.failures.saturating_sub(1).min(MAX_FLAP_FACTOR_SHIFT)
}

/// How placement decides. All but the default are baselines for measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Domains that keep spares first; repair by a spare of the domain.
    #[default]
    SpareAware,
    /// The first domain with room, spares or not; repair by a spare where there happens to be one.
    FirstFit,
    /// As the default, but every repair forms the replica anew, with all machines loading again.
    FullReform,
}

/// Everything the checkers look at.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// The replicated tables.
    pub tables: &'a Tables,
    /// What probers report.
    pub machines: &'a MachineObservations,
    /// Replicas at epochs that coordinators report as drained.
    pub idle_replicas: &'a BTreeSet<(String, u64)>,
    /// Now.
    pub now: Millis,
    /// How to decide.
    pub policy: PlacementPolicy,
}

impl Fleet<'_> {
    /// How placement may treat a machine.
    pub fn health(&self, server: &str) -> MachineHealth {
        self.machines.health(self.now, server)
    }

    /// Whether the operator or the platform wants the machine out of service.
    pub fn is_leaving(&self, server: &str) -> bool {
        let drained = self.tables.server(server).is_none_or(|spec| spec.drain);
        drained || self.health(server) == MachineHealth::Leaving
    }

    /// Whether a free machine may join a replica now.
    pub fn is_spare(&self, server: &str) -> bool {
        self.tables.is_free(server)
            && !self.is_leaving(server)
            && self.health(server) == MachineHealth::Usable
    }
}
