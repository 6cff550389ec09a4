//! `apply`: creates or replaces the resources that files declare.

use super::{flag, timeout, timeout_argument};
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::print_line;
use crate::resource_file::{declared_yaml, diff, read_resources};
use clap::{Arg, ArgAction, ArgMatches, Command};
use dockwood_api::resource::ResourceView;
use std::time::{Duration, Instant};

const DEFAULT_TIMEOUT_SECONDS: &str = "30";
/// Interval at which a resource is polled until it is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Creates or replaces the resources of YAML files")
        .arg(
            Arg::new("file")
                .long("file")
                .short('f')
                .required(true)
                .action(ArgAction::Append)
                .help("File of one or more YAML documents; - is standard input"),
        )
        .arg(flag("dry-run", "Show what would change without changing anything"))
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_parser(["in-force"])
                .help("Wait until the change is in force everywhere"),
        )
        .arg(timeout_argument(DEFAULT_TIMEOUT_SECONDS))
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let mut resources = Vec::new();
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        resources.extend(read_resources(file)?);
    }
    let dry_run = matches.get_flag("dry-run");
    let mut stored = Vec::new();
    for resource in &resources {
        let before = client.find(resource.kind, &resource.metadata.name).await?;
        let after = client.put(resource, dry_run).await?;
        print_change(before.as_ref(), &after, dry_run);
        stored.push(after);
    }
    if matches.contains_id("wait") && !dry_run {
        wait_in_force(client, &stored, timeout(matches)).await?;
    }
    Ok(())
}

fn print_change(before: Option<&ResourceView>, after: &ResourceView, dry_run: bool) {
    let name = format!("{}/{}", after.kind.name().to_lowercase(), after.metadata.name);
    let changes = diff(&before.map(declared_yaml).unwrap_or_default(), &declared_yaml(after));
    let verb = match before {
        None => "created",
        Some(_) if changes.is_empty() => "unchanged",
        Some(_) => "replaced",
    };
    let suffix = if dry_run { " (dry run)" } else { "" };
    print_line(format!("{name} {verb}{suffix}"));
    if dry_run && !changes.is_empty() {
        print!("{changes}");
    }
}

async fn wait_in_force(
    client: &Client,
    stored: &[ResourceView],
    limit: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + limit;
    for resource in stored {
        loop {
            let current = client.get(resource.kind, &resource.metadata.name).await?;
            if current.status.in_force {
                break;
            }
            if Instant::now() >= deadline {
                let name = &resource.metadata.name;
                let message =
                    format!("{} {name} is committed, but not in force after {limit:?}", resource.kind);
                return Err(CommandError::NotInForce(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    print_line("in force");
    Ok(())
}
