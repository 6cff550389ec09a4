//! `dockctl`: the operators' command-line client. It uses only the resource API.

mod client;
mod commands;
mod exit;
mod output;
mod request_trace;
#[cfg(test)]
mod request_trace_tests;
mod resource_file;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::dispatch(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
