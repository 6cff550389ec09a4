//! `dockwoodd`: the daemon.

use dockwood_daemon::cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::execute(&cli::command().get_matches())
}
