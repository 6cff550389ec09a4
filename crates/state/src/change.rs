//! Operators' changes to resources: compare-and-set on the resource version, and change ids that make resends
//! idempotent.

use crate::command::{ChangeAction, ChangeRequest, Outcome};
use crate::machine::{Applied, State};
use crate::tables::Tables;
use dockwood_api::resource::{Resource, ResourceKey};
use dockwood_api::{ApiError, ResultCode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of change ids that are retained: more than two days' worth at the design load of 4,600 changes a day.
pub const CHANGE_RETENTION: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordedOutcome {
    content_digest: u64,
    outcome: Outcome,
}

/// Outcomes by change id; the oldest are evicted first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeTable {
    answers: BTreeMap<String, RecordedOutcome>,
    order: VecDeque<String>,
}

impl ChangeTable {
    /// The outcome for a change id that was seen before: the recorded one, or a refusal if the content differs.
    pub fn recorded_outcome(&self, request: &ChangeRequest) -> Option<Outcome> {
        let recorded = self.answers.get(&request.change_id)?;
        if recorded.content_digest != request.content_digest {
            let message = format!("change id '{}' was used for another change", request.change_id);
            return Some(Outcome::Refused(ApiError::new(ResultCode::ChangeIdReused, message)));
        }
        Some(Outcome::Resent(Box::new(recorded.outcome.clone())))
    }

    fn record(&mut self, request: &ChangeRequest, outcome: &Outcome) {
        let recorded = RecordedOutcome { content_digest: request.content_digest, outcome: outcome.clone() };
        self.answers.insert(request.change_id.clone(), recorded);
        self.order.push_back(request.change_id.clone());
        if self.order.len() > CHANGE_RETENTION
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

impl State {
    pub(crate) fn apply_change(&mut self, request: &ChangeRequest) -> Applied {
        if let Some(outcome) = self.changes.recorded_outcome(request) {
            return Applied::outcome(outcome);
        }
        let applied = match &request.action {
            ChangeAction::Create(resource) => self.tables.create(resource),
            ChangeAction::Update(resource) => self.tables.update(resource),
            ChangeAction::Apply(resource) if self.tables.resources.contains_key(&resource.key()) => {
                self.tables.update(resource)
            }
            ChangeAction::Apply(resource) => self.tables.create(resource),
            ChangeAction::Delete { key, resource_version } => self.tables.delete(key, *resource_version),
        };
        self.changes.record(request, &applied.outcome);
        applied
    }
}

impl Tables {
    fn create(&mut self, requested: &Resource) -> Applied {
        let key = requested.key();
        if self.resources.contains_key(&key) {
            return Applied::refused(ResultCode::AlreadyExists, format!("{key} exists"));
        }
        if requested.metadata.resource_version != 0 {
            let message =
                format!("{key} does not exist at resourceVersion {}", requested.metadata.resource_version);
            return Applied::refused(ResultCode::NotFound, message);
        }
        if let Err(error) = self.check_references(requested) {
            return Applied::outcome(Outcome::Refused(error));
        }
        let mut resource = requested.clone();
        resource.metadata.uid = format!("{:012x}", self.revision);
        resource.metadata.resource_version = self.revision;
        resource.metadata.generation = 1;
        resource.metadata.created_ms = self.now_ms;
        self.store(resource)
    }

    fn update(&mut self, requested: &Resource) -> Applied {
        let key = requested.key();
        let Some(current) = self.resources.get(&key) else {
            return Applied::refused(ResultCode::NotFound, format!("{key} does not exist"));
        };
        let expected = requested.metadata.resource_version;
        if expected != 0 && expected != current.metadata.resource_version {
            return Applied::outcome(Outcome::Conflict(Resource::clone(current)));
        }
        let spec_changed = current.spec != requested.spec;
        if !spec_changed && current.metadata.labels == requested.metadata.labels {
            let resource = Resource::clone(current);
            return Applied::outcome(Outcome::Stored { resource, changed: false });
        }
        let mut resource = Resource { metadata: current.metadata.clone(), spec: requested.spec.clone() };
        if let Err(error) = self.check_references(&resource) {
            return Applied::outcome(Outcome::Refused(error));
        }
        resource.metadata.labels = requested.metadata.labels.clone();
        resource.metadata.resource_version = self.revision;
        resource.metadata.generation += u64::from(spec_changed);
        self.store(resource)
    }

    fn store(&mut self, resource: Resource) -> Applied {
        let key = resource.key();
        self.resources.insert(key.clone(), Arc::new(resource.clone()));
        Applied { outcome: Outcome::Stored { resource, changed: true }, changed_keys: vec![key] }
    }

    fn delete(&mut self, key: &ResourceKey, resource_version: u64) -> Applied {
        let Some(current) = self.resources.get(key) else {
            return Applied::refused(ResultCode::NotFound, format!("{key} does not exist"));
        };
        if resource_version != 0 && resource_version != current.metadata.resource_version {
            return Applied::outcome(Outcome::Conflict(Resource::clone(current)));
        }
        let dependants = self.dependants_of(key);
        if !dependants.is_empty() {
            let message = format!("{key} is used by {}", dependants.join(", "));
            return Applied::refused(ResultCode::HasDependants, message);
        }
        self.resources.remove(key);
        self.remove_order(key);
        Applied { outcome: Outcome::Deleted(key.clone()), changed_keys: vec![key.clone()] }
    }
}
