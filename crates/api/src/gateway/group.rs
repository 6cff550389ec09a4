//! Orders to servers of groups.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Command of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupCommand {
    /// Load a model as a member of a group.
    Join {
        /// Model name.
        model: String,
        /// Instance ids, head first.
        members: Vec<String>,
    },
    /// Load a model's weights into the host's memory, while the server continues its other work.
    Stage {
        /// Model name.
        model: String,
    },
    /// To the head: start to serve.
    Open,
    /// To a member: leave the group, which then stops working.
    Leave,
    /// To the head: stop serving.
    Close {
        /// Abort running requests instead of finishing them.
        truncate: bool,
    },
}

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupOrder {
    /// Id of the target instance.
    pub instance: String,
    /// Address of the target instance.
    pub address: SocketAddr,
    /// Group name.
    pub group: String,
    /// Group epoch.
    pub epoch: u64,
    /// Fencing token, which increases with the control leader's term; servers reject a lower one than they have seen.
    pub fence: u64,
    /// The command.
    pub command: GroupCommand,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The server has started to execute it.
    Begun,
    /// The server is already in the requested state.
    Holds,
    /// The order conflicts with the state of the server.
    Unfit,
    /// The server has seen a higher fence or epoch.
    Fenced,
    /// The server is not the target instance, or doesn't know this kind of order.
    Refused,
    /// No process listens at the address.
    Unreachable,
    /// No response was received, or one that says nothing about the order: it may have been accepted, or may still be.
    Silent,
    /// The order was not sent, as another daemon may lead by now.
    NotSent,
}
