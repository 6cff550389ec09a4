//! Simulated operators: each change is sent under one change id, through any voter, until it is answered.

use crate::world::{World, domain_of, machine_address};
use dockwood_api::digest::content_digest;
use dockwood_api::resource::{Metadata, Resource, Spec, spec_from_json};
use dockwood_state::{ChangeAction, ChangeRequest, Command, CommandBody, Outcome, encode_command};
use serde_json::{Value, json};

/// A change and its progress.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub request: ChangeRequest,
    /// Number of the latest attempt.
    pub attempt: u64,
    /// The first definite answer.
    pub answer: Option<Outcome>,
    /// The daemon to which the next attempt is sent; a random voter if `None`.
    pub target: Option<usize>,
    /// Answers that arrive before this time are lost.
    pub loses_answers_until: u64,
}

impl Change {
    pub fn new(change_id: String, action: ChangeAction) -> Self {
        let digest = content_digest(format!("{action:?}").as_bytes());
        let request = ChangeRequest { change_id, content_digest: digest, action };
        Change { request, attempt: 0, answer: None, target: None, loses_answers_until: 0 }
    }

    pub fn encoded(&self, at_ms: u64) -> Vec<u8> {
        encode_command(&Command { at_ms, body: CommandBody::Change(self.request.clone()) })
    }
}

/// Returns the original outcome if the outcome answers a resend.
pub(crate) fn first_outcome(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Resent(first) => *first,
        other => other,
    }
}

/// Creates a resource; `None` if the kind or the spec is invalid.
pub(crate) fn resource(kind: &str, name: &str, resource_version: u64, spec: Value) -> Option<Resource> {
    let spec: Spec = spec_from_json(kind.parse().ok()?, spec).ok()?;
    let metadata = Metadata { name: name.to_string(), resource_version, ..Metadata::default() };
    Some(Resource { metadata, spec })
}

/// Submits an operator's change that applies a resource.
pub(crate) fn apply(world: &mut World, id: &str, kind: &str, name: &str, spec: Value) {
    if let Some(resource) = resource(kind, name, 0, spec) {
        world.submit(Change::new(id.to_string(), ChangeAction::Apply(resource)));
    }
}

/// Returns the spec of a machine's server resource.
pub(crate) fn server_spec(index: usize, drain: bool, checks_fences: bool) -> Value {
    json!({
        "address": machine_address(index).to_string(), "domain": format!("domain-{}", domain_of(index)),
        "zone": format!("zone-{}", domain_of(index)), "checksFences": checks_fences, "drain": drain,
    })
}
