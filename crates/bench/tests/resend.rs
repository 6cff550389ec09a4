//! Requests that are retried at another daemon while or after a first daemon had them: which outcome a refusal may
//! report.

use dockwood_api::caller::{
    HEADER_DEADLINE_MS, HEADER_IDEMPOTENCY_KEY, HEADER_OUTCOME, HEADER_REPEATABLE, Outcome as RequestOutcome,
};
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{Preset, Sizes, Topology, own_network};
use dockwood_emulator::expected_answer;
use nix::sys::signal::Signal;
use reqwest::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

mod common;

use common::TestFolder;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum length of the answers; longer than any of them.
const MAX_TOKENS: u32 = 500;
/// Tokens of a long answer; it takes about three seconds on slowed machines.
const LONG_ANSWER_TOKENS: usize = 70;
const RAN_BEFORE: u64 = 3_008;
const ALREADY_RUNNING: u64 = 3_005;
const DAEMON_LEAVING: u64 = 2_008;
const QUEUE_FULL: u64 = 2_005;

/// Result code and outcome of a refused request.
#[derive(Debug, PartialEq)]
struct Refusal {
    code: u64,
    outcome: String,
}

fn refusal(code: u64, outcome: RequestOutcome) -> Refusal {
    Refusal { code, outcome: outcome.as_str().to_string() }
}

struct Caller {
    fleet: RunningFleet,
    http: Client,
    prompt: String,
}

/// Finds a prompt with a long answer.
fn long_prompt() -> String {
    let tokens =
        |prompt: &String| expected_answer(&format!("user: {prompt}\n"), MAX_TOKENS).split(' ').count();
    let mut prompts = (0..).map(|number| format!("story {number}"));
    prompts.find(|prompt| tokens(prompt) >= LONG_ANSWER_TOKENS).unwrap_or_default()
}

impl Caller {
    fn request(&self, daemon: usize, path: &str, id: &str, repeatable: &str) -> reqwest::RequestBuilder {
        let address = self.fleet.entry_addresses()[daemon];
        self.http
            .post(format!("http://{address}/{path}"))
            .bearer_auth(&self.fleet.topology.tenants[0].key)
            .header(HEADER_IDEMPOTENCY_KEY, id)
            .header(HEADER_REPEATABLE, repeatable)
            .timeout(TIMEOUT)
    }

    fn chat(&self, daemon: usize, id: &str, repeatable: &str) -> reqwest::RequestBuilder {
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": MAX_TOKENS, "stream": true,
            "messages": [{ "role": "user", "content": self.prompt }],
        });
        self.request(daemon, "v1/chat/completions", id, repeatable).json(&body)
    }

    fn service(&self, daemon: usize, id: &str) -> reqwest::RequestBuilder {
        let path = format!("services/{}/records", self.fleet.topology.service);
        self.request(daemon, &path, id, "yes").body("a record")
    }

    /// Sends a chat request and waits for its first token.
    async fn start_chat(
        &self,
        daemon: usize,
        id: &str,
        repeatable: &str,
    ) -> reqwest::Result<reqwest::Response> {
        let mut response = self.chat(daemon, id, repeatable).send().await?;
        let mut text = String::new();
        while !text.contains("\"content\":") {
            let Some(bytes) = response.chunk().await? else {
                panic!("the stream ended before the first token: {text}")
            };
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
        Ok(response)
    }

    async fn send_refused(request: reqwest::RequestBuilder) -> reqwest::Result<Refusal> {
        let response = request.send().await?;
        let outcome = response.headers().get(HEADER_OUTCOME).and_then(|value| value.to_str().ok());
        let outcome = outcome.unwrap_or("").to_string();
        let body: Value = response.json().await.unwrap_or(Value::Null);
        Ok(Refusal { code: body["error"]["code"].as_u64().unwrap_or(0), outcome })
    }

    /// Sends new requests until one is refused with the given code.
    async fn wait_until_refused(
        &self,
        code: u64,
        new_request: impl Fn(&str) -> reqwest::RequestBuilder,
    ) -> reqwest::Result<()> {
        let started = Instant::now();
        for number in 0_u32.. {
            let refused = Caller::send_refused(new_request(&format!("new-{code}-{number}"))).await?;
            if refused == refusal(code, RequestOutcome::NotRun) {
                break;
            }
            assert!(started.elapsed() < TIMEOUT, "{refused:?} instead of {code}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

/// A daemon that receives a retry after the daemon that dispatched the request was lost does not know whether the
/// request was executed. It must not report "not run" in that case.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_retry_is_reported_as_not_run_only_if_it_was_not_run() -> TestResult {
    let folder = TestFolder::new()?;
    let sizes = Sizes { daemons: 3, servers: 10, plain_servers: 2, tenants: 3, ..Sizes::default() };
    let topology = Topology::new(Preset::Brokerage, sizes, own_network() + 2, folder.path());
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(TIMEOUT).await?;
    let mut caller = Caller { fleet, http: Client::new(), prompt: long_prompt() };
    retried_service_calls(&caller).await?;
    retried_chat_requests(&mut caller).await?;
    drop(caller);
    folder.remove()?;
    Ok(())
}

async fn retried_service_calls(caller: &Caller) -> TestResult {
    assert!(caller.service(0, "ran").send().await?.status().is_success());
    let resources = caller.fleet.topology.resources();
    let mut service =
        resources.into_iter().find(|resource| resource["kind"] == "Service").unwrap_or_default();
    for server in service["spec"]["servers"].as_array_mut().into_iter().flatten() {
        server["drain"] = json!(true);
    }
    caller.fleet.operator.apply(&service).await?;
    for daemon in 0..3 {
        caller.wait_until_refused(QUEUE_FULL, |id| caller.service(daemon, id)).await?;
    }
    for daemon in 0..3 {
        let again = Caller::send_refused(caller.service(daemon, "ran")).await?;
        assert_eq!(again, refusal(RAN_BEFORE, RequestOutcome::Unknown), "daemon {daemon}");
        let new = Caller::send_refused(caller.service(daemon, "never-ran")).await?;
        assert_eq!(new, refusal(QUEUE_FULL, RequestOutcome::NotRun), "daemon {daemon}");
    }
    Ok(())
}

async fn retried_chat_requests(caller: &mut Caller) -> TestResult {
    for engine in &caller.fleet.topology.emulator.engines {
        caller.fleet.change_machine(&engine.name, "slow").await?;
    }
    // A daemon that is stopping continues to answer for a while and refuses new requests.
    if let Some(daemon) = caller.fleet.daemon(2) {
        daemon.signal(Signal::SIGTERM)?;
    }
    // Requests that arrive before the signal run on slow engines. Without a deadline, the daemon would have exited
    // before they end.
    let new_request = |id: &str| caller.chat(2, id, "yes").header(HEADER_DEADLINE_MS, "200");
    caller.wait_until_refused(DAEMON_LEAVING, new_request).await?;
    let (repeatable, once) =
        tokio::join!(caller.start_chat(0, "repeatable", "yes"), caller.start_chat(0, "once", "no"));
    let (_repeatable, _once) = (repeatable?, once?);
    let again = Caller::send_refused(caller.chat(2, "repeatable", "yes")).await?;
    assert_eq!(again, refusal(RAN_BEFORE, RequestOutcome::Unknown));
    let once = caller.chat(2, "once", "no").header(HEADER_DEADLINE_MS, "200");
    let again = Caller::send_refused(once).await?;
    assert_eq!(again, refusal(ALREADY_RUNNING, RequestOutcome::Running));
    // The daemon that has the request is killed.
    caller.fleet.kill_daemon(0)?;
    let once = caller.chat(1, "once", "no").header(HEADER_DEADLINE_MS, "3000");
    let again = Caller::send_refused(once).await?;
    // One of three daemons cannot establish that another is permanently lost, so the outcome may still be "running".
    assert_ne!(again.outcome, RequestOutcome::NotRun.as_str(), "{again:?}");
    Ok(())
}
