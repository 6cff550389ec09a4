//! `dockwood-emulator`: runs an emulated fleet from a fleet file until SIGTERM or SIGINT.

use dockwood_emulator::cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::execute(&cli::command().get_matches())
}
