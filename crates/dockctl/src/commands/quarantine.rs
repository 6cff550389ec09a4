//! `quarantine`: shows and releases requests and parts of prompts that are suspected of crashing servers.

use super::format;
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_line, print_value, table};
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::Value;

pub(super) fn command() -> Command {
    let fingerprint = || {
        Arg::new("fingerprint").required(true).help(
            "Fingerprint of the request or name of the part, as shown by `quarantine list` and in log lines",
        )
    };
    let part = || {
        Arg::new("part")
            .long("part")
            .action(ArgAction::SetTrue)
            .help("The argument is the name of a part of prompts")
    };
    Command::new("quarantine")
        .about(
            "Shows and releases requests that are no longer sent because servers crashed while running them, or others with \
             the same part of the prompt",
        )
        .subcommand_required(true)
        .subcommands([
            Command::new("list")
                .about("Lists requests and parts of prompts under quarantine or on probation after it"),
            Command::new("explain")
                .about("Shows the standing of a request or part, and which servers crashed while running it")
                .arg(fingerprint())
                .arg(part()),
            Command::new("release")
                .about("Releases a request or part from quarantine")
                .arg(fingerprint())
                .arg(part()),
        ])
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(CommandError::Usage("missing subcommand of quarantine".to_string()));
    };
    match name {
        "list" => list(client, matches).await,
        "explain" => explain(client, matches, &Quarantined::of(arguments)).await,
        _ => release(client, &Quarantined::of(arguments)).await,
    }
}

/// What a command is about.
struct Quarantined {
    /// The fingerprint of a request, or the name of a part.
    name: String,
    is_part: bool,
}

impl Quarantined {
    fn of(matches: &ArgMatches) -> Quarantined {
        let name = matches.get_one::<String>("fingerprint").cloned().unwrap_or_default();
        Quarantined { name, is_part: matches.get_flag("part") }
    }

    /// The path below the list.
    fn path(&self) -> String {
        if self.is_part { format!("parts/{}", self.name) } else { self.name.clone() }
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

async fn list(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let response = client.read("quarantine").await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &response);
    }
    let mut rows = table(&["fingerprint", "standing", "tenant", "route", "offences", "servers", "until"]);
    for row in response["items"].as_array().into_iter().flatten() {
        rows.add_row([
            text(&row["fingerprint"]).to_string(),
            text(&row["standing"]).to_string(),
            text(&row["tenant"]).to_string(),
            text(&row["route"]).to_string(),
            row["offences"].to_string(),
            crashed_servers(row),
            row["untilMs"].to_string(),
        ]);
    }
    let mut parts = table(&["part", "standing", "crashes", "responses", "offences", "servers", "until"]);
    for row in response["parts"].as_array().into_iter().flatten() {
        parts.add_row([
            text(&row["part"]).to_string(),
            text(&row["standing"]).to_string(),
            row["crashes"].to_string(),
            row["responses"].to_string(),
            row["offences"].to_string(),
            crashed_servers(row),
            row["untilMs"].to_string(),
        ]);
    }
    print_line(format!("suspected, not under quarantine: {}\n{rows}", response["suspects"]));
    print_line(format!("suspected parts of prompts: {}\n{parts}", response["suspectedParts"]));
    Ok(())
}

fn crashed_servers(row: &Value) -> String {
    let evidence = row["evidence"].as_array().map(Vec::as_slice).unwrap_or_default();
    let servers: Vec<&str> = evidence.iter().map(|server_end| text(&server_end["instance"])).collect();
    servers.join(" ")
}

async fn explain(
    client: &Client,
    matches: &ArgMatches,
    quarantined: &Quarantined,
) -> Result<(), CommandError> {
    let response = client.read(&format!("quarantine/{}", quarantined.path())).await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &response);
    }
    print_line(format!("{} is {}", quarantined.name, text(&response["standing"])));
    let suspected = response["suspected"].as_array().into_iter().flatten();
    let evidence = suspected.map(|part| &part["evidence"]).chain([&response["evidence"]]);
    for server_end in evidence.filter_map(Value::as_array).flatten() {
        print_line(format!(
            "{} in {} ended at {} while it had {}, told by {}",
            text(&server_end["instance"]),
            text(&server_end["zone"]),
            server_end["atMs"],
            text(&server_end["request"]),
            text(&server_end["toldBy"])
        ));
    }
    Ok(())
}

async fn release(client: &Client, quarantined: &Quarantined) -> Result<(), CommandError> {
    client.release(&quarantined.path()).await?;
    print_line(format!("{} is sent again", quarantined.name));
    Ok(())
}
