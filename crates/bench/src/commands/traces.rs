//! `generate`, `record` and `replay`: write and replay trace files.

use super::demo::{out_argument, out_folder};
use super::run::experiment;
use crate::experiment::run_experiment;
use crate::topology::Topology;
use crate::trace::{read_trace, write_trace};
use crate::workload::generate;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

fn experiment_argument() -> Arg {
    Arg::new("experiment").required(true).value_parser(value_parser!(PathBuf)).help("Experiment file (YAML)")
}

fn trace_argument(help: &'static str) -> Arg {
    Arg::new("trace").required(true).value_parser(value_parser!(PathBuf)).help(help)
}

pub(super) fn generate_command() -> Command {
    Command::new("generate")
        .about("Writes the trace of an experiment's workload; deterministic for a given seed")
        .arg(experiment_argument())
        .arg(trace_argument("Trace file to write"))
}

pub(super) fn record_command() -> Command {
    Command::new("record")
        .about("Runs an experiment and writes its trace and the records of all callers")
        .arg(experiment_argument())
        .arg(trace_argument("Trace file to write; records are written next to it as .records.jsonl"))
        .arg(out_argument("out/record"))
}

pub(super) fn replay_command() -> Command {
    Command::new("replay")
        .about("Runs an experiment with a recorded trace instead of its workload")
        .arg(experiment_argument())
        .arg(trace_argument("Trace file to read"))
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_parser(value_parser!(PathBuf))
                .help("Expected outcomes (YAML); the run fails unless they are met"),
        )
        .arg(out_argument("out/replay"))
}

fn trace_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("trace").cloned().unwrap_or_default()
}

pub(super) fn generate_trace(matches: &ArgMatches) -> io::Result<bool> {
    let experiment = experiment(matches)?;
    let topology = Topology::new(experiment.preset, experiment.sizes, 0, Path::new("."));
    let trace = generate(&topology, &experiment.workload);
    write_trace(&trace_path(matches), &trace)?;
    println!("{} requests", trace.len());
    Ok(true)
}

pub(super) async fn record(matches: &ArgMatches) -> io::Result<bool> {
    let outcome = run_experiment(&experiment(matches)?, None, &out_folder(matches)).await?;
    let path = trace_path(matches);
    write_trace(&path, &outcome.trace)?;
    let lines: Result<Vec<String>, serde_json::Error> =
        outcome.callers.iter().map(serde_json::to_string).collect();
    std::fs::write(path.with_extension("records.jsonl"), lines?.join("\n"))?;
    println!("{}", serde_json::to_string(&outcome.summary)?);
    Ok(outcome.summary.counts.guarantees_hold())
}

/// Expected outcomes of a replay. Absent bounds are not checked; the counts that must be 0 are always checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct ExpectedOutcomes {
    /// Minimum share of complete answers, in percent of requests.
    pub whole_percent_at_least: Option<f64>,
    /// Maximum number of requests with an unknown outcome.
    pub unknown_at_most: Option<u64>,
    /// Maximum 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms_at_most: Option<f64>,
    /// Maximum 95th percentile of the time between tokens, in milliseconds.
    pub between_tokens_p95_ms_at_most: Option<f64>,
    /// Maximum group downtime, in replica seconds.
    pub group_downtime_at_most: Option<f64>,
}

impl ExpectedOutcomes {
    /// Returns a message for each bound that is not met.
    pub fn unmet(&self, summary: &crate::summary::Summary) -> Vec<String> {
        let counts = &summary.counts;
        let whole_percent = 100.0 * counts.whole as f64 / (counts.requests.max(1)) as f64;
        let mut unmet = Vec::new();
        let mut at_most = |name: &str, value: f64, bound: Option<f64>| {
            if bound.is_some_and(|bound| value > bound) {
                unmet.push(format!(
                    "{name}: {value:.1} exceeds the expected maximum of {:.1}",
                    bound.unwrap_or_default()
                ));
            }
        };
        at_most("unknown", counts.unknown as f64, self.unknown_at_most.map(|bound| bound as f64));
        at_most("first token p95", summary.first_token_ms.p95, self.first_token_p95_ms_at_most);
        at_most("between tokens p95", summary.between_tokens_ms.p95, self.between_tokens_p95_ms_at_most);
        at_most("group downtime", counts.group_downtime_replica_seconds, self.group_downtime_at_most);
        at_most(
            "percent not whole",
            100.0 - whole_percent,
            self.whole_percent_at_least.map(|bound| 100.0 - bound),
        );
        unmet
    }
}

pub(super) async fn replay(matches: &ArgMatches) -> io::Result<bool> {
    let expected = match matches.get_one::<PathBuf>("expect") {
        None => ExpectedOutcomes::default(),
        Some(path) => serde_saphyr::from_str(&std::fs::read_to_string(path)?)
            .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?,
    };
    let trace = read_trace(&trace_path(matches))?;
    let outcome = run_experiment(&experiment(matches)?, Some(trace), &out_folder(matches)).await?;
    let unmet = expected.unmet(&outcome.summary);
    unmet.iter().for_each(|line| println!("not met: {line}"));
    println!("{}", serde_json::to_string(&outcome.summary)?);
    Ok(unmet.is_empty() && outcome.summary.counts.guarantees_hold())
}
