//! Status of resources, as reported by dockwood. Computed on every read, never stored.

use serde::{Deserialize, Serialize};

/// A condition: one aspect of the state of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Condition {
    /// The aspect, such as `Serving`.
    #[serde(rename = "type")]
    pub aspect: String,
    /// Whether the condition is met.
    pub status: bool,
    /// Reason, as a fixed identifier.
    pub reason: String,
    /// Human-readable details.
    pub message: String,
}

impl Condition {
    /// Creates a condition from its parts.
    pub fn new(aspect: &str, status: bool, reason: &str, message: impl Into<String>) -> Self {
        Condition { aspect: aspect.into(), status, reason: reason.into(), message: message.into() }
    }
}

/// Status of a resource.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Status {
    /// The generation of the spec that the status refers to.
    pub observed_generation: u64,
    /// Whether every daemon has applied the last change of the resource, or holds no lease.
    pub in_force: bool,
    /// Conditions, in a fixed order.
    pub conditions: Vec<Condition>,
    /// Fields specific to the kind, such as serving replicas or members.
    #[serde(skip_serializing_if = "serde_json::Value::is_null")]
    pub detail: serde_json::Value,
}
