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
/// Number of crashes after which a message that requests share must be recognized, the time for that, and the number of sends
/// allowed after it.
const CRASHES_TO_RECOGNIZE: usize = 5;
const RECOGNIZED_WITHIN: Duration = Duration::from_secs(3);
const MAX_SENDS_AFTER: usize = 3;
/// Maximum number of conversations until then.
const MAX_CONVERSATIONS: usize = 1_000;
/// How long the caller keeps retrying.
const RETRY_DURATION: Duration = Duration::from_secs(10);

struct Caller {
    fleet: RunningFleet,
    http: Client,
}

impl Caller {
    /// Sends a chat request to a daemon. Returns the result code of a failure, or `None` if it was answered.
    async fn chat(&self, daemon: usize, prompt: &str) -> Option<u64> {
        self.converse(daemon, &[prompt]).await
    }

    /// The same with a conversation of several messages.
    async fn converse(&self, daemon: usize, messages: &[&str]) -> Option<u64> {
        let address = self.fleet.entry_addresses()[daemon];
        let message = |content: &&str| json!({ "role": "user", "content": content });
        let body = json!({
            "model": self.fleet.topology.deployments[0].model, "max_tokens": 50,
            "messages": messages.iter().map(message).collect::<Vec<Value>>(),
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

/// Starts a fleet in a network of its own. Tests of the same process use different networks.
async fn start_caller(folder: &TestFolder, network: u8) -> Result<Caller, Box<dyn std::error::Error>> {
    let sizes = Sizes { daemons: 3, servers: 30, plain_servers: 2, tenants: 3, ..Sizes::default() };
    let topology = Topology::new(Preset::Brokerage, sizes, own_network() + network, folder.path());
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(TIMEOUT).await?;
    Ok(Caller { fleet, http: Client::new() })
}

/// Conversations of which no two are alike share a message that crashes engines. All of them also share one that doesn't, and
/// nothing but the responses to other conversations with it shows that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_requests_that_share_a_message_that_crashes_engines_are_quarantined() -> TestResult {
    let quarantined = Some(u64::from(ResultCode::RequestQuarantined.number()));
    let folder = TestFolder::new()?;
    let caller = start_caller(&folder, 4).await?;
    let shared = "answer in one sentence";
    let mut fifth_crash = None;
    let mut crashed_when_recognized = None;
    for number in 0.. {
        let question = format!("question {number}");
        let code = caller.converse(number % 3, &[shared, FATAL_PROMPT, &question]).await;
        let crashed = caller.crashed()?;
        if crashed >= CRASHES_TO_RECOGNIZE {
            let since_fifth = fifth_crash.get_or_insert_with(Instant::now).elapsed();
            if since_fifth > RECOGNIZED_WITHIN {
                assert_eq!(code, quarantined);
                crashed_when_recognized.get_or_insert(crashed);
            }
            if since_fifth > 2 * RECOGNIZED_WITHIN {
                break;
            }
        }
        assert!(number < MAX_CONVERSATIONS, "only {crashed} engines crash");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let later = caller.crashed()? - crashed_when_recognized.unwrap_or_default();
    assert!(later <= MAX_SENDS_AFTER, "{later} engines crashed after the message had to be recognized");
    let started = Instant::now();
    while let Some(code) = caller.converse(0, &[shared, "a proper document", "question"]).await {
        assert_ne!(Some(code), quarantined, "a conversation without the message is refused");
        assert!(started.elapsed() < TIMEOUT, "other requests are refused with {code}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(caller);
    folder.remove()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_request_under_which_engines_end_comes_under_quarantine() -> TestResult {
    let folder = TestFolder::new()?;
    let caller = start_caller(&folder, 3).await?;
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
