//! Commands of the replicated log and their outcomes.

use crate::claim::{ClaimRequest, ClaimSettlement, ClaimVerdict};
use crate::gateway::GatewayCommand;
use crate::tables::{Liveness, Tables};
use dockwood_api::ApiError;
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::{Resource, ResourceKey};
use serde::{Deserialize, Serialize};

/// One command, as a log entry carries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The proposer's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Content of the command.
    pub body: CommandBody,
}

/// Content of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// An operator's change of a resource.
    Change(ChangeRequest),
    /// A daemon joins, or rejoins after a restart. Found only in logs of earlier versions; replaced by
    /// [`CommandBody::UpdateDaemons`].
    JoinDaemon {
        /// The daemon's record.
        record: DaemonRecord,
        /// Distinguishes restarts.
        incarnation: u64,
    },
    /// A daemon's liveness changed. Found only in logs of earlier versions; replaced by
    /// [`CommandBody::UpdateDaemons`].
    SetLiveness {
        /// Daemon name.
        daemon: String,
        /// The incarnation that was observed; the command is refused at any other.
        incarnation: u64,
        /// The new liveness.
        liveness: Liveness,
    },
    /// Forms a replica from free machines.
    FormReplica {
        /// The deployment.
        deployment: String,
        /// Server names, head first; all in one domain.
        members: Vec<String>,
        /// Reason shown to operators.
        reason: String,
    },
    /// Moves a replica to a new epoch, with other members or with the deployment's current version and adapters.
    ReformReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was based on.
        epoch: u64,
        /// Server names, head first; new ones must be free.
        members: Vec<String>,
        /// Reason shown to operators.
        reason: String,
    },
    /// Stops new work on a replica.
    DrainReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was based on.
        epoch: u64,
        /// Reason shown to operators.
        reason: String,
    },
    /// Ends a replica and releases its machines.
    DissolveReplica {
        /// The replica.
        replica: String,
        /// The epoch that the decision was based on.
        epoch: u64,
        /// Reason shown to operators.
        reason: String,
    },
    /// A machine confirmed that it carried out its order.
    OrderDone {
        /// The machine.
        server: String,
        /// The order's fence.
        fence: u64,
    },
    /// Reissues a machine's last order under a higher fence, after the machine lost its state.
    RepeatOrder {
        /// The machine.
        server: String,
        /// The fence that the decision was based on.
        fence: u64,
    },
    /// Assigns a pool's coordinator and standby.
    AssignPool {
        /// The pool.
        pool: String,
        /// The daemon that grants slots.
        coordinator: Option<String>,
        /// The daemon that takes over if the coordinator fails.
        standby: Option<String>,
    },
    /// Assigns a replica's watcher.
    AssignWatcher {
        /// The replica.
        replica: String,
        /// The daemon that collects health evidence on the replica.
        watcher: Option<String>,
    },
    /// A change to the gateway's tables.
    Gateway(GatewayCommand),
    /// Claims on request ids, held by voters only.
    Claim(Vec<ClaimRequest>),
    /// Results of claimed requests.
    SettleClaims(Vec<ClaimSettlement>),
    /// Daemons join, or their liveness changes. A batch takes a single revision: after a power loss a thousand daemons
    /// change at once, and one revision for each would have to be sent to every daemon.
    UpdateDaemons(Vec<DaemonUpdate>),
}

/// A change to one daemon's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DaemonUpdate {
    /// The daemon joins, or rejoins after a restart.
    Joined {
        /// The daemon's record.
        record: DaemonRecord,
        /// Distinguishes restarts.
        incarnation: u64,
    },
    /// The daemon's liveness changed.
    Liveness {
        /// Daemon name.
        daemon: String,
        /// The incarnation that the daemon's row must have.
        incarnation: u64,
        /// The new liveness.
        liveness: Liveness,
    },
}

impl CommandBody {
    /// Whether the command takes a configuration revision and is sent to all daemons. Claims are not: only voters keep
    /// them.
    pub const fn is_configuration(&self) -> bool {
        !matches!(self, CommandBody::Claim(_) | CommandBody::SettleClaims(_))
    }
}

impl Command {
    /// The form in which a command that was just applied to `tables` is sent to daemons that are not voters; `None` if
    /// it changes nothing for them. They only route requests, so they need no rows of model engines, and groups only
    /// once these serve.
    pub fn for_non_voters(&self, tables: &Tables) -> Option<Command> {
        let body = match &self.body {
            CommandBody::Gateway(command) => CommandBody::Gateway(command.for_non_voters(&tables.gateway)?),
            other => other.clone(),
        };
        Some(Command { at_ms: self.at_ms, body })
    }
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator's change id; a resend carries the same.
    pub change_id: String,
    /// Digest of the requested content.
    pub content_digest: u64,
    /// The requested action.
    pub action: ChangeAction,
}

/// An action that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Creates a resource; refused if the name is taken.
    Create(Resource),
    /// Replaces labels and spec; `metadata.resource_version` is compared unless it is 0.
    Update(Resource),
    /// Creates the resource, or updates it if it exists.
    Apply(Resource),
    /// Deletes a resource.
    Delete {
        /// The resource.
        key: ResourceKey,
        /// Expected resource version; not compared if 0.
        resource_version: u64,
    },
}

/// The outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied; there is no content to return.
    Applied,
    /// The resource was created or updated.
    Stored {
        /// The resource as stored.
        resource: Resource,
        /// False if the resource already had this content.
        changed: bool,
    },
    /// The resource was deleted.
    Deleted(ResourceKey),
    /// Compare-and-set failed; this is the current resource.
    Conflict(Resource),
    /// The command was refused and changed nothing.
    Refused(ApiError),
    /// The change id was seen before; this is its original outcome.
    Resent(Box<Outcome>),
    /// One verdict for each claim.
    Claims(Vec<ClaimVerdict>),
}
