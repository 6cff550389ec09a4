//! `quarantine`: shows and releases requests that are suspected of crashing servers.

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
            .help("Fingerprint of the request, as shown by `quarantine list` and in request log lines")
    };
    Command::new("quarantine")
        .about(
            "Shows and releases requests that are no longer sent because servers crashed while running them",
        )
        .subcommand_required(true)
        .subcommands([
            Command::new("list").about("Lists requests under quarantine or on probation after it"),
            Command::new("explain")
                .about("Shows the standing of a request, and which servers crashed while running it")
                .arg(fingerprint()),
            Command::new("release").about("Releases a request from quarantine").arg(fingerprint()),
        ])
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(CommandError::Usage("missing subcommand of quarantine".to_string()));
    };
    match name {
        "list" => list(client, matches).await,
        "explain" => explain(client, matches, fingerprint(arguments)).await,
        _ => release(client, fingerprint(arguments)).await,
    }
}

fn fingerprint(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("fingerprint").map(String::as_str).unwrap_or("")
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
        let evidence = row["evidence"].as_array().map(Vec::as_slice).unwrap_or_default();
        let servers: Vec<&str> = evidence.iter().map(|server_end| text(&server_end["instance"])).collect();
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
    print_line(format!("suspected, not under quarantine: {}\n{rows}", response["suspects"]));
    Ok(())
}

async fn explain(client: &Client, matches: &ArgMatches, fingerprint: &str) -> Result<(), CommandError> {
    let response = client.read(&format!("quarantine/{fingerprint}")).await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &response);
    }
    print_line(format!("{fingerprint} is {}", text(&response["standing"])));
    for server_end in response["evidence"].as_array().into_iter().flatten() {
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

async fn release(client: &Client, fingerprint: &str) -> Result<(), CommandError> {
    client.release_request(fingerprint).await?;
    print_line(format!("{fingerprint} is sent again"));
    Ok(())
}
