//! `quarantine`: requests under which servers end.

use super::format;
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_line, print_value, table};
use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

pub(super) fn command() -> Command {
    let fingerprint = || {
        Arg::new("fingerprint")
            .required(true)
            .help("Fingerprint, as the list and the lines on requests tell it")
    };
    Command::new("quarantine")
        .about("Shows and releases requests that are sent to no server, as servers ended under them")
        .subcommand_required(true)
        .subcommands([
            Command::new("list").about("Lists requests under quarantine or on probation after it"),
            Command::new("explain")
                .about("Tells how a request stands, and which servers ended under it")
                .arg(fingerprint()),
            Command::new("release").about("Lets a request be sent again").arg(fingerprint()),
        ])
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, chosen)) = matches.subcommand() else {
        return Err(CommandError::Usage("no subcommand of quarantine".to_string()));
    };
    match name {
        "list" => list(client, matches).await,
        "explain" => explain(client, matches, fingerprint(chosen)).await,
        _ => release(client, fingerprint(chosen)).await,
    }
}

fn fingerprint(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("fingerprint").map(String::as_str).unwrap_or("")
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

async fn list(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let found = client.read("quarantine").await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &found);
    }
    let mut rows = table(&["fingerprint", "standing", "tenant", "route", "offences", "servers", "until"]);
    for row in found["items"].as_array().into_iter().flatten() {
        let evidence = row["evidence"].as_array().map(Vec::as_slice).unwrap_or_default();
        let servers: Vec<&str> = evidence.iter().map(|one| text(&one["instance"])).collect();
        rows.add_row([
            text(&row["fingerprint"]).to_string(),
            text(&row["standing"]).to_string(),
            text(&row["tenant"]).to_string(),
            text(&row["route"]).to_string(),
            row["offences"].to_string(),
            servers.join(" "),
            row["untilMs"].to_string(),
        ]);
    }
    print_line(format!("suspected, not under quarantine: {}\n{rows}", found["suspects"]));
    Ok(())
}

async fn explain(client: &Client, matches: &ArgMatches, fingerprint: &str) -> Result<(), CommandError> {
    let found = client.read(&format!("quarantine/{fingerprint}")).await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &found);
    }
    print_line(format!("{fingerprint} is {}", text(&found["standing"])));
    for one in found["evidence"].as_array().into_iter().flatten() {
        print_line(format!(
            "{} in {} ended at {} while it had {}, told by {}",
            text(&one["instance"]),
            text(&one["zone"]),
            one["atMs"],
            text(&one["request"]),
            text(&one["toldBy"])
        ));
    }
    Ok(())
}

async fn release(client: &Client, fingerprint: &str) -> Result<(), CommandError> {
    client.release_request(fingerprint).await?;
    print_line(format!("{fingerprint} is sent again"));
    Ok(())
}
