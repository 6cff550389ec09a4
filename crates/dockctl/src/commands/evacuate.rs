//! `evacuate`: stops sending requests to the servers of a zone.

use super::flag;
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::print_line;
use clap::{Arg, ArgMatches, Command};

pub(super) fn command() -> Command {
    Command::new("evacuate")
        .about("Stops sending requests to the servers of a zone; running requests finish")
        .arg(Arg::new("zone").required(true).help("Name of the zone"))
        .arg(flag("withdraw", "Send requests to the zone's servers again"))
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let zone = matches.get_one::<String>("zone").map(String::as_str).unwrap_or("");
    let evacuated = !matches.get_flag("withdraw");
    client.set_evacuation(zone, evacuated).await?;
    print_line(format!("zone/{zone} {}", if evacuated { "is evacuated" } else { "takes requests again" }));
    Ok(())
}
