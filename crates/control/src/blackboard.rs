//! The blackboard: the replicated tables together with local observations. The control thread owns it.

use crate::Millis;
use crate::catch_up::RetainedCommands;
use crate::compression::compress;
use dockwood_api::ApiError;
use dockwood_placement::{Fleet, MachineObservations, PlacementPolicy};
use dockwood_state::{Applied, Command, State, Tables, encode_command};
use std::collections::BTreeSet;

/// Observations of this process; never replicated.
#[derive(Debug, Default)]
pub struct Observed {
    /// Reports on machines.
    pub machines: MachineObservations,
    /// Drained replicas, by name and epoch.
    pub idle_replicas: BTreeSet<(String, u64)>,
}

/// Desired and assigned state (both within `state`) and observed state.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// Replicated state.
    pub state: State,
    /// Local observations.
    pub observed: Observed,
    commands: RetainedCommands,
}

impl Blackboard {
    /// Creates a blackboard from a stored state.
    pub fn new(state: State) -> Self {
        let commands = RetainedCommands::starting_at(state.tables.revision);
        Blackboard { state, commands, ..Blackboard::default() }
    }

    /// The replicated tables.
    pub fn tables(&self) -> &Tables {
        &self.state.tables
    }

    /// The newest applied revision.
    pub fn revision(&self) -> u64 {
        self.state.tables.revision
    }

    /// Applies a command and retains its encoding for lagging daemons.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.state.apply(command);
        if command.body.is_configuration()
            && let Some(needed) = command.for_non_voters(&self.state.tables)
        {
            self.commands.push(self.revision(), compress(&encode_command(&needed)));
        }
        applied
    }

    /// Applies a command at the revision that it was committed with. All earlier commands that this daemon
    /// needs must have been applied. Retains `encoded` as received. `None` if this daemon already has the
    /// revision.
    pub fn apply_at(&mut self, revision: u64, command: &Command, encoded: Vec<u8>) -> Option<Applied> {
        if revision <= self.revision() {
            return None;
        }
        self.state.tables.revision = revision - 1;
        self.commands.push(revision, encoded);
        Some(self.state.apply(command))
    }

    /// Advances the revision; no command up to `revision` is relevant to this daemon.
    pub fn advance_to(&mut self, revision: u64) {
        self.state.tables.revision = self.state.tables.revision.max(revision);
    }

    /// Replaces the state, unless it is older than the current one: revisions never decrease.
    pub fn restore(&mut self, encoded: &[u8]) -> Result<bool, ApiError> {
        let state = State::decode(encoded)?;
        if state.tables.revision < self.revision() {
            return Ok(false);
        }
        self.state = state;
        self.commands = RetainedCommands::starting_at(self.revision());
        Ok(true)
    }

    /// The newest commands, for lagging daemons.
    pub fn commands(&self) -> &RetainedCommands {
        &self.commands
    }

    /// The input of placement.
    pub fn fleet(&self, now: Millis, policy: PlacementPolicy) -> Fleet<'_> {
        Fleet {
            tables: self.tables(),
            machines: &self.observed.machines,
            idle_replicas: &self.observed.idle_replicas,
            now,
            policy,
        }
    }

    /// Drops observations of objects that no longer exist.
    pub fn drop_stale_observations(&mut self) {
        let tables = &self.state.tables;
        self.observed.machines.retain(|server| tables.server(server).is_some());
        let current =
            |replica: &str, epoch: u64| tables.replicas.get(replica).is_some_and(|row| row.epoch == epoch);
        self.observed.idle_replicas.retain(|(replica, epoch)| current(replica, *epoch));
    }
}
