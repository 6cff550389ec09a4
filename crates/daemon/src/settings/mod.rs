//! Settings of a daemon: read from YAML and checked whole, every fault with its number, line and field.

mod check;
mod gateway;
mod reader;
mod reload;
mod section;

pub use gateway::{GatewaySettings, RetryBudgetSettings};
pub use reload::run_settings_reader;
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
    /// For logs and events; the token itself never appears there.
    pub name: String,
    /// What it allows.
    pub role: OperatorRole,
    /// The token's digest.
    pub digest: String,
}

/// How a daemon finds the control group where the settings list no voters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedSettings {
    /// Peer addresses of members of the control group.
    pub peers: Vec<SocketAddr>,
    /// The group begins now, and the seeds are its first members.
    pub founding: bool,
    /// This daemon is a member, or waits to become one.
    pub member: bool,
    /// Members that may be lost at once, with their disks: the group keeps twice as many voters, and one.
    pub losses_tolerated: usize,
    /// Whether a whole zone may be lost: then no zone may hold half of the voters.
    pub bears_zone_loss: bool,
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
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// The control group.
    pub voters: Vec<Voter>,
    /// How the group is found, where there is no fixed list of voters.
    pub seeds: SeedSettings,
    /// The gateway, if this daemon takes part in it.
    pub gateway: Option<GatewaySettings>,
    /// Where a voter keeps its state.
    pub data_folder: Option<PathBuf>,
    /// Daemons up to which the leader answers all requests for leases itself; with more, the other voters do in its name.
    pub leader_leases_up_to: usize,
    /// Operators' tokens.
    pub tokens: Vec<OperatorToken>,
    /// The platform's list of machines, if there is one.
    pub platform: Option<SocketAddr>,
    /// How long callers may keep an entry answer.
    pub entry_lifetime: Duration,
    /// Largest body of a chat request, in bytes.
    pub max_body_bytes: usize,
    /// Deadline of requests that name none.
    pub default_deadline: Duration,
    /// Worker threads for traffic.
    pub traffic_threads: usize,
    /// Least level that is logged.
    pub log_level: String,
    /// Log file; standard output if absent.
    pub log_file: Option<PathBuf>,
}

impl Settings {
    /// By how much the rate that cold servers declare may be exceeded, over all daemons.
    pub fn cold_limit(&self) -> ColdLimit {
        self.gateway.as_ref().map_or_else(ColdLimit::default, |gateway| gateway.cold_limit)
    }

    /// Reads and checks a settings file; on failure, every problem that was found.
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

    /// Whether this daemon holds the replicated log.
    pub fn is_control_member(&self) -> bool {
        self.seeds.member || self.own_voter().is_some()
    }

    /// Peer addresses at which the control group can be asked for.
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        let listed = self.voters.iter().map(|voter| voter.peer);
        listed.chain(self.seeds.peers.iter().copied()).collect()
    }

    /// This daemon's entry among the voters.
    pub fn own_voter(&self) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.name == self.name)
    }
}
