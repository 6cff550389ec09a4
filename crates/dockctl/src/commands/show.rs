//! `get`, `describe` and `watch`: print resources and their changes.

use super::{format, kind, kind_argument, reference, reference_argument};
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_resources, print_value};
use clap::{Arg, ArgMatches, Command, value_parser};

pub(super) fn get_command() -> Command {
    Command::new("get")
        .about("Shows the resources of a kind, or one of them")
        .arg(kind_argument())
        .arg(Arg::new("name").help("Name of one resource"))
        .arg(Arg::new("selector").long("selector").short('l').help("Labels: key=value, key!=value or key"))
}

pub(super) fn describe_command() -> Command {
    Command::new("describe").about("Shows all fields of one resource").arg(reference_argument())
}

pub(super) fn watch_command() -> Command {
    Command::new("watch")
        .about("Streams changes of a kind, one JSON object per line")
        .arg(kind_argument())
        .arg(
            Arg::new("from")
                .long("from")
                .value_parser(value_parser!(u64))
                .help("resourceVersion to start after; default: the current one"),
        )
}

pub(super) async fn get(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let kind = kind(matches)?;
    let items = match matches.get_one::<String>("name") {
        Some(name) => vec![client.get(kind, name).await?],
        None => {
            let selector = matches.get_one::<String>("selector").map(String::as_str).unwrap_or("");
            client.list(kind, selector).await?
        }
    };
    print_resources(format(matches), kind, &items)
}

pub(super) async fn describe(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let (kind, name) = reference(matches)?;
    let view = client.get(kind, &name).await?;
    let format = match format(matches) {
        Format::Json => Format::Json,
        _ => Format::Yaml,
    };
    print_value(format, &view)
}

pub(super) async fn watch(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let from = matches.get_one::<u64>("from").copied();
    let mut response = client.watch(kind(matches)?, from).await?;
    while let Some(bytes) =
        response.chunk().await.map_err(|error| CommandError::Unreachable(error.to_string()))?
    {
        std::io::Write::write_all(&mut std::io::stdout(), &bytes)?;
    }
    Ok(())
}
