//! Operators: placement decisions with their reasons.

use dockwood_api::event::Subject;
use dockwood_state::CommandBody;

/// A placement decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The command that implements the decision.
    pub body: CommandBody,
    /// The resource that the event is about.
    pub subject: Subject,
    /// Reason of the event, from a fixed set of words.
    pub reason: &'static str,
    /// Human-readable explanation.
    pub message: String,
}

impl Operator {
    /// Creates an operator for a replica.
    pub fn on_replica(name: &str, reason: &'static str, message: String, body: CommandBody) -> Self {
        Operator { body, subject: Subject::new("replica", name), reason, message }
    }

    /// Creates an operator for a deployment.
    pub fn on_deployment(name: &str, reason: &'static str, message: String, body: CommandBody) -> Self {
        Operator { body, subject: Subject::new("deployment", name), reason, message }
    }
}
