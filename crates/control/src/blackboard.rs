//! The blackboard: replicated tables beside what this process observes. The control thread owns it.

use crate::Millis;
use crate::catch_up::RetainedCommands;
use crate::compression::compress;
use dockwood_api::ApiError;
use dockwood_placement::{Fleet, MachineObservations, PlacementPolicy};
use dockwood_state::{Applied, Command, State, Tables, encode_command};
use std::collections::BTreeSet;

/// What only this process has seen; never replicated.
#[derive(Debug, Default)]
pub struct Observed {
    /// Reports on machines.
    pub machines: MachineObservations,
    /// Drained replicas, by name and epoch.
    pub idle_replicas: BTreeSet<(String, u64)>,
}

/// The three parts of the blackboard: desired and assigned (both within `state`), and observed.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// Replicated.
    pub state: State,
    /// Local.
    pub observed: Observed,
    commands: RetainedCommands,
}

impl Blackboard {
    /// A blackboard that starts from a stored state.
    pub fn new(state: State) -> Self {
        let commands = RetainedCommands::starting_at(state.tables.revision);
        Blackboard { state, commands, ..Blackboard::default() }
    }

    /// The replicated tables.
    pub fn tables(&self) -> &Tables {
        &self.state.tables
    }

    /// Newest revision.
    pub fn revision(&self) -> u64 {
        self.state.tables.revision
    }

    /// Applies a command and keeps its encoding for daemons that lag.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.state.apply(command);
        if command.body.is_configuration()
            && let Some(needed) = command.for_non_voters(&self.state.tables)
        {
            self.commands.push(self.revision(), compress(&encode_command(&needed)));
        }
        applied
    }

    /// Applies a command that made `revision` where it was committed, after all that this daemon needs of what came
    /// before, and keeps `encoded`, as it came. `None` if this daemon has that revision already.
    pub fn apply_at(&mut self, revision: u64, command: &Command, encoded: Vec<u8>) -> Option<Applied> {
        if revision <= self.revision() {
            return None;
        }
        self.state.tables.revision = revision - 1;
        self.commands.push(revision, encoded);
        Some(self.state.apply(command))
    }

    /// Notes that nothing this daemon needs was changed up to `revision`.
    pub fn advance_to(&mut self, revision: u64) {
        self.state.tables.revision = self.state.tables.revision.max(revision);
    }

    /// Replaces the state, unless it is older than the one held: revisions never go back.
    pub fn restore(&mut self, encoded: &[u8]) -> Result<bool, ApiError> {
        let state = State::decode(encoded)?;
        if state.tables.revision < self.revision() {
            return Ok(false);
        }
        self.state = state;
        self.commands = RetainedCommands::starting_at(self.revision());
        Ok(true)
    }

    /// The newest commands, for daemons that lag.
    pub fn commands(&self) -> &RetainedCommands {
        &self.commands
    }

    /// What placement looks at.
    pub fn fleet(&self, now: Millis, policy: PlacementPolicy) -> Fleet<'_> {
        Fleet {
            tables: self.tables(),
            machines: &self.observed.machines,
            idle_replicas: &self.observed.idle_replicas,
            now,
            policy,
        }
    }

    /// Forgets observations on what no longer exists.
    pub fn forget_gone(&mut self) {
        let tables = &self.state.tables;
        self.observed.machines.retain(|server| tables.server(server).is_some());
        let current =
            |replica: &str, epoch: u64| tables.replicas.get(replica).is_some_and(|row| row.epoch == epoch);
        self.observed.idle_replicas.retain(|(replica, epoch)| current(replica, *epoch));
    }
}
