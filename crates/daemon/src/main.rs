//! `dockwoodd`: the dockwood daemon.

use dockwood_daemon::cli;
use dockwood_daemon::native_dialect::NativeDialect;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    cli::execute(&cli::command().get_matches(), Arc::new(NativeDialect))
}
