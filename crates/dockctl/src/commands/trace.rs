//! `trace`: reconstructs the history of one request from the logs of all daemons.

use crate::exit::CommandError;
use crate::request_trace::trace_request;
use clap::{Arg, ArgAction, ArgMatches, Command};
use dockwood_log_lines::{Line, parse};
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

pub(super) fn command() -> Command {
    Command::new("trace")
        .about("Reconstructs from the logs what happened to one request")
        .arg(Arg::new("request").required(true).help("The caller's attempt id"))
        .arg(
            Arg::new("logs")
                .action(ArgAction::Append)
                .help("Log files of one or more daemons; default: standard input"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let id = matches.get_one::<String>("request").map(String::as_str).unwrap_or_default();
    let files: Vec<&String> = matches.get_many("logs").map(Iterator::collect).unwrap_or_default();
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(stdin().lock(), &mut lines)?;
    }
    for file in files {
        let reader = File::open(file).map_err(|error| CommandError::Usage(format!("{file}: {error}")))?;
        read_lines(BufReader::new(reader), &mut lines)?;
    }
    let trace = trace_request(&lines, id);
    if trace.is_empty() {
        let message = format!(
            "no log line for request '{id}' among {} lines; it may have been suppressed by the log rate limit",
            lines.len()
        );
        return Err(CommandError::Usage(message));
    }
    trace.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn read_lines(reader: impl BufRead, lines: &mut Vec<Line>) -> Result<(), CommandError> {
    for text in reader.lines() {
        lines.extend(parse(&text?));
    }
    Ok(())
}
