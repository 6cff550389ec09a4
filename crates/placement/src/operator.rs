//! Operators: decisions with their reasons.

use dockwood_api::event::Subject;
use dockwood_state::CommandBody;

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The command that carries it out.
    pub body: CommandBody,
    /// What it is about.
    pub subject: Subject,
    /// A short fixed word for the event.
    pub reason: &'static str,
    /// The account for people.
    pub message: String,
}

impl Operator {
    /// An operator on a replica.
    pub fn on_replica(name: &str, reason: &'static str, message: String, body: CommandBody) -> Self {
        Operator { body, subject: Subject::new("replica", name), reason, message }
    }

    /// An operator on a deployment.
    pub fn on_deployment(name: &str, reason: &'static str, message: String, body: CommandBody) -> Self {
        Operator { body, subject: Subject::new("deployment", name), reason, message }
    }
}
