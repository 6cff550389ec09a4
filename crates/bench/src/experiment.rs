//! Runs an experiment: a fleet under load and faults, and the check of its results.

use crate::caller::Callers;
use crate::caller_record::CallerRecord;
use crate::checker::{RunParameters, check_run};
use crate::fault::{FaultRecord, TimedFault, inject_faults};
use crate::fleet::RunningFleet;
use crate::load::send_trace;
use crate::operator::{Operator, serving_replicas};
use crate::report::{ReportData, write_report};
use crate::summary::{Summary, summarise};
use crate::topology::{Preset, Sizes, Topology, own_network};
use crate::trace::TraceRequest;
use crate::workload::{Workload, generate};
use dockwood_api::event::Event;
use dockwood_emulator::{read_ledger, wall_ms};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between samples of the fleet state.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for all declared replicas to serve.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(40);
/// Delay between the last replica serving and the start of the load, so that liveness evidence reaches all daemons.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// An experiment as declared in its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Experiment {
    /// Name shown in reports.
    pub name: String,
    /// Preset of the fleet.
    pub preset: Preset,
    /// Sizes of the fleet.
    #[serde(default)]
    pub sizes: Sizes,
    /// The load; a trace given on the command line takes precedence.
    pub workload: Workload,
    /// Faults, ordered by time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// Results of a run.
pub struct Outcome {
    /// The summary.
    pub summary: Summary,
    /// What each caller observed.
    pub callers: Vec<CallerRecord>,
    /// The trace that was sent.
    pub trace: Vec<TraceRequest>,
}

/// Samples of the fleet state taken while the load runs.
#[derive(Default)]
struct Samples {
    /// Elapsed seconds, serving replicas, stranded machines.
    states: Vec<(f64, f64, f64)>,
    regressions: u64,
}

/// Runs an experiment in `folder` and writes its report there.
pub async fn run_experiment(
    experiment: &Experiment,
    trace: Option<Vec<TraceRequest>>,
    folder: &Path,
) -> io::Result<Outcome> {
    std::fs::create_dir_all(folder)?;
    let folder = folder.canonicalize()?;
    let topology = Topology::new(experiment.preset, experiment.sizes, own_network(), &folder);
    let trace = trace.unwrap_or_else(|| generate(&topology, &experiment.workload));
    let mut fleet = RunningFleet::start(topology.clone()).await?;
    println!("{} daemons hold their leases", topology.daemons.len());
    fleet.apply_resources(FORMATION_TIMEOUT).await?;
    println!("{} replicas serve; all resources are in force", topology.declared_replicas());
    tokio::time::sleep(SETTLE_TIME).await;

    let start_ms = wall_ms();
    let samples = Arc::new(Mutex::new(Samples::default()));
    let sampler =
        tokio::spawn(sample_fleet(fleet.operator.clone(), fleet.entry_addresses(), samples.clone()));
    let callers = Arc::new(Callers::new(&topology));
    let (records, faults) =
        tokio::join!(send_trace(callers, &trace), inject_faults(&mut fleet, &experiment.faults));
    let end_ms = wall_ms();
    sampler.abort();
    let faults = faults?;
    let events = merged_events(&fleet.operator, &fleet.entry_addresses()).await;
    let process_faults = fleet.stop().await?;

    let ledger = read_ledger(&topology.emulator.ledger)?;
    let parameters = RunParameters {
        start_ms,
        end_ms,
        declared_replicas: topology.declared_replicas(),
        list_lag_ms: topology.emulator.list_lag_ms,
        machines: topology.emulator.engines.len(),
    };
    let (states, regressions) = {
        let samples = samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        (samples.states.clone(), samples.regressions)
    };
    let counts = check_run(&ledger, &records, &parameters, regressions);
    let seconds = (end_ms - start_ms) as f64 / 1000.0;
    let mut summary = summarise(&experiment.name, counts, seconds, &records);
    // A request whose caller left no record counts as lost.
    summary.counts.lost += (trace.len() - records.len()) as u64;
    summary.counts.requests = trace.len() as u64;
    summary.process_faults = process_faults;
    let data = ReportData {
        summary: &summary,
        callers: &records,
        faults: &faults,
        events: &events,
        samples: &states,
    };
    write_report(&folder, &data)?;
    print_summary(&summary, &faults);
    Ok(Outcome { summary, callers: records, trace })
}

fn print_summary(summary: &Summary, faults: &[FaultRecord]) {
    for fault in faults {
        println!("{:6.1} s  {}", fault.at_ms as f64 / 1000.0, fault.what);
    }
    let counts = &summary.counts;
    println!(
        "{} requests in {:.1} s: {} whole, {} not run, {} unknown",
        counts.requests, summary.seconds, counts.whole, counts.not_run, counts.unknown
    );
    for (name, count) in counts.must_be_zero() {
        println!("  {name}: {count} (must be 0)");
    }
    println!("  group downtime: {:.1} replica seconds", counts.group_downtime_replica_seconds);
    println!("  stranded: {:.1} machine seconds", counts.stranded_machine_seconds);
    let first = summary.first_token_ms;
    println!("  first token: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms", first.p50, first.p95, first.p99);
    let between = summary.between_tokens_ms;
    println!(
        "  between tokens: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        between.p50, between.p95, between.p99
    );
}

/// Samples the leader's view and the revision of each daemon until the task is aborted.
async fn sample_fleet(operator: Operator, daemons: Vec<SocketAddr>, samples: Arc<Mutex<Samples>>) {
    let started = Instant::now();
    let mut highest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        if let Ok(status) = operator.status().await {
            let stranded = status["strandedMachines"].as_array().map_or(0, Vec::len);
            let state = (started.elapsed().as_secs_f64(), serving_replicas(&status) as f64, stranded as f64);
            samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).states.push(state);
        }
        for daemon in &daemons {
            let Ok(list) = operator.read_at(*daemon, "models?limit=1").await else { continue };
            let Some(revision) = list["resourceVersion"].as_u64() else { continue };
            let highest_seen = highest.entry(*daemon).or_insert(revision);
            if revision < *highest_seen {
                samples.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).regressions += 1;
            }
            *highest_seen = revision.max(*highest_seen);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Events of all daemons ordered by clock stamp. Events recorded by several voters appear once.
async fn merged_events(operator: &Operator, daemons: &[SocketAddr]) -> Vec<String> {
    let mut events: Vec<Event> = Vec::new();
    for daemon in daemons {
        let Ok(list) = operator.read_at(*daemon, "events").await else { continue };
        events.extend(serde_json::from_value::<Vec<Event>>(list["items"].clone()).unwrap_or_default());
    }
    dockwood_api::event::merge_events(events).iter().map(ToString::to_string).collect()
}
