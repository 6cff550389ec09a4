//! `dockwood-bench`: runs fleets on loopback, sends load, injects faults, and checks the results against what was
//! executed.

use clap::{ArgMatches, Command};
use dockwood_bench::commands;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn command() -> Command {
    Command::new("dockwood-bench")
        .about("Load generation, experiments and correctness checks for dockwood")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::all())
        .subcommand(dockwood_daemon::cli::command().hide(true))
        .subcommand(dockwood_emulator::cli::command().hide(true))
}

/// Runs a command. On SIGTERM the command is dropped, which kills every process that it started.
async fn run(matches: &ArgMatches) -> std::io::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = commands::dispatch(matches) => result,
        _ = terminate.recv() => Err(std::io::Error::other("terminated by SIGTERM")),
    }
}

fn fail(error: std::io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    // The daemons and the emulator of a fleet run from this executable, so that one build produces everything a run
    // starts.
    match matches.subcommand() {
        Some(("dockwoodd", matches)) => {
            return dockwood_daemon::cli::execute(
                matches,
                std::sync::Arc::new(dockwood_daemon::native_dialect::NativeDialect),
            );
        }
        Some(("dockwood-emulator", matches)) => return dockwood_emulator::cli::execute(matches),
        _ => {}
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error),
    };
    match runtime.block_on(run(&matches)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(error),
    }
}
