//! Which host stages the weights of which model, before they are needed: a server that has them staged joins a group
//! in about a second, another one in ten times that.

use crate::domains::{Domain, Server, has_staged, is_usable, server, staged_at};
use crate::packing::Packing;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::{GroupPhase, GroupRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A load counts as under way for at most this many times its declared length.
pub(crate) const LOADS_LENGTH: Millis = 2;

/// One load of weights onto a host.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Staging {
    model: String,
    /// When it ends by its declared length.
    expected_at: Millis,
    /// Until when it may be under way.
    until: Millis,
}

/// Weights that are being staged, by instance.
#[derive(Clone, Debug, Default)]
pub struct StagingUnderWay {
    by_instance: BTreeMap<String, Staging>,
}

impl StagingUnderWay {
    /// Notes that a load was ordered.
    pub(crate) fn begin(&mut self, now: Millis, wish: &StagingWish) {
        let staging = Staging {
            model: wish.model.clone(),
            expected_at: now + wish.load_ms,
            until: now + wish.load_ms * LOADS_LENGTH,
        };
        self.by_instance.insert(wish.instance.clone(), staging);
    }

    /// Forgets loads that have ended, or whose servers are gone.
    pub(crate) fn refresh(&mut self, view: &View<'_>) {
        self.by_instance.retain(|instance, staging| {
            let is_present = view.observations.is_present(view.now, instance);
            view.now < staging.until && is_present && !has_staged(view, instance, &staging.model)
        });
    }

    /// Whether a host is loading.
    pub(crate) fn is_loading(&self, instance: &str) -> bool {
        self.by_instance.contains_key(instance)
    }

    /// Time that the load of a model onto a host still takes, if it is under way.
    pub(crate) fn left_ms(&self, now: Millis, instance: &str, model: &str) -> Option<Millis> {
        let staging = self.by_instance.get(instance).filter(|staging| staging.model == model)?;
        Some(staging.expected_at.saturating_sub(now))
    }

    /// Loads under way.
    pub(crate) fn count(&self) -> u32 {
        self.by_instance.len() as u32
    }
}

/// What a load is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Urgency {
    /// A group waits for it.
    Awaited,
    /// A free server has nothing that it could serve soon.
    Spare,
    /// A server could serve another model too.
    Another,
}

/// A server that should stage a model.
#[derive(Clone, Debug, PartialEq)]
pub struct StagingWish {
    /// Instance id.
    pub instance: String,
    /// Model name.
    pub model: String,
    /// What it is for.
    pub urgency: Urgency,
    /// Declared length of the load.
    pub load_ms: Millis,
    /// Loads that the store lets begin in a second.
    pub loads_per_second: f64,
    /// Loads at a time beyond which each takes longer.
    pub loads_at_once: u32,
}

/// A free server that should load a model, so that its host can stage another one.
#[derive(Clone, Debug)]
pub(crate) struct Preload<'a> {
    pub instance: &'a str,
    /// Position of the model in the profile.
    pub model: usize,
}

/// What the servers of one domain should do before it is needed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Precautions<'a> {
    pub preloads: Vec<Preload<'a>>,
    pub staging: Vec<StagingWish>,
}

/// What the servers of one domain should load and stage, given which groups are planned there.
pub(crate) fn precautions<'a>(
    view: &View<'_>,
    engine: &EngineProfile,
    staging: &StagingUnderWay,
    domain: &Domain<'_>,
    packing: &Packing<'a>,
) -> Precautions<'a> {
    let wish = |server: &Server<'_>, model: &ModelProfile, urgency| StagingWish {
        instance: server.id.to_string(),
        model: model.name.clone(),
        urgency,
        load_ms: model.load_ms,
        loads_per_second: engine.loads_per_second,
        loads_at_once: engine.loads_at_once,
    };
    let mut preloads = Vec::new();
    let mut wishes = Vec::new();
    // Before the first request, members load as they join.
    for group in packing.groups.iter().filter(|_| view.tables.requests_seen) {
        let lacking = group
            .members
            .iter()
            .filter(|server| !server.is_loaded[group.model] && !staging.is_loading(server.id));
        wishes.extend(lacking.map(|server| wish(server, &engine.models[group.model], Urgency::Awaited)));
    }
    let mut cover = Cover::new(engine, domain, packing);
    let is_idle = |server: &&Server<'a>| server.is_free && !staging.is_loading(server.id);
    for server in packing.left.iter().filter(is_idle) {
        if let Some(model) = preloads_now(view, engine, server) {
            preloads.push(Preload { instance: server.id, model });
            cover.spares[model] += u32::from(!server.is_loaded[model]);
            continue;
        }
        if let Some(model) = cover.most_exposed(server).filter(|_| server.can_stage) {
            let urgency = if server.is_loaded.contains(&true) { Urgency::Another } else { Urgency::Spare };
            wishes.push(wish(server, &engine.models[model], urgency));
            cover.spares[model] += 1;
        }
    }
    let mut hosts = StagedHosts::new(view, engine, domain);
    for server in members(view, engine, staging, domain).filter(|server| server.can_stage) {
        let may_stage = |model: &usize| hosts.may_give_way(view, engine, server.id, *model);
        if let Some(model) = cover.most_exposed(&server).filter(may_stage) {
            hosts.give_way(view, engine, server.id);
            wishes.push(wish(&server, &engine.models[model], Urgency::Another));
        }
    }
    Precautions { preloads, staging: wishes }
}

/// The model that a free server should load as a member of a group of its own: the one that its host has staged, which
/// takes it a second or two, and frees the host for another model; before the first request any, as loads are short.
fn preloads_now(view: &View<'_>, engine: &EngineProfile, server: &Server<'_>) -> Option<usize> {
    let has_others = engine.models.len() > 1;
    if !has_others || view.tables.last_model(server.id).is_some() {
        return None;
    }
    let staged = server.is_loaded.iter().position(|loaded| *loaded);
    // Larger groups are lost more often and are harder to complete: their members are replaced soonest.
    let largest = || (0..engine.models.len()).max_by_key(|model| engine.models[*model].size);
    staged.or_else(|| largest().filter(|_| !view.tables.requests_seen))
}

/// Members of the open groups of a domain, those of the smallest groups first: they stage the larger models, and so let
/// members of larger groups stage the smaller ones.
fn members<'a>(
    view: &'a View<'a>,
    engine: &'a EngineProfile,
    staging: &'a StagingUnderWay,
    domain: &'a Domain<'a>,
) -> impl Iterator<Item = Server<'a>> {
    let mut open: Vec<&Arc<GroupRow>> =
        domain.groups.iter().copied().filter(|group| group.phase == GroupPhase::Open).collect();
    open.sort_by_key(|group| group.members.len());
    let is_usable = |id: &str| view.tables.instances.get(id).is_some_and(|row| is_usable(view, row));
    let members = open.into_iter().flat_map(|group| group.members.iter());
    members.filter(move |id| is_usable(id)).map(|id| server(view, engine, staging, id))
}

/// The hosts of a domain that keep the weights of each model. A host keeps them when its server starts again, while a
/// server forgets its last group: where a whole domain starts again, its larger groups, which are hardest to complete,
/// are to find as many hosts with their weights as they have members.
struct StagedHosts {
    /// Hosts that keep each model.
    staged: Vec<usize>,
    /// Members that the groups of each model have.
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

    /// Whether what a host keeps may be replaced by `model`: nothing is lost that a larger model's groups would need.
    fn may_give_way(&self, view: &View<'_>, engine: &EngineProfile, id: &str, model: usize) -> bool {
        kept_at(view, engine, id).into_iter().all(|kept| {
            let is_larger = engine.models[kept].size > engine.models[model].size;
            !is_larger || self.staged[kept] > self.members[kept]
        })
    }

    /// Notes that what a host keeps is replaced.
    fn give_way(&mut self, view: &View<'_>, engine: &EngineProfile, id: &str) {
        for kept in kept_at(view, engine, id) {
            self.staged[kept] = self.staged[kept].saturating_sub(1);
        }
    }
}

/// Positions of the models that a host keeps and that a further one would replace.
fn kept_at(view: &View<'_>, engine: &EngineProfile, id: &str) -> Vec<usize> {
    let has_room = staged_at(view, id).len() < engine.staged_models as usize;
    let is_kept = |model: &usize| !has_room && has_staged(view, id, &engine.models[*model].name);
    (0..engine.models.len()).filter(is_kept).collect()
}

/// Which models of a domain would find a server to replace a lost one.
struct Cover {
    /// Servers in groups of each model, each of which may be lost.
    exposed: Vec<u32>,
    /// Free servers that could replace one without a load.
    spares: Vec<u32>,
}

impl Cover {
    fn new(engine: &EngineProfile, domain: &Domain<'_>, packing: &Packing<'_>) -> Cover {
        let exposed = |(position, model): (usize, &ModelProfile)| {
            let groups = domain.groups.iter().filter(|group| group.model == model.name);
            let planned = packing.groups.iter().filter(|group| group.model == position);
            groups.map(|group| group.members.len() as u32).sum::<u32>() + planned.count() as u32 * model.size
        };
        let spares =
            |position: usize| packing.left.iter().filter(|server| server.is_loaded[position]).count() as u32;
        Cover {
            exposed: engine.models.iter().enumerate().map(exposed).collect(),
            spares: (0..engine.models.len()).map(spares).collect(),
        }
    }

    /// The model that a server can't serve without a load, and whose groups have most servers for each spare one.
    fn most_exposed(&self, server: &Server<'_>) -> Option<usize> {
        let lacking = (0..self.exposed.len()).filter(|model| !server.is_loaded[*model]);
        lacking.max_by(|left, right| {
            let exposure = |model: usize| f64::from(self.exposed[model]) / f64::from(1 + self.spares[model]);
            let by_exposure = exposure(*left).total_cmp(&exposure(*right));
            // Of models that are equally exposed, the one that no server could replace goes first.
            by_exposure.then(self.spares[*right].cmp(&self.spares[*left])).then(right.cmp(left))
        })
    }
}
