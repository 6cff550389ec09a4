//! The protocol of the model engines, as the platform publishes it: orders, health, generation, and what
//! became of a request. JSON over HTTP; generation streams one JSON object a line.
//!
//! A replica's machines act as one group. The first machine of the group, its *head*, takes requests and
//! answers for the group.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`GroupHealth`] (GET) on every machine.
pub const PATH_HEALTH: &str = "/engine/health";
/// Path that takes an [`EngineOrder`] (POST) on every machine.
pub const PATH_ORDERS: &str = "/engine/orders";
/// Header by which an engine or a plain server says that it did not run a request.
pub const HEADER_NOT_RUN: &str = "dockwood-not-run";
/// Header by which an engine or a plain server says that it is about to leave: `1`.
pub const HEADER_LEAVING: &str = "dockwood-leaving";
/// Set by a server to the requests a second that it takes from all senders together, for as long as it says so.
pub const HEADER_LIMIT: &str = "dockwood-limit";
/// Path that takes a [`GenerateRequest`] (POST) on a head and streams [`GenerateEvent`] lines.
pub const PATH_GENERATE: &str = "/engine/generate";
/// Path prefix of one request on a head: GET its [`RequestState`], POST `bar` to refuse it, DELETE to cancel.
pub const PATH_REQUESTS: &str = "/engine/requests";

/// The part of the model that a group runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode in one group.
    #[default]
    Unified,
    /// Prompt processing only; exports its KV cache.
    Prefill,
    /// Token generation only; imports a KV cache.
    Decode,
}

/// Where one machine of a group listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Server resource name.
    pub server: String,
    /// Engine address.
    pub address: SocketAddr,
}

/// What a loaded machine runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Replica resource name.
    pub replica: String,
    /// Epoch of the replica's membership.
    pub epoch: u64,
    /// Model resource name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters loaded beside the model.
    pub adapters: Vec<String>,
    /// Size of this machine's share of the weights, in MiB.
    pub weights_mib: u64,
    /// Role of the group.
    pub role: Role,
    /// The whole group, head first.
    pub members: Vec<Member>,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum OrderAction {
    /// Load weights and join the group.
    Load(LoadPlan),
    /// Drop the group and its weights' binding; the machine is free afterwards.
    Unload,
}

/// An identified, fenced order to one machine. A machine that checks fences refuses one below the highest
/// fence that it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifies the order over repeats.
    pub id: String,
    /// Grows with every order to the same machine.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
}

/// State of an order on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderProgress {
    /// Taken; weights are being fetched.
    Working,
    /// Carried out.
    Done,
    /// Refused: a higher fence was seen.
    Fenced,
}

/// Answer to an [`EngineOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// How far it is.
    pub progress: OrderProgress,
    /// The highest fence that the machine has seen.
    pub highest_fence: u64,
}

/// What one machine reports of itself, and a head of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GroupHealth {
    /// Replica that the machine is loaded for, if any.
    pub replica: Option<String>,
    /// Epoch of that replica; 0 when not loaded.
    pub epoch: u64,
    /// Loaded model version; empty when not loaded.
    pub version: String,
    /// True once the weights are in memory.
    pub loaded: bool,
    /// Names of the group's members that the head has not heard of within the engine's own time-out.
    pub missing: Vec<String>,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait within the engine.
    pub waiting: u32,
    /// KV blocks in use.
    pub blocks_used: u32,
    /// KV blocks in all.
    pub blocks_total: u32,
    /// The highest fence that the machine has seen.
    pub highest_fence: u64,
}

/// A request to a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GenerateRequest {
    /// Request id.
    pub id: String,
    /// The replica that the sender means.
    pub replica: String,
    /// The epoch that the sender means; a head that checks refuses another.
    pub epoch: u64,
    /// Prompt text.
    pub prompt: String,
    /// Adapter to run with, if any.
    pub adapter: Option<String>,
    /// At most this many tokens, counted from sequence 0.
    pub max_tokens: u32,
    /// Lower runs first within the engine.
    pub priority: u8,
    /// Sequence number of the first token to send; the text before it was generated elsewhere.
    pub resume_from: u32,
    /// False for requests that must not be started twice.
    pub repeatable: bool,
}

/// One line of a generation stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum GenerateEvent {
    /// The request is in the engine; prompt tokens and how many of them were cached.
    Started {
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Of them, found in the prefix cache.
        cached_tokens: u32,
    },
    /// One token.
    Token {
        /// Position in the answer, from 0.
        sequence: u32,
        /// Text to append.
        text: String,
    },
    /// The answer ended after `tokens` tokens.
    Finished {
        /// Tokens in the whole answer.
        tokens: u32,
    },
    /// The engine stopped the request, which had produced every sequence below `next_sequence`.
    Aborted {
        /// The first sequence that was not produced.
        next_sequence: u32,
        /// For people.
        reason: String,
    },
}

/// What an engine knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPhase {
    /// Never seen, and not barred.
    Unseen,
    /// Never seen, and will be refused.
    Barred,
    /// Queued or generating.
    Running,
    /// Ended with its whole answer.
    Finished,
    /// Ended early; will produce nothing more.
    Aborted,
}

/// Answer about a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RequestState {
    /// Where it stands.
    pub phase: RequestPhase,
    /// The first sequence that has not been produced.
    pub next_sequence: u32,
}

/// One row of the platform's lagging list of machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformMachine {
    /// Server name.
    pub server: String,
    /// The platform believes that it runs.
    pub live: bool,
    /// The platform means to take it away.
    pub leaving: bool,
}
