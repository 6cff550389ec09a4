//! `demo`: runs a whole fleet on loopback and kills a machine and a daemon under load.

use crate::experiment::{Experiment, run_experiment};
use crate::fault::{FaultAction, TimedFault};
use crate::topology::{Preset, Sizes};
use crate::workload::{LoadShape, Workload};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;

/// Duration of the load, in seconds.
const LOAD_SECONDS: f64 = 18.0;
/// Mean rate, in requests per second.
const LOAD_RATE: f64 = 36.0;
/// When a machine is killed, in milliseconds.
const KILL_MACHINE_AT_MS: u64 = 6_000;
/// When a daemon is killed, in milliseconds.
const KILL_DAEMON_AT_MS: u64 = 10_000;

pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Runs chat and service load on a whole fleet and kills a machine and a daemon midway")
        .arg(preset_argument())
        .arg(out_argument("out/demo"))
}

/// The `--preset` argument.
pub(super) fn preset_argument() -> Arg {
    Arg::new("preset")
        .long("preset")
        .value_parser(["unidos", "brokerage"])
        .default_value("unidos")
        .help("Preset of the fleet")
}

/// The `--out` argument.
pub(super) fn out_argument(default: &'static str) -> Arg {
    Arg::new("out")
        .long("out")
        .value_parser(value_parser!(PathBuf))
        .default_value(default)
        .help("Output folder")
}

/// The selected preset.
pub(super) fn preset(matches: &ArgMatches) -> Preset {
    match matches.get_one::<String>("preset").map(String::as_str) {
        Some("brokerage") => Preset::Brokerage,
        _ => Preset::Unidos,
    }
}

/// The selected output folder.
pub(super) fn out_folder(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("out").cloned().unwrap_or_default()
}

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let preset = preset(matches);
    let (shape, deployment) = match preset {
        Preset::Unidos => (LoadShape::DispatchRush, "drafts"),
        Preset::Brokerage => (LoadShape::MarketClose, "order-checks"),
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
                action: FaultAction::Machine {
                    name: format!("head-of:{deployment}"),
                    change: "kill".to_string(),
                },
            },
            TimedFault {
                at_ms: KILL_DAEMON_AT_MS,
                action: FaultAction::KillDaemon { name: format!("coordinator-of:{deployment}") },
            },
        ],
    };
    let outcome = run_experiment(&experiment, None, &folder).await?;
    let summary = outcome.summary;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary.counts.guarantees_hold() && summary.process_faults.is_empty())
}
