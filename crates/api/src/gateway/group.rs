//! Orders to servers that form groups.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an order asks of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupCommand {
    /// Load the model as a member of a group.
    Join {
        /// Model name.
        model: String,
        /// Instance ids, head first.
        members: Vec<String>,
    },
    /// Load a model's weights into the host's memory, beside whatever the server does.
    Stage {
        /// Model name.
        model: String,
    },
    /// To the head: begin to serve.
    Open,
    /// To a member: leave the group, which then stands still.
    Leave,
    /// To the head: stop serving.
    Close {
        /// Cut running requests off instead of finishing them.
        truncate: bool,
    },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupOrder {
    /// Instance that it goes to.
    pub instance: String,
    /// Its address.
    pub address: SocketAddr,
    /// Group name.
    pub group: String,
    /// Group epoch.
    pub epoch: u64,
    /// Grows with the control leader's term; servers refuse a lower one than they have seen.
    pub fence: u64,
    /// What it asks for.
    pub command: GroupCommand,
}

/// What came of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// It holds already.
    Holds,
    /// It does not fit the server's state.
    Unfit,
    /// A higher fence or epoch has been seen there.
    Fenced,
    /// The server is not the one that was meant, or knows no such order.
    Refused,
    /// Nothing listens at the address.
    Unreachable,
    /// No answer: it may have been taken, or may be later.
    Silent,
}
