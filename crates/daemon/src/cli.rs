//! The daemon's command line, shared by the `dockwoodd` program and the bench.

use crate::process;
use crate::settings::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

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

fn read_settings(matches: &ArgMatches) -> Option<Settings> {
    let path = matches.get_one::<PathBuf>("settings")?;
    match Settings::read(path) {
        Ok(settings) => Some(settings),
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            None
        }
    }
}

/// Checks the settings, or runs the daemon to its end.
pub fn execute(matches: &ArgMatches) -> ExitCode {
    let Some(settings) = read_settings(matches) else { return ExitCode::from(EXIT_SETTINGS) };
    if matches.get_flag("check") {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
