//! The protocol of the model engines, as published by the platform: orders, health, generation, and the state
//! of requests. JSON over HTTP; generation streams one JSON object per line.
//!
//! The machines of a replica form one group. The first machine of the group is its *head*, which accepts
//! requests and responds on behalf of the group.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path on every machine at which GET returns its [`GroupHealth`].
pub const PATH_HEALTH: &str = "/engine/health";
/// Path on every machine to which an [`EngineOrder`] is POSTed.
pub const PATH_ORDERS: &str = "/engine/orders";
/// Response header with which an engine or a plain server states that it did not run the request.
pub const HEADER_NOT_RUN: &str = "dockwood-not-run";
/// Response header with which an engine or a plain server announces its shutdown: `1`.
pub const HEADER_LEAVING: &str = "dockwood-leaving";
/// Response header with which a server declares how many requests per second it accepts from all senders
/// combined. The limit applies for as long as responses carry it.
pub const HEADER_LIMIT: &str = "dockwood-limit";
/// Path on a head to which a [`GenerateRequest`] is POSTed; the response streams [`GenerateEvent`] lines.
pub const PATH_GENERATE: &str = "/engine/generate";
/// Path prefix of a request on a head: GET returns its [`RequestState`], POST `bar` makes the engine refuse it,
/// DELETE cancels it.
pub const PATH_REQUESTS: &str = "/engine/requests";

/// Phase of inference that a group performs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode in one group.
    #[default]
    Unified,
    /// Prompt processing only; exports the KV cache.
    Prefill,
    /// Token generation only; imports the KV cache.
    Decode,
}

/// A machine of a group, with its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Server resource name.
    pub server: String,
    /// Engine address.
    pub address: SocketAddr,
}

/// What a machine loads and runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Replica resource name.
    pub replica: String,
    /// Epoch of the replica, which changes with its members.
    pub epoch: u64,
    /// Model resource name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters to load in addition to the model.
    pub adapters: Vec<String>,
    /// Size of this machine's share of the weights, in MiB.
    pub weights_mib: u64,
    /// Role of the group.
    pub role: Role,
    /// All members of the group, head first.
    pub members: Vec<Member>,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum OrderAction {
    /// Load the weights and join the group.
    Load(LoadPlan),
    /// Leave the group and release its weights; the machine is free afterwards.
    Unload,
}

/// An order to one machine, with an id and a fencing token. A machine that checks fences rejects orders with
/// a fence below the highest one that it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Id of the order, the same when it is sent again.
    pub id: String,
    /// Increases with every order to the same machine.
    pub fence: u64,
    /// What the machine has to do.
    pub action: OrderAction,
}

/// Progress of an order on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderProgress {
    /// Accepted; the weights are being loaded.
    Working,
    /// Completed.
    Done,
    /// Rejected, because the machine has seen a higher fence.
    Fenced,
}

/// Response to an [`EngineOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Progress of the order.
    pub progress: OrderProgress,
    /// The highest fence that the machine has seen.
    pub highest_fence: u64,
}

/// Health of a machine and, if it is a head, of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GroupHealth {
    /// Replica for which the machine is loaded, if any.
    pub replica: Option<String>,
    /// Epoch of that replica; 0 if not loaded.
    pub epoch: u64,
    /// Loaded model version; empty if not loaded.
    pub version: String,
    /// Whether the weights are in memory.
    pub loaded: bool,
    /// Names of members that the head has not heard from within the engine's own timeout.
    pub missing: Vec<String>,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// KV blocks in use.
    pub blocks_used: u32,
    /// Total number of KV blocks.
    pub blocks_total: u32,
    /// The highest fence that the machine has seen.
    pub highest_fence: u64,
}

/// A generation request to a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GenerateRequest {
    /// Request id.
    pub id: String,
    /// The replica that the request is intended for.
    pub replica: String,
    /// The epoch that the request is intended for; a head that checks fences rejects any other.
    pub epoch: u64,
    /// Prompt text.
    pub prompt: String,
    /// Adapter to run with, if any.
    pub adapter: Option<String>,
    /// Maximum number of tokens, counted from sequence number 0.
    pub max_tokens: u32,
    /// Priority within the engine; lower values run first.
    pub priority: u8,
    /// Sequence number of the first token to send; earlier tokens were generated by another replica.
    pub resume_from: u32,
    /// Whether the request may be started more than once.
    pub repeatable: bool,
}

/// One line of a generation stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum GenerateEvent {
    /// The engine has accepted the request.
    Started {
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// One generated token.
    Token {
        /// Position in the response, from 0.
        sequence: u32,
        /// Text to append.
        text: String,
    },
    /// The response is complete.
    Finished {
        /// Tokens in the complete response.
        tokens: u32,
    },
    /// The engine aborted the request after it had generated all tokens before `next_sequence`.
    Aborted {
        /// Sequence number of the first token that was not generated.
        next_sequence: u32,
        /// Human-readable reason.
        reason: String,
    },
}

/// Phase of a request in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPhase {
    /// Unknown to the engine, and not barred.
    Unseen,
    /// Unknown to the engine, which will refuse it.
    Barred,
    /// Queued or generating.
    Running,
    /// Ended with a complete response.
    Finished,
    /// Ended early; generates no more tokens.
    Aborted,
}

/// State of a request in an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RequestState {
    /// Current phase.
    pub phase: RequestPhase,
    /// Sequence number of the first token that has not been generated.
    pub next_sequence: u32,
}

/// An entry of the platform's list of machines, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformMachine {
    /// Server name.
    pub server: String,
    /// Whether the platform considers the machine to be running.
    pub live: bool,
    /// Whether the platform is going to remove the machine.
    pub leaving: bool,
}
