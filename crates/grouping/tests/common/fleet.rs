//! A fleet of emulated model servers that carries out what the decisions order, at the times that its engines declare, while
//! servers are lost and added and requests arrive. Nothing waits for real time.

use super::{LARGE, SMALL, World, model_load};
use dockwood_api::gateway::{
    EngineProfile, GroupCommand, GroupOrder, InstanceReport, InstanceState, MembershipReport,
    MembershipState, ModelProfile, OrderAnswer,
};
use dockwood_grouping::{
    OrderBook, ProbeResult, Scrutiny, advance_groups, plan, reap_instances, release_members,
};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, InstanceRow};
use std::collections::BTreeMap;

/// Time of one step, in milliseconds: that between two looks of the leader.
const STEP_MS: u64 = 50;
/// Time after which a lost member's group is found to stand still and the member to be silent.
const FOUND_LOST_MS: u64 = 700;
/// Time between two reports of a server to which nothing happens.
const REPORT_EVERY_MS: u64 = 1_000;
/// Time until a head that is told to open serves.
const OPEN_MS: u64 = 300;
/// Time in which the requests of a group that drains end.
const DRAIN_MS: u64 = 1_500;
/// Time to join another group of the model of the last one.
const REJOIN_MS: u64 = 200;
/// Time for which a server that says that it leaves goes on taking requests.
const LISTENS_MS: u64 = 3_000;
/// Time for which it remains after that, for its group's head to end what it has.
const REMAINS_MS: u64 = 1_500;
/// Before the first request, loads take so many times less.
const EARLY_LOAD_DIVISOR: u64 = 10;

/// Engines of groups of 16 and of 4 servers, in domains of 37.
pub fn engines_of_two_sizes() -> EngineProfile {
    let model = |name: &str, size, pace, load_ms, warm_ms| ModelProfile {
        name: name.to_string(),
        size,
        share: 0.5,
        pace,
        load_ms,
        warm_ms,
    };
    EngineProfile {
        slots: 30,
        memory_tokens: 1_590_000,
        step_ms: 5.95,
        per_sequence_ms: 0.0445,
        read_per_second: 50_700.0,
        chunk: 2_048,
        stride: 7,
        loads_per_second: 18.0,
        loads_at_once: 27,
        staged_models: 1,
        models: vec![model(LARGE, 16, 1.0, 16_000, 1_600), model(SMALL, 4, 0.6, 12_000, 1_100)],
    }
}

/// Engines of groups of 12 and of 6 servers, for domains of 27.
pub fn engines_of_medium_sizes() -> EngineProfile {
    let mut engine = engines_of_two_sizes();
    engine.models[0].size = 12;
    engine.models[1].size = 6;
    EngineProfile { loads_per_second: 5.0, loads_at_once: 7, ..engine }
}

/// What a server is doing.
#[derive(Clone, Debug)]
struct Member {
    group: String,
    epoch: u64,
    state: MembershipState,
    /// The state that it goes to, and when.
    next: Option<(u64, MembershipState)>,
    /// The model that its host keeps once it has joined.
    loads: Option<String>,
}

#[derive(Clone, Debug, Default)]
struct Emulated {
    member: Option<Member>,
    last_model: Option<String>,
    staged: Vec<String>,
    staging: Option<(u64, String)>,
    lost_at: Option<u64>,
    /// When it said that it leaves.
    leaves_since: Option<u64>,
    reported_at: u64,
}

/// What was seen at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Servers that are alive and in no open group.
    pub idle: usize,
    /// Members of open groups all of whose members take part.
    pub serving: usize,
    /// Open groups of the larger model.
    pub large: usize,
    /// Open groups of the smaller model.
    pub small: usize,
}

/// The fleet.
pub struct Fleet {
    world: World,
    engine: EngineProfile,
    book: OrderBook,
    servers: BTreeMap<String, Emulated>,
    /// Requests for the larger and the smaller model in 100 ms.
    asked: (u32, u32),
    newcomers: usize,
}

impl Fleet {
    /// Domains of servers that have formed their groups before the first request.
    pub fn formed(domains: usize, servers: usize) -> Fleet {
        Fleet::formed_of(engines_of_two_sizes(), domains, servers)
    }

    /// The same with engines of another kind.
    pub fn formed_of(engine: EngineProfile, domains: usize, servers: usize) -> Fleet {
        let world = World::with_engine(engine.clone(), domains, servers);
        let ids = world.tables.instances.keys().cloned();
        let servers = ids.map(|id| (id, Emulated::default())).collect();
        let book = OrderBook::default();
        let mut fleet = Fleet { world, engine, book, servers, asked: (0, 0), newcomers: 0 };
        fleet.run(12_000);
        fleet
    }

    /// From now on so many requests for the larger and the smaller model arrive in 100 ms.
    pub fn ask(&mut self, large: u32, small: u32) {
        self.asked = (large, small);
        self.world.note_requests();
    }

    /// Loses members of open groups of a domain, the newest groups' first and each of another group, without a word.
    pub fn lose_members(&mut self, domain: usize, count: usize) {
        let prefix = format!("d{domain}-");
        let open = self.world.tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
        let own = open.filter(|group| group.members[0].starts_with(&prefix));
        let last = |members: &Vec<String>| members.last().cloned();
        let lost: Vec<String> = own.rev().filter_map(|group| last(&group.members)).take(count).collect();
        lost.iter().for_each(|id| self.lose(id));
    }

    /// Loses all servers of a domain.
    pub fn lose_domain(&mut self, domain: usize) {
        let prefix = format!("d{domain}-");
        let lost: Vec<String> = self.servers.keys().filter(|id| id.starts_with(&prefix)).cloned().collect();
        lost.iter().for_each(|id| self.lose(id));
    }

    fn lose(&mut self, id: &str) {
        let now = self.world.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.lost_at.get_or_insert(now);
        }
    }

    /// All servers by id.
    pub fn ids(&self) -> Vec<String> {
        self.servers.keys().cloned().collect()
    }

    /// A server says that it leaves.
    pub fn leave(&mut self, id: &str) {
        let now = self.world.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        server.leaves_since = Some(now);
        self.report(id);
    }

    /// A server that leaves stops once the time for which it serves on is over; another one starts on its host.
    fn finish_leaving(&mut self, id: &str) {
        let now = self.world.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        if server.leaves_since.is_none_or(|since| now < since + LISTENS_MS + REMAINS_MS) {
            return;
        }
        server.lost_at = Some(now);
        let staged = server.staged.clone();
        self.world.apply(GatewayCommand::SignOff { id: id.to_string() });
        let domain = id.split_once("-s").and_then(|(domain, _)| domain[1..].parse().ok());
        self.add_with(domain.expect("a domain's number"), staged);
    }

    /// Adds an empty server to a domain.
    pub fn add(&mut self, domain: usize) {
        self.add_with(domain, Vec::new());
    }

    fn add_with(&mut self, domain: usize, staged: Vec<String>) {
        self.newcomers += 1;
        let id = format!("d{domain}-s{}", 1_000 + self.newcomers);
        let names: Vec<&str> = staged.iter().map(String::as_str).collect();
        let report = self.world.report(&id, None, &names);
        self.world.apply(GatewayCommand::Register(InstanceRow::from(&report)));
        self.world.hear(report);
        self.servers.insert(id, Emulated { staged, reported_at: self.world.now, ..Emulated::default() });
    }

    /// Lets time pass, and tells what was seen in each step.
    pub fn run(&mut self, span_ms: u64) -> Vec<Sample> {
        let until = self.world.now + span_ms;
        let mut samples = Vec::new();
        while self.world.now < until {
            self.step();
            samples.push(self.sample());
        }
        samples
    }

    fn step(&mut self) {
        self.world.now += STEP_MS;
        let ids: Vec<String> = self.servers.keys().cloned().collect();
        ids.iter().for_each(|id| self.advance(id));
        ids.iter().for_each(|id| self.finish_leaving(id));
        self.find_lost();
        if self.asked != (0, 0) && self.world.now.is_multiple_of(100) {
            let (large, small) = self.asked;
            self.world.hear_requests(vec![model_load(LARGE, large, 0), model_load(SMALL, small, 0)]);
        }
        let commands = self.decide();
        self.world.apply_all(commands);
        let orders = self.book.to_send(&self.world.view(), 1);
        for order in orders {
            let answer = self.carry_out(&order);
            self.book.answered(self.world.now, &order, answer);
        }
    }

    fn decide(&mut self) -> Vec<GatewayCommand> {
        self.world.observations.note_departures(self.world.now, &self.world.tables);
        let (view, book, now) = (self.world.view(), &self.book, self.world.now);
        let mut commands = advance_groups(&view, Scrutiny::All, |epoch| book.closing_since(now, epoch));
        commands.extend(release_members(&view, |epoch| book.closing_since(now, epoch)));
        commands.extend(reap_instances(&view));
        if commands.is_empty() {
            let planned = plan(&view, book.staging());
            self.book.wish(planned.staging);
            commands = planned.commands;
        }
        commands
    }

    /// Takes one server to the present time; it reports what has changed.
    fn advance(&mut self, id: &str) {
        let now = self.world.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        let mut changed = now >= server.reported_at + REPORT_EVERY_MS;
        if let Some((_, model)) = server.staging.take_if(|(at, _)| now >= *at) {
            server.staged = vec![model];
            changed = true;
        }
        if let Some(member) = &mut server.member
            && let Some((_, state)) = member.next.take_if(|(at, _)| now >= *at)
        {
            member.state = state;
            if let Some(model) = member.loads.take() {
                server.staged = vec![model];
            }
            changed = true;
        }
        if changed {
            self.report(id);
        }
    }

    fn report(&mut self, id: &str) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.reported_at = self.world.now;
        let membership = server.member.as_ref().map(|member| MembershipReport {
            group: member.group.clone(),
            epoch: member.epoch,
            state: member.state,
        });
        let staged = server.staged.clone();
        let staged: Vec<&str> = staged.iter().map(String::as_str).collect();
        let mut report: InstanceReport = self.world.report(id, membership, &staged);
        let is_leaving = self.servers.get(id).is_some_and(|server| server.leaves_since.is_some());
        if is_leaving {
            report.state = InstanceState::Draining;
            self.world.apply(GatewayCommand::Register(InstanceRow::from(&report)));
        }
        self.world.hear(report);
    }

    /// Entries find the groups of lost members to stand still, and probes find the members silent.
    fn find_lost(&mut self) {
        let now = self.world.now;
        let found = |server: &&Emulated| server.lost_at.is_some_and(|at| now >= at + FOUND_LOST_MS);
        let is_found = |id: &String| self.servers.get(id).filter(found).is_some();
        let groups: Vec<(u64, Vec<String>)> = self
            .world
            .tables
            .groups
            .values()
            .filter(|group| group.members.iter().any(is_found))
            .map(|group| (group.epoch, group.members.iter().filter(|id| is_found(id)).cloned().collect()))
            .collect();
        for (epoch, lost) in groups {
            self.world.load("entry", epoch, 1, true, false, true);
            lost.iter().for_each(|id| self.world.observations.record_probe(now, id, ProbeResult::Silent));
        }
    }

    fn carry_out(&mut self, order: &GroupOrder) -> OrderAnswer {
        let now = self.world.now;
        let early = !self.world.tables.requests_seen;
        let engine = self.engine.clone();
        let load_ms = |model: &ModelProfile| model.load_ms / if early { EARLY_LOAD_DIVISOR } else { 1 };
        let Some(server) = self.servers.get_mut(&order.instance) else { return OrderAnswer::Unreachable };
        if server.lost_at.is_some() {
            return OrderAnswer::Silent;
        }
        match &order.command {
            GroupCommand::Join { model, .. } => {
                let profile = engine.model(model).expect("a model of the engines");
                let is_last = server.last_model.as_ref() == Some(model);
                let is_staged = server.staged.contains(model);
                let after_ms = match (is_last, is_staged) {
                    (true, _) => REJOIN_MS,
                    (false, true) => profile.warm_ms,
                    (false, false) => load_ms(profile),
                };
                server.last_model = Some(model.clone());
                server.member = Some(Member {
                    group: order.group.clone(),
                    epoch: order.epoch,
                    state: MembershipState::Joining,
                    next: Some((now + after_ms, MembershipState::Ready)),
                    loads: (!is_last && !is_staged).then(|| model.clone()),
                });
            }
            GroupCommand::Stage { model } => {
                let profile = engine.model(model).expect("a model of the engines");
                server.staging = Some((now + load_ms(profile), model.clone()));
            }
            GroupCommand::Open => server.go_to(MembershipState::Open, now + OPEN_MS),
            GroupCommand::Close { truncate } => {
                let after_ms = if *truncate { 0 } else { DRAIN_MS };
                server.go_to(MembershipState::Ready, now + after_ms);
            }
            GroupCommand::Leave => server.member = None,
        }
        self.report(&order.instance);
        OrderAnswer::Begun
    }

    fn sample(&self) -> Sample {
        let now = self.world.now;
        let is_alive = |id: &String| self.servers.get(id).is_some_and(|server| server.lost_at.is_none());
        let has_stopped = |server: &Emulated| server.leaves_since.is_some_and(|at| now >= at + LISTENS_MS);
        let takes_part = |id: &String| is_alive(id) && !self.servers.get(id).is_some_and(has_stopped);
        let groups = self.world.tables.groups.values();
        let open: Vec<_> = groups
            .filter(|group| group.phase == GroupPhase::Open && group.purpose == GroupPurpose::Serve)
            .filter(|group| group.members.iter().all(takes_part))
            .collect();
        let serving: usize = open.iter().map(|group| group.members.len()).sum();
        let of = |model: &str| open.iter().filter(|group| group.model == model).count();
        let alive = self.servers.keys().filter(|id| is_alive(id)).count();
        Sample { idle: alive - serving, serving, large: of(LARGE), small: of(SMALL) }
    }
}

impl Emulated {
    fn go_to(&mut self, state: MembershipState, at: u64) {
        if let Some(member) = &mut self.member {
            member.next = Some((at, state));
        }
    }
}
