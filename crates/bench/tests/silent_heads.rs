//! Heads that are sound but send nothing for a while. Their answers go on afterwards, so that an entry may give a stalled
//! stream up only once another replica has begun to answer in its place.

use dockwood_api::ResultCode;
use dockwood_api::caller::{HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY, HEADER_REPEATABLE};
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{Preset, Sizes, Topology, own_network};
use dockwood_emulator::{LedgerRecord, expected_answer, read_ledger};
use reqwest::Client;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

mod common;

use common::TestFolder;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(90);
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// Maximum length of the answers; longer than any of them.
const MAX_TOKENS: u32 = 500;
/// Minimum number of tokens of an answer that takes more than two seconds on slowed machines.
const LONG_ANSWER_TOKENS: usize = 55;
/// Number of requests that a caller sends at a time; an entry without other traffic retries ten of them.
const REQUESTS: usize = 16;
/// How long heads are silent: long enough for an entry to doubt them, and shorter than a machine may be silent before its
/// replica is repaired.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Time after which all daemons have applied a change.
const CHANGE_APPLIED_AFTER: Duration = Duration::from_secs(1);
/// How long a head is silent before it ends: an entry is then asking it about the request.
const SILENCE_BEFORE_END: Duration = Duration::from_millis(1_600);

/// What a caller received of a streamed answer.
#[derive(Debug, Default)]
struct StreamedAnswer {
    text: String,
    is_complete: bool,
    error: Option<Value>,
}

impl StreamedAnswer {
    fn add_line(&mut self, line: &str) {
        // A request that fails before its first token is answered by an error that is not an event.
        match line.strip_prefix("data: ").unwrap_or(line) {
            "[DONE]" => self.is_complete = true,
            data => self.add_event(&serde_json::from_str(data).unwrap_or_default()),
        }
    }

    fn add_event(&mut self, event: &Value) {
        self.text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        if !event["error"].is_null() {
            self.error = Some(event["error"].clone());
        }
    }
}

/// A streamed request in progress.
struct Streamed {
    id: String,
    prompt: String,
    answer: JoinHandle<reqwest::Result<StreamedAnswer>>,
}

struct Caller {
    fleet: RunningFleet,
    folder: TestFolder,
    http: Client,
}

impl Caller {
    /// Starts a fleet on slow machines, whose answers take seconds.
    async fn start(network: u8) -> Result<Caller, Box<dyn std::error::Error>> {
        let folder = TestFolder::new()?;
        let sizes = Sizes { daemons: 3, servers: 30, plain_servers: 2, tenants: 3, ..Sizes::default() };
        let topology = Topology::new(Preset::Brokerage, sizes, own_network() + network, folder.path());
        let fleet = RunningFleet::start(topology).await?;
        fleet.apply_resources(TIMEOUT).await?;
        for engine in &fleet.topology.emulator.engines {
            fleet.change_machine(&engine.name, "slow").await?;
        }
        Ok(Caller { fleet, folder, http: Client::new() })
    }

    /// Sends requests with long answers to one entry. Each reports its first token to `began`.
    fn send(&self, count: usize, repeatable: &str, began: &mpsc::UnboundedSender<()>) -> Vec<Streamed> {
        let prompts = (0..).map(|number| format!("story {number}")).filter(|prompt| is_long(prompt));
        let send = |prompt: String| {
            let id = format!("{repeatable}-{prompt}").replace(' ', "-");
            let request = self.request(&id, &prompt, repeatable);
            let answer = tokio::spawn(read_answer(request, began.clone()));
            Streamed { id: format!("{}.{id}", self.fleet.topology.tenants[0].name), prompt, answer }
        };
        prompts.take(count).map(send).collect()
    }

    fn request(&self, id: &str, prompt: &str, repeatable: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/chat/completions", self.fleet.entry_addresses()[0]);
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": MAX_TOKENS, "stream": true,
            "messages": [{ "role": "user", "content": prompt }],
        });
        self.http
            .post(url)
            .bearer_auth(&self.fleet.topology.tenants[0].key)
            .header(HEADER_IDEMPOTENCY_KEY, id)
            .header(HEADER_REPEATABLE, repeatable)
            .header(HEADER_DEADLINE_MS, DEADLINE_MS.to_string())
            .timeout(TIMEOUT)
            .json(&body)
    }

    /// Limits the concurrent requests of the tenant.
    async fn limit_concurrency(&self, concurrency: usize) -> TestResult {
        let name = &self.fleet.topology.tenants[0].name;
        let resources = self.fleet.topology.resources();
        let is_own =
            |resource: &Value| resource["kind"] == "Tenant" && resource["metadata"]["name"] == json!(name);
        let mut tenant = resources.into_iter().find(is_own).ok_or("the tenant is not declared")?;
        tenant["spec"]["limits"] = json!({ "concurrency": concurrency });
        self.fleet.operator.apply(&tenant).await?;
        tokio::time::sleep(CHANGE_APPLIED_AFTER).await;
        Ok(())
    }

    fn ledger(&self) -> std::io::Result<Vec<LedgerRecord>> {
        read_ledger(&self.fleet.topology.emulator.ledger)
    }

    /// Heads of all replicas.
    fn heads(&self) -> std::io::Result<BTreeMap<String, String>> {
        let head = |record: LedgerRecord| match record {
            LedgerRecord::GroupFormed { replica, members, .. } => Some((replica, members.first()?.clone())),
            _ => None,
        };
        Ok(self.ledger()?.into_iter().filter_map(head).collect())
    }

    async fn change_heads(&self, change: &str) -> std::io::Result<()> {
        for head in self.heads()?.values() {
            self.fleet.change_machine(head, change).await?;
        }
        Ok(())
    }

    /// Replicas whose heads accepted a request, in order.
    fn replicas_of(&self, request: &str) -> std::io::Result<Vec<String>> {
        let replica = |record: LedgerRecord| match record {
            LedgerRecord::Dispatched { request: id, replica, .. } if id == request => Some(replica),
            _ => None,
        };
        Ok(self.ledger()?.into_iter().filter_map(replica).collect())
    }
}

fn is_long(prompt: &str) -> bool {
    expected(prompt).split(' ').count() >= LONG_ANSWER_TOKENS
}

fn expected(prompt: &str) -> String {
    expected_answer(&format!("user: {prompt}\n"), MAX_TOKENS)
}

/// Reads a streamed answer to its end, and reports its first token.
async fn read_answer(
    request: reqwest::RequestBuilder,
    began: mpsc::UnboundedSender<()>,
) -> reqwest::Result<StreamedAnswer> {
    let mut response = request.send().await?;
    let mut answer = StreamedAnswer::default();
    let mut unread = String::new();
    while let Some(bytes) = response.chunk().await? {
        unread.push_str(&String::from_utf8_lossy(&bytes));
        let had_none = answer.text.is_empty();
        while let Some((line, rest)) = unread.split_once('\n') {
            answer.add_line(line);
            unread = rest.to_string();
        }
        if had_none && !answer.text.is_empty() {
            let _ = began.send(());
        }
    }
    answer.add_line(&unread);
    Ok(answer)
}

/// Waits until so many answers have begun.
async fn wait_until_begun(began: &mut mpsc::UnboundedReceiver<()>, count: usize) -> TestResult {
    for _ in 0..count {
        tokio::time::timeout(TIMEOUT, began.recv()).await?;
    }
    Ok(())
}

/// Reads all answers, and requires that they are whole.
async fn expect_whole(streams: Vec<Streamed>) -> TestResult {
    let mut cut = Vec::new();
    let count = streams.len();
    for Streamed { id, prompt, answer } in streams {
        let answer = answer.await??;
        if !answer.is_complete || answer.text != expected(&prompt) {
            cut.push((id, answer.error));
        }
    }
    assert!(cut.is_empty(), "{} of {count} answers were cut: {cut:?}", cut.len());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_chat_requests_go_on_after_all_heads_were_silent() -> TestResult {
    let caller = Caller::start(10).await?;
    let (began, mut begun) = mpsc::unbounded_channel();
    let mut streams = caller.send(REQUESTS, "yes", &began);
    let once = caller.send(2, "no", &began);
    let once_ids: Vec<String> = once.iter().map(|stream| stream.id.clone()).collect();
    streams.extend(once);
    wait_until_begun(&mut begun, streams.len()).await?;
    caller.change_heads("pause").await?;
    tokio::time::sleep(SILENCE).await;
    caller.change_heads("resume").await?;
    expect_whole(streams).await?;
    for id in once_ids {
        assert_eq!(caller.replicas_of(&id)?.len(), 1, "{id} may be run once");
    }
    caller.folder.remove()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_are_answered_after_all_heads_were_silent() -> TestResult {
    let caller = Caller::start(11).await?;
    let (began, _begun) = mpsc::unbounded_channel();
    caller.change_heads("pause").await?;
    let mut streams = caller.send(REQUESTS, "yes", &began);
    let once = caller.send(2, "no", &began);
    let once_ids: Vec<String> = once.iter().map(|stream| stream.id.clone()).collect();
    streams.extend(once);
    tokio::time::sleep(SILENCE).await;
    caller.change_heads("resume").await?;
    expect_whole(streams).await?;
    for id in once_ids {
        assert_eq!(caller.replicas_of(&id)?.len(), 1, "{id} may be run once");
    }
    caller.folder.remove()?;
    Ok(())
}

/// A head that was paused, and a request that it has.
struct Paused {
    request: String,
    replica: String,
    head: String,
}

impl Paused {
    fn expect_moved(&self, caller: &Caller) -> TestResult {
        let replicas = caller.replicas_of(&self.request)?;
        let has_moved = replicas.iter().any(|replica| *replica != self.replica);
        assert!(has_moved, "{} was sent only to {replicas:?}", self.request);
        Ok(())
    }
}

/// Pauses the head that has the first of some requests, and returns the replica.
async fn pause_head_of_first(
    caller: &Caller,
    streams: &[Streamed],
) -> Result<Paused, Box<dyn std::error::Error>> {
    let request = streams[0].id.clone();
    let replica = caller.replicas_of(&request)?.first().cloned().ok_or("the request was never dispatched")?;
    let head = caller.heads()?.remove(&replica).ok_or("the replica has no head")?;
    caller.fleet.change_machine(&head, "pause").await?;
    Ok(Paused { request, replica, head })
}

/// A head that stays silent is the reason to read from another one at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_move_from_a_head_that_stays_silent() -> TestResult {
    let caller = Caller::start(12).await?;
    let (began, mut begun) = mpsc::unbounded_channel();
    let streams = caller.send(4, "yes", &began);
    wait_until_begun(&mut begun, streams.len()).await?;
    let paused = pause_head_of_first(&caller, &streams).await?;
    expect_whole(streams).await?;
    paused.expect_moved(&caller)?;
    caller.folder.remove()?;
    Ok(())
}

/// The connection breaks while another replica is being sought.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_move_from_a_head_that_falls_silent_and_then_ends() -> TestResult {
    let caller = Caller::start(13).await?;
    let (began, mut begun) = mpsc::unbounded_channel();
    let streams = caller.send(4, "yes", &began);
    wait_until_begun(&mut begun, streams.len()).await?;
    let paused = pause_head_of_first(&caller, &streams).await?;
    tokio::time::sleep(SILENCE_BEFORE_END).await;
    caller.fleet.change_machine(&paused.head, "kill").await?;
    expect_whole(streams).await?;
    paused.expect_moved(&caller)?;
    caller.folder.remove()?;
    Ok(())
}

/// The stalled request and its replacement both count against the limit of the tenant.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_of_a_tenant_at_its_limit_move_once_the_silent_replica_is_repaired() -> TestResult {
    const CONCURRENCY: usize = 1;
    let caller = Caller::start(14).await?;
    caller.limit_concurrency(CONCURRENCY).await?;
    let (began, mut begun) = mpsc::unbounded_channel();
    let streams = caller.send(CONCURRENCY, "yes", &began);
    wait_until_begun(&mut begun, streams.len()).await?;
    let refused = read_answer(caller.request("beyond", "a prompt", "yes"), began.clone()).await?;
    let code = refused.error.map(|error| error["code"].clone());
    assert_eq!(code, Some(json!(ResultCode::TenantLimit.number())), "the limit is in force");
    let paused = pause_head_of_first(&caller, &streams).await?;
    expect_whole(streams).await?;
    paused.expect_moved(&caller)?;
    caller.folder.remove()?;
    Ok(())
}
