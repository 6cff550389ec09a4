//! `delete` and `drain`: remove a resource, or take a server out of service.

use super::{flag, reference, reference_argument, timeout, timeout_argument};
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::print_line;
use clap::{ArgMatches, Command};
use dockwood_api::resource::Kind;
use std::time::{Duration, Instant};

const DEFAULT_TIMEOUT_SECONDS: &str = "300";
/// Interval at which a server is polled until it is in no replica.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) fn delete_command() -> Command {
    Command::new("delete")
        .about("Deletes a resource; refused while other resources depend on it")
        .arg(reference_argument())
}

pub(super) fn drain_command() -> Command {
    Command::new("drain")
        .about("Takes a server out of service without aborting requests")
        .arg(reference_argument())
        .arg(flag("undo", "Put the server back into service"))
        .arg(flag("wait", "Wait until the server is in no replica"))
        .arg(timeout_argument(DEFAULT_TIMEOUT_SECONDS))
}

pub(super) async fn delete(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let (kind, name) = reference(matches)?;
    client.delete(kind, &name).await?;
    print_line(format!("{}/{name} deleted", kind.name().to_lowercase()));
    Ok(())
}

pub(super) async fn drain(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let (kind, name) = reference(matches)?;
    if kind != Kind::Server {
        let message = format!(
            "{kind} can't be drained; only servers can, and a daemon drains when it is stopped by SIGTERM"
        );
        return Err(CommandError::Usage(message));
    }
    let drain = !matches.get_flag("undo");
    set_drain(client, &name, drain).await?;
    print_line(format!("server/{name} {}", if drain { "drains" } else { "is back in service" }));
    if drain && matches.get_flag("wait") {
        wait_until_free(client, &name, timeout(matches)).await?;
    }
    Ok(())
}

/// Sets the drain flag by compare-and-set; retries if the resource was changed concurrently.
async fn set_drain(client: &Client, name: &str, drain: bool) -> Result<(), CommandError> {
    loop {
        let mut view = client.get(Kind::Server, name).await?;
        view.spec["drain"] = drain.into();
        match client.put(&view, false).await {
            Err(CommandError::Refused(body)) if body.error.code == 4005 => {}
            other => return other.map(|_| ()),
        }
    }
}

async fn wait_until_free(client: &Client, name: &str, limit: Duration) -> Result<(), CommandError> {
    let deadline = Instant::now() + limit;
    loop {
        let view = client.get(Kind::Server, name).await?;
        if view.status.conditions.iter().any(|condition| condition.reason == "Free") {
            print_line(format!("server/{name} is in no replica"));
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotInForce(format!(
                "server {name} is still in a replica after {limit:?}"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
