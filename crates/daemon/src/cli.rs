//! Command-line interface of the daemon, shared by `dockwoodd` and `dockwood-bench`.

use crate::dialect::Dialect;
use crate::process::{self, ProcessOptions};
use crate::settings::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// Builds the command-line parser.
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

/// Validates the settings if `--check` is given; otherwise runs the daemon until it ends.
pub fn execute(matches: &ArgMatches, dialect: Arc<dyn Dialect>) -> ExitCode {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let Some(settings) = read_settings(&path) else { return ExitCode::from(EXIT_SETTINGS) };
    if matches.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    run(settings, path, dialect)
}

/// Runs the daemon until it ends.
pub fn run(settings: Settings, settings_path: PathBuf, dialect: Arc<dyn Dialect>) -> ExitCode {
    match process::run(ProcessOptions { settings, settings_path, dialect }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
