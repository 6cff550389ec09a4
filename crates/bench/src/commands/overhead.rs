//! `overhead`: measures the latency that dockwood adds, compared with calling the emulated engines directly in the same
//! run.

use super::demo::{out_argument, out_folder};
use crate::fleet::RunningFleet;
use crate::summary::{Percentiles, percentiles};
use crate::topology::{Preset, Sizes, Topology, own_network};
use clap::{ArgMatches, Command};
use dockwood_api::engine::GenerateRequest;
use serde::Serialize;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Number of servers of each measured fleet.
const SERVERS: [usize; 3] = [60, 120, 240];
/// Concurrent callers while latency is measured.
const LATENCY_CALLERS: usize = 4;
/// Concurrent callers while the throughput of one daemon is measured.
const THROUGHPUT_CALLERS: usize = 64;
/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(6);
const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Tokens per answer; few, so that the time spent in the engine is small.
const ANSWER_TOKENS: u32 = 4;

pub(super) fn command() -> Command {
    Command::new("overhead")
        .about(
            "Measures first-token latency and requests per second through one daemon, compared with the engine itself",
        )
        .arg(out_argument("out/overhead"))
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Row {
    servers: usize,
    direct: Percentiles,
    through: Percentiles,
    added_p50_ms: f64,
    added_p99_ms: f64,
    requests_per_second: f64,
    cpu_ms_per_request: f64,
    memory_mib: f64,
}

/// What the callers send requests to.
#[derive(Clone)]
enum Target {
    Daemon { address: SocketAddr, model: String, key: String },
    Engines(Vec<(SocketAddr, String, u64)>),
}

impl Target {
    fn request(&self, http: &reqwest::Client, number: u64) -> reqwest::RequestBuilder {
        match self {
            Target::Daemon { address, model, key } => {
                http.post(format!("http://{address}/v1/chat/completions")).bearer_auth(key).json(&json!({
                    "model": model, "stream": true, "max_tokens": ANSWER_TOKENS,
                    "messages": [{ "role": "user", "content": format!("prompt {number}") }],
                }))
            }
            Target::Engines(heads) => {
                let (head, replica, epoch) = &heads[number as usize % heads.len()];
                http.post(format!("http://{head}/engine/generate")).json(&GenerateRequest {
                    id: format!("direct-{number}"),
                    replica: replica.clone(),
                    epoch: *epoch,
                    prompt: format!("user: prompt {number}\n"),
                    adapter: None,
                    max_tokens: ANSWER_TOKENS,
                    priority: 0,
                    resume_from: 0,
                    repeatable: true,
                })
            }
        }
    }
}

/// Sends requests in a closed loop. Returns the time to the first token of each request, in milliseconds.
async fn run_closed_loop(target: Target, callers: usize, length: Duration) -> Vec<f64> {
    let next = Arc::new(AtomicU64::new(0));
    let http = reqwest::Client::new();
    let until = Instant::now() + length;
    let loops = (0..callers).map(|_| {
        let (target, http, next) = (target.clone(), http.clone(), next.clone());
        tokio::spawn(async move {
            let mut samples = Vec::new();
            while Instant::now() < until {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let sent = Instant::now();
                let Ok(mut response) = target.request(&http, number).send().await else { continue };
                if !response.status().is_success() {
                    continue;
                }
                // The first chunk contains the first token or arrives together with it.
                let first = response.chunk().await;
                if matches!(first, Ok(Some(_))) {
                    samples.push(sent.elapsed().as_secs_f64() * 1000.0);
                }
                while let Ok(Some(_)) = response.chunk().await {}
            }
            samples
        })
    });
    let results = futures::future::join_all(loops).await;
    results.into_iter().flatten().flatten().collect()
}

async fn group_heads(fleet: &RunningFleet, deployment: &str) -> io::Result<Vec<(SocketAddr, String, u64)>> {
    let list = fleet.operator.read("replicas").await?;
    let items = list["items"].as_array().cloned().unwrap_or_default();
    let engines = &fleet.topology.emulator.engines;
    let head = |item: &serde_json::Value| {
        let detail = &item["status"]["detail"];
        let member = detail["members"][0].as_str().filter(|_| detail["deployment"] == deployment)?;
        let engine = engines.iter().find(|engine| engine.name == member)?;
        Some((engine.address, item["metadata"]["name"].as_str()?.to_string(), detail["epoch"].as_u64()?))
    };
    Ok(items.iter().filter_map(head).collect())
}

async fn measure_fleet(servers: usize, folder: &Path) -> io::Result<Row> {
    let folder = folder.join(servers.to_string());
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let sizes = Sizes { servers, ..Sizes::default() };
    let mut topology = Topology::new(Preset::Unidos, sizes, own_network(), &folder);
    topology.emulator.model.step_micros = 1_000;
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(FORMATION_TIMEOUT).await?;
    let deployment = fleet.topology.deployments[0].clone();
    let daemon = Target::Daemon {
        address: fleet.entry_addresses()[0],
        model: deployment.model.clone(),
        key: fleet.topology.tenants[0].key.clone(),
    };
    let engines = Target::Engines(group_heads(&fleet, &deployment.name).await?);
    // Alternate, so that noise on the machine affects both measurements.
    let half = MEASUREMENT_DURATION / 2;
    let mut direct = run_closed_loop(engines.clone(), LATENCY_CALLERS, half).await;
    let mut through = run_closed_loop(daemon.clone(), LATENCY_CALLERS, half).await;
    direct.extend(run_closed_loop(engines, LATENCY_CALLERS, half).await);
    through.extend(run_closed_loop(daemon.clone(), LATENCY_CALLERS, half).await);
    let before = fleet.daemon_usage(0)?;
    let started = Instant::now();
    let completed = run_closed_loop(daemon, THROUGHPUT_CALLERS, MEASUREMENT_DURATION).await.len() as f64;
    let seconds = started.elapsed().as_secs_f64();
    let after = fleet.daemon_usage(0)?;
    fleet.stop().await?;
    let (direct, through) = (percentiles(direct.into_iter()), percentiles(through.into_iter()));
    Ok(Row {
        servers,
        added_p50_ms: through.p50 - direct.p50,
        added_p99_ms: through.p99 - direct.p99,
        direct,
        through,
        requests_per_second: completed / seconds,
        cpu_ms_per_request: 1000.0 * (after.cpu_seconds - before.cpu_seconds) / completed.max(1.0),
        memory_mib: after.resident_bytes as f64 / f64::from(1 << 20),
    })
}

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let folder = out_folder(matches);
    let mut rows = Vec::new();
    for servers in SERVERS {
        let row = measure_fleet(servers, &folder).await?;
        println!(
            "{servers:>4} servers: first token direct p50 {:.2} p99 {:.2} ms, through p50 {:.2} p99 {:.2} ms (ratio {:.2}, {:.2}); \
             {:.0} requests/s, {:.2} ms cpu each, {:.1} MiB",
            row.direct.p50,
            row.direct.p99,
            row.through.p50,
            row.through.p99,
            row.through.p50 / row.direct.p50,
            row.through.p99 / row.direct.p99,
            row.requests_per_second,
            row.cpu_ms_per_request,
            row.memory_mib
        );
        rows.push(row);
    }
    println!("{}", serde_json::to_string(&rows)?);
    Ok(true)
}
