//! Input of the checkers: the replicated tables and the observations of the machines.

use crate::Millis;
use dockwood_api::peer::MachineState;
use dockwood_state::Tables;
use std::collections::{BTreeMap, BTreeSet};

/// A machine is dead after its connections have been refused for this long. A shorter engine restart is not a
/// machine failure, and a single probe may hit a full backlog.
const REFUSING_DEAD_AFTER_MS: Millis = 600;
/// A machine is dead after it has been silent for this long. Shorter pauses are tolerated, because loading
/// weights elsewhere takes longer.
const SILENT_DEAD_AFTER_MS: Millis = 3_000;
/// A machine must have answered for this long before it is used again.
const MIN_STABLE_MS: Millis = 2_000;
/// Each failure within [`FLAP_MEMORY_MS`] doubles the required time, up to a factor of two to this power.
const MAX_FLAP_FACTOR_SHIFT: u32 = 6;
/// Failures are forgotten after this long without a new one.
const FLAP_MEMORY_MS: Millis = 600_000;

/// Health of a machine as used by placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealth {
    /// It has been answering for long enough.
    Usable,
    /// It answers, but has returned only recently; not used for new replicas.
    Recovering,
    /// It does not answer, but not yet for long enough to act on.
    Suspect,
    /// It has failed.
    Dead,
    /// It answers, but the platform is about to remove it.
    Leaving,
    /// There is no report on it yet.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    state: MachineState,
    /// When the machine started or stopped answering.
    changed_at: Millis,
    failures: u32,
    failed_at: Millis,
}

/// Reports of the probers on each machine.
#[derive(Clone, Debug, Default)]
pub struct MachineObservations {
    observations: BTreeMap<String, Observation>,
    leaving: BTreeSet<String>,
}

fn is_alive(state: &MachineState) -> bool {
    matches!(state, MachineState::Alive { .. })
}

impl MachineObservations {
    /// Records a report. The first report on a machine is treated as if its state had lasted for the required
    /// time.
    pub fn record(&mut self, now: Millis, server: &str, state: MachineState) {
        let Some(observation) = self.observations.get_mut(server) else {
            let changed_at = now.saturating_sub(MIN_STABLE_MS);
            self.observations
                .insert(server.to_string(), Observation { state, changed_at, failures: 0, failed_at: 0 });
            return;
        };
        let changed = is_alive(&observation.state) != is_alive(&state);
        if changed {
            observation.changed_at = now;
        }
        if changed && !is_alive(&state) {
            let failures_expired = now > observation.failed_at + FLAP_MEMORY_MS;
            observation.failures = if failures_expired { 1 } else { observation.failures + 1 };
            observation.failed_at = now;
        }
        observation.state = state;
    }

    /// Sets the machines that the platform is about to remove.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// State of a machine according to the newest report.
    pub fn state(&self, server: &str) -> Option<MachineState> {
        self.observations.get(server).map(|observation| observation.state)
    }

    /// Removes the machines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.observations.retain(|server, _| keep(server));
    }

    /// Current health of a machine.
    pub fn health(&self, now: Millis, server: &str) -> MachineHealth {
        let Some(observation) = self.observations.get(server) else { return MachineHealth::Unknown };
        let unchanged_for = now.saturating_sub(observation.changed_at);
        match observation.state {
            MachineState::Alive { .. } if self.leaving.contains(server) => MachineHealth::Leaving,
            MachineState::Alive { .. } if unchanged_for >= required_stable_ms(observation) => {
                MachineHealth::Usable
            }
            MachineState::Alive { .. } => MachineHealth::Recovering,
            MachineState::Refusing if unchanged_for >= REFUSING_DEAD_AFTER_MS => MachineHealth::Dead,
            MachineState::Silent if unchanged_for >= SILENT_DEAD_AFTER_MS => MachineHealth::Dead,
            MachineState::Refusing | MachineState::Silent => MachineHealth::Suspect,
        }
    }
}

/// Time for which a machine must have answered. It grows with recent failures, so that a flapping machine is
/// not used again and again.
fn required_stable_ms(observation: &Observation) -> Millis {
    MIN_STABLE_MS << observation.failures.saturating_sub(1).min(MAX_FLAP_FACTOR_SHIFT)
}

/// Placement policy. All policies but the default are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Prefers domains that keep a spare machine, and repairs with a spare of the same domain.
    #[default]
    SpareAware,
    /// Takes the first domain with enough machines, even if no spare is left, and repairs with a spare if
    /// there is one.
    FirstFit,
    /// Like the default, but every repair dissolves the replica and forms a new one, so that all its machines
    /// load again.
    FullReform,
}

/// A consistent view of everything the checkers look at.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// The replicated tables.
    pub tables: &'a Tables,
    /// Reports of the probers.
    pub machines: &'a MachineObservations,
    /// Names and epochs of the replicas that coordinators report as drained.
    pub idle_replicas: &'a BTreeSet<(String, u64)>,
    /// Current time.
    pub now: Millis,
    /// Policy for decisions.
    pub policy: PlacementPolicy,
}

impl Fleet<'_> {
    /// Current health of a machine.
    pub fn health(&self, server: &str) -> MachineHealth {
        self.machines.health(self.now, server)
    }

    /// Whether the operator or the platform is taking the machine out of service.
    pub fn is_leaving(&self, server: &str) -> bool {
        let drained = self.tables.server(server).is_none_or(|spec| spec.drain);
        drained || self.health(server) == MachineHealth::Leaving
    }

    /// Whether the machine is free and can join a replica now.
    pub fn is_spare(&self, server: &str) -> bool {
        self.tables.is_free(server)
            && !self.is_leaving(server)
            && self.health(server) == MachineHealth::Usable
    }
}
