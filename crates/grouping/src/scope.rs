//! Assigns the requests of one scope: the groups of one model in one zone. In a large fleet no single
//! dispatcher can process every request, so each scope has its own dispatcher on a daemon near its groups.
//!
//! A dispatcher's replies are advisory: entries that get no reply choose by their own figures, and no
//! guarantee depends on a reply. Its state is rebuilt from the entries' reports wherever the dispatcher runs
//! next.

use crate::{ColdLimit, Dispatcher, Millis, Observations};
use dockwood_api::gateway::{
    DispatchScope, EventPace, GroupLoad, LoadDigest, LoadReport, ModelLoad, PlaceReply, PlaceRequest,
};
use dockwood_state::GatewayTables;
use std::collections::BTreeMap;

/// What entries reported on a group since the last summary to the leader.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    silent: bool,
    refuses: bool,
    progressed: bool,
    pace: EventPace,
}

/// The dispatcher of one scope.
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
    /// Creates a dispatcher without any observations.
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

    /// Sets by how much the declared rate of cold heads may be exceeded. `started_at` is when this process
    /// started.
    pub fn with_cold_limit(mut self, limit: ColdLimit, started_at: Millis) -> Self {
        self.dispatcher.limit_cold_heads(limit, started_at);
        self
    }

    /// Records an entry's report, and returns the load of the other entries. `is_witness` is false for an
    /// entry whose reports of stalled groups don't count, because it shares its network with a member of the
    /// control group.
    pub fn exchange(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        for load in &report.groups {
            let evidence = self.evidence.entry(load.epoch).or_default();
            let is_stalled = is_witness && (load.silent || load.refuses);
            self.is_urgent |= is_stalled && !evidence.silent;
            evidence.silent |= is_witness && load.silent;
            evidence.refuses |= is_witness && load.refuses;
            evidence.progressed |= load.progressed;
            evidence.pace.add(load.pace);
        }
        report.models.iter().for_each(|load| self.add_model_load(load));
        self.dispatcher.reported(now, &report.daemon);
        self.observations.exchange(now, report, is_witness)
    }

    fn add_model_load(&mut self, load: &ModelLoad) {
        let key = (load.service.clone(), load.model.clone());
        self.models.entry(key).and_modify(|sum| sum.add(load)).or_insert_with(|| load.clone());
    }

    /// Assigns a request to a group.
    pub fn assign(&mut self, now: Millis, tables: &GatewayTables, request: &PlaceRequest) -> PlaceReply {
        self.observations.expire_loads(now);
        self.dispatcher.assign(now, request, tables, &self.observations)
    }

    /// Whether the leader should be notified at once, because a group was found to be stalled.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// The scope's report to the leader, in the name of `daemon`.
    pub fn summary(&mut self, now: Millis, daemon: &str, tables: &GatewayTables) -> LoadReport {
        self.is_urgent = false;
        self.observations.retain(tables);
        self.dispatcher.retain(|epoch| tables.groups.contains_key(&epoch));
        self.dispatcher.observe_heads(now, tables);
        let mut evidence = std::mem::take(&mut self.evidence);
        let held_back = self.observations.held_back_groups(now);
        for epoch in self.observations.busy_groups().chain(held_back.keys().copied()) {
            evidence.entry(epoch).or_default();
        }
        let load = |(epoch, evidence): (u64, Evidence)| GroupLoad {
            epoch,
            in_flight: self.observations.in_flight(epoch),
            silent: evidence.silent,
            refuses: evidence.refuses,
            progressed: evidence.progressed,
            pace: evidence.pace,
            held_for_ms: held_back.get(&epoch).copied().unwrap_or(0),
        };
        LoadReport {
            daemon: daemon.to_string(),
            scope: Some(self.scope.clone()),
            groups: evidence.into_iter().map(load).collect(),
            models: std::mem::take(&mut self.models).into_values().collect(),
        }
    }

    /// Applies the leader's digest on the scope's groups.
    pub fn take_digest(&mut self, now: Millis, digest: &LoadDigest) {
        for shared in digest.groups.iter().filter(|shared| shared.suspected) {
            self.observations.note_stalled(now, shared.epoch);
        }
    }
}
