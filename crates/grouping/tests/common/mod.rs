//! A small service of model servers, its tables, and what a leader has observed.

#![allow(dead_code)]

pub mod fleet;

use dockwood_api::gateway::{
    EngineProfile, EventPace, GatewayConfiguration, GroupLoad, InstanceReport, InstanceState, LoadReport,
    MembershipReport, MembershipState, ModelLoad, ModelProfile, ServiceProfile,
};
use dockwood_grouping::{GroupingPolicy, HeartbeatInterval, Observations, Plan, StagingUnderWay, View, plan};
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose, InstanceRow};
use std::sync::Arc;

pub const SERVICE: &str = "writer";
pub const LARGE: &str = "large";
pub const SMALL: &str = "small";
/// Tokens of each request's prompt.
pub const PROMPT_TOKENS: u64 = 1_000;
/// Events of each answer.
pub const EVENTS: u64 = 20;

/// Tables, observations and a clock.
pub struct World {
    pub tables: GatewayTables,
    pub observations: Observations,
    pub now: u64,
    sequence: u64,
}

fn model(name: &str, size: u32) -> ModelProfile {
    ModelProfile { name: name.to_string(), size, share: 0.5, pace: 1.0, load_ms: 12_000, warm_ms: 1_000 }
}

pub fn engine() -> EngineProfile {
    EngineProfile {
        slots: 8,
        memory_tokens: 100_000,
        step_ms: 8.0,
        per_sequence_ms: 0.1,
        read_per_second: 40_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 2.0,
        loads_at_once: 6,
        staged_models: 1,
        models: vec![model(LARGE, 4), model(SMALL, 2)],
    }
}

/// What entries tell of one model, each of whose requests that is served is answered at once.
pub fn model_load(model: &str, arrived: u32, refused: u32) -> ModelLoad {
    let answered = arrived - refused;
    ModelLoad {
        service: SERVICE.to_string(),
        model: model.to_string(),
        arrived,
        refused,
        prompt_tokens: u64::from(arrived) * PROMPT_TOKENS,
        answered,
        events: u64::from(answered) * EVENTS,
        found_none: 0,
    }
}

impl World {
    /// `domains` domains of `servers` servers each, all of them heard just now.
    pub fn new(domains: usize, servers: usize) -> World {
        World::with_engine(engine(), domains, servers)
    }

    /// The same with engines of another kind.
    pub fn with_engine(engine: EngineProfile, domains: usize, servers: usize) -> World {
        let mut world = World {
            tables: GatewayTables::default(),
            observations: Observations::default(),
            now: 10_000,
            sequence: 0,
        };
        let service = ServiceProfile {
            name: SERVICE.to_string(),
            health_path: "/health".to_string(),
            max_connections: 100,
            cold_start: None,
            engine: Some(engine),
        };
        let configuration =
            GatewayConfiguration { version: 1, services: vec![service], ..GatewayConfiguration::default() };
        world.apply(GatewayCommand::Configure(Arc::new(configuration)));
        for domain in 0..domains {
            for server in 0..servers {
                let report = world.report(&format!("d{domain}-s{server}"), None, &[]);
                world.apply(GatewayCommand::Register(InstanceRow::from(&report)));
                world.hear(report);
            }
        }
        world.now += 5_000;
        world.hear_all();
        world
    }

    /// Servers send heartbeats this often.
    pub fn expect_heartbeats(&mut self, interval_ms: u64) {
        self.observations.expect_heartbeats(HeartbeatInterval::from_millis(interval_ms));
    }

    pub fn apply(&mut self, command: GatewayCommand) {
        self.tables.apply(&command);
    }

    pub fn apply_all(&mut self, commands: Vec<GatewayCommand>) {
        commands.into_iter().for_each(|command| self.apply(command));
    }

    pub fn view(&self) -> View<'_> {
        View {
            tables: &self.tables,
            observations: &self.observations,
            now: self.now,
            policy: GroupingPolicy {
                stall_ms: 6_000,
                heartbeat: self.observations.heartbeat(),
                ..GroupingPolicy::default()
            },
        }
    }

    pub fn report(
        &mut self,
        id: &str,
        membership: Option<MembershipReport>,
        staged: &[&str],
    ) -> InstanceReport {
        self.sequence += 1;
        let (domain, server) = id.split_once("-s").unwrap_or((id, "0"));
        let host: u8 = domain[1..].parse().unwrap_or(0);
        let port: u16 = server.parse().unwrap_or(0);
        InstanceReport {
            started_ms: None,
            id: id.to_string(),
            service: SERVICE.to_string(),
            address: std::net::SocketAddr::from(([127, 0, 1, host], 1_000 + port)),
            zone: "z".to_string(),
            slots: 8,
            state: InstanceState::Ready,
            cold_ms: 0,
            sequence: self.sequence,
            domain: Some(domain.to_string()),
            staged: staged.iter().map(|name| name.to_string()).collect(),
            membership,
        }
    }

    pub fn hear(&mut self, report: InstanceReport) {
        self.observations.record_report(self.now, &report);
    }

    /// Every registered instance reports again, as it last did.
    pub fn hear_all(&mut self) {
        let ids: Vec<String> = self.tables.instances.keys().cloned().collect();
        ids.iter().for_each(|id| self.hear_again(id));
    }

    pub fn hear_again(&mut self, id: &str) {
        let seen = self.observations.instance(id).cloned().unwrap_or_default();
        let staged: Vec<&str> = seen.staged.iter().map(String::as_str).collect();
        let report = self.report(id, seen.membership, &staged);
        self.hear(report);
    }

    /// A member of a group reports its state there.
    pub fn hear_member(&mut self, id: &str, epoch: u64, state: MembershipState, staged: &[&str]) {
        let membership = MembershipReport { group: format!("g{epoch}"), epoch, state };
        let report = self.report(id, Some(membership), staged);
        self.hear(report);
    }

    /// Forms a group and brings it to its open phase, all members reporting.
    pub fn open_group(&mut self, model: &str, members: &[&str]) -> u64 {
        self.apply(GatewayCommand::Form {
            service: SERVICE.to_string(),
            model: model.to_string(),
            purpose: GroupPurpose::Serve,
            members: members.iter().map(|id| id.to_string()).collect(),
            reason: "test".to_string(),
        });
        let epoch = self.tables.last_epoch;
        for phase in [GroupPhase::Opening, GroupPhase::Open] {
            self.apply(GatewayCommand::SetPhase { epoch, phase, reason: "test".to_string() });
        }
        for id in members {
            self.hear_member(id, epoch, MembershipState::Ready, &[model]);
        }
        self.hear_member(members[0], epoch, MembershipState::Open, &[model]);
        epoch
    }

    pub fn load(
        &mut self,
        daemon: &str,
        epoch: u64,
        in_flight: u32,
        silent: bool,
        progressed: bool,
        witness: bool,
    ) {
        let groups = vec![GroupLoad {
            epoch,
            in_flight,
            silent,
            refuses: false,
            progressed,
            pace: EventPace::default(),
            held_for_ms: 0,
        }];
        let report = LoadReport { daemon: daemon.to_string(), scope: None, groups, models: Vec::new() };
        self.observations.exchange(self.now, report, witness);
    }

    /// Two seconds in which so many requests for each model arrive every 100 ms, each with a prompt of [`PROMPT_TOKENS`]
    /// and an answer of [`EVENTS`].
    pub fn ask_for(&mut self, large: u32, small: u32) {
        self.hear_demand(&[model_load(LARGE, large, 0), model_load(SMALL, small, 0)]);
    }

    /// The same for the smaller model alone, with so many refusals among the requests.
    pub fn ask_with_refusals(&mut self, arrived: u32, refused: u32) {
        self.hear_demand(&[model_load(SMALL, arrived, refused)]);
    }

    fn hear_demand(&mut self, models: &[ModelLoad]) {
        for _ in 0..20 {
            self.now += 100;
            self.hear_requests(models.to_vec());
        }
        self.hear_all();
    }

    /// Entries tell of requests.
    pub fn hear_requests(&mut self, models: Vec<ModelLoad>) {
        let report = LoadReport { daemon: "demand".to_string(), scope: None, groups: Vec::new(), models };
        self.observations.exchange(self.now, report, true);
    }

    /// Callers have begun to send requests: from now on loads are slow and limited.
    pub fn note_requests(&mut self) {
        self.apply(GatewayCommand::NoteRequests);
    }

    /// What is planned now, with nothing being staged.
    pub fn plan(&self) -> Plan {
        plan(&self.view(), &StagingUnderWay::default())
    }

    pub fn phase(&self, epoch: u64) -> Option<GroupPhase> {
        self.tables.groups.get(&epoch).map(|group| group.phase)
    }
}

/// Groups that are to serve, as a plan forms them: model and members.
pub fn formed(commands: &[GatewayCommand]) -> Vec<(String, Vec<String>)> {
    let groups = commands.iter().filter_map(|command| match command {
        GatewayCommand::Form { model, members, purpose: GroupPurpose::Serve, .. } => {
            Some((model.clone(), members.clone()))
        }
        _ => None,
    });
    groups.collect()
}
