//! Which host stages the weights of which model, before they are needed: a server that has them staged joins a group
//! in about a second, another one in ten times that.

use crate::domains::{Domain, Server, has_staged, is_usable, server};
use crate::packing::Packing;
use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, ModelProfile};
use dockwood_state::GroupPhase;
use std::collections::BTreeMap;

/// A load counts as under way for at most this many times its declared length.
const LOADS_LENGTH: u64 = 2;

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

/// What the hosts of one domain should stage, given which groups are planned there.
pub(crate) fn wishes_for(
    view: &View<'_>,
    engine: &EngineProfile,
    staging: &StagingUnderWay,
    domain: &Domain<'_>,
    packing: &Packing<'_>,
) -> Vec<StagingWish> {
    let wish = |server: &Server<'_>, model: &ModelProfile, urgency| StagingWish {
        instance: server.id.to_string(),
        model: model.name.clone(),
        urgency,
        load_ms: model.load_ms,
        loads_per_second: engine.loads_per_second,
        loads_at_once: engine.loads_at_once,
    };
    let mut wishes = Vec::new();
    for group in &packing.groups {
        let lacking = group
            .members
            .iter()
            .filter(|server| !server.is_loaded[group.model] && !staging.is_loading(server.id));
        wishes.extend(lacking.map(|server| wish(server, &engine.models[group.model], Urgency::Awaited)));
    }
    let mut cover = Cover::new(engine, domain, packing);
    for server in packing.left.iter().filter(|server| server.can_stage) {
        if let Some(model) = cover.most_exposed(server) {
            let urgency = if server.is_loaded.contains(&true) { Urgency::Another } else { Urgency::Spare };
            wishes.push(wish(server, &engine.models[model], urgency));
            cover.spares[model] += 1;
        }
    }
    for server in members(view, engine, staging, domain).filter(|server| server.can_stage) {
        if let Some(model) = cover.most_exposed(&server) {
            wishes.push(wish(&server, &engine.models[model], Urgency::Another));
        }
    }
    wishes
}

/// Members of the open groups of a domain.
fn members<'a>(
    view: &'a View<'a>,
    engine: &'a EngineProfile,
    staging: &'a StagingUnderWay,
    domain: &'a Domain<'a>,
) -> impl Iterator<Item = Server<'a>> {
    let open = domain.groups.iter().filter(|group| group.phase == GroupPhase::Open);
    let members = open.flat_map(|group| &group.members);
    let usable = members.filter(|id| view.tables.instances.get(*id).is_some_and(|row| is_usable(view, row)));
    usable.map(|id| server(view, engine, staging, id))
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
            exposure(*left).total_cmp(&exposure(*right)).then(right.cmp(left))
        })
    }
}
