//! Definition and dispatch of the subcommands.

mod apply;
mod change;
mod evacuate;
mod events;
#[cfg(test)]
mod events_tests;
mod quarantine;
mod show;
mod status;
mod trace;

use crate::client::Client;
use crate::exit::CommandError;
use crate::output::Format;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use dockwood_api::resource::Kind;
use std::str::FromStr;
use std::time::Duration;

/// Builds the command-line parser.
pub fn command() -> Command {
    Command::new("dockctl")
        .about("Operates a dockwood fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("servers")
                .long("servers")
                .env("DOCKWOOD_SERVERS")
                .value_delimiter(',')
                .global(true)
                .help("Addresses of daemons; tried in turn"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .env("DOCKWOOD_TOKEN")
                .hide_env_values(true)
                .global(true)
                .help("Operator token"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_parser(["table", "yaml", "json"])
                .default_value("table")
                .global(true)
                .help("Output format"),
        )
        .subcommands([
            apply::command(),
            show::get_command(),
            show::describe_command(),
            show::watch_command(),
            change::delete_command(),
            change::drain_command(),
            evacuate::command(),
            quarantine::command(),
            status::command(),
            events::timeline_command(),
            events::explain_command(),
            trace::command(),
            completion_command(),
        ])
}

fn completion_command() -> Command {
    Command::new("completion")
        .about("Prints a completion script")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}

/// The `KIND` argument; parsed by `Kind::from_str`.
fn kind_argument() -> Arg {
    Arg::new("kind").required(true).help("Kind: models, deployments, servers, replicas, daemons, …")
}

/// The `KIND/NAME` argument.
fn reference_argument() -> Arg {
    Arg::new("reference").required(true).help("KIND/NAME, such as replica/drafts-1")
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// `--timeout`, in seconds.
fn timeout_argument(default_seconds: &'static str) -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_parser(value_parser!(u64))
        .default_value(default_seconds)
        .help("Seconds to wait")
}

fn timeout(matches: &ArgMatches) -> Duration {
    Duration::from_secs(matches.get_one::<u64>("timeout").copied().unwrap_or_default())
}

fn kind(matches: &ArgMatches) -> Result<Kind, CommandError> {
    let text = matches.get_one::<String>("kind").map(String::as_str).unwrap_or("");
    Kind::from_str(text).map_err(|error| CommandError::Usage(error.to_string()))
}

fn reference(matches: &ArgMatches) -> Result<(Kind, String), CommandError> {
    let text = matches.get_one::<String>("reference").map(String::as_str).unwrap_or("");
    parse_reference(text)
}

fn parse_reference(text: &str) -> Result<(Kind, String), CommandError> {
    let usage = || CommandError::Usage(format!("invalid reference '{text}'; expected KIND/NAME"));
    let (kind, name) = text.split_once('/').ok_or_else(usage)?;
    let kind = Kind::from_str(kind).map_err(|error| CommandError::Usage(error.to_string()))?;
    if name.is_empty() { Err(usage()) } else { Ok((kind, name.to_string())) }
}

fn format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("yaml") => Format::Yaml,
        Some("json") => Format::Json,
        _ => Format::Table,
    }
}

fn client(matches: &ArgMatches) -> Result<Client, CommandError> {
    let servers = matches.get_many::<String>("servers").map(|all| all.cloned().collect()).unwrap_or_default();
    let token = matches.get_one::<String>("token").cloned().unwrap_or_default();
    Client::new(servers, token)
}

/// Runs the subcommand that the arguments select.
pub async fn dispatch(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CommandError::Usage("missing subcommand".to_string()));
    };
    if name == "completion" {
        if let Some(shell) = matches.get_one::<Shell>("shell") {
            clap_complete::generate(*shell, &mut command(), "dockctl", &mut std::io::stdout());
        }
        return Ok(());
    }
    if name == "trace" {
        return trace::run(matches);
    }
    let client = client(matches)?;
    match name {
        "apply" => apply::run(&client, matches).await,
        "get" => show::get(&client, matches).await,
        "describe" => show::describe(&client, matches).await,
        "watch" => show::watch(&client, matches).await,
        "delete" => change::delete(&client, matches).await,
        "drain" => change::drain(&client, matches).await,
        "evacuate" => evacuate::run(&client, matches).await,
        "quarantine" => quarantine::run(&client, matches).await,
        "status" => status::run(&client, matches).await,
        "timeline" => events::timeline(&client, matches).await,
        "explain" => events::explain(&client, matches).await,
        _ => Err(CommandError::Usage(format!("unknown subcommand '{name}'"))),
    }
}
