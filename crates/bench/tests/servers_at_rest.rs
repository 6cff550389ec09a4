//! Chat requests and service calls must respect servers that ask for a pause, as requests of the gateway do.
//! Without that, they are sent to such servers as before. The same applies to servers that announce a rate limit,
//! which all daemons together must keep.

use dockwood_api::ResultCode;
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{Preset, Sizes, Topology, own_network};
use dockwood_emulator::{BACKOFF_S, LedgerRecord, read_ledger};
use reqwest::{Client, StatusCode};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

mod common;

use common::TestFolder;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of requests that a server may reject during one pause: the one in whose response it asks for the
/// pause, and one that was in flight at the same time.
const MAX_REJECTED: usize = 2;
/// Delay between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

struct Caller {
    fleet: RunningFleet,
    http: Client,
    folder: TestFolder,
}

/// Status and result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    status: StatusCode,
    /// The result code of a failure.
    code: Option<u64>,
    /// Value of the `Retry-After` header, in seconds.
    retry_after_s: Option<u64>,
}

impl Caller {
    async fn start(network: u8) -> Result<Caller, Box<dyn std::error::Error>> {
        let folder = TestFolder::new()?;
        let sizes = Sizes { daemons: 3, servers: 30, plain_servers: 2, tenants: 3, ..Sizes::default() };
        let topology = Topology::new(Preset::Brokerage, sizes, own_network() + network, folder.path());
        let fleet = RunningFleet::start(topology).await?;
        fleet.apply_resources(TIMEOUT).await?;
        Ok(Caller { fleet, http: Client::new(), folder })
    }

    async fn chat(&self) -> Result<Answer, reqwest::Error> {
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": 5,
            "messages": [{ "role": "user", "content": "a proper prompt" }],
        });
        self.ask(self.http.post(self.url("/v1/chat/completions")).json(&body)).await
    }

    async fn call(&self) -> Result<Answer, reqwest::Error> {
        let service = &self.fleet.topology.emulator.services[0].name;
        self.ask(self.http.get(self.url(&format!("/services/{service}/status")))).await
    }

    /// All requests go to one daemon, because each daemon learns of a pause from its own requests.
    fn url(&self, path: &str) -> String {
        self.url_at(0, path)
    }

    fn url_at(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.fleet.entry_addresses()[daemon])
    }

    /// Calls the service through all daemons concurrently for a while. Returns the numbers of answered and refused
    /// calls.
    async fn call_all_daemons(&self, span: Duration) -> Result<(usize, usize), reqwest::Error> {
        let until = Instant::now() + span;
        let service = &self.fleet.topology.emulator.services[0].name;
        let path = format!("/services/{service}/status");
        let calls = (0..self.fleet.entry_addresses().len()).map(|daemon| {
            let url = self.url_at(daemon, &path);
            async move {
                let (mut answered, mut refused) = (0, 0);
                while Instant::now() < until {
                    match self.ask(self.http.get(&url)).await?.status {
                        StatusCode::OK => answered += 1,
                        _ => refused += 1,
                    }
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
                Ok((answered, refused))
            }
        });
        let counts = futures::future::try_join_all(calls).await?;
        Ok(counts.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1)))
    }

    /// Times at which a plain server was called, in milliseconds since the Unix epoch.
    fn call_times(&self, server: &str) -> std::io::Result<Vec<u64>> {
        let records = read_ledger(&self.fleet.topology.emulator.ledger)?;
        let call = |record: LedgerRecord| match record {
            LedgerRecord::ServiceCalled { server: name, at_ms, .. } if name == server => Some(at_ms),
            _ => None,
        };
        Ok(records.into_iter().filter_map(call).collect())
    }

    async fn ask(&self, request: reqwest::RequestBuilder) -> Result<Answer, reqwest::Error> {
        let request = request.bearer_auth(&self.fleet.topology.tenants[0].key).timeout(TIMEOUT);
        let answer = request.send().await?;
        let status = answer.status();
        let header = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let retry_after_s = header.and_then(|text| text.parse().ok());
        let body: serde_json::Value = answer.json().await.unwrap_or_default();
        Ok(Answer { status, code: body["error"]["code"].as_u64(), retry_after_s })
    }

    /// Number of requests that a server has rejected.
    fn rejected(&self, server: &str) -> std::io::Result<usize> {
        let records = read_ledger(&self.fleet.topology.emulator.ledger)?;
        let is_by_server = |record: &&LedgerRecord| matches!(record, LedgerRecord::RequestRejected { server: name, .. } if name == server);
        Ok(records.iter().filter(is_by_server).count())
    }

    /// Heads of all groups that were formed.
    fn heads(&self) -> std::io::Result<BTreeSet<String>> {
        let records = read_ledger(&self.fleet.topology.emulator.ledger)?;
        let head = |record: LedgerRecord| match record {
            LedgerRecord::GroupFormed { members, .. } => members.into_iter().next(),
            _ => None,
        };
        Ok(records.into_iter().filter_map(head).collect())
    }

    async fn change(&self, servers: impl IntoIterator<Item = &String>, change: &str) -> std::io::Result<()> {
        for server in servers {
            self.fleet.change_machine(server, change).await?;
        }
        Ok(())
    }

    fn plain_servers(&self) -> Vec<String> {
        self.fleet.topology.emulator.services[0].servers.iter().map(|server| server.name.clone()).collect()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_calls_skip_a_paused_server_and_are_answered_by_the_other() -> TestResult {
    let caller = Caller::start(5).await?;
    let servers = caller.plain_servers();
    caller.change([&servers[0]], "rest").await?;
    let until = Instant::now() + Duration::from_secs(BACKOFF_S);
    while Instant::now() < until {
        let answer = caller.call().await?;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let rejected = caller.rejected(&servers[0])?;
    assert!((1..=MAX_REJECTED).contains(&rejected), "{rejected} calls during its pause");
    caller.folder.remove()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_calls_are_refused_immediately_while_all_servers_pause_or_leave() -> TestResult {
    let caller = Caller::start(6).await?;
    let servers = caller.plain_servers();
    caller.change(&servers, "rest").await?;
    // The daemon learns of the pauses from the first calls, whose rejections it passes on.
    for _ in 0..4 {
        assert_eq!(caller.call().await?.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let refused = caller.call().await?;
    assert_eq!(refused.code, Some(u64::from(ResultCode::ServersResting.number())), "{refused:?}");
    assert!(
        refused.retry_after_s.is_some_and(|seconds| (1..=2 * BACKOFF_S).contains(&seconds)),
        "{refused:?}"
    );
    for server in &servers {
        assert!(caller.rejected(server)? <= MAX_REJECTED);
    }
    caller.change(&servers, "say-leaving").await?;
    tokio::time::sleep(Duration::from_secs(2 * BACKOFF_S)).await;
    let mut answered = 0;
    while caller.call().await?.status == StatusCode::OK {
        answered += 1;
        assert!(answered <= servers.len(), "each server announces in its first answer that it is leaving");
    }
    assert_eq!(caller.call().await?.code, Some(u64::from(ResultCode::NoServer.number())));
    caller.folder.remove()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_skip_paused_heads() -> TestResult {
    let caller = Caller::start(7).await?;
    let started = Instant::now();
    while caller.chat().await?.status != StatusCode::OK {
        assert!(started.elapsed() < TIMEOUT, "chat is never served");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let heads = caller.heads()?;
    caller.change(&heads, "rest").await?;
    let until = Instant::now() + Duration::from_secs(BACKOFF_S) / 2;
    let mut refused = None;
    while Instant::now() < until {
        let answer = caller.chat().await?;
        assert_ne!(answer.status, StatusCode::OK);
        refused = Some(answer);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let refused = refused.ok_or("no request was sent")?;
    assert_eq!(refused.code, Some(u64::from(ResultCode::ServersResting.number())), "{refused:?}");
    assert!(
        refused.retry_after_s.is_some_and(|seconds| (1..=2 * BACKOFF_S).contains(&seconds)),
        "{refused:?}"
    );
    for head in &heads {
        let rejected = caller.rejected(head)?;
        assert!(rejected <= MAX_REJECTED, "{head}: {rejected} requests during its pause");
    }
    caller.change(&heads, "serve").await?;
    tokio::time::sleep(Duration::from_secs(2 * BACKOFF_S)).await;
    let answer = caller.chat().await?;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    caller.folder.remove()?;
    Ok(())
}

/// Rate limit that a server announces, in requests per second.
const SERVER_LIMIT: usize = 2;
/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time after which all daemons know the limit, in milliseconds.
const LIMIT_KNOWN_AFTER_MS: u64 = 1_000;
/// Length of the window in which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_calls_of_all_daemons_keep_the_limit_of_a_server() -> TestResult {
    let caller = Caller::start(8).await?;
    let servers = caller.plain_servers();
    caller.call_all_daemons(Duration::from_millis(300)).await?;
    caller.change([&servers[0]], &format!("limit-{SERVER_LIMIT}")).await?;
    let before = caller.call_times(&servers[0])?.len();
    let (answered, refused) = caller.call_all_daemons(LOAD_DURATION).await?;
    let called = &caller.call_times(&servers[0])?[before..];
    let first = called.first().copied().ok_or("the server is never called")?;
    let settled: Vec<u64> = called.iter().copied().filter(|at| *at >= first + LIMIT_KNOWN_AFTER_MS).collect();
    let most = settled
        .iter()
        .map(|from| settled.iter().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count());
    let most = most.max().unwrap_or(0);
    assert!(most <= 4 * SERVER_LIMIT + 2, "{most} calls within 4 s");
    assert!(settled.len() >= 4 * SERVER_LIMIT, "the limit must be used: {}", settled.len());
    assert!(refused * 20 <= answered, "the other server must answer: {answered} answered, {refused} refused");
    caller.folder.remove()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_keep_the_limits_of_heads() -> TestResult {
    let caller = Caller::start(9).await?;
    let started = Instant::now();
    while caller.chat().await?.status != StatusCode::OK {
        assert!(started.elapsed() < TIMEOUT, "chat is never served");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let heads = caller.heads()?;
    caller.change(&heads, "limit-0.1").await?;
    let until = Instant::now() + LOAD_DURATION / 2;
    let (mut answered, mut refused) = (0, None);
    while Instant::now() < until {
        let answer = caller.chat().await?;
        match answer.status {
            StatusCode::OK => answered += 1,
            _ => refused = Some(answer),
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    // The limit of each head becomes known with one request, after which the head takes none for ten seconds.
    assert!(answered <= heads.len(), "{answered} answered by {} heads", heads.len());
    let refused = refused.ok_or("nothing was refused")?;
    assert_eq!(refused.code, Some(u64::from(ResultCode::ServersAtLimit.number())), "{refused:?}");
    assert!(refused.retry_after_s.is_some(), "{refused:?}");
    caller.folder.remove()?;
    Ok(())
}
