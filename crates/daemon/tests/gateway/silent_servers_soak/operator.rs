//! An operator that submits configurations, and probes that tell which of them entries have in force.

use super::records::lock;
use super::schedule::{Change, Storm};
use super::server::Defect;
use crate::fixture::configuration;
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time in which an accepted configuration is in force.
pub const APPLIED_WITHIN: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);
/// A configuration that is not accepted is submitted again for this time.
const SUBMITTED_FOR: Duration = Duration::from_secs(6);
const PROBE_INTERVAL: Duration = Duration::from_millis(120);
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
const EXTRA_ROUTES: usize = 150;

/// A configuration that was submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub version: u64,
    pub is_valid: bool,
    pub sent: Instant,
    pub accepted: Option<Instant>,
    pub refused: Option<Instant>,
    content: Arc<Value>,
}

/// What a probe asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbedRoute {
    /// A route that this version and all later ones have.
    Since(u64),
    /// A route that only this version has.
    Only(u64),
}

/// A request that shows which configuration an entry has in force.
#[derive(Clone, Debug)]
pub struct Probe {
    pub entry: usize,
    pub route: ProbedRoute,
    pub sent: Instant,
    pub ended: Instant,
    pub status: Option<u16>,
}

/// A read of the configuration at a member.
#[derive(Clone, Debug)]
pub struct Read {
    pub sent: Instant,
    pub version: u64,
}

/// The operator.
pub struct Operator {
    pub http: Client,
    pub operators: Vec<SocketAddr>,
    pub submissions: Mutex<Vec<Submission>>,
    pub defect: Defect,
}

impl Operator {
    /// Submits the configurations of all storms.
    pub async fn submit_storms(self: Arc<Self>, started: Instant, mut storms: Vec<Storm>) {
        storms.sort_by_key(|storm| storm.at_ms);
        for storm in storms {
            tokio::time::sleep_until((started + Duration::from_millis(storm.at_ms)).into()).await;
            for change in storm.changes {
                self.submit(change).await;
                tokio::time::sleep(Duration::from_millis(storm.gap_ms)).await;
            }
        }
        if self.defect == Defect::InventsConfiguration {
            let submission = self.new_submission(Change::Timeouts);
            self.update(submission.version, |submission| submission.accepted = Some(Instant::now()));
        }
    }

    fn update(&self, version: u64, change: impl FnOnce(&mut Submission)) {
        let mut submissions = lock(&self.submissions);
        if let Some(submission) = submissions.iter_mut().find(|submission| submission.version == version) {
            change(submission);
        }
    }

    fn new_submission(&self, change: Change) -> Submission {
        let mut submissions = lock(&self.submissions);
        let version = submissions.last().map_or(1, |submission| submission.version) + 1;
        let is_valid = !matches!(change, Change::Invalid);
        let mut since: Vec<u64> =
            submissions.iter().filter(|earlier| earlier.is_valid).map(|earlier| earlier.version).collect();
        since.push(version);
        let submission = Submission {
            version,
            is_valid,
            sent: Instant::now(),
            accepted: None,
            refused: None,
            content: Arc::new(changed_configuration(version, &since, change)),
        };
        submissions.push(submission.clone());
        submission
    }

    /// Submits a configuration, at one member after the other, until it is accepted or refused.
    pub async fn submit(&self, change: Change) {
        let submission = self.new_submission(change);
        let mut turn = submission.version as usize;
        while submission.sent.elapsed() < SUBMITTED_FOR {
            let address = self.operators[turn % self.operators.len()];
            let url = format!("http://{address}/v1/gateway/configuration");
            let call = self.http.put(url).timeout(CALL_TIMEOUT).json(&*submission.content).send();
            let status = call.await.ok().map(|response| response.status());
            let now = Some(Instant::now());
            match status {
                Some(StatusCode::OK) => {
                    return self.update(submission.version, |submission| submission.accepted = now);
                }
                Some(StatusCode::BAD_REQUEST | StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY) => {
                    return self.update(submission.version, |submission| submission.refused = now);
                }
                _ => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
            turn += 1;
        }
    }

    /// Returns the newest version that was accepted before `at`.
    pub fn accepted_before(&self, at: Instant) -> Option<u64> {
        let submissions = lock(&self.submissions);
        let accepted =
            submissions.iter().filter(|submission| submission.accepted.is_some_and(|time| time < at));
        accepted.map(|submission| submission.version).max()
    }

    /// Returns the content of a configuration as it was submitted.
    pub fn content_of(&self, version: u64) -> Option<Arc<Value>> {
        let submissions = lock(&self.submissions);
        submissions
            .iter()
            .find(|submission| submission.version == version)
            .map(|submission| submission.content.clone())
    }

    /// Reads the configuration at a member; `None` if it returns none.
    pub async fn read(&self, address: SocketAddr) -> Option<Value> {
        let url = format!("http://{address}/v1/gateway/configuration");
        let response = self.http.get(url).timeout(CALL_TIMEOUT).send().await.ok()?;
        (response.status() == StatusCode::OK).then_some(())?;
        response.json().await.ok()
    }

    /// Reads versions at all members in turn until the run is over.
    pub async fn keep_reading(self: Arc<Self>, is_over: Arc<AtomicBool>) -> Vec<Read> {
        let mut reads = Vec::new();
        for turn in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            let sent = Instant::now();
            let content = self.read(self.operators[turn % self.operators.len()]).await;
            let version = content.and_then(|content| content["version"].as_u64());
            reads.extend(version.map(|version| Read { sent, version }));
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        reads
    }

    /// Selects the route of the next probe: one that must be there, one that may be there, one that must not be there.
    fn next_route(&self, turn: usize) -> Option<ProbedRoute> {
        let now = Instant::now();
        let in_force = self.accepted_before(now.checked_sub(APPLIED_WITHIN)?);
        let submissions = lock(&self.submissions);
        let valid = || submissions.iter().filter(|submission| submission.is_valid);
        match turn % 4 {
            0 | 1 => in_force.map(ProbedRoute::Since),
            2 => valid().next_back().map(|newest| ProbedRoute::Since(newest.version)),
            _ => {
                let refused = submissions.iter().rfind(|submission| submission.refused.is_some());
                let refused = refused.filter(|_| turn % 8 == 3);
                let dropped =
                    valid().rfind(|submission| in_force.is_some_and(|held| submission.version < held));
                refused.or(dropped).map(|submission| ProbedRoute::Only(submission.version))
            }
        }
    }

    /// Probes an entry until the run is over.
    pub async fn keep_probing(
        self: Arc<Self>,
        entry: usize,
        entry_url: String,
        is_over: Arc<AtomicBool>,
    ) -> Vec<Probe> {
        let mut probes = Vec::new();
        for turn in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            if let Some(route) = self.next_route(turn) {
                let sent = Instant::now();
                let path = match route {
                    ProbedRoute::Since(version) => format!("since-{version}"),
                    ProbedRoute::Only(version) => format!("only-{version}"),
                };
                let request = self
                    .http
                    .post(format!("{entry_url}/{path}/probe"))
                    .header("host", "h.example")
                    .header("authorization", "Bearer key-1")
                    .header("dockwood-attempt", format!("probe-{entry}-{turn}"))
                    .timeout(PROBE_TIMEOUT);
                let status = request.send().await.ok().map(|response| response.status().as_u16());
                probes.push(Probe { entry, route, sent, ended: Instant::now(), status });
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        probes
    }
}

/// Returns a configuration with routes that show its version.
fn changed_configuration(version: u64, since: &[u64], change: Change) -> Value {
    let mut content = soak_configuration(version);
    let template = content["routes"][1].clone();
    let route = |name: String| {
        let mut route = template.clone();
        route["path_prefix"] = json!(format!("/{name}/"));
        route["name"] = json!(name);
        route
    };
    let mut added: Vec<Value> = since.iter().map(|version| route(format!("since-{version}"))).collect();
    added.push(route(format!("only-{version}")));
    match change {
        Change::ManyRoutes => added.extend((0..EXTRA_ROUTES).map(|number| route(format!("extra-{number}")))),
        Change::Invalid => added.push(route(format!("only-{version}"))),
        Change::Keys => content["tenants"][0]["keys"] = json!(["key-1", format!("key-of-{version}")]),
        Change::Quotas => {
            let other = json!({ "name": "other", "keys": [format!("other-{version}")], "priority": 3 });
            if let Some(tenants) = content["tenants"].as_array_mut() {
                tenants.push(other);
            }
        }
        Change::Timeouts | Change::Priorities => {}
    }
    if let Some(routes) = content["routes"].as_array_mut() {
        for route in routes.iter_mut() {
            match change {
                Change::Timeouts => route["timeout_ms"] = json!(15_000 + version % 7 * 500),
                Change::Priorities => route["priority"] = json!(version % 3),
                _ => {}
            }
        }
        routes.extend(added);
    }
    content
}

/// Returns a configuration with a route for each kind of requests.
pub fn soak_configuration(version: u64) -> Value {
    let mut content = configuration(version);
    if let Some(routes) = content["routes"].as_array_mut() {
        let mut route = routes[0].clone();
        route["name"] = json!("stream-once");
        route["path_prefix"] = json!("/stream-once/");
        route["resumable"] = json!(false);
        route["max_attempts"] = json!(1);
        routes.push(route);
    }
    content
}
