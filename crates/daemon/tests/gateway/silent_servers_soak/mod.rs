//! Randomized fault injection with real processes whose servers pause: a seed selects which servers fall silent, when and for
//! how long, which configurations are submitted beside that, and which entries are told to stop, suspended, killed, or told to
//! read their settings, and which servers crash. Faults overlap. Callers keep their connections for as long as these live.
//!
//! `SILENT_SERVERS_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test gateway silent_servers_soak` runs 50 seeds, starting at
//! `SILENT_SERVERS_SOAK_FIRST`.

mod callers;
mod checks;
mod http_text;
mod injector;
mod membership;
mod records;
mod schedule;
mod server;

use crate::configuration_changes::{
    Bounds, ConfigurationRecords, Defect as OperatorDefect, Disruption, Observers, Operator, Process,
};
use crate::fixture::{Fleet, FleetOptions, configuration};
use crate::limit_soak::environment_or;
use callers::Caller;
use checks::SoakRecords;
use futures::future::join_all;
use injector::{Injector, Outage, OutageKind};
use records::{Call, CallKind};
use schedule::{ENTRIES, MODEL_SERVERS, Schedule};
use serde_json::{Value, json};
use server::{BREAKS_AFTER, Defect, REPORT_INTERVAL, ServerContext};
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use yare::parameterized;

/// Number of callers of each kind of requests at each entry.
const CALLERS_OF_A_KIND: usize = 3;
/// Times in which configurations take effect.
const BOUNDS: Bounds = Bounds {
    applied_within: Duration::from_secs(2),
    settled_after: Duration::from_secs(3),
    delayed_by_control: Duration::ZERO,
    reverts_within: Duration::from_millis(250),
    revoked_within: Duration::from_secs(5),
    accepted_within: Duration::from_secs(5),
};

/// What a run has shown. The fleet is kept so that its logs are kept if the test fails.
struct SoakResult {
    violations: Vec<String>,
    _injector: Injector,
}

/// Runs a schedule.
async fn run_schedule(name: &str, schedule: &Schedule, defect: Defect) -> Result<SoakResult> {
    let gateway_settings =
        json!({ "stallMs": BREAKS_AFTER.as_millis(), "heartbeatMs": REPORT_INTERVAL.as_millis() });
    let fleet = Fleet::start_with(FleetOptions {
        entries: ENTRIES as u8,
        leader_dispatches_up_to: schedule.leader_dispatches_up_to,
        gateway_settings,
        ..FleetOptions::default()
    });
    let context = ServerContext::new(fleet.operators(), defect);
    let mut injector = Injector::start(fleet, context.clone()).await?;
    injector.fleet.configure(&soak_configuration(1)).await;
    injector.fleet.wait_until_served("/once/1").await;
    injector.fleet.wait_until_open("writer", MODEL_SERVERS as u32 / 2).await;
    let operator_defect = match defect {
        Defect::InventsConfiguration => OperatorDefect::InventsConfiguration,
        _ => OperatorDefect::None,
    };
    let (http, operators) = (injector.fleet.http.clone(), injector.fleet.operators());
    let operator = Arc::new(Operator::new(http, operators, soak_configuration(1), operator_defect));
    let started = Instant::now();
    injector.last_disruption_end = started;
    let storms = tokio::spawn(operator.clone().submit_storms(started, schedule.storms.clone()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&injector.fleet, &is_over);
    let observers = Observers::start(&injector.fleet, &operator, BOUNDS);
    injector.execute(started, &schedule.faults).await?;
    storms.await.map_err(Error::other)?;
    let recovered = injector.last_disruption_end + schedule.observed_after_disruptions;
    tokio::time::sleep_until(recovered.max(started + schedule.duration).into()).await;
    is_over.store(true, Ordering::SeqCst);
    let calls = join_all(callers).await.into_iter().collect::<std::result::Result<Vec<_>, _>>();
    let (probes, reads) = observers.finish().await?;
    let records = SoakRecords {
        started,
        calls: calls.map_err(Error::other)?.concat(),
        runs: context.runs.all(),
        outages: injector.outages.clone(),
        crashes: injector.crashes.clone(),
        last_disruption_end: injector.last_disruption_end,
        unexpected_exits: injector.unexpected_exits.clone(),
    };
    let configurations = ConfigurationRecords {
        started,
        bounds: BOUNDS,
        members: injector.fleet.members.len(),
        submissions: operator.submissions(),
        probes,
        reads,
        disruptions: injector.outages.iter().map(disruption_of).collect(),
    };
    println!("{name}: {}; {} configurations", records.summary(), configurations.submissions.len());
    records.held_until_deadline().iter().for_each(|call| println!("{call}"));
    let mut violations = records.violations();
    violations.extend(configurations.violations());
    if !schedule.observed_after_disruptions.is_zero() {
        violations.extend(records.missing_recovery());
    }
    injector.fleet.settled_version().await;
    violations.extend(configurations.check_final(operator.read(operator.operators[0]).await.as_ref()));
    Ok(SoakResult { violations, _injector: injector })
}

fn disruption_of(outage: &Outage) -> Disruption {
    Disruption {
        process: Process::Entry(outage.entry),
        ends_process: outage.kind != OutageKind::Suspended,
        from: outage.from,
        until: outage.until,
    }
}

/// Returns a configuration with a route for each kind of requests.
fn soak_configuration(version: u64) -> Value {
    let mut content = configuration(version);
    if let Some(routes) = content["routes"].as_array_mut() {
        let mut route = routes[0].clone();
        route["name"] = json!("stream-once");
        route["path_prefix"] = json!("/stream-once/");
        route["resumable"] = json!(false);
        route["max_attempts"] = json!(1);
        routes.push(route);
    }
    content
}

fn spawn_callers(fleet: &Fleet, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<Call>>> {
    let mut callers = Vec::new();
    for entry in 0..ENTRIES {
        for kind in CallKind::ALL {
            for number in 0..CALLERS_OF_A_KIND {
                let caller = Caller { number, entry, entry_url: fleet.entry(entry as u8), kind };
                callers.push(tokio::spawn(caller.run(is_over.clone())));
            }
        }
    }
    callers
}

async fn run_seed(seed: u64) -> Result<()> {
    let schedule = Schedule::of_seed(seed);
    let result = run_schedule(&format!("seed {seed}"), &schedule, Defect::None).await?;
    let (violations, total) = (&result.violations, result.violations.len());
    assert!(total == 0, "seed {seed}: {total} violations\n{}\n{schedule:?}", violations.join("\n"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_are_whole_while_servers_pause_beside_planned_work_and_faults() -> Result<()> {
    let first = environment_or("SILENT_SERVERS_SOAK_FIRST", 1);
    for seed in first..first + environment_or("SILENT_SERVERS_SOAK_SEEDS", 1) {
        run_seed(seed).await?;
    }
    Ok(())
}

#[parameterized(
    runs_twice = { Defect::RunsTwice, "runs no more often" },
    truncates = { Defect::Truncates, "looks complete" },
    skips_event = { Defect::SkipsEvent, "looks complete" },
    drops = { Defect::Drops, "ends early only" },
    denies_run = { Defect::DeniesRun, "refused as not run" },
    invents_configuration = { Defect::InventsConfiguration, "is in force" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_defect_of_the_servers_or_the_operator_is_found(defect: Defect, rule: &str) -> Result<()> {
    let result = run_schedule(&format!("{defect:?}"), &Schedule::without_faults(), defect).await?;
    let violations = &result.violations;
    assert!(violations.iter().any(|violation| violation.contains(rule)), "{violations:#?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_violation_is_found_without_faults_and_defects() -> Result<()> {
    let result = run_schedule("no faults", &Schedule::without_faults(), Defect::None).await?;
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    Ok(())
}
