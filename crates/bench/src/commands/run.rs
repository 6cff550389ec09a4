//! `run`: runs an experiment from its file.

use super::demo::{out_argument, out_folder};
use crate::experiment::{Experiment, run_experiment};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::{Path, PathBuf};

pub(super) fn command() -> Command {
    Command::new("run")
        .about("Runs an experiment and writes summary.json and report.html")
        .arg(
            Arg::new("experiment")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Experiment file (YAML)"),
        )
        .arg(out_argument("out/run"))
}

/// Reads an experiment file.
pub(super) fn read_experiment(path: &Path) -> io::Result<Experiment> {
    let text = std::fs::read_to_string(path)?;
    serde_saphyr::from_str(&text).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
}

/// Reads the experiment file named on the command line.
pub(super) fn experiment(matches: &ArgMatches) -> io::Result<Experiment> {
    let path = matches.get_one::<PathBuf>("experiment").cloned().unwrap_or_default();
    read_experiment(&path)
}

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let outcome = run_experiment(&experiment(matches)?, None, &out_folder(matches)).await?;
    println!("{}", serde_json::to_string(&outcome.summary)?);
    Ok(outcome.summary.counts.guarantees_hold() && outcome.summary.process_faults.is_empty())
}
