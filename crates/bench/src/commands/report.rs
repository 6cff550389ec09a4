//! `report`: summarises the logs of a deployment, to analyse an incident.

use crate::log_report::{LogLines, LogReport, html, table};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;

pub(super) fn command() -> Command {
    Command::new("report")
        .about("Summarises daemon logs as a table by second and an HTML page with plots")
        .arg(
            Arg::new("logs")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files; lines of other programs are counted and skipped"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .default_value("report.html")
                .help("HTML file to write"),
        )
}

/// Prints the table and writes the page. Fails if the logs contain no line of a daemon.
pub(super) fn run(matches: &ArgMatches) -> io::Result<bool> {
    let mut logs = LogLines::default();
    for path in matches.get_many::<PathBuf>("logs").into_iter().flatten() {
        logs.read_file(path)?;
    }
    for skipped in &logs.skipped_samples {
        eprintln!("{}: {}", skipped.place, skipped.fault);
    }
    eprintln!("{}", logs.summary());
    if logs.lines.is_empty() {
        return Err(io::Error::other("the files contain no log line of a daemon"));
    }
    let report = LogReport::new(logs);
    println!("{}", table(&report.seconds));
    let out = matches.get_one::<PathBuf>("out").cloned().unwrap_or_default();
    std::fs::write(&out, html(&report))?;
    eprintln!("wrote {}", out.display());
    Ok(true)
}
