//! `dockwood-emulator`: runs an emulated fleet from a fleet file until it is told to stop.

use clap::{Arg, Command, value_parser};
use dockwood_emulator::{Fleet, FleetConfig};
use std::path::PathBuf;
use std::process::ExitCode;

fn command() -> Command {
    Command::new("dockwood-emulator").about("Emulates model engines, plain services and the platform").arg(
        Arg::new("fleet").long("fleet").required(true).value_parser(value_parser!(PathBuf)).help("Fleet file (YAML)"),
    )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("fleet") else { return ExitCode::FAILURE };
    let config = match FleetConfig::read(path) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let handle = match Fleet::start(config).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("ready");
    stop_signal().await;
    drop(handle);
    ExitCode::SUCCESS
}

/// Completes on SIGTERM or SIGINT.
async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
