//! Chooses which hosts stage the weights of which models before they are needed: a server with staged weights
//! joins a group in about a second, one without them takes ten times as long.

use crate::domains::{Domain, Server, has_staged, is_usable, planned_server, staged_models};
use crate::packing::Packing;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::{GroupPhase, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A load counts as in progress for at most this many times its declared duration.
pub(crate) const LOAD_TIMEOUT_FACTOR: Millis = 2;

/// A load of weights onto a host.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ActiveLoad {
    model: String,
    /// Expected end according to the declared duration.
    expected_at: Millis,
    /// Latest time at which the load may still be in progress.
    expires_at: Millis,
}

/// Weights that are being staged, by instance.
#[derive(Clone, Debug, Default)]
pub struct StagingInProgress {
    by_instance: BTreeMap<String, ActiveLoad>,
}

impl StagingInProgress {
    /// Records that a load was ordered.
    pub(crate) fn begin(&mut self, now: Millis, request: &StagingRequest) {
        let load = ActiveLoad {
            model: request.model.clone(),
            expected_at: now + request.load_ms,
            expires_at: now + request.load_ms * LOAD_TIMEOUT_FACTOR,
        };
        self.by_instance.insert(request.instance.clone(), load);
    }

    /// Removes loads that have ended or whose servers are missing.
    pub(crate) fn refresh(&mut self, view: &View<'_>) {
        self.by_instance.retain(|instance, load| {
            let is_present = view.observations.is_present(view.now, instance);
            view.now < load.expires_at && is_present && !has_staged(view, instance, &load.model)
        });
    }

    /// Whether a host is loading weights.
    pub(crate) fn is_loading(&self, instance: &str) -> bool {
        self.by_instance.contains_key(instance)
    }

    /// Remaining time of the load of a model onto a host, if one is in progress.
    pub(crate) fn remaining_ms(&self, now: Millis, instance: &str, model: &str) -> Option<Millis> {
        let load = self.by_instance.get(instance).filter(|load| load.model == model)?;
        Some(load.expected_at.saturating_sub(now))
    }

    /// Number of loads in progress.
    pub(crate) fn count(&self) -> u32 {
        self.by_instance.len() as u32
    }
}

/// The purpose of a load, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StagingPriority {
    /// A planned group waits for the load.
    RequiredByGroup,
    /// A free server has no model that it could serve soon.
    SpareServer,
    /// A server would be able to serve an additional model.
    AdditionalModel,
}

/// A request that a server stage a model.
#[derive(Clone, Debug, PartialEq)]
pub struct StagingRequest {
    /// Instance id.
    pub instance: String,
    /// Model name.
    pub model: String,
    /// Purpose of the load, which determines its priority.
    pub priority: StagingPriority,
    /// Declared duration of the load.
    pub load_ms: Millis,
    /// Loads that the weight store allows to start per second.
    pub loads_per_second: f64,
    /// Concurrent loads beyond which each takes longer.
    pub loads_at_once: u32,
}

/// A free server that should load a model into memory, so that its host can stage another one.
#[derive(Clone, Debug)]
pub(crate) struct Preload<'a> {
    pub instance: &'a str,
    /// Position of the model in the profile.
    pub model: usize,
}

/// Loads that the servers of one domain should perform ahead of need.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preparations<'a> {
    pub preloads: Vec<Preload<'a>>,
    pub staging: Vec<StagingRequest>,
}

/// The models that the servers of one domain should preload and stage, given the groups that are planned
/// there.
pub(crate) fn prepare_servers<'a>(
    view: &View<'_>,
    engine: &EngineProfile,
    staging: &StagingInProgress,
    domain: &Domain<'_>,
    packing: &Packing<'a>,
) -> Preparations<'a> {
    let staging_request = |server: &Server<'_>, model: &ModelProfile, priority| StagingRequest {
        instance: server.id.to_string(),
        model: model.name.clone(),
        priority,
        load_ms: model.load_ms,
        loads_per_second: engine.loads_per_second,
        loads_at_once: engine.loads_at_once,
    };
    let mut preloads = Vec::new();
    let mut staging_requests = Vec::new();
    // Before the first request, members load weights when they join.
    for group in packing.groups.iter().filter(|_| view.tables.requests_seen) {
        let unloaded = group
            .members
            .iter()
            .filter(|server| !server.is_loaded[group.model] && !staging.is_loading(server.id));
        staging_requests.extend(unloaded.map(|server| {
            staging_request(server, &engine.models[group.model], StagingPriority::RequiredByGroup)
        }));
    }
    let mut coverage = SpareCoverage::new(engine, domain, packing);
    let is_idle = |server: &&Server<'a>| server.is_free && !staging.is_loading(server.id);
    for server in packing.unassigned.iter().filter(is_idle) {
        if let Some(model) = model_to_preload(view, engine, server) {
            preloads.push(Preload { instance: server.id, model });
            coverage.spares[model] += u32::from(!server.is_loaded[model]);
            continue;
        }
        if let Some(model) = coverage.least_covered_model(server).filter(|_| server.can_stage) {
            let priority = if server.is_loaded.contains(&true) {
                StagingPriority::AdditionalModel
            } else {
                StagingPriority::SpareServer
            };
            staging_requests.push(staging_request(server, &engine.models[model], priority));
            coverage.spares[model] += 1;
        }
    }
    let mut hosts = StagedHosts::new(view, engine, domain);
    for server in open_group_members(view, engine, staging, domain).filter(|server| server.can_stage) {
        let may_stage = |model: &usize| hosts.may_replace(view, engine, server.id, *model);
        if let Some(model) = coverage.least_covered_model(&server).filter(may_stage) {
            hosts.note_replaced(view, engine, server.id);
            staging_requests.push(staging_request(
                &server,
                &engine.models[model],
                StagingPriority::AdditionalModel,
            ));
        }
    }
    Preparations { preloads, staging: staging_requests }
}

/// The model that a free server should preload as the only member of a group. Normally this is the model that
/// its host has staged: loading it takes a second or two, and frees the host to stage another model. Before
/// the first request it may be any model, as loads are short then.
fn model_to_preload(view: &View<'_>, engine: &EngineProfile, server: &Server<'_>) -> Option<usize> {
    let has_several_models = engine.models.len() > 1;
    if !has_several_models || view.tables.last_model(server.id).is_some() {
        return None;
    }
    let staged = server.is_loaded.iter().position(|loaded| *loaded);
    // Larger groups are lost more often and are harder to complete, so their members must be replaced
    // fastest.
    let largest = || (0..engine.models.len()).max_by_key(|model| engine.models[*model].size);
    staged.or_else(|| largest().filter(|_| !view.tables.requests_seen))
}

/// Members of the open groups of a domain, those of the smallest groups first. They stage the larger models,
/// and members of larger groups can then stage the smaller ones.
fn open_group_members<'a>(
    view: &'a View<'a>,
    engine: &'a EngineProfile,
    staging: &'a StagingInProgress,
    domain: &'a Domain<'a>,
) -> impl Iterator<Item = Server<'a>> {
    let mut open: Vec<&Arc<GroupRow>> =
        domain.groups.iter().copied().filter(|group| group.phase == GroupPhase::Open).collect();
    open.sort_by_key(|group| group.members.len());
    let is_usable = |id: &str| view.tables.instances.get(id).is_some_and(|row| is_usable(view, row));
    let members = open.into_iter().flat_map(|group| group.members.iter());
    members.filter(move |id| is_usable(id)).map(|id| planned_server(view, engine, staging, id))
}

/// Number of hosts of a domain that have staged each model. Staged weights survive a restart of the server,
/// whereas the server loses the model that it had loaded. When a whole domain restarts, its larger groups,
/// which are the hardest to complete, should find as many hosts with their weights as they have members.
struct StagedHosts {
    /// Number of hosts that have staged each model.
    staged: Vec<usize>,
    /// Number of members in the groups of each model.
    members: Vec<usize>,
}

impl StagedHosts {
    fn new(view: &View<'_>, engine: &EngineProfile, domain: &Domain<'_>) -> StagedHosts {
        let in_groups = domain.groups.iter().flat_map(|group| &group.members).map(String::as_str);
        let ids: Vec<&str> = domain.free.iter().map(|server| server.id).chain(in_groups).collect();
        let staged = |model: &ModelProfile| ids.iter().filter(|id| has_staged(view, id, &model.name)).count();
        let members = |model: &ModelProfile| {
            let groups = domain.groups.iter().filter(|group| group.model == model.name);
            groups.map(|group| group.members.len()).sum()
        };
        StagedHosts {
            staged: engine.models.iter().map(staged).collect(),
            members: engine.models.iter().map(members).collect(),
        }
    }

    /// Whether `model` may replace what a host has staged, without removing weights that the groups of a
    /// larger model would need.
    fn may_replace(&self, view: &View<'_>, engine: &EngineProfile, id: &str, model: usize) -> bool {
        models_to_evict(view, engine, id).into_iter().all(|evicted| {
            let is_larger = engine.models[evicted].size > engine.models[model].size;
            !is_larger || self.staged[evicted] > self.members[evicted]
        })
    }

    /// Records that what a host has staged is replaced.
    fn note_replaced(&mut self, view: &View<'_>, engine: &EngineProfile, id: &str) {
        for evicted in models_to_evict(view, engine, id) {
            self.staged[evicted] = self.staged[evicted].saturating_sub(1);
        }
    }
}

/// Positions of the models that a host would evict to stage a further one.
fn models_to_evict(view: &View<'_>, engine: &EngineProfile, id: &str) -> Vec<usize> {
    let has_room = staged_models(view, id).len() < engine.staged_models as usize;
    let is_evicted = |model: &usize| !has_room && has_staged(view, id, &engine.models[*model].name);
    (0..engine.models.len()).filter(is_evicted).collect()
}

/// How well the models of a domain are covered by spare servers that could replace a lost member.
struct SpareCoverage {
    /// Number of servers in groups of each model, each of which may be lost.
    at_risk: Vec<u32>,
    /// Number of free servers that could replace a member without a load.
    spares: Vec<u32>,
}

impl SpareCoverage {
    fn new(engine: &EngineProfile, domain: &Domain<'_>, packing: &Packing<'_>) -> SpareCoverage {
        let at_risk = |(position, model): (usize, &ModelProfile)| {
            let groups = domain.groups.iter().filter(|group| group.model == model.name);
            let planned = packing.groups.iter().filter(|group| group.model == position);
            groups.map(|group| group.members.len() as u32).sum::<u32>() + planned.count() as u32 * model.size
        };
        let spares = |position: usize| {
            packing.unassigned.iter().filter(|server| server.is_loaded[position]).count() as u32
        };
        SpareCoverage {
            at_risk: engine.models.iter().enumerate().map(at_risk).collect(),
            spares: (0..engine.models.len()).map(spares).collect(),
        }
    }

    /// The model with the most members per spare server, among those that the server can't serve without a
    /// load.
    fn least_covered_model(&self, server: &Server<'_>) -> Option<usize> {
        let unloaded = (0..self.at_risk.len()).filter(|model| !server.is_loaded[*model]);
        unloaded.max_by(|left, right| {
            let risk_per_spare =
                |model: usize| f64::from(self.at_risk[model]) / f64::from(1 + self.spares[model]);
            let by_risk = risk_per_spare(*left).total_cmp(&risk_per_spare(*right));
            // Of equally covered models, the one with fewer spare servers comes first.
            by_risk.then(self.spares[*right].cmp(&self.spares[*left])).then(right.cmp(left))
        })
    }
}
