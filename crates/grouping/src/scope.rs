//! Assigns the requests of one scope: the groups of one model in one zone. In a large fleet no one place can see each
//! request, so each scope has a dispatcher of its own, on a daemon near its groups.
//!
//! A dispatcher's word is advice: entries that get none choose by their own figures, and no promise rests on it. What it
//! knows is gathered anew from the entries' reports wherever it runs next.

use crate::{ColdLimit, Dispatcher, Millis, Observations};
use dockwood_api::gateway::{
    DispatchScope, EventPace, GroupLoad, LoadDigest, LoadReport, ModelLoad, PlaceReply, PlaceRequest,
};
use dockwood_state::GatewayTables;
use std::collections::BTreeMap;

/// What entries told of a group since the leader was last told.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    silent: bool,
    refuses: bool,
    progressed: bool,
    pace: EventPace,
}

/// One scope's requests.
#[derive(Clone, Debug)]
pub struct ScopeDispatch {
    scope: DispatchScope,
    observations: Observations,
    dispatcher: Dispatcher,
    evidence: BTreeMap<u64, Evidence>,
    models: BTreeMap<(String, String), ModelLoad>,
    is_urgent: bool,
}

impl ScopeDispatch {
    /// A scope that nothing is known of yet.
    pub fn new(scope: DispatchScope) -> Self {
        ScopeDispatch {
            scope,
            observations: Observations::default(),
            dispatcher: Dispatcher::default(),
            evidence: BTreeMap::new(),
            models: BTreeMap::new(),
            is_urgent: false,
        }
    }

    /// The same, where the rate that cold heads declare may be exceeded by so much.
    pub fn with_cold_limit(mut self, limit: ColdLimit) -> Self {
        self.dispatcher.limit_cold_heads(limit);
        self
    }

    /// Takes an entry's report, and tells it the others' load. `is_witness` is false for an entry whose word on silent
    /// groups doesn't count, as its network is that of a member of the control group.
    pub fn exchange(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        for load in &report.groups {
            let evidence = self.evidence.entry(load.epoch).or_default();
            let stands_still = is_witness && (load.silent || load.refuses);
            self.is_urgent |= stands_still && !evidence.silent;
            evidence.silent |= is_witness && load.silent;
            evidence.refuses |= is_witness && load.refuses;
            evidence.progressed |= load.progressed;
            evidence.pace.add(load.pace);
        }
        report.models.iter().for_each(|load| self.count(load));
        self.dispatcher.reported(now, &report.daemon);
        self.observations.exchange(now, report, is_witness)
    }

    fn count(&mut self, load: &ModelLoad) {
        let key = (load.service.clone(), load.model.clone());
        self.models.entry(key).and_modify(|sum| sum.add(load)).or_insert_with(|| load.clone());
    }

    /// Assigns a request to a group.
    pub fn assign(&mut self, now: Millis, tables: &GatewayTables, request: &PlaceRequest) -> PlaceReply {
        self.observations.forget_old_loads(now);
        self.dispatcher.assign(now, request, tables, &self.observations)
    }

    /// Whether the leader should be told at once: a group has been found to stand still.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// What the leader is to be told of the scope now, in the name of `daemon`.
    pub fn summary(&mut self, now: Millis, daemon: &str, tables: &GatewayTables) -> LoadReport {
        self.is_urgent = false;
        self.observations.retain(tables);
        self.dispatcher.retain(|epoch| tables.groups.contains_key(&epoch));
        self.dispatcher.observe_heads(now, tables);
        let mut evidence = std::mem::take(&mut self.evidence);
        let held = self.observations.held_groups(now);
        for epoch in self.observations.busy_groups().chain(held.keys().copied()) {
            evidence.entry(epoch).or_default();
        }
        let load = |(epoch, evidence): (u64, Evidence)| GroupLoad {
            epoch,
            in_flight: self.observations.in_flight(epoch),
            silent: evidence.silent,
            refuses: evidence.refuses,
            progressed: evidence.progressed,
            pace: evidence.pace,
            held_for_ms: held.get(&epoch).copied().unwrap_or(0),
        };
        LoadReport {
            daemon: daemon.to_string(),
            scope: Some(self.scope.clone()),
            groups: evidence.into_iter().map(load).collect(),
            models: std::mem::take(&mut self.models).into_values().collect(),
        }
    }

    /// Takes the leader's word on the scope's groups.
    pub fn take_digest(&mut self, now: Millis, digest: &LoadDigest) {
        for shared in digest.groups.iter().filter(|shared| shared.suspected) {
            self.observations.note_silent(now, shared.epoch);
        }
    }
}
