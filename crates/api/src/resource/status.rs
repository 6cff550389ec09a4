//! Status: what dockwood reports of a resource. Computed when read, never stored.

use serde::{Deserialize, Serialize};

/// One aspect of a resource's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Condition {
    /// The aspect, such as `Serving`.
    #[serde(rename = "type")]
    pub aspect: String,
    /// Whether it holds.
    pub status: bool,
    /// A short fixed word.
    pub reason: String,
    /// Details for people.
    pub message: String,
}

impl Condition {
    /// A condition from its parts.
    pub fn new(aspect: &str, status: bool, reason: &str, message: impl Into<String>) -> Self {
        Condition { aspect: aspect.into(), status, reason: reason.into(), message: message.into() }
    }
}

/// Status of a resource.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Status {
    /// The generation that the rest speaks of.
    pub observed_generation: u64,
    /// Every daemon has applied the resource's last change, or holds no lease.
    pub in_force: bool,
    /// Aspects, in a fixed order.
    pub conditions: Vec<Condition>,
    /// Fields of the kind: replicas serving, members, and the like.
    #[serde(skip_serializing_if = "serde_json::Value::is_null")]
    pub detail: serde_json::Value,
}
