//! A small service of model servers with its tables and a leader's observations.

#![allow(dead_code)]

pub mod fleet;
pub mod orders;

use dockwood_api::gateway::{
    EngineProfile, EventPace, GatewayConfiguration, GroupLoad, InstanceReport, InstanceState, LoadReport,
    MembershipReport, MembershipState, ModelLoad, ModelProfile, ServiceProfile,
};
use dockwood_grouping::{
    GroupingPolicy, HeartbeatInterval, Observations, Plan, StagingInProgress, View, plan,
};
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupPurpose, InstanceRow};
use std::sync::Arc;

pub const SERVICE: &str = "writer";
pub const LARGE: &str = "large";
pub const SMALL: &str = "small";
/// Tokens of each request's prompt.
pub const PROMPT_TOKENS: u64 = 1_000;
/// Events of each answer.
pub const EVENTS: u64 = 20;

/// Tables, observations and a simulated clock.
pub struct TestCluster {
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

/// The entries' report on one model; each request that is not refused is answered at once.
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

impl TestCluster {
    /// Creates `domains` domains of `servers` servers each, all of which have just reported.
    pub fn new(domains: usize, servers: usize) -> TestCluster {
        TestCluster::with_engine(engine(), domains, servers)
    }

    /// The same with the given engine.
    pub fn with_engine(engine: EngineProfile, domains: usize, servers: usize) -> TestCluster {
        let mut cluster = TestCluster {
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
        cluster.apply(GatewayCommand::Configure(Arc::new(configuration)));
        for domain in 0..domains {
            for server in 0..servers {
                let report = cluster.report(&format!("d{domain}-s{server}"), None, &[]);
                cluster.apply(GatewayCommand::Register(InstanceRow::from(&report)));
                cluster.receive_report(report);
            }
        }
        cluster.now += 5_000;
        cluster.report_all();
        cluster
    }

    /// Sets the interval of the servers' heartbeats.
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

    pub fn receive_report(&mut self, report: InstanceReport) {
        self.observations.record_report(self.now, &report);
    }

    /// Makes every registered instance repeat its last report.
    pub fn report_all(&mut self) {
        let ids: Vec<String> = self.tables.instances.keys().cloned().collect();
        ids.iter().for_each(|id| self.report_again(id));
    }

    pub fn report_again(&mut self, id: &str) {
        let seen = self.observations.instance(id).cloned().unwrap_or_default();
        let staged: Vec<&str> = seen.staged.iter().map(String::as_str).collect();
        let report = self.report(id, seen.membership, &staged);
        self.receive_report(report);
    }

    /// Makes a member of a group report its state there.
    pub fn report_membership(&mut self, id: &str, epoch: u64, state: MembershipState, staged: &[&str]) {
        let membership = MembershipReport { group: format!("g{epoch}"), epoch, state };
        let report = self.report(id, Some(membership), staged);
        self.receive_report(report);
    }

    /// Forms a group and advances it to its open phase, with reports of all members.
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
            self.report_membership(id, epoch, MembershipState::Ready, &[model]);
        }
        self.report_membership(members[0], epoch, MembershipState::Open, &[model]);
        epoch
    }

    /// Ends a group after all its members have left it.
    pub fn end_group(&mut self, epoch: u64) {
        let members = self.tables.groups[&epoch].members.clone();
        for id in members {
            let Some(seen) = self.observations.instance(&id).cloned() else { continue };
            let staged: Vec<&str> = seen.staged.iter().map(String::as_str).collect();
            let report = self.report(&id, None, &staged);
            self.receive_report(report);
        }
        self.apply(GatewayCommand::End { epoch, reason: String::new() });
    }

    pub fn report_load(
        &mut self,
        daemon: &str,
        epoch: u64,
        in_flight: u32,
        silent: bool,
        progressed: bool,
        is_witness: bool,
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
        self.observations.exchange(self.now, report, is_witness);
    }

    /// Sends this many requests for each model every 100 ms for two seconds, each with a prompt of
    /// [`PROMPT_TOKENS`] and an answer of [`EVENTS`].
    pub fn send_requests(&mut self, large: u32, small: u32) {
        self.report_demand(&[model_load(LARGE, large, 0), model_load(SMALL, small, 0)]);
    }

    /// The same for the smaller model only, with this many refusals among the requests.
    pub fn send_requests_with_refusals(&mut self, arrived: u32, refused: u32) {
        self.report_demand(&[model_load(SMALL, arrived, refused)]);
    }

    fn report_demand(&mut self, models: &[ModelLoad]) {
        for _ in 0..20 {
            self.now += 100;
            self.report_requests(models.to_vec());
        }
        self.report_all();
    }

    /// Makes entries report requests.
    pub fn report_requests(&mut self, models: Vec<ModelLoad>) {
        let report = LoadReport { daemon: "demand".to_string(), scope: None, groups: Vec::new(), models };
        self.observations.exchange(self.now, report, true);
    }

    /// Marks that callers have sent requests: from now on loads are slow and limited.
    pub fn mark_requests_seen(&mut self) {
        self.apply(GatewayCommand::NoteRequests);
    }

    /// The current plan, with no staging in progress.
    pub fn plan(&self) -> Plan {
        plan(&self.view(), &StagingInProgress::default())
    }

    pub fn phase(&self, epoch: u64) -> Option<GroupPhase> {
        self.tables.groups.get(&epoch).map(|group| group.phase)
    }
}

/// The serving groups that a plan forms, as model and members.
pub fn formed_groups(commands: &[GatewayCommand]) -> Vec<(String, Vec<String>)> {
    let groups = commands.iter().filter_map(|command| match command {
        GatewayCommand::Form { model, members, purpose: GroupPurpose::Serve, .. } => {
            Some((model.clone(), members.clone()))
        }
        _ => None,
    });
    groups.collect()
}
