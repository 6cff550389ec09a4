//! `demo`: the whole path on loopback, with a machine and a daemon lost midway.

use crate::experiment::{Experiment, run_experiment};
use crate::fault::{Action, TimedFault};
use crate::topology::{Preset, Sizes};
use crate::workload::{Shape, Workload};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;

/// Length of the load, in seconds.
const LOAD_SECONDS: f64 = 18.0;
/// Mean requests a second.
const LOAD_RATE: f64 = 36.0;
/// When a machine is killed, in milliseconds.
const KILL_MACHINE_AT_MS: u64 = 6_000;
/// When a daemon is killed.
const KILL_DAEMON_AT_MS: u64 = 10_000;

pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Runs both kinds of load on a whole fleet and loses a machine and a daemon midway")
        .arg(preset_argument())
        .arg(out_argument("out/demo"))
}

/// `--preset`.
pub(super) fn preset_argument() -> Arg {
    Arg::new("preset")
        .long("preset")
        .value_parser(["unidos", "brokerage"])
        .default_value("unidos")
        .help("Whose fleet")
}

/// `--out`.
pub(super) fn out_argument(default: &'static str) -> Arg {
    Arg::new("out")
        .long("out")
        .value_parser(value_parser!(PathBuf))
        .default_value(default)
        .help("Folder for all files")
}

/// The chosen preset.
pub(super) fn preset(matches: &ArgMatches) -> Preset {
    match matches.get_one::<String>("preset").map(String::as_str) {
        Some("brokerage") => Preset::Brokerage,
        _ => Preset::Unidos,
    }
}

/// The chosen folder.
pub(super) fn out_folder(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("out").cloned().unwrap_or_default()
}

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let preset = preset(matches);
    let (shape, deployment) = match preset {
        Preset::Unidos => (Shape::DispatchRush, "drafts"),
        Preset::Brokerage => (Shape::MarketClose, "order-checks"),
    };
    let folder = out_folder(matches);
    let experiment = Experiment {
        name: "demo".to_string(),
        preset,
        sizes: Sizes::default(),
        workload: Workload {
            shape,
            rate: LOAD_RATE,
            seconds: LOAD_SECONDS,
            service_percent: 20,
            once_percent: 30,
            deadline_ms: 20_000,
            seed: 1,
        },
        faults: vec![
            TimedFault {
                at_ms: KILL_MACHINE_AT_MS,
                action: Action::Machine { name: format!("head-of:{deployment}"), change: "kill".to_string() },
            },
            TimedFault {
                at_ms: KILL_DAEMON_AT_MS,
                action: Action::KillDaemon { name: format!("coordinator-of:{deployment}") },
            },
        ],
    };
    let outcome = run_experiment(&experiment, None, &folder).await?;
    let summary = outcome.summary;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary.counts.promises_kept() && summary.process_faults.is_empty())
}
