//! Randomized fault injection with real processes while operators change the configuration: a seed selects which members of the
//! control group and which entries are killed, suspended, stopped, lose their disks, or are cut off by a forwarder between the
//! processes. At the end, all processes are killed at once, and some disks are lost.
//!
//! `CONFIGURATION_SOAK_SEEDS=50 cargo test -p dockwood-daemon --test gateway configuration_soak` runs 50 seeds, starting at
//! `CONFIGURATION_SOAK_FIRST`.

mod injector;
mod links;
mod schedule;
mod slow_links;
mod voter_losses;

use crate::configuration_changes::{Bounds, ConfigurationRecords, Defect, Observers, Operator, Read};
use crate::fixture::{Fleet, FleetOptions, configuration};
use crate::limit_soak::environment_or;
use injector::Injector;
use links::{Forwarded, Links};
use schedule::{Disks, ENTRIES, LOSSES_TOLERATED, MEMBERS, Schedule};
use serde_json::json;
use std::io::{Error, Result};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use yare::parameterized;

const PLAIN_SERVERS: u8 = 3;
const BOUNDS: Bounds = Bounds {
    applied_within: Duration::from_millis(2_500),
    settled_after: Duration::from_secs(4),
    delayed_by_control: Duration::from_secs(6),
    reverts_within: Duration::from_millis(250),
    revoked_within: Duration::from_secs(5),
    accepted_within: Duration::from_secs(5),
};
/// The configuration is read back within this time after all processes were started again.
const READ_BACK_WITHIN: Duration = Duration::from_secs(4);
/// All entries serve within this time after all processes were started again.
const SERVED_WITHIN: Duration = Duration::from_secs(15);

/// Threads for the links and the faults of a run: operators and probes that handle large configurations must not delay them.
struct LinkThreads(Option<Runtime>);

impl LinkThreads {
    fn start() -> Result<LinkThreads> {
        Ok(LinkThreads(Some(Builder::new_multi_thread().worker_threads(2).enable_all().build()?)))
    }

    fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Result<JoinHandle<T>> {
        let runtime = self.0.as_ref().ok_or_else(|| Error::other("the threads have ended"))?;
        Ok(runtime.spawn(task))
    }
}

impl Drop for LinkThreads {
    /// Does not wait for the tasks, as a runtime is dropped within another one.
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// What a run has shown. The fleet is kept so that its logs are kept if the test fails.
struct SoakResult {
    violations: Vec<String>,
    injector: Injector,
    _threads: LinkThreads,
}

/// What followed the last fault.
struct Return {
    read: Option<Read>,
    read_after: Duration,
    served_after: Option<Duration>,
}

async fn start_fleet(threads: &LinkThreads) -> Result<(Fleet, Arc<Links>)> {
    let fleet = Fleet::new(FleetOptions {
        members: MEMBERS as u8,
        entries: ENTRIES as u8,
        losses_tolerated: LOSSES_TOLERATED as u8,
        forwards_peers: true,
        gateway_settings: json!({ "drainMs": 2_500 }),
        ..FleetOptions::default()
    });
    let links = Links::new();
    for host in 0..MEMBERS + ENTRIES {
        let (known, accepting) = fleet.peer_addresses(host as u8);
        let links = links.clone();
        let forwarding = async move { links.forward(host, Forwarded { known, accepting }).await };
        threads.spawn(forwarding)?.await.map_err(Error::other)??;
    }
    Ok((fleet, links))
}

/// Starts a fleet that serves the first configuration.
async fn start_run(threads: &LinkThreads, defect: Defect) -> Result<(Injector, Arc<Operator>)> {
    let (fleet, links) = start_fleet(threads).await?;
    let base = configuration(1);
    let operator = Arc::new(Operator::new(fleet.http.clone(), fleet.operators(), base.clone(), defect));
    let mut injector = Injector::new(fleet, links, operator.clone());
    injector.start_all().await;
    for number in 0..PLAIN_SERVERS {
        injector.fleet.plain_server(number).await;
    }
    injector.fleet.configure(&base).await;
    injector.fleet.wait_until_served("/plain/1").await;
    Ok((injector, operator))
}

/// Runs a schedule.
async fn run_schedule(name: &str, schedule: &Schedule, defect: Defect) -> Result<SoakResult> {
    let threads = LinkThreads::start()?;
    let (mut injector, operator) = start_run(&threads, defect).await?;
    if schedule.restores_disks() {
        injector.save_disks();
    }
    let started = Instant::now();
    let storms = schedule.storms.iter().cloned();
    let submitting: Vec<_> =
        storms.map(|storms| tokio::spawn(operator.clone().submit_storms(started, storms))).collect();
    let observers = Observers::start(&injector.fleet, &operator, BOUNDS);
    let Schedule { faults, last_fault_at, last_fault, .. } = schedule.clone();
    let executing = async move {
        injector.execute(started, &faults, started + last_fault_at).await;
        let returned_at = match &last_fault {
            Some(fault) => injector.execute_last(fault).await,
            None => Instant::now(),
        };
        (injector, returned_at)
    };
    let (mut injector, returned_at) = threads.spawn(executing)?.await.map_err(Error::other)?;
    let returned = observe_return(&injector, &operator, returned_at).await;
    for submitted in submitting {
        submitted.await.map_err(Error::other)?;
    }
    let (probes, reads) = observers.finish().await?;
    injector.check_processes(started);
    let records = ConfigurationRecords {
        started,
        bounds: BOUNDS,
        members: MEMBERS,
        submissions: operator.submissions(),
        probes,
        reads,
        disruptions: injector.disruptions.clone(),
    };
    let Return { read, read_after, served_after } = &returned;
    println!("{name}: {}; read back after {read_after:?}, served after {served_after:?}", records.summary());
    let mut violations = records.violations();
    violations.extend(records.check_final(read.as_ref()));
    if served_after.is_none() {
        violations.push(format!("violated: entries serve {SERVED_WITHIN:?} after the last fault"));
    }
    violations.extend(injector.faulty_exits.iter().map(|exit| format!("violated: {exit}")));
    Ok(SoakResult { violations, injector, _threads: threads })
}

/// Reads the configuration, and waits until all entries serve.
async fn observe_return(injector: &Injector, operator: &Operator, started: Instant) -> Return {
    let read = operator.read_back(READ_BACK_WITHIN).await;
    let read_after = started.elapsed();
    let served = injector.fleet.wait_until_served("/plain/1");
    let served = tokio::time::timeout_at((started + SERVED_WITHIN).into(), served).await;
    Return { read, read_after, served_after: served.is_ok().then(|| started.elapsed()) }
}

async fn run_seed(seed: u64) -> Result<()> {
    let schedule = Schedule::of_seed(seed);
    let result = run_schedule(&format!("seed {seed}"), &schedule, Defect::None).await?;
    let (violations, total) = (&result.violations, result.violations.len());
    let injected = result.injector.injected.join("\n");
    assert!(total == 0, "seed {seed}: {total} violations\n{}\n{injected}", violations.join("\n"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_configurations_are_in_force_and_return_after_all_processes_were_killed() -> Result<()> {
    let first = environment_or("CONFIGURATION_SOAK_FIRST", 1);
    for seed in first..first + environment_or("CONFIGURATION_SOAK_SEEDS", 1) {
        run_seed(seed).await?;
    }
    Ok(())
}

#[parameterized(
    invents = { Defect::InventsConfiguration, "is read at the end after" },
    accepts_invalid = { Defect::AcceptsInvalid, "an invalid configuration is accepted" },
    sends_other_content = { Defect::SendsOtherContent, "is not read as it was submitted" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_defect_of_the_operator_is_found(defect: Defect, rule: &str) -> Result<()> {
    let result = run_schedule(&format!("{defect:?}"), &Schedule::without_faults(), defect).await?;
    let violations = &result.violations;
    assert!(violations.iter().any(|violation| violation.contains(rule)), "{violations:#?}");
    Ok(())
}

#[parameterized(
    all_lost = { Disks::AllLost, "no configuration is read at the end" },
    outdated = { Disks::Outdated, "is read at the end after" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_loss_of_accepted_configurations_is_found(disks: Disks, rule: &str) -> Result<()> {
    let result = run_schedule(&format!("{disks:?}"), &Schedule::ending_with(disks), Defect::None).await?;
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
