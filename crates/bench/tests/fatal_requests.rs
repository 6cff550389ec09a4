//! Chat requests for declared models must be quarantined like requests of the gateway. Without that, a chat
//! request that crashes the engine that runs it is retried until the retry budget is used up, and again with each
//! attempt of its caller.

use dockwood_api::ResultCode;
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{Preset, Sizes, Topology, own_network};
use dockwood_emulator::{FATAL_PROMPT, LedgerRecord, read_ledger};
use reqwest::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

mod common;

use common::TestFolder;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of engines that may crash under a request: those whose crashes lead to its quarantine if all are
/// in one zone, and one more for an attempt that was in flight.
const MAX_CRASHED: usize = 6;
/// How long the caller keeps retrying.
const RETRY_DURATION: Duration = Duration::from_secs(10);

struct Caller {
    fleet: RunningFleet,
    http: Client,
}

impl Caller {
    /// Sends a chat request to a daemon. Returns the result code of a failure, or `None` if it was answered.
    async fn chat(&self, daemon: usize, prompt: &str) -> Option<u64> {
        let address = self.fleet.entry_addresses()[daemon];
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": 50,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = self.http.post(format!("http://{address}/v1/chat/completions"));
        let request = request.bearer_auth(&self.fleet.topology.tenants[0].key).timeout(TIMEOUT).json(&body);
        let answer = request.send().await.unwrap_or_else(|error| panic!("{error}"));
        if answer.status().is_success() {
            return None;
        }
        let body: Value = answer.json().await.unwrap_or(Value::Null);
        body["error"]["code"].as_u64()
    }

    /// Number of engines that have crashed so far.
    fn crashed(&self) -> std::io::Result<usize> {
        let records = read_ledger(&self.fleet.topology.emulator.ledger)?;
        let is_crash = |record: &&LedgerRecord| matches!(record, LedgerRecord::MachineChanged { change, .. } if change == "ended");
        Ok(records.iter().filter(is_crash).count())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_request_under_which_engines_end_comes_under_quarantine() -> TestResult {
    let folder = TestFolder::new()?;
    let sizes = Sizes { daemons: 3, servers: 30, plain_servers: 2, tenants: 3, ..Sizes::default() };
    let topology = Topology::new(Preset::Brokerage, sizes, own_network() + 3, folder.path());
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(TIMEOUT).await?;
    let caller = Caller { fleet, http: Client::new() };
    let started = Instant::now();
    let mut code = None;
    let mut daemon = 0;
    while started.elapsed() < RETRY_DURATION {
        code = caller.chat(daemon % 3, FATAL_PROMPT).await;
        daemon += 1;
    }
    assert_eq!(code, Some(u64::from(ResultCode::RequestQuarantined.number())));
    let crashed = caller.crashed()?;
    assert!((3..=MAX_CRASHED).contains(&crashed), "{crashed} engines crashed under the request");
    let started = Instant::now();
    while let Some(code) = caller.chat(0, "a proper prompt").await {
        assert!(started.elapsed() < TIMEOUT, "other requests are refused with {code}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(caller);
    folder.remove()?;
    Ok(())
}
