//! Definition and dispatch of the subcommands.

mod demo;
mod matrix;
mod overhead;
mod report;
mod run;
mod traces;
pub use traces::ExpectedOutcomes;
mod up;

use clap::{ArgMatches, Command};
use std::io;

/// Definitions of all subcommands.
pub fn all() -> Vec<Command> {
    vec![
        demo::command(),
        up::command(),
        run::command(),
        matrix::command(),
        overhead::command(),
        report::command(),
        traces::generate_command(),
        traces::record_command(),
        traces::replay_command(),
    ]
}

/// Runs the selected subcommand. Returns false if a guarantee was violated or an expected outcome was not met.
pub async fn dispatch(matches: &ArgMatches) -> io::Result<bool> {
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches).await,
        Some(("up", matches)) => up::run(matches).await,
        Some(("run", matches)) => run::run(matches).await,
        Some(("overhead", matches)) => overhead::run(matches).await,
        Some(("matrix", matches)) => matrix::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("generate", matches)) => traces::generate_trace(matches),
        Some(("record", matches)) => traces::record(matches).await,
        Some(("replay", matches)) => traces::replay(matches).await,
        _ => Err(io::Error::other("unknown subcommand")),
    }
}
