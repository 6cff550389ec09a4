//! A fleet of emulated model servers that executes the orders at the times that its engines declare, while
//! servers fail and are added and requests arrive. The clock is simulated.

use super::{LARGE, SMALL, TestCluster, model_load};
use dockwood_api::gateway::{
    EngineProfile, GroupCommand, GroupOrder, InstanceReport, InstanceState, MembershipReport,
    MembershipState, ModelProfile, OrderAnswer,
};
use dockwood_grouping::{
    OrderTracker, ProbeResult, ScanScope, advance_groups, plan, reap_instances, release_members,
};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, InstanceRow};
use std::collections::BTreeMap;

/// Duration of one step, in milliseconds: the interval between two decisions of the leader.
const STEP_MS: u64 = 50;
/// Time after which a lost member's group is reported as stalled and the member as silent.
const LOSS_DETECTION_MS: u64 = 700;
/// Interval between two reports of a server without changes.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time until a head serves after an order to open.
const OPEN_MS: u64 = 300;
/// Time in which the requests of a draining group finish.
const DRAIN_MS: u64 = 1_500;
/// Time to join another group of the same model as the last one.
const REJOIN_MS: u64 = 200;
/// Time for which a leaving server continues to accept requests.
const LEAVING_LISTEN_MS: u64 = 3_000;
/// Time for which a leaving server continues to run after that, in which its group's head finishes its
/// requests.
const LEAVING_EXIT_MS: u64 = 1_500;
/// Factor by which loads are faster before the first request.
const EARLY_LOAD_DIVISOR: u64 = 10;

/// Engines of groups of 16 and of 4 servers, for domains of 37.
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

/// The membership of a server in its group.
#[derive(Clone, Debug)]
struct Member {
    group: String,
    epoch: u64,
    state: MembershipState,
    /// The next state and the time at which it is reached.
    next: Option<(u64, MembershipState)>,
    /// The model that its host has staged once the server has joined.
    loads: Option<String>,
}

#[derive(Clone, Debug, Default)]
struct EmulatedServer {
    member: Option<Member>,
    last_model: Option<String>,
    staged: Vec<String>,
    staging: Option<(u64, String)>,
    lost_at: Option<u64>,
    /// When the server announced that it is leaving.
    leaving_since: Option<u64>,
    reported_at: u64,
}

/// The state of the fleet at one time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Servers that are alive and in no open group.
    pub idle: usize,
    /// Members of open groups without a failed or stopped member.
    pub serving: usize,
    /// Open groups of the larger model.
    pub large: usize,
    /// Open groups of the smaller model.
    pub small: usize,
}

/// An emulated fleet.
pub struct Fleet {
    cluster: TestCluster,
    engine: EngineProfile,
    orders: OrderTracker,
    servers: BTreeMap<String, EmulatedServer>,
    /// Requests for the larger and the smaller model per 100 ms.
    requests: (u32, u32),
    added: usize,
}

impl Fleet {
    /// A fleet whose servers have formed their groups before the first request.
    pub fn formed(domains: usize, servers: usize) -> Fleet {
        Fleet::formed_of(engines_of_two_sizes(), domains, servers)
    }

    /// The same with the given engines.
    pub fn formed_of(engine: EngineProfile, domains: usize, servers: usize) -> Fleet {
        let cluster = TestCluster::with_engine(engine.clone(), domains, servers);
        let ids = cluster.tables.instances.keys().cloned();
        let servers = ids.map(|id| (id, EmulatedServer::default())).collect();
        let orders = OrderTracker::default();
        let mut fleet = Fleet { cluster, engine, orders, servers, requests: (0, 0), added: 0 };
        fleet.run(12_000);
        fleet
    }

    /// Sets the number of requests for the larger and the smaller model per 100 ms.
    pub fn set_requests(&mut self, large: u32, small: u32) {
        self.requests = (large, small);
        self.cluster.mark_requests_seen();
    }

    /// Fails the last members of open groups of a domain without notice, one member per group, beginning with
    /// the newest groups.
    pub fn fail_members(&mut self, domain: usize, count: usize) {
        let prefix = format!("d{domain}-");
        let open = self.cluster.tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
        let own = open.filter(|group| group.members[0].starts_with(&prefix));
        let last = |members: &Vec<String>| members.last().cloned();
        let lost: Vec<String> = own.rev().filter_map(|group| last(&group.members)).take(count).collect();
        lost.iter().for_each(|id| self.fail(id));
    }

    /// Fails all servers of a domain.
    pub fn fail_domain(&mut self, domain: usize) {
        let prefix = format!("d{domain}-");
        let lost: Vec<String> = self.servers.keys().filter(|id| id.starts_with(&prefix)).cloned().collect();
        lost.iter().for_each(|id| self.fail(id));
    }

    fn fail(&mut self, id: &str) {
        let now = self.cluster.now;
        if let Some(server) = self.servers.get_mut(id) {
            server.lost_at.get_or_insert(now);
        }
    }

    /// The ids of all servers.
    pub fn ids(&self) -> Vec<String> {
        self.servers.keys().cloned().collect()
    }

    /// Makes a server announce that it is leaving.
    pub fn start_leaving(&mut self, id: &str) {
        let now = self.cluster.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        server.leaving_since = Some(now);
        self.report(id);
    }

    /// Stops a leaving server once its remaining time is over, and starts another one on its host.
    fn finish_leaving(&mut self, id: &str) {
        let now = self.cluster.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        if server.leaving_since.is_none_or(|since| now < since + LEAVING_LISTEN_MS + LEAVING_EXIT_MS) {
            return;
        }
        server.lost_at = Some(now);
        let staged = server.staged.clone();
        self.cluster.apply(GatewayCommand::SignOff { id: id.to_string() });
        let domain = id.split_once("-s").and_then(|(domain, _)| domain[1..].parse().ok());
        self.add_with(domain.expect("a domain's number"), staged);
    }

    /// Adds a server without staged weights to a domain.
    pub fn add(&mut self, domain: usize) {
        self.add_with(domain, Vec::new());
    }

    fn add_with(&mut self, domain: usize, staged: Vec<String>) {
        self.added += 1;
        let id = format!("d{domain}-s{}", 1_000 + self.added);
        let names: Vec<&str> = staged.iter().map(String::as_str).collect();
        let report = self.cluster.report(&id, None, &names);
        self.cluster.apply(GatewayCommand::Register(InstanceRow::from(&report)));
        self.cluster.receive_report(report);
        self.servers.insert(
            id,
            EmulatedServer { staged, reported_at: self.cluster.now, ..EmulatedServer::default() },
        );
    }

    /// Runs the fleet for a time span, and returns a sample per step.
    pub fn run(&mut self, span_ms: u64) -> Vec<Sample> {
        let until = self.cluster.now + span_ms;
        let mut samples = Vec::new();
        while self.cluster.now < until {
            self.step();
            samples.push(self.sample());
        }
        samples
    }

    fn step(&mut self) {
        self.cluster.now += STEP_MS;
        let ids: Vec<String> = self.servers.keys().cloned().collect();
        ids.iter().for_each(|id| self.advance(id));
        ids.iter().for_each(|id| self.finish_leaving(id));
        self.detect_lost();
        if self.requests != (0, 0) && self.cluster.now.is_multiple_of(100) {
            let (large, small) = self.requests;
            self.cluster.report_requests(vec![model_load(LARGE, large, 0), model_load(SMALL, small, 0)]);
        }
        let commands = self.decide();
        self.cluster.apply_all(commands);
        let due = self.orders.due_orders(&self.cluster.view(), 1);
        for order in due {
            let answer = self.execute(&order);
            self.orders.answered(self.cluster.now, &order, answer);
        }
    }

    fn decide(&mut self) -> Vec<GatewayCommand> {
        self.cluster.observations.note_departures(self.cluster.now, &self.cluster.tables);
        let (view, orders, now) = (self.cluster.view(), &self.orders, self.cluster.now);
        let mut commands = advance_groups(&view, ScanScope::All, |epoch| orders.closing_since(now, epoch));
        commands.extend(release_members(&view, |epoch| orders.closing_since(now, epoch)));
        commands.extend(reap_instances(&view));
        if commands.is_empty() {
            let planned = plan(&view, orders.staging());
            self.orders.set_staging_requests(planned.staging);
            commands = planned.commands;
        }
        commands
    }

    /// Advances one server to the current time; it reports changes.
    fn advance(&mut self, id: &str) {
        let now = self.cluster.now;
        let Some(server) = self.servers.get_mut(id).filter(|server| server.lost_at.is_none()) else { return };
        let mut changed = now >= server.reported_at + REPORT_INTERVAL_MS;
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
        server.reported_at = self.cluster.now;
        let membership = server.member.as_ref().map(|member| MembershipReport {
            group: member.group.clone(),
            epoch: member.epoch,
            state: member.state,
        });
        let staged = server.staged.clone();
        let staged: Vec<&str> = staged.iter().map(String::as_str).collect();
        let mut report: InstanceReport = self.cluster.report(id, membership, &staged);
        let is_leaving = self.servers.get(id).is_some_and(|server| server.leaving_since.is_some());
        if is_leaving {
            report.state = InstanceState::Draining;
            self.cluster.apply(GatewayCommand::Register(InstanceRow::from(&report)));
        }
        self.cluster.receive_report(report);
    }

    /// Makes entries report the groups of lost members as stalled, and probes report the members as silent.
    fn detect_lost(&mut self) {
        let now = self.cluster.now;
        let is_detected =
            |server: &&EmulatedServer| server.lost_at.is_some_and(|at| now >= at + LOSS_DETECTION_MS);
        let is_lost_member = |id: &String| self.servers.get(id).filter(is_detected).is_some();
        let groups: Vec<(u64, Vec<String>)> = self
            .cluster
            .tables
            .groups
            .values()
            .filter(|group| group.members.iter().any(is_lost_member))
            .map(|group| {
                (group.epoch, group.members.iter().filter(|id| is_lost_member(id)).cloned().collect())
            })
            .collect();
        for (epoch, lost) in groups {
            self.cluster.report_load("entry", epoch, 1, true, false, true);
            lost.iter().for_each(|id| self.cluster.observations.record_probe(now, id, ProbeResult::Silent));
        }
    }

    fn execute(&mut self, order: &GroupOrder) -> OrderAnswer {
        let now = self.cluster.now;
        let is_early = !self.cluster.tables.requests_seen;
        let engine = self.engine.clone();
        let load_ms = |model: &ModelProfile| model.load_ms / if is_early { EARLY_LOAD_DIVISOR } else { 1 };
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
            GroupCommand::Open => server.schedule_state(MembershipState::Open, now + OPEN_MS),
            GroupCommand::Close { truncate } => {
                let after_ms = if *truncate { 0 } else { DRAIN_MS };
                server.schedule_state(MembershipState::Ready, now + after_ms);
            }
            GroupCommand::Leave => server.member = None,
        }
        self.report(&order.instance);
        OrderAnswer::Begun
    }

    fn sample(&self) -> Sample {
        let now = self.cluster.now;
        let is_alive = |id: &String| self.servers.get(id).is_some_and(|server| server.lost_at.is_none());
        let has_stopped =
            |server: &EmulatedServer| server.leaving_since.is_some_and(|at| now >= at + LEAVING_LISTEN_MS);
        let participates = |id: &String| is_alive(id) && !self.servers.get(id).is_some_and(has_stopped);
        let groups = self.cluster.tables.groups.values();
        let open: Vec<_> = groups
            .filter(|group| group.phase == GroupPhase::Open && group.purpose == GroupPurpose::Serve)
            .filter(|group| group.members.iter().all(participates))
            .collect();
        let serving: usize = open.iter().map(|group| group.members.len()).sum();
        let of = |model: &str| open.iter().filter(|group| group.model == model).count();
        let alive = self.servers.keys().filter(|id| is_alive(id)).count();
        Sample { idle: alive - serving, serving, large: of(LARGE), small: of(SMALL) }
    }
}

impl EmulatedServer {
    fn schedule_state(&mut self, state: MembershipState, at: u64) {
        if let Some(member) = &mut self.member {
            member.next = Some((at, state));
        }
    }
}
