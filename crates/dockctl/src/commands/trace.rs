//! `trace`: what the logs of all daemons tell of one request.

use crate::exit::CommandError;
use crate::request_trace::account;
use clap::{Arg, ArgAction, ArgMatches, Command};
use dockwood_log_lines::{Line, parse};
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

pub(super) fn command() -> Command {
    Command::new("trace")
        .about("Tells from the logs what became of one request, and why")
        .arg(Arg::new("request").required(true).help("The caller's attempt id"))
        .arg(
            Arg::new("logs")
                .action(ArgAction::Append)
                .help("Log files of any daemons; standard input if none"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let id = matches.get_one::<String>("request").map(String::as_str).unwrap_or_default();
    let files: Vec<&String> = matches.get_many("logs").map(Iterator::collect).unwrap_or_default();
    let mut lines = Vec::new();
    if files.is_empty() {
        read(stdin().lock(), &mut lines)?;
    }
    for file in files {
        let opened = File::open(file).map_err(|error| CommandError::Usage(format!("{file}: {error}")))?;
        read(BufReader::new(opened), &mut lines)?;
    }
    let told = account(&lines, id);
    if told.is_empty() {
        let message =
            format!("no line on request '{id}' among {} lines; it may have been held back", lines.len());
        return Err(CommandError::Usage(message));
    }
    told.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn read(reader: impl BufRead, lines: &mut Vec<Line>) -> Result<(), CommandError> {
    for text in reader.lines() {
        lines.extend(parse(&text?));
    }
    Ok(())
}
