//! Settings of a daemon: read from YAML and validated. All errors are reported at once, each with its code, line and
//! field.

mod check;
mod gateway;
mod limits;
mod reader;
mod reload;
mod section;

pub use gateway::{GatewaySettings, RetryBudgetSettings};
pub use limits::ResourceLimits;
pub use reload::run_settings_reloader;
pub use section::{Problem, Problems};

use dockwood_grouping::ColdLimit;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Identifies the voter within the group; never reused.
    pub id: u64,
    /// Daemon name.
    pub name: String,
    /// Its peer address.
    pub peer: SocketAddr,
}

/// What an operator token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// An operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// Identifies the token in logs and events, which never contain the token itself.
    pub name: String,
    /// What it allows.
    pub role: OperatorRole,
    /// Digest of the token.
    pub digest: String,
}

/// How a daemon finds the control group if the settings list no voters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedSettings {
    /// Peer addresses of members of the control group.
    pub peers: Vec<SocketAddr>,
    /// Whether a new group is created with the seeds as its initial members.
    pub founding: bool,
    /// Whether this daemon is a member, or waits to be admitted as one.
    pub member: bool,
    /// Number of members that may be lost at the same time, including their disks; the group has `2 * losses_tolerated + 1`
    /// voters.
    pub losses_tolerated: usize,
    /// Whether the group must tolerate the loss of a whole zone: then no zone may contain half of the voters.
    pub tolerates_zone_loss: bool,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Unique name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address at which other daemons reach this one.
    pub peer: SocketAddr,
    /// Address at which this daemon accepts connections of others: `peer`, unless another program forwards them.
    pub peer_bind: SocketAddr,
    /// The voters of the control group; empty if it is found by seeds.
    pub voters: Vec<Voter>,
    /// How the group is found if there is no fixed list of voters.
    pub seeds: SeedSettings,
    /// Gateway settings, if this daemon is part of the gateway.
    pub gateway: Option<GatewaySettings>,
    /// Folder for the persistent state of a member of the control group.
    pub data_folder: Option<PathBuf>,
    /// Maximum number of daemons for which the leader answers all lease requests itself; with more, the other voters grant
    /// leases on its behalf.
    pub leader_leases_up_to: usize,
    /// Operators' tokens.
    pub tokens: Vec<OperatorToken>,
    /// Address of the platform's list of machines, if there is one.
    pub platform: Option<SocketAddr>,
    /// Time for which callers may cache an entry answer.
    pub entry_lifetime: Duration,
    /// Maximum size of the body of a chat request, in bytes.
    pub max_body_bytes: usize,
    /// Deadline of requests that specify none.
    pub default_deadline: Duration,
    /// Number of worker threads for traffic.
    pub traffic_threads: usize,
    /// Limits on resources of the process.
    pub limits: ResourceLimits,
    /// Minimum level that is logged.
    pub log_level: String,
    /// Log file; standard output if `None`.
    pub log_file: Option<PathBuf>,
}

impl Settings {
    /// Returns by how much the declared rate of cold servers may be exceeded, over all daemons.
    pub fn cold_limit(&self) -> ColdLimit {
        self.gateway.as_ref().map_or_else(ColdLimit::default, |gateway| gateway.cold_limit)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// All problems found, in order of their lines.
    pub fn read(path: &Path) -> Result<Settings, Vec<Problem>> {
        let mut problems = Problems::new(path);
        let settings = reader::read(path, &mut problems);
        if let Some(settings) = &settings {
            check::check(settings, &mut problems);
        }
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings.values),
            _ => Err(problems.into_sorted()),
        }
    }

    /// Returns whether this daemon is configured as a member of the control group, which stores the replicated log.
    pub fn is_control_member(&self) -> bool {
        self.seeds.member || self.own_voter().is_some()
    }

    /// Returns the configured peer addresses of the control group.
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        let listed = self.voters.iter().map(|voter| voter.peer);
        listed.chain(self.seeds.peers.iter().copied()).collect()
    }

    /// Returns this daemon's entry in the list of voters.
    pub fn own_voter(&self) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.name == self.name)
    }
}
