//! Commands of the replicated log and their outcomes.

use crate::claim::{ClaimRequest, ClaimSettlement, ClaimVerdict};
use crate::gateway::GatewayCommand;
use crate::tables::{Liveness, Tables};
use dockwood_api::ApiError;
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::{Resource, ResourceKey};
use serde::{Deserialize, Serialize};

/// One entry's worth of change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The proposer's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What to do.
    pub body: CommandBody,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// An operator's change of a resource.
    Change(ChangeRequest),
    /// A daemon joins, or comes back after a restart. In logs of earlier versions; [`CommandBody::UpdateDaemons`] now.
    JoinDaemon {
        /// Its record.
        record: DaemonRecord,
        /// Distinguishes restarts.
        incarnation: u64,
    },
    /// A daemon's liveness changed. In logs of earlier versions; [`CommandBody::UpdateDaemons`] now.
    SetLiveness {
        /// Its name.
        daemon: String,
        /// The incarnation that was observed.
        incarnation: u64,
        /// What it became.
        liveness: Liveness,
    },
    /// Makes a replica of free machines.
    FormReplica {
        /// The deployment.
        deployment: String,
        /// Server names, head first; all in one domain.
        members: Vec<String>,
        /// Why.
        reason: String,
    },
    /// Gives a replica a new epoch with other members, or the deployment's new content.
    ReformReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was made on.
        epoch: u64,
        /// Server names, head first; new ones must be free.
        members: Vec<String>,
        /// Why.
        reason: String,
    },
    /// Stops new work on a replica.
    DrainReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was made on.
        epoch: u64,
        /// Why.
        reason: String,
    },
    /// Ends a replica and releases its machines.
    DissolveReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was made on.
        epoch: u64,
        /// Why.
        reason: String,
    },
    /// A machine confirmed its order.
    OrderDone {
        /// The machine.
        server: String,
        /// The order's fence.
        fence: u64,
    },
    /// Issues a machine's last order again under a higher fence, after the machine lost its state.
    RepeatOrder {
        /// The machine.
        server: String,
        /// The fence that the decision was made on.
        fence: u64,
    },
    /// Names a pool's coordinator and standby.
    AssignPool {
        /// The pool.
        pool: String,
        /// The daemon that grants slots.
        coordinator: Option<String>,
        /// The daemon that takes over.
        standby: Option<String>,
    },
    /// Names a replica's watcher.
    AssignWatcher {
        /// The replica.
        replica: String,
        /// The daemon that gathers evidence.
        watcher: Option<String>,
    },
    /// A change of the gateway's tables.
    Gateway(GatewayCommand),
    /// Claims on request ids, held by voters only.
    Claim(Vec<ClaimRequest>),
    /// What became of claimed requests.
    SettleClaims(Vec<ClaimSettlement>),
    /// Daemons join, or their liveness changes. Together they take one revision: after a power loss a thousand daemons
    /// change at once, and a revision for each would have to reach each of them.
    UpdateDaemons(Vec<DaemonUpdate>),
}

/// What changes about one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DaemonUpdate {
    /// It joins, or comes back.
    Joined {
        /// Its record.
        record: DaemonRecord,
        /// Distinguishes restarts.
        incarnation: u64,
    },
    /// Its liveness changed.
    Liveness {
        /// Its name.
        daemon: String,
        /// The incarnation in its row.
        incarnation: u64,
        /// What it became.
        liveness: Liveness,
    },
}

impl CommandBody {
    /// Claims are kept by voters alone: they take no configuration revision and go to no other daemon.
    pub const fn is_configuration(&self) -> bool {
        !matches!(self, CommandBody::Claim(_) | CommandBody::SettleClaims(_))
    }
}

impl Command {
    /// What daemons that are not voters need of a command that has just been applied to `tables`; `None` if it changes
    /// nothing for them. They route requests: they need no servers of model engines, and groups only once these serve.
    pub fn for_followers(&self, tables: &Tables) -> Option<Command> {
        let body = match &self.body {
            CommandBody::Gateway(command) => CommandBody::Gateway(command.for_followers(&tables.gateway)?),
            other => other.clone(),
        };
        Some(Command { at_ms: self.at_ms, body })
    }
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's change id; a resend carries the same.
    pub change_id: String,
    /// Digest of what was asked for.
    pub content_digest: u64,
    /// What was asked for.
    pub action: ChangeAction,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Create; refused if the name is taken.
    Create(Resource),
    /// Replace labels and spec; `metadata.resource_version` is compared unless 0.
    Update(Resource),
    /// Create, or replace as above.
    Apply(Resource),
    /// Delete.
    Delete {
        /// What.
        key: ResourceKey,
        /// Compared unless 0.
        resource_version: u64,
    },
}

/// What applying a command led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, with nothing to show.
    Applied,
    /// The resource as it is now.
    Stored {
        /// As stored.
        resource: Resource,
        /// False if it was so already.
        changed: bool,
    },
    /// The resource is gone.
    Deleted(ResourceKey),
    /// Compare-and-set lost against this.
    Conflict(Resource),
    /// Nothing was changed.
    Refused(ApiError),
    /// A change id was seen before; this was its first outcome.
    Resent(Box<Outcome>),
    /// One verdict for each claim.
    Claims(Vec<ClaimVerdict>),
}
