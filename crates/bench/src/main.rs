//! `dockwood-bench`: runs fleets on loopback, sends load, brings about failures, and judges by what really ran.

use clap::Command;
use dockwood_bench::commands;
use std::process::ExitCode;

fn command() -> Command {
    Command::new("dockwood-bench")
        .about("Load, experiments and judgement for dockwood")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::all())
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::dispatch(&matches)) {
        Ok(passed) if passed => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
