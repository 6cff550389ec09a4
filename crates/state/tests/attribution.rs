//! What attribution costs proper callers, and how many servers end before the culprits are known: requests that end
//! servers beside normal load, dispatched by the table's rules. Run with `--nocapture` for the figures.

use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_state::{GatewayCommand, GatewayTables, Outcome, ServerEnd, Standing, SuspectTry, TrialRequest};
use std::collections::BTreeSet;

const STEP_MS: u64 = 10;
const LASTS_MS: u64 = 12_000;
/// Servers, spread over three zones.
const SERVERS: usize = 15;
const ZONES: [&str; 3] = ["x", "y", "z"];
/// A proper request arrives every so many milliseconds, and runs for so long.
const PROPER_EVERY_MS: u64 = 10;
const PROPER_RUNS_MS: u64 = 900;
/// A culprit comes every so many milliseconds, and ends its server after so long.
const CULPRIT_EVERY_MS: u64 = 250;
const CULPRIT_RUNS_MS: u64 = 50;
/// A server is back after this time.
const BACK_AFTER_MS: u64 = 3_000;
/// From a server's end until all daemons know of it.
const KNOWN_AFTER_MS: u64 = 30;
/// Servers that one try may be sent to.
const MOST_SENDS: u32 = 2;
/// How long a suspect waits for its turn, and for a server without another one.
const TURN_LIMIT_MS: u64 = 1_500;
const SHARE_AFTER_MS: u64 = 700;

/// What is made of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Nothing: each try is judged by itself.
    Forgetful,
    /// Three ends put a request under quarantine; suspects are sent as any other request.
    CountOnly,
    /// Suspects are tried one at a time, and apart.
    Trials,
}

#[derive(Clone, Debug)]
struct Try {
    fingerprint: Fingerprint,
    id: String,
    is_culprit: bool,
    sends: u32,
    /// When it may be sent.
    at_ms: u64,
    waits_since: Option<u64>,
    ends_at_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    runs: Vec<Try>,
    down_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    servers_ended: usize,
    proper: usize,
    whole: usize,
    resumed: usize,
    lost: usize,
    quarantined_proper: usize,
    waited: usize,
}

struct World {
    policy: Policy,
    tables: GatewayTables,
    now_ms: u64,
    servers: Vec<Server>,
    waiting: Vec<Try>,
    trials: u64,
    costs: Costs,
}

fn fingerprint(name: &str) -> Fingerprint {
    let body = name.as_bytes();
    Fingerprint::of(&RequestIdentity { tenant: Some("t"), method: "POST", host: "h", path: "/", body })
}

impl World {
    fn new(policy: Policy) -> World {
        let servers = vec![Server::default(); SERVERS];
        let (tables, costs) = (GatewayTables::default(), Costs::default());
        World { policy, tables, now_ms: 0, servers, waiting: Vec::new(), trials: 0, costs }
    }

    fn arrive(&mut self, name: &str, id: String, is_culprit: bool) {
        let (fingerprint, at_ms) = (fingerprint(name), self.now_ms);
        self.costs.proper += usize::from(!is_culprit);
        self.waiting.push(Try {
            fingerprint,
            id,
            is_culprit,
            sends: 0,
            at_ms,
            waits_since: None,
            ends_at_ms: 0,
        });
    }

    fn standing(&self, fingerprint: Fingerprint) -> Standing {
        if self.policy == Policy::Forgetful {
            return Standing::Unsuspected;
        }
        match self.tables.suspicion.standing(fingerprint, self.now_ms) {
            Standing::Suspect if self.policy == Policy::CountOnly => Standing::Unsuspected,
            standing => standing,
        }
    }

    /// The server with the fewest requests of those that may take one.
    fn idlest(&self, may_take: impl Fn(usize) -> bool) -> Option<usize> {
        let up = (0..SERVERS).filter(|server| self.servers[*server].down_until_ms <= self.now_ms);
        up.filter(|server| may_take(*server)).min_by_key(|server| self.servers[*server].runs.len())
    }

    fn begins_trial(&mut self, fingerprint: Fingerprint, server: usize, may_share: bool) -> bool {
        self.trials += 1;
        let (trial, at_ms) = (self.trials, self.now_ms);
        let request = TrialRequest { fingerprint, trial, instance: server.to_string(), may_share, at_ms };
        self.tables.apply(&GatewayCommand::BeginTrial(request)).outcome == Outcome::Applied
    }

    /// A server for a suspect, if it is its turn.
    fn server_on_trial(&mut self, tried: &Try) -> Option<usize> {
        let against = self.tables.suspicion.zones_against(tried.fingerprint);
        let against: BTreeSet<String> = against.into_iter().map(str::to_string).collect();
        let waited_ms = tried.waits_since.map_or(0, |since| self.now_ms - since);
        let mut taken = BTreeSet::new();
        let is_elsewhere = |server: usize| !against.contains(ZONES[server % ZONES.len()]);
        while let Some(server) = self
            .idlest(|server| is_elsewhere(server) && !taken.contains(&server))
            .or_else(|| self.idlest(|server| !taken.contains(&server)))
        {
            if self.begins_trial(tried.fingerprint, server, waited_ms >= SHARE_AFTER_MS) {
                return Some(server);
            }
            taken.insert(server);
        }
        None
    }

    fn send(&mut self, mut tried: Try) {
        let server = match self.standing(tried.fingerprint) {
            Standing::Quarantined => {
                self.costs.quarantined_proper += usize::from(!tried.is_culprit);
                return;
            }
            Standing::Unsuspected => {
                let suspicion = &self.tables.suspicion;
                self.idlest(|server| !suspicion.is_in_danger(&server.to_string()))
            }
            Standing::Suspect => self.server_on_trial(&tried),
        };
        let Some(server) = server else {
            let since = *tried.waits_since.get_or_insert(self.now_ms);
            self.costs.waited += usize::from(!tried.is_culprit && since == self.now_ms);
            tried.at_ms = self.now_ms + 10 * STEP_MS;
            if self.now_ms - since < TURN_LIMIT_MS {
                self.waiting.push(tried);
            } else {
                self.costs.lost += usize::from(!tried.is_culprit);
            }
            return;
        };
        tried.sends += 1;
        tried.ends_at_ms = self.now_ms + if tried.is_culprit { CULPRIT_RUNS_MS } else { PROPER_RUNS_MS };
        self.servers[server].runs.push(tried);
    }

    /// A server's process ends with all that it runs.
    fn end_server(&mut self, server: usize) {
        self.costs.servers_ended += 1;
        self.servers[server].down_until_ms = self.now_ms + BACK_AFTER_MS;
        let runs = std::mem::take(&mut self.servers[server].runs);
        let (instance, zone) = (server.to_string(), ZONES[server % ZONES.len()].to_string());
        let tries = runs.iter().map(|run| SuspectTry {
            fingerprint: run.fingerprint,
            request: run.id.clone(),
            tenant: None,
            route: String::new(),
        });
        let (at_ms, daemon) = (self.now_ms, "e".to_string());
        let end = ServerEnd { instance, zone, at_ms, daemon, tries: tries.collect() };
        if self.policy != Policy::Forgetful {
            self.tables.apply(&GatewayCommand::ServerEnded(end));
        }
        for mut run in runs {
            if run.sends < MOST_SENDS {
                self.costs.resumed += usize::from(!run.is_culprit);
                run.at_ms = self.now_ms + KNOWN_AFTER_MS;
                self.waiting.push(run);
            } else {
                self.costs.lost += usize::from(!run.is_culprit);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for server in 0..SERVERS {
            let now_ms = self.now_ms;
            let is_over = |run: &Try| run.ends_at_ms <= now_ms;
            if self.servers[server].runs.iter().any(|run| run.is_culprit && is_over(run)) {
                self.end_server(server);
                continue;
            }
            let done: Vec<Try> = self.servers[server].runs.extract_if(.., |run| is_over(run)).collect();
            for run in done {
                self.costs.whole += 1;
                let (fingerprint, reason) = (run.fingerprint, String::new());
                self.tables.apply(&GatewayCommand::ClearRequest { fingerprint, reason });
            }
        }
        let now_ms = self.now_ms;
        let due: Vec<Try> = self.waiting.extract_if(.., |tried| tried.at_ms <= now_ms).collect();
        due.into_iter().for_each(|tried| self.send(tried));
    }
}

fn costs(policy: Policy, culprits: u64) -> Costs {
    let mut world = World::new(policy);
    while world.now_ms < LASTS_MS {
        world.step();
        let now_ms = world.now_ms;
        if now_ms.is_multiple_of(PROPER_EVERY_MS) {
            world.arrive(&format!("proper-{now_ms}"), format!("p-{now_ms}"), false);
        }
        for culprit in 0..culprits {
            if now_ms > 1_000 && (now_ms + culprit * 70).is_multiple_of(CULPRIT_EVERY_MS) {
                world.arrive(&format!("culprit-{culprit}"), format!("c-{culprit}-{now_ms}"), true);
            }
        }
    }
    println!("{policy:?}, {culprits} culprits: {:?}", world.costs);
    world.costs
}

#[yare::parameterized(
    one = { 1 },
    three = { 3 },
    ten = { 10 },
)]
fn trials_end_fewer_servers_and_lose_fewer_answers(culprits: u64) {
    let forgetful = costs(Policy::Forgetful, culprits);
    let count_only = costs(Policy::CountOnly, culprits);
    let trials = costs(Policy::Trials, culprits);
    assert_eq!(trials.quarantined_proper, 0, "no proper request is refused for another one's ends");
    assert!(trials.servers_ended <= 5 * culprits as usize, "{trials:?}");
    assert!(trials.servers_ended <= count_only.servers_ended, "{trials:?} {count_only:?}");
    assert!(count_only.servers_ended < forgetful.servers_ended, "{count_only:?} {forgetful:?}");
    assert!(trials.whole > forgetful.whole, "{trials:?} {forgetful:?}");
}
