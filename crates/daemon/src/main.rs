//! `dockwoodd`: the daemon.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dockwood_daemon::{process, settings::Settings};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
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

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(settings) = read_settings(&matches) else { return ExitCode::from(EXIT_SETTINGS) };
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
