//! Tests of the emulator: a group depends on every member, fences are checked where configured, runs resume
//! by sequence number, and the ledger records what was executed.

use dockwood_api::engine::{
    EngineOrder, GenerateEvent, GenerateRequest, LoadPlan, Member, OrderAction, OrderProgress, OrderReply,
    RequestPhase, RequestState, Role,
};
use dockwood_emulator::{
    EngineConfig, EngineModel, Fleet, FleetConfig, FleetHandle, LedgerRecord, expected_answer, read_ledger,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tempfile::TempDir;

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Port of all addresses of the tests; below the ports that the system assigns to other sockets.
const PORT: u16 = 7_300;

/// Returns a loopback address that no other test listens on, in this process or another one.
fn unused_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    const FIRST_NETWORK: u32 = 240;
    const NETWORKS: u32 = 15;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let network = FIRST_NETWORK + u32::from(high) % NETWORKS;
    let host = NEXT_HOST.fetch_add(1, Ordering::SeqCst);
    SocketAddr::from(([127, network as u8, low, host], PORT))
}

struct TestFleet {
    handle: FleetHandle,
    directory: TempDir,
    http: reqwest::Client,
}

/// Starts a fleet of four machines. The last machine does not check fences.
async fn start_fleet() -> Result<TestFleet, Box<dyn std::error::Error>> {
    start_fleet_with_steps(2_000).await
}

/// The same with the given base time of a decode step, in microseconds.
async fn start_fleet_with_steps(step_micros: u64) -> Result<TestFleet, Box<dyn std::error::Error>> {
    let directory = TempDir::new()?;
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(EngineConfig {
            name: format!("m{number}"),
            address: unused_address(),
            domain: "d".to_string(),
            zone: "z".to_string(),
            checks_fences: number != 3,
        });
    }
    let config = FleetConfig {
        seed: 1,
        admin: unused_address(),
        ledger: directory.path().join("ledger.jsonl"),
        store_mib_per_second: 100_000,
        list_lag_ms: 0,
        model: EngineModel { step_micros, ..EngineModel::default() },
        engines,
        services: Vec::new(),
    };
    Ok(TestFleet { handle: Fleet::start(config).await?, directory, http: reqwest::Client::new() })
}

impl TestFleet {
    fn address(&self, number: usize) -> SocketAddr {
        self.handle.fleet.config.engines[number].address
    }

    fn plan(&self, epoch: u64) -> LoadPlan {
        let members = self.handle.fleet.config.engines.iter();
        LoadPlan {
            replica: "r".to_string(),
            epoch,
            model: "model".to_string(),
            version: "v1".to_string(),
            adapters: Vec::new(),
            weights_mib: 10,
            role: Role::Unified,
            members: members.map(|one| Member { server: one.name.clone(), address: one.address }).collect(),
        }
    }

    async fn order(
        &self,
        number: usize,
        fence: u64,
        action: OrderAction,
    ) -> Result<OrderReply, reqwest::Error> {
        let order = EngineOrder { id: format!("{number}-{fence}"), fence, action };
        let url = format!("http://{}/engine/orders", self.address(number));
        self.http.post(url).json(&order).send().await?.json().await
    }

    async fn load_all(&self, epoch: u64) -> TestResult {
        for number in 0..4 {
            while self.order(number, epoch, OrderAction::Load(self.plan(epoch))).await?.progress
                != OrderProgress::Done
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        Ok(())
    }

    fn request(&self, id: &str, resume_from: u32, repeatable: bool) -> GenerateRequest {
        GenerateRequest {
            id: id.to_string(),
            replica: "r".to_string(),
            epoch: 1,
            prompt: "a prompt".to_string(),
            adapter: None,
            max_tokens: 40,
            priority: 0,
            resume_from,
            repeatable,
        }
    }

    async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<(u16, Vec<GenerateEvent>), Box<dyn std::error::Error>> {
        let url = format!("http://{}/engine/generate", self.address(0));
        let response = self.http.post(url).json(request).send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        let events: Vec<GenerateEvent> =
            body.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        Ok((status, events))
    }

    async fn admin(&self, machine: usize, change: &str) -> TestResult {
        let url = format!("http://{}/admin/machines/m{machine}/{change}", self.handle.fleet.config.admin);
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }
}

fn text(events: &[GenerateEvent]) -> String {
    let tokens = events.iter().filter_map(|event| match event {
        GenerateEvent::Token { text, .. } => Some(text.as_str()),
        _ => None,
    });
    tokens.collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_complete_group_answers_and_resumes_by_sequence_number() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.load_all(1).await?;
    let (status, events) = fleet.generate(&fleet.request("a", 0, true)).await?;
    let expected = expected_answer("a prompt", 40);
    assert_eq!((status, text(&events)), (200, expected.clone()));
    let (_, rest) = fleet.generate(&fleet.request("b", 5, true)).await?;
    assert!(expected.ends_with(&text(&rest)) && text(&rest).len() < expected.len());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_generated_while_a_member_is_missing() -> TestResult {
    // Slow enough that the answer can't be complete before the machine is killed.
    let fleet = start_fleet_with_steps(200_000).await?;
    fleet.load_all(1).await?;
    let request = fleet.request("a", 0, true);
    let (run, killed) = tokio::join!(fleet.generate(&request), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        fleet.admin(2, "kill").await
    });
    killed?;
    let (_, events) = run?;
    assert!(matches!(events.last(), Some(GenerateEvent::Aborted { .. })), "{events:?}");
    assert!(expected_answer("a prompt", 40).starts_with(&text(&events)));
    let (_, later) = fleet.generate(&fleet.request("b", 0, true)).await?;
    assert_eq!(text(&later), "");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fences_are_checked_only_where_configured() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.load_all(5).await?;
    assert_eq!(fleet.order(0, 4, OrderAction::Unload).await?.progress, OrderProgress::Fenced);
    assert_ne!(fleet.order(3, 4, OrderAction::Unload).await?.progress, OrderProgress::Fenced);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_barred_id_is_refused_and_a_seen_one_is_never_run_again() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.load_all(1).await?;
    let bar = |id: &'static str| {
        let url = format!("http://{}/engine/requests/{id}/bar", fleet.address(0));
        let sending = fleet.http.post(url).send();
        async move { sending.await?.json::<RequestState>().await }
    };
    assert_eq!(bar("x").await?.phase, RequestPhase::Barred);
    assert_eq!(fleet.generate(&fleet.request("x", 0, false)).await?.0, 410);
    fleet.generate(&fleet.request("y", 0, false)).await?;
    assert_eq!(bar("y").await?.phase, RequestPhase::Finished);
    let (_, again) = fleet.generate(&fleet.request("y", 0, false)).await?;
    assert_eq!(text(&again), expected_answer("a prompt", 40));
    let ledger = read_ledger(&fleet.directory.path().join("ledger.jsonl"))?;
    let runs = |id: &str| {
        ledger
            .iter()
            .filter(|record| matches!(record, LedgerRecord::Started { request, .. } if request == id))
            .count()
    };
    assert_eq!((runs("x"), runs("y")), (0, 1));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_machine_refuses_connections_and_restarts_empty() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.load_all(1).await?;
    fleet.admin(1, "kill").await?;
    let health = format!("http://{}/engine/health", fleet.address(1));
    let mut refused = false;
    for _ in 0..100 {
        refused = reqwest::Client::new().get(&health).send().await.is_err_and(|error| error.is_connect());
        if refused {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(refused);
    fleet.admin(1, "start").await?;
    for _ in 0..100 {
        if let Ok(response) = reqwest::Client::new().get(&health).send().await {
            let body = response.text().await?;
            assert!(body.contains("\"loaded\":false"), "{body}");
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the machine did not come back");
}

/// Guards against runs that end as abandoned between their acceptance and the first read of their stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_are_read_are_never_aborted() -> TestResult {
    const ROUNDS: usize = 25;
    const REQUESTS: usize = 48;
    let fleet = start_fleet_with_steps(1).await?;
    fleet.load_all(1).await?;
    for round in 0..ROUNDS {
        // All requests are accepted when the head resumes, and with it the steps of its group.
        fleet.admin(0, "pause").await?;
        let requests: Vec<_> =
            (0..REQUESTS).map(|number| fleet.request(&format!("{round}-{number}"), 0, true)).collect();
        let answers = futures::future::join_all(requests.iter().map(|request| fleet.generate(request)));
        let (answers, resumed) = tokio::join!(answers, async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            fleet.admin(0, "resume").await
        });
        resumed?;
        for answer in answers {
            let (_, events) = answer?;
            assert_eq!(text(&events), expected_answer("a prompt", 40), "round {round}: {events:?}");
        }
    }
    Ok(())
}
