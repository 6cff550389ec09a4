//! An operator that submits and reads configurations.

use super::change::{Change, changed_configuration, rival_configuration};
use dockwood_daemon::lock::lock;
use reqwest::{Client, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a configuration for each additional millisecond of the time limit.
const BYTES_PER_MS: usize = 2_000;
/// The first call of one configuration in this many is abandoned, as if its response were lost.
const ABANDONED_EVERY: u64 = 5;
/// Time after which it is abandoned: it may have taken effect or not.
const ABANDONED_AFTER: Duration = Duration::from_millis(15);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);
/// A configuration that is not accepted is submitted again for this time.
const SUBMITTED_FOR: Duration = Duration::from_secs(6);
const READ_INTERVAL: Duration = Duration::from_millis(120);

/// A wrong record of the operator, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// It takes a configuration for accepted that it never sent.
    InventsConfiguration,
    /// It takes an invalid configuration for accepted.
    AcceptsInvalid,
    /// It sends other content than it records.
    SendsOtherContent,
}

/// A configuration that was submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub version: u64,
    pub is_valid: bool,
    pub sent: Instant,
    pub accepted: Option<Instant>,
    pub refused: Option<Instant>,
    /// When it was refused although it had been accepted.
    pub refused_again: Option<Instant>,
    pub routes: usize,
    content: Arc<Value>,
}

/// A read of the configuration at a member.
#[derive(Clone, Debug)]
pub struct Read {
    pub sent: Instant,
    pub version: u64,
    /// Whether it is what was submitted under this version.
    pub is_as_submitted: bool,
}

/// The operator.
pub struct Operator {
    pub http: Client,
    pub operators: Vec<SocketAddr>,
    pub defect: Defect,
    /// The first configuration, which all others extend.
    pub base: Value,
    submissions: Mutex<Vec<Submission>>,
    /// Number of additional routes of the next configurations.
    extra_routes: AtomicUsize,
    /// The member that has accepted the newest configuration.
    last_acceptor: Mutex<Option<SocketAddr>>,
}

impl Operator {
    pub fn new(http: Client, operators: Vec<SocketAddr>, base: Value, defect: Defect) -> Operator {
        Operator {
            http,
            operators,
            defect,
            base,
            submissions: Mutex::default(),
            extra_routes: AtomicUsize::new(0),
            last_acceptor: Mutex::default(),
        }
    }

    pub fn submissions(&self) -> Vec<Submission> {
        lock(&self.submissions).clone()
    }

    /// Returns the member that has accepted the newest configuration since the last call.
    pub fn take_last_acceptor(&self) -> Option<SocketAddr> {
        lock(&self.last_acceptor).take()
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
        let is_valid = !matches!(change, Change::Invalid(_));
        let mut since: Vec<u64> =
            submissions.iter().filter(|earlier| earlier.is_valid).map(|earlier| earlier.version).collect();
        since.push(version);
        if let Change::ManyRoutes(count) = change {
            self.extra_routes.store(count, Ordering::SeqCst);
        }
        let extra_routes = self.extra_routes.load(Ordering::SeqCst);
        let content = changed_configuration(self.base.clone(), version, &since, extra_routes, change);
        let submission = Submission {
            version,
            is_valid,
            sent: Instant::now(),
            accepted: None,
            refused: None,
            refused_again: None,
            routes: content["routes"].as_array().map_or(0, Vec::len),
            content: Arc::new(content),
        };
        submissions.push(submission.clone());
        submission
    }

    /// Submits a configuration, at one member after the other, until it is accepted or refused.
    pub async fn submit(&self, change: Change) -> Option<u64> {
        let submission = self.new_submission(change);
        let version = submission.version;
        let mut content = submission.content.clone();
        if self.defect == Defect::SendsOtherContent {
            content = Arc::new(rival_configuration(&content));
        }
        if version.is_multiple_of(ABANDONED_EVERY) {
            let address = self.operators[version as usize % self.operators.len()];
            let _ = tokio::time::timeout(ABANDONED_AFTER, self.put(address, &content)).await;
        }
        let mut turn = version as usize + 1;
        while submission.sent.elapsed() < SUBMITTED_FOR {
            let address = self.operators[turn % self.operators.len()];
            let status = self.put(address, &content).await;
            let now = Some(Instant::now());
            match status {
                Some(StatusCode::OK) => {
                    self.update(version, |submission| submission.accepted = now);
                    *lock(&self.last_acceptor) = Some(address);
                    return Some(version);
                }
                Some(status) if is_refusal(status) => {
                    self.update(version, |submission| submission.refused = now);
                    break;
                }
                _ => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
            turn += 1;
        }
        if self.defect == Defect::AcceptsInvalid && !submission.is_valid {
            self.update(version, |submission| submission.accepted = Some(Instant::now()));
        }
        None
    }

    /// Submits an accepted configuration again, and another one under its version. Neither may change anything.
    pub async fn submit_again(&self, version: u64) {
        let Some(content) = self.content_of(version) else { return };
        let address = self.operators[(version as usize + 1) % self.operators.len()];
        let status = self.put(address, &content).await;
        if status.is_some_and(is_refusal) {
            self.update(version, |submission| submission.refused_again = Some(Instant::now()));
        }
        let address = self.operators[(version as usize + 2) % self.operators.len()];
        let _ = self.put(address, &rival_configuration(&content)).await;
    }

    /// Records a configuration as accepted that was never sent.
    pub fn invent_configuration(&self) {
        let submission = self.new_submission(Change::Timeouts);
        self.update(submission.version, |submission| submission.accepted = Some(Instant::now()));
    }

    async fn put(&self, address: SocketAddr, content: &Value) -> Option<StatusCode> {
        let url = format!("http://{address}/v1/gateway/configuration");
        let body = content.to_string();
        let limit = CALL_TIMEOUT + Duration::from_millis((body.len() / BYTES_PER_MS) as u64);
        let call = self.http.put(url).timeout(limit).body(body).send();
        call.await.ok().map(|response| response.status())
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
        let submission = submissions.iter().find(|submission| submission.version == version);
        submission.map(|submission| submission.content.clone())
    }

    /// Reads the configuration at a member; `None` if it returns none.
    pub async fn read(&self, address: SocketAddr) -> Option<Read> {
        let sent = Instant::now();
        let url = format!("http://{address}/v1/gateway/configuration");
        let response = self.http.get(url).timeout(CALL_TIMEOUT).send().await.ok()?;
        (response.status() == StatusCode::OK).then_some(())?;
        let content: Value = response.json().await.ok()?;
        let version = content["version"].as_u64().unwrap_or(0);
        let submitted = self.content_of(version);
        let is_first = content == self.base;
        let is_as_submitted = is_first || submitted.is_some_and(|submitted| *submitted == content);
        Some(Read { sent, version, is_as_submitted })
    }

    /// Reads the configuration at all members in turn until the run is over.
    pub async fn keep_reading(self: Arc<Self>, is_over: Arc<AtomicBool>) -> Vec<Read> {
        let mut reads = Vec::new();
        for turn in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            reads.extend(self.read(self.operators[turn % self.operators.len()]).await);
            tokio::time::sleep(READ_INTERVAL).await;
        }
        reads
    }

    /// Reads the configuration at one member after the other until one returns it, for `limit` at most.
    pub async fn read_back(&self, limit: Duration) -> Option<Read> {
        let started = Instant::now();
        for turn in 0.. {
            if started.elapsed() >= limit {
                break;
            }
            let read = self.read(self.operators[turn % self.operators.len()]).await;
            if read.is_some() {
                return read;
            }
            tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
        }
        None
    }
}

fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::CONFLICT
            | StatusCode::PRECONDITION_FAILED
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY
    )
}
