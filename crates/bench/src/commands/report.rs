//! `report`: what a deployment's logs tell of a bad hour.

use crate::log_report::{LogLines, LogReport, html, table};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;

pub(super) fn command() -> Command {
    Command::new("report")
        .about("Makes a table by second and a page with plots of the logs of any daemons")
        .arg(
            Arg::new("logs")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files; lines of other programs among them are counted and passed over"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .default_value("report.html")
                .help("The page"),
        )
}

/// Prints the table and writes the page; an error if no line of a daemon was found.
pub(super) fn run(matches: &ArgMatches) -> io::Result<bool> {
    let mut logs = LogLines::default();
    for path in matches.get_many::<PathBuf>("logs").into_iter().flatten() {
        logs.read_file(path)?;
    }
    for unread in &logs.named {
        eprintln!("{}: {}", unread.place, unread.fault);
    }
    eprintln!("{}", logs.unread());
    if logs.lines.is_empty() {
        return Err(io::Error::other("no line of a daemon's log was found"));
    }
    let report = LogReport::of(logs);
    println!("{}", table(&report.seconds));
    let out = matches.get_one::<PathBuf>("out").cloned().unwrap_or_default();
    std::fs::write(&out, html(&report))?;
    eprintln!("the page is {}", out.display());
    Ok(true)
}
