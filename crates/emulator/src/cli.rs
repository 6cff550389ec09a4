//! The emulator's command line, shared by the `dockwood-emulator` and `dockwood-bench` programs.

use crate::{Fleet, FleetConfig};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Returns the command line definition.
pub fn command() -> Command {
    Command::new("dockwood-emulator").about("Emulates model engines, plain services and the platform").arg(
        Arg::new("fleet")
            .long("fleet")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Fleet file (YAML)"),
    )
}

/// Runs the fleet until SIGTERM or SIGINT.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<PathBuf>("fleet").cloned().unwrap_or_default();
    let config = match FleetConfig::read(&path) {
        Ok(config) => config,
        Err(error) => return fail(error),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error),
    };
    runtime.block_on(async {
        match Fleet::start(config).await {
            Err(error) => fail(error),
            Ok(handle) => {
                println!("ready");
                stop_signal().await;
                drop(handle);
                ExitCode::SUCCESS
            }
        }
    })
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
