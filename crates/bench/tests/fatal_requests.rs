//! The resource API's callers are as exposed as the gateway's: a chat request that ends the engine that runs it was sent
//! on until the retry budget was used up, and again with each try of its caller.

use dockwood_api::ResultCode;
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{Preset, Sizes, Topology, own_network};
use dockwood_emulator::{FATAL_PROMPT, LedgerRecord, read_ledger};
use reqwest::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

mod common;

use common::TestFolder;

type Outcome = Result<(), Box<dyn std::error::Error>>;

const LIMIT: Duration = Duration::from_secs(90);
/// Engines that may end under a request: those that put it under quarantine where all stand in one zone, and one try
/// that was on its way.
const MOST_ENDED: usize = 6;
/// For how long the caller keeps coming.
const INSISTS_FOR: Duration = Duration::from_secs(10);

struct Caller {
    fleet: RunningFleet,
    http: Client,
}

impl Caller {
    /// Sends a chat request to a daemon; the result code of a failure, or `None` if it was answered.
    async fn chat(&self, daemon: usize, prompt: &str) -> Option<u64> {
        let address = self.fleet.entry_addresses()[daemon];
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": 50,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = self.http.post(format!("http://{address}/v1/chat/completions"));
        let request = request.bearer_auth(&self.fleet.topology.tenants[0].key).timeout(LIMIT).json(&body);
        let answer = request.send().await.unwrap_or_else(|error| panic!("{error}"));
        if answer.status().is_success() {
            return None;
        }
        let body: Value = answer.json().await.unwrap_or(Value::Null);
        body["error"]["code"].as_u64()
    }

    /// Engines that have ended so far.
    fn ended(&self) -> std::io::Result<usize> {
        let records = read_ledger(&self.fleet.topology.emulator.ledger)?;
        let is_end = |record: &&LedgerRecord| matches!(record, LedgerRecord::MachineChanged { change, .. } if change == "ended");
        Ok(records.iter().filter(is_end).count())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_request_under_which_engines_end_comes_under_quarantine() -> Outcome {
    let folder = TestFolder::new()?;
    let sizes = Sizes { daemons: 3, servers: 30, plain_servers: 2, tenants: 3, ..Sizes::default() };
    let topology = Topology::new(Preset::Brokerage, sizes, own_network() + 3, folder.path());
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(LIMIT).await?;
    let caller = Caller { fleet, http: Client::new() };
    let begun = Instant::now();
    let mut code = None;
    let mut daemon = 0;
    while begun.elapsed() < INSISTS_FOR {
        code = caller.chat(daemon % 3, FATAL_PROMPT).await;
        daemon += 1;
    }
    assert_eq!(code, Some(u64::from(ResultCode::RequestQuarantined.number())));
    let ended = caller.ended()?;
    assert!((3..=MOST_ENDED).contains(&ended), "{ended} engines ended under it");
    let begun = Instant::now();
    while let Some(code) = caller.chat(0, "a proper prompt").await {
        assert!(begun.elapsed() < LIMIT, "other requests are refused with {code}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(caller);
    folder.passed()?;
    Ok(())
}
