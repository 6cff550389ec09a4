//! The daemon's command line, shared by the `dockwoodd` program and the bench.

use crate::dialect::Dialect;
use crate::process::{self, Start};
use crate::settings::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code for settings that can't be used.
pub const EXIT_SETTINGS: u8 = 2;

/// The command line.
pub fn command() -> Command {
    Command::new("dockwoodd")
        .about("The dockwood daemon")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (YAML)"),
        )
        .arg(Arg::new("check").long("check").action(ArgAction::SetTrue).help("Check the settings and end"))
}

fn read_settings(path: &Path) -> Option<Settings> {
    match Settings::read(path) {
        Ok(settings) => Some(settings),
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            None
        }
    }
}

/// Checks the settings, or runs the daemon to its end.
pub fn execute(matches: &ArgMatches, dialect: Arc<dyn Dialect>) -> ExitCode {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let Some(settings) = read_settings(&path) else { return ExitCode::from(EXIT_SETTINGS) };
    if matches.get_flag("check") {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    run(settings, path, dialect)
}

/// Runs the daemon to its end.
pub fn run(settings: Settings, settings_path: PathBuf, dialect: Arc<dyn Dialect>) -> ExitCode {
    match process::run(Start { settings, settings_path, dialect }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
