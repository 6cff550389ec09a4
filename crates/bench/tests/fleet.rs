//! End-to-end tests with real processes on loopback: load under faults, the resource API, and a planned stop.
//! Timeouts are generous; results are checked against the ledger and the answers, not against time.

use dockwood_api::caller::{HEADER_IDEMPOTENCY_KEY, HEADER_REPEATABLE};
use dockwood_bench::experiment::{Experiment, run_experiment};
use dockwood_bench::fault::{FaultAction, TimedFault};
use dockwood_bench::fleet::RunningFleet;
use dockwood_bench::topology::{OPERATOR_TOKEN, Preset, Sizes, Topology, own_network};
use dockwood_bench::workload::{LoadShape, Workload};
use dockwood_emulator::expected_answer;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

mod common;

use common::TestFolder;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(90);

fn small_sizes() -> Sizes {
    Sizes { daemons: 3, servers: 10, plain_servers: 2, tenants: 3, ..Sizes::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_keeps_its_guarantees_while_machines_and_daemons_fail() -> TestResult {
    let folder = TestFolder::new()?;
    let experiment = Experiment {
        name: "test".to_string(),
        preset: Preset::Brokerage,
        sizes: small_sizes(),
        workload: Workload {
            shape: LoadShape::Steady,
            rate: 20.0,
            seconds: 6.0,
            service_percent: 20,
            once_percent: 40,
            deadline_ms: 30_000,
            seed: 3,
        },
        faults: vec![
            TimedFault {
                at_ms: 1_500,
                action: FaultAction::Machine {
                    name: "head-of:order-checks".to_string(),
                    change: "kill".to_string(),
                },
            },
            TimedFault { at_ms: 3_000, action: FaultAction::KillDaemon { name: "leader".to_string() } },
        ],
    };
    let summary = run_experiment(&experiment, None, folder.path()).await?.summary;
    assert!(summary.counts.guarantees_hold(), "{:?}", summary.counts);
    assert!(summary.counts.whole * 10 >= summary.counts.requests * 8, "{:?}", summary.counts);
    assert!(summary.process_faults.is_empty(), "{:?}", summary.process_faults);
    assert!(folder.path().join("report.html").exists() && folder.path().join("summary.json").exists());
    folder.remove()?;
    Ok(())
}

/// A fleet that is shared by all checks of its API.
struct Api {
    fleet: RunningFleet,
    http: Client,
}

struct Answer {
    status: StatusCode,
    code: Option<u64>,
    body: Value,
}

impl Api {
    async fn operator(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        change_id: &str,
        body: Value,
    ) -> Result<Answer, reqwest::Error> {
        let url = format!("http://{}/api/v1/{path}", self.fleet.entry_addresses()[daemon]);
        let mut request = self.http.request(method, url).bearer_auth(OPERATOR_TOKEN);
        if !change_id.is_empty() {
            request = request.header("change-id", change_id);
        }
        if !body.is_null() {
            request = request.json(&body);
        }
        Api::answer(request).await
    }

    async fn answer(request: reqwest::RequestBuilder) -> Result<Answer, reqwest::Error> {
        let response = request.timeout(TIMEOUT).send().await?;
        let code =
            response.headers().get("dockwood-result-code").and_then(|code| code.to_str().ok()?.parse().ok());
        let status = response.status();
        let body = response.json().await.unwrap_or(Value::Null);
        Ok(Answer { status, code, body })
    }

    async fn get(&self, path: &str) -> Result<Answer, reqwest::Error> {
        self.operator(0, Method::GET, path, "", Value::Null).await
    }

    async fn chat(
        &self,
        daemon: usize,
        key: &str,
        id: &str,
        repeatable: &str,
        prompt: &str,
    ) -> Result<Answer, reqwest::Error> {
        let model = &self.fleet.topology.deployments[0].model;
        let url = format!("http://{}/v1/chat/completions", self.fleet.entry_addresses()[daemon]);
        let body =
            json!({ "model": model, "max_tokens": 20, "messages": [{ "role": "user", "content": prompt }] });
        let request = self.http.post(url).bearer_auth(key).header(HEADER_REPEATABLE, repeatable).json(&body);
        let request = if id.is_empty() { request } else { request.header(HEADER_IDEMPOTENCY_KEY, id) };
        Api::answer(request).await
    }
}

fn tenant(name: &str, tier: u8) -> Value {
    json!({ "kind": "Tenant", "metadata": { "name": name }, "spec": { "tier": tier, "keys": [format!("key-of-{name}")] } })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_apis_answer_as_documented() -> TestResult {
    let folder = TestFolder::new()?;
    let topology = Topology::new(Preset::Unidos, small_sizes(), own_network() + 1, folder.path());
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(TIMEOUT).await?;
    let api = Api { fleet, http: Client::new() };
    changes_are_made_once(&api).await?;
    errors_have_result_codes(&api).await?;
    watches_report_changes(&api).await?;
    requests_are_answered_once(&api).await?;
    planned_stop_aborts_no_request(api).await?;
    folder.remove()?;
    Ok(())
}

async fn changes_are_made_once(api: &Api) -> TestResult {
    let first = api.operator(0, Method::POST, "tenants", "id-1", tenant("x", 0)).await?;
    assert_eq!((first.status, first.code), (StatusCode::CREATED, Some(1001)));
    let again = api.operator(1, Method::POST, "tenants", "id-1", tenant("x", 0)).await?;
    assert_eq!(
        (again.status, again.code),
        (StatusCode::CREATED, Some(1002)),
        "another daemon returns the same answer"
    );
    assert_eq!(again.body["metadata"], first.body["metadata"]);
    let reused = api.operator(0, Method::POST, "tenants", "id-1", tenant("x", 1)).await?;
    assert_eq!(reused.code, Some(4008));
    let exists = api.operator(0, Method::POST, "tenants", "id-2", tenant("x", 0)).await?;
    assert_eq!(exists.code, Some(4006));

    let mut stale = tenant("x", 2);
    stale["metadata"]["resourceVersion"] = first.body["metadata"]["resourceVersion"].clone();
    let won = api.operator(2, Method::PUT, "tenants/x", "id-3", stale.clone()).await?;
    assert_eq!(won.code, Some(1001));
    stale["spec"]["tier"] = json!(3);
    let lost = api.operator(0, Method::PUT, "tenants/x", "id-4", stale).await?;
    assert_eq!(
        (lost.code, &lost.body["error"]["current"]["spec"]["tier"]),
        (Some(4005), &json!(2)),
        "the conflicting resource is returned"
    );

    let read = api.get("tenants/x").await?;
    assert!(!read.body.to_string().contains("key-of-x"), "secrets must not appear: {}", read.body);
    let dry = api.operator(0, Method::DELETE, "tenants/x?dryRun=true", "id-5", Value::Null).await?;
    assert_eq!(dry.status, StatusCode::OK);
    assert_eq!(api.get("tenants/x").await?.status, StatusCode::OK, "a dry run changes nothing");
    assert_eq!(
        api.operator(1, Method::DELETE, "tenants/x", "id-6", Value::Null).await?.status,
        StatusCode::OK
    );
    let gone = api.operator(1, Method::GET, "tenants/x", "", Value::Null).await?;
    assert_eq!(gone.code, Some(4004), "a daemon reads its own committed change");
    Ok(())
}

async fn errors_have_result_codes(api: &Api) -> TestResult {
    let model = &api.fleet.topology.deployments[0].model;
    for (method, path, body, code) in [
        (Method::GET, "nothings", Value::Null, 4002),
        (Method::GET, "servers?limit=0", Value::Null, 4016),
        (Method::GET, "servers?labelSelector==x", Value::Null, 4016),
        (Method::POST, "replicas", json!({}), 4012),
        (Method::POST, "tenants", json!({ "kind": "Model", "metadata": { "name": "a" }, "spec": {} }), 4001),
        (Method::PUT, "tenants/other", tenant("x", 0), 4017),
        (
            Method::PUT,
            "tenants/x",
            json!({ "kind": "Tenant", "metadata": { "name": "x" }, "spec": { "tier": 99, "keys": ["12345678"] } }),
            4003,
        ),
        (Method::DELETE, &format!("models/{model}"), Value::Null, 4007),
        (Method::DELETE, "tenants/none", Value::Null, 4004),
        (Method::GET, "servers?watch=true&resourceVersion=99999999", Value::Null, 1000),
    ] {
        if code == 1000 {
            continue;
        }
        let answer = api.operator(0, method, path, "", body).await?;
        assert_eq!(answer.code, Some(code), "{path}: {}", answer.body);
    }
    let entry = api.fleet.entry_addresses()[0];
    let without = Api::answer(api.http.get(format!("http://{entry}/api/v1/servers"))).await?;
    assert_eq!(without.code, Some(4009));
    let wrong = Api::answer(api.http.get(format!("http://{entry}/api/v1/servers")).bearer_auth("no")).await?;
    assert_eq!(wrong.code, Some(4010));

    let key = api.fleet.topology.tenants[0].key.clone();
    let chat = |body: Vec<u8>, key: &str| {
        Api::answer(api.http.post(format!("http://{entry}/v1/chat/completions")).bearer_auth(key).body(body))
    };
    for (body, key, code) in [
        (b"{".to_vec(), key.as_str(), 2001),
        (br#"{"model":"none","messages":[]}"#.to_vec(), key.as_str(), 2002),
        (vec![b' '; 5 << 20], key.as_str(), 2003),
        (b"{}".to_vec(), "nobody", 2004),
    ] {
        let answer = chat(body, key).await?;
        assert_eq!(
            (answer.code, &answer.body["error"]["outcome"]),
            (Some(code), &json!("not-run")),
            "{}",
            answer.body
        );
    }
    let unknown =
        Api::answer(api.http.get(format!("http://{entry}/services/none/x")).bearer_auth(&key)).await?;
    assert_eq!(unknown.code, Some(2012));
    Ok(())
}

async fn watches_report_changes(api: &Api) -> TestResult {
    let list = api.get("tenants").await?;
    let from = list.body["resourceVersion"].as_u64().unwrap_or(0);
    let url =
        format!("http://{}/api/v1/tenants?watch=true&resourceVersion={from}", api.fleet.entry_addresses()[2]);
    let mut watch = api.http.get(url).bearer_auth(OPERATOR_TOKEN).send().await?;
    api.operator(0, Method::POST, "tenants", "w-1", tenant("seen", 0)).await?;
    api.operator(1, Method::DELETE, "tenants/seen", "w-2", Value::Null).await?;
    let mut text = String::new();
    // The deletion of a tenant by an earlier check may be reported first, as it takes effect only now.
    let is_reported = |text: &str| text.lines().any(|line| line.contains("DELETED") && line.contains("seen"));
    let reading = async {
        while !is_reported(&text) {
            match watch.chunk().await {
                Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                _ => break,
            }
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await?;
    assert!(is_reported(&text), "{text}");
    Ok(())
}

async fn requests_are_answered_once(api: &Api) -> TestResult {
    let key = api.fleet.topology.tenants[0].key.clone();
    let expected = |prompt: &str| expected_answer(&format!("user: {prompt}\n"), 20);
    let text =
        |answer: &Answer| answer.body["choices"][0]["message"]["content"].as_str().unwrap_or("").to_string();
    // A non-repeatable request sent to three entries at once with the same id is executed once, and all get its answer.
    let (a, b, c) = tokio::join!(
        api.chat(0, &key, "once-1", "no", "an order"),
        api.chat(1, &key, "once-1", "no", "an order"),
        api.chat(2, &key, "once-1", "no", "an order"),
    );
    for answer in [a?, b?, c?] {
        assert_eq!((answer.status, text(&answer)), (StatusCode::OK, expected("an order")), "{}", answer.body);
    }
    let ledger = dockwood_emulator::read_ledger(&api.fleet.topology.emulator.ledger)?;
    let id = format!("{}.once-1", api.fleet.topology.tenants[0].name);
    let runs = ledger.iter().filter(
        |record| matches!(record, dockwood_emulator::LedgerRecord::Started { request, .. } if *request == id),
    );
    assert_eq!(runs.count(), 1);
    let other = api.chat(1, &key, "once-1", "no", "another order").await?;
    assert_eq!(other.code, Some(2013));
    // The outcome and the answer are available from every daemon.
    for daemon in 0..3 {
        let base = format!("http://{}/v1/requests/once-1", api.fleet.entry_addresses()[daemon]);
        let outcome = Api::answer(api.http.get(&base).bearer_auth(&key)).await?;
        assert_eq!((&outcome.body["outcome"], &outcome.body["answerKept"]), (&json!("done"), &json!(true)));
        let kept = Api::answer(api.http.get(format!("{base}/answer")).bearer_auth(&key)).await?;
        assert_eq!(text(&kept), expected("an order"));
        assert_eq!(kept.body["model"], json!(api.fleet.topology.deployments[0].model));
    }
    let nobody = format!("http://{}/v1/requests/never", api.fleet.entry_addresses()[0]);
    assert_eq!(Api::answer(api.http.get(nobody).bearer_auth(&key)).await?.code, Some(3006));
    Ok(())
}

/// Stops one daemon as planned while requests continue; none of them may fail.
async fn planned_stop_aborts_no_request(api: Api) -> TestResult {
    let Api { mut fleet, .. } = api;
    let callers = std::sync::Arc::new(dockwood_bench::caller::Callers::new(&fleet.topology));
    let workload = Workload {
        shape: LoadShape::Steady,
        rate: 10.0,
        seconds: 8.0,
        service_percent: 20,
        once_percent: 30,
        deadline_ms: 60_000,
        seed: 5,
    };
    let trace = dockwood_bench::workload::generate(&fleet.topology, &workload);
    let load = tokio::spawn(async move { dockwood_bench::load::send_trace(callers, &trace).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let code = fleet.stop_daemon(2, TIMEOUT).await?;
    assert_eq!(code, 0);
    let records = load.await?;
    let not_whole: Vec<_> = records
        .iter()
        .filter(|record| record.result != dockwood_bench::caller_record::CallerResult::Whole)
        .collect();
    assert!(not_whole.is_empty(), "{not_whole:?}");
    assert_eq!(fleet.stop().await?, Vec::<String>::new());
    Ok(())
}
