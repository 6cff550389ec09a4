//! `matrix`: runs every fault, alone and in pairs, at every step in the deterministic simulator.

use clap::{Arg, ArgMatches, Command, value_parser};
use dockwood_placement::PlacementPolicy;
use dockwood_simulation::{Fault, RunPlan, RunResult, Step, run as simulate};
use serde::Serialize;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of failing runs to print.
const MAX_PRINTED_FAILURES: usize = 20;

pub(super) fn command() -> Command {
    Command::new("matrix")
        .about(
            "Simulates every fault, alone and in pairs, at every step; prints violated invariants and measures",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("First seed"),
        )
        .arg(
            Arg::new("runs")
                .long("runs")
                .value_parser(value_parser!(usize))
                .default_value("2992")
                .help("Total number of runs; 176 cells are single faults, 2,816 are ordered pairs"),
        )
        .arg(
            Arg::new("placement")
                .long("placement")
                .value_parser(["spare-aware", "first-fit", "full-reform", "all"])
                .default_value("spare-aware")
                .help("Placement policy; all compares the policies on the same runs"),
        )
}

/// Measures summed over a set of runs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
struct MeasureSums {
    runs: u64,
    broken: u64,
    downtime_replica_seconds: f64,
    stranded_machine_seconds: f64,
    leaderless_seconds: f64,
    recovered_ms: f64,
}

impl MeasureSums {
    fn add(&mut self, result: &RunResult) {
        self.runs += 1;
        self.broken += u64::from(!result.violations.is_empty());
        self.downtime_replica_seconds += result.measures.downtime_replica_seconds;
        self.stranded_machine_seconds += result.measures.stranded_machine_seconds;
        self.leaderless_seconds += result.measures.leaderless_seconds;
        self.recovered_ms += result.recovered_ms.unwrap_or(0) as f64;
    }

    fn mean(&self, sum: f64) -> f64 {
        sum / (self.runs.max(1)) as f64
    }
}

/// Summary that is printed as the last line of output.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct MatrixSummary {
    placement: String,
    first_seed: u64,
    runs: u64,
    broken: u64,
    mean_downtime_replica_seconds: f64,
    mean_stranded_machine_seconds: f64,
    mean_leaderless_seconds: f64,
    mean_recovered_ms: f64,
}

/// The faults of combination `index`: first each fault alone, then every ordered pair.
fn combination_faults(index: usize) -> Vec<Fault> {
    let count = Fault::ALL.len();
    match index.checked_sub(count) {
        None => vec![Fault::ALL[index]],
        Some(pair) => vec![Fault::ALL[pair / count], Fault::ALL[pair % count]],
    }
}

/// The plan of one run. Runs cycle through the cells; each round uses new seeds.
fn run_plan(number: usize, first_seed: u64, placement: PlacementPolicy) -> RunPlan {
    let combinations = Fault::ALL.len() * (Fault::ALL.len() + 1);
    let cells = Step::ALL.len() * combinations;
    let cell = number % cells;
    RunPlan {
        seed: first_seed + number as u64,
        step: Step::ALL[cell % Step::ALL.len()],
        faults: combination_faults(cell / Step::ALL.len()),
        defect: None,
        placement,
    }
}

fn policy(name: &str) -> PlacementPolicy {
    match name {
        "first-fit" => PlacementPolicy::FirstFit,
        "full-reform" => PlacementPolicy::FullReform,
        _ => PlacementPolicy::SpareAware,
    }
}

/// Runs all plans on all cores and returns the results in order of their numbers.
fn run_all(runs: usize, first_seed: u64, placement: PlacementPolicy) -> Vec<(RunPlan, RunResult)> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunPlan, RunResult)>> = Mutex::new(Vec::with_capacity(runs));
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= runs {
                        return;
                    }
                    let plan = run_plan(number, first_seed, placement);
                    let result = simulate(&plan);
                    results
                        .lock()
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .push((number, plan, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    results.sort_by_key(|(number, ..)| *number);
    results.into_iter().map(|(_, plan, result)| (plan, result)).collect()
}

fn print_table(results: &[(RunPlan, RunResult)]) {
    let mut rows = comfy_table::Table::new();
    rows.load_preset(comfy_table::presets::NOTHING);
    rows.set_header(["first fault", "runs", "broken", "downtime", "stranded", "leaderless", "recovered ms"]);
    for fault in Fault::ALL {
        let mut sums = MeasureSums::default();
        let with_fault = results.iter().filter(|(plan, _)| plan.faults[0] == fault);
        with_fault.for_each(|(_, result)| sums.add(result));
        rows.add_row(row(&format!("{fault:?}"), &sums));
    }
    println!("{rows}\n");
    let mut rows = comfy_table::Table::new();
    rows.load_preset(comfy_table::presets::NOTHING);
    rows.set_header(["step", "runs", "broken", "downtime", "stranded", "leaderless", "recovered ms"]);
    for step in Step::ALL {
        let mut sums = MeasureSums::default();
        results.iter().filter(|(plan, _)| plan.step == step).for_each(|(_, result)| sums.add(result));
        rows.add_row(row(&format!("{step:?}"), &sums));
    }
    println!("{rows}");
}

fn row(name: &str, sums: &MeasureSums) -> [String; 7] {
    [
        name.to_string(),
        sums.runs.to_string(),
        sums.broken.to_string(),
        format!("{:.2}", sums.mean(sums.downtime_replica_seconds)),
        format!("{:.1}", sums.mean(sums.stranded_machine_seconds)),
        format!("{:.2}", sums.mean(sums.leaderless_seconds)),
        format!("{:.0}", sums.mean(sums.recovered_ms)),
    ]
}

fn run_policy(name: &str, runs: usize, first_seed: u64, with_table: bool) -> MatrixSummary {
    let results = run_all(runs, first_seed, policy(name));
    let mut sums = MeasureSums::default();
    results.iter().for_each(|(_, result)| sums.add(result));
    if with_table {
        println!(
            "placement {name}; means over runs; downtime in replica seconds, stranded in machine seconds\n"
        );
        print_table(&results);
    }
    let failed = results.iter().filter(|(_, result)| !result.violations.is_empty());
    for (plan, result) in failed.take(MAX_PRINTED_FAILURES) {
        println!("seed {} step {:?} faults {:?}: {:?}", plan.seed, plan.step, plan.faults, result.violations);
    }
    MatrixSummary {
        placement: name.to_string(),
        first_seed,
        runs: sums.runs,
        broken: sums.broken,
        mean_downtime_replica_seconds: sums.mean(sums.downtime_replica_seconds),
        mean_stranded_machine_seconds: sums.mean(sums.stranded_machine_seconds),
        mean_leaderless_seconds: sums.mean(sums.leaderless_seconds),
        mean_recovered_ms: sums.mean(sums.recovered_ms),
    }
}

pub(super) fn run(matches: &ArgMatches) -> io::Result<bool> {
    let runs = matches.get_one::<usize>("runs").copied().unwrap_or_default();
    let first_seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let name = matches.get_one::<String>("placement").map(String::as_str).unwrap_or("spare-aware");
    if name != "all" {
        let summary = run_policy(name, runs, first_seed, true);
        println!("{}", serde_json::to_string(&summary)?);
        return Ok(summary.broken == 0);
    }
    let summaries: Vec<MatrixSummary> = ["spare-aware", "first-fit", "full-reform"]
        .into_iter()
        .map(|name| run_policy(name, runs, first_seed, false))
        .collect();
    println!("{}", serde_json::to_string(&summaries)?);
    Ok(summaries.iter().all(|summary| summary.broken == 0))
}
