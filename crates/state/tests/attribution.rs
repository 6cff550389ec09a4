//! Simulates requests that crash servers among normal load, dispatched by the rules of the suspicion table. Measures how
//! many servers crash before the culprits are quarantined, and what attribution costs normal callers. Run with
//! `--nocapture` for the figures.

use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_state::{
    CrashReport, GatewayCommand, GatewayTables, Outcome, SuspectAttempt, SuspicionStatus, TrialRequest,
};
use std::collections::BTreeSet;

const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 12_000;
/// Number of servers, spread over three zones.
const SERVERS: usize = 15;
const ZONES: [&str; 3] = ["x", "y", "z"];
/// Interval between normal requests, and their duration.
const NORMAL_INTERVAL_MS: u64 = 10;
const NORMAL_DURATION_MS: u64 = 900;
/// Interval between requests of one culprit, and the time after which one crashes its server.
const CULPRIT_INTERVAL_MS: u64 = 250;
const CULPRIT_DURATION_MS: u64 = 50;
/// Time that a crashed server takes to restart.
const RESTART_MS: u64 = 3_000;
/// Time from a crash until all daemons know about it.
const PROPAGATION_MS: u64 = 30;
/// Maximum number of servers that one request may be sent to.
const MAX_SENDS: u32 = 2;
/// How long a suspect waits for a trial before it is given up, and before it may share a server with another suspect.
const TRIAL_WAIT_LIMIT_MS: u64 = 1_500;
const SHARE_AFTER_MS: u64 = 700;

/// How crash evidence is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Not at all: each attempt is dispatched as if there had been no crash.
    NoHistory,
    /// Three crashes quarantine a request; suspects are dispatched like any other request.
    CountOnly,
    /// Suspects are tried one at a time, on separate servers.
    Trials,
}

#[derive(Clone, Debug)]
struct Attempt {
    fingerprint: Fingerprint,
    id: String,
    is_culprit: bool,
    sends: u32,
    /// Earliest time to send it.
    at_ms: u64,
    waiting_since: Option<u64>,
    ends_at_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: Vec<Attempt>,
    down_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    crashes: usize,
    normal: usize,
    completed: usize,
    retried: usize,
    lost: usize,
    quarantined_normal: usize,
    delayed: usize,
}

struct Simulation {
    policy: Policy,
    tables: GatewayTables,
    now_ms: u64,
    servers: Vec<Server>,
    waiting: Vec<Attempt>,
    trials: u64,
    costs: Costs,
}

fn fingerprint(name: &str) -> Fingerprint {
    let body = name.as_bytes();
    Fingerprint::of(&RequestIdentity { tenant: Some("t"), method: "POST", host: "h", path: "/", body })
}

impl Simulation {
    fn new(policy: Policy) -> Simulation {
        let servers = vec![Server::default(); SERVERS];
        let (tables, costs) = (GatewayTables::default(), Costs::default());
        Simulation { policy, tables, now_ms: 0, servers, waiting: Vec::new(), trials: 0, costs }
    }

    fn arrive(&mut self, name: &str, id: String, is_culprit: bool) {
        let (fingerprint, at_ms) = (fingerprint(name), self.now_ms);
        self.costs.normal += usize::from(!is_culprit);
        self.waiting.push(Attempt {
            fingerprint,
            id,
            is_culprit,
            sends: 0,
            at_ms,
            waiting_since: None,
            ends_at_ms: 0,
        });
    }

    fn status(&self, fingerprint: Fingerprint) -> SuspicionStatus {
        if self.policy == Policy::NoHistory {
            return SuspicionStatus::Unsuspected;
        }
        match self.tables.suspicion.status(fingerprint, self.now_ms) {
            SuspicionStatus::Suspect if self.policy == Policy::CountOnly => SuspicionStatus::Unsuspected,
            status => status,
        }
    }

    /// The running server with the fewest requests among those that `is_allowed` accepts.
    fn least_loaded(&self, is_allowed: impl Fn(usize) -> bool) -> Option<usize> {
        let up = (0..SERVERS).filter(|server| self.servers[*server].down_until_ms <= self.now_ms);
        up.filter(|server| is_allowed(*server)).min_by_key(|server| self.servers[*server].running.len())
    }

    fn begin_trial(&mut self, fingerprint: Fingerprint, server: usize, may_share: bool) -> bool {
        self.trials += 1;
        let (trial, at_ms) = (self.trials, self.now_ms);
        let request = TrialRequest { fingerprint, trial, instance: server.to_string(), may_share, at_ms };
        self.tables.apply(&GatewayCommand::BeginTrial(request)).outcome == Outcome::Applied
    }

    /// Selects a server for a suspect, if a trial is granted.
    fn trial_server(&mut self, attempt: &Attempt) -> Option<usize> {
        let crash_zones = self.tables.suspicion.crash_zones(attempt.fingerprint);
        let crash_zones: BTreeSet<String> = crash_zones.into_iter().map(str::to_string).collect();
        let waited_ms = attempt.waiting_since.map_or(0, |since| self.now_ms - since);
        let mut refused = BTreeSet::new();
        let is_in_other_zone = |server: usize| !crash_zones.contains(ZONES[server % ZONES.len()]);
        while let Some(server) = self
            .least_loaded(|server| is_in_other_zone(server) && !refused.contains(&server))
            .or_else(|| self.least_loaded(|server| !refused.contains(&server)))
        {
            if self.begin_trial(attempt.fingerprint, server, waited_ms >= SHARE_AFTER_MS) {
                return Some(server);
            }
            refused.insert(server);
        }
        None
    }

    fn send(&mut self, mut attempt: Attempt) {
        let server = match self.status(attempt.fingerprint) {
            SuspicionStatus::Quarantined => {
                self.costs.quarantined_normal += usize::from(!attempt.is_culprit);
                return;
            }
            SuspicionStatus::Unsuspected => {
                let suspicion = &self.tables.suspicion;
                self.least_loaded(|server| !suspicion.has_dangerous_trial(&server.to_string()))
            }
            SuspicionStatus::Suspect => self.trial_server(&attempt),
        };
        let Some(server) = server else {
            let since = *attempt.waiting_since.get_or_insert(self.now_ms);
            self.costs.delayed += usize::from(!attempt.is_culprit && since == self.now_ms);
            attempt.at_ms = self.now_ms + 10 * STEP_MS;
            if self.now_ms - since < TRIAL_WAIT_LIMIT_MS {
                self.waiting.push(attempt);
            } else {
                self.costs.lost += usize::from(!attempt.is_culprit);
            }
            return;
        };
        attempt.sends += 1;
        attempt.ends_at_ms =
            self.now_ms + if attempt.is_culprit { CULPRIT_DURATION_MS } else { NORMAL_DURATION_MS };
        self.servers[server].running.push(attempt);
    }

    /// Crashes a server, which aborts all attempts that it is running.
    fn crash_server(&mut self, server: usize) {
        self.costs.crashes += 1;
        self.servers[server].down_until_ms = self.now_ms + RESTART_MS;
        let aborted = std::mem::take(&mut self.servers[server].running);
        let (instance, zone) = (server.to_string(), ZONES[server % ZONES.len()].to_string());
        let tries = aborted.iter().map(|attempt| SuspectAttempt {
            fingerprint: attempt.fingerprint,
            request: attempt.id.clone(),
            tenant: None,
            route: String::new(),
        });
        let (at_ms, daemon) = (self.now_ms, "e".to_string());
        let report = CrashReport { instance, zone, at_ms, daemon, tries: tries.collect() };
        if self.policy != Policy::NoHistory {
            self.tables.apply(&GatewayCommand::ServerEnded(report));
        }
        for mut attempt in aborted {
            if attempt.sends < MAX_SENDS {
                self.costs.retried += usize::from(!attempt.is_culprit);
                attempt.at_ms = self.now_ms + PROPAGATION_MS;
                self.waiting.push(attempt);
            } else {
                self.costs.lost += usize::from(!attempt.is_culprit);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for server in 0..SERVERS {
            let now_ms = self.now_ms;
            let is_over = |attempt: &Attempt| attempt.ends_at_ms <= now_ms;
            if self.servers[server].running.iter().any(|attempt| attempt.is_culprit && is_over(attempt)) {
                self.crash_server(server);
                continue;
            }
            let completed: Vec<Attempt> =
                self.servers[server].running.extract_if(.., |attempt| is_over(attempt)).collect();
            for attempt in completed {
                self.costs.completed += 1;
                let (fingerprint, reason) = (attempt.fingerprint, String::new());
                self.tables.apply(&GatewayCommand::ClearRequest { fingerprint, reason });
            }
        }
        let now_ms = self.now_ms;
        let due: Vec<Attempt> = self.waiting.extract_if(.., |attempt| attempt.at_ms <= now_ms).collect();
        due.into_iter().for_each(|attempt| self.send(attempt));
    }
}

fn simulate(policy: Policy, culprits: u64) -> Costs {
    let mut simulation = Simulation::new(policy);
    while simulation.now_ms < DURATION_MS {
        simulation.step();
        let now_ms = simulation.now_ms;
        if now_ms.is_multiple_of(NORMAL_INTERVAL_MS) {
            simulation.arrive(&format!("proper-{now_ms}"), format!("p-{now_ms}"), false);
        }
        for culprit in 0..culprits {
            if now_ms > 1_000 && (now_ms + culprit * 70).is_multiple_of(CULPRIT_INTERVAL_MS) {
                simulation.arrive(&format!("culprit-{culprit}"), format!("c-{culprit}-{now_ms}"), true);
            }
        }
    }
    println!("{policy:?}, {culprits} culprits: {:?}", simulation.costs);
    simulation.costs
}

#[yare::parameterized(
    one = { 1 },
    three = { 3 },
    ten = { 10 },
)]
fn trials_crash_fewer_servers_and_lose_fewer_responses(culprits: u64) {
    let no_history = simulate(Policy::NoHistory, culprits);
    let count_only = simulate(Policy::CountOnly, culprits);
    let trials = simulate(Policy::Trials, culprits);
    assert_eq!(trials.quarantined_normal, 0, "no normal request is refused for the crashes of another one");
    assert!(trials.crashes <= 5 * culprits as usize, "{trials:?}");
    assert!(trials.crashes <= count_only.crashes, "{trials:?} {count_only:?}");
    assert!(count_only.crashes < no_history.crashes, "{count_only:?} {no_history:?}");
    assert!(trials.completed > no_history.completed, "{trials:?} {no_history:?}");
}
