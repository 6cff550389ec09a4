//! Simulated operators: each change is sent until it is answered, under one change id, through any daemon.

use crate::world::{World, domain_of, machine_address};
use dockwood_api::digest::content_digest;
use dockwood_api::resource::{Metadata, Resource, Spec, spec_from_json};
use dockwood_state::{ChangeAction, ChangeRequest, Command, CommandBody, Outcome, encode_command};
use serde_json::{Value, json};

/// One change and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub request: ChangeRequest,
    /// The attempt whose answer is awaited.
    pub attempt: u64,
    /// The first definite answer.
    pub answer: Option<Outcome>,
    /// Where to send next.
    pub target: Option<usize>,
    /// Answers are lost until this time.
    pub deaf_until: u64,
}

impl Change {
    pub fn new(change_id: String, action: ChangeAction) -> Self {
        let digest = content_digest(format!("{action:?}").as_bytes());
        let request = ChangeRequest { change_id, content_digest: digest, action };
        Change { request, attempt: 0, answer: None, target: None, deaf_until: 0 }
    }

    pub fn encoded(&self, at_ms: u64) -> Vec<u8> {
        encode_command(&Command { at_ms, body: CommandBody::Change(self.request.clone()) })
    }
}

/// The outcome that a resend repeats.
pub(crate) fn first_outcome(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Resent(first) => *first,
        other => other,
    }
}

/// A resource of a kind, or `None` if the spec is not one.
pub(crate) fn resource(kind: &str, name: &str, resource_version: u64, spec: Value) -> Option<Resource> {
    let spec: Spec = spec_from_json(kind.parse().ok()?, spec).ok()?;
    let metadata = Metadata { name: name.to_string(), resource_version, ..Metadata::default() };
    Some(Resource { metadata, spec })
}

/// Has an operator apply a resource under a change id.
pub(crate) fn apply(world: &mut World, id: &str, kind: &str, name: &str, spec: Value) {
    if let Some(resource) = resource(kind, name, 0, spec) {
        world.submit(Change::new(id.to_string(), ChangeAction::Apply(resource)));
    }
}

/// The spec of a machine's server resource.
pub(crate) fn server_spec(index: usize, drain: bool, checks_fences: bool) -> Value {
    json!({
        "address": machine_address(index).to_string(), "domain": format!("domain-{}", domain_of(index)),
        "zone": format!("zone-{}", domain_of(index)), "checksFences": checks_fences, "drain": drain,
    })
}
