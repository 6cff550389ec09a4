//! `timeline` and `explain`: what happened, over all daemons.

use super::{format, parse_reference, reference_argument};
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_line, print_value};
use clap::{Arg, ArgMatches, Command, value_parser};
use dockwood_api::event::{Event, merge_events};
use dockwood_api::resource::{Kind, ResourceView};

pub(super) fn timeline_command() -> Command {
    Command::new("timeline").about("Shows the events of all daemons in order of cause").arg(
        Arg::new("last")
            .long("last")
            .value_parser(value_parser!(usize))
            .default_value("200")
            .help("Show so many of the newest"),
    )
}

pub(super) fn explain_command() -> Command {
    Command::new("explain").about("Tells what happened to one resource, and why").arg(reference_argument())
}

/// Subjects of events that are no resources: servers and groups of the gateway, its requests, and zones.
const EVENT_SUBJECTS: [&str; 4] = ["instance", "group", "request", "zone"];

/// What is to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Explained {
    /// A resource.
    Resource(Kind, String),
    /// Something that events alone tell of, by its kind and name.
    Subject(&'static str, String),
}

impl Explained {
    /// Reads `KIND/NAME`.
    pub(super) fn read(text: &str) -> Result<Explained, CommandError> {
        let subject = text.split_once('/').and_then(|(kind, name)| {
            let known = EVENT_SUBJECTS.into_iter().find(|subject| *subject == kind)?;
            (!name.is_empty()).then(|| Explained::Subject(known, name.to_string()))
        });
        match subject {
            Some(subject) => Ok(subject),
            None => parse_reference(text).map(|(kind, name)| Explained::Resource(kind, name)),
        }
    }

    fn kind(&self) -> String {
        match self {
            Explained::Resource(kind, _) => kind.name().to_lowercase(),
            Explained::Subject(kind, _) => kind.to_string(),
        }
    }

    fn name(&self) -> &str {
        match self {
            Explained::Resource(_, name) | Explained::Subject(_, name) => name,
        }
    }
}

/// Events of every daemon that answers. Daemons that do not are named, since their events are missing.
async fn all_events(client: &Client) -> Result<Vec<Event>, CommandError> {
    let mut servers: Vec<String> = client.servers().to_vec();
    // The fleet knows more daemons than this command was told of.
    for daemon in client.list(Kind::Daemon, "").await? {
        if let Some(address) = daemon.status.detail["http"].as_str() {
            let server = format!("http://{address}");
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
    }
    let mut events = Vec::new();
    for server in servers {
        match client.read_from(&server, "events").await {
            Ok(list) => {
                let items = serde_json::from_value::<Vec<Event>>(list["items"].clone());
                events.extend(items.map_err(|error| CommandError::Malformed(error.to_string()))?);
            }
            Err(_) => eprintln!("{server} does not answer; what only it recorded is missing"),
        }
    }
    Ok(merge_events(events))
}

fn print_events(matches: &ArgMatches, events: &[Event]) -> Result<(), CommandError> {
    match format(matches) {
        Format::Table => {
            events.iter().for_each(|event| println!("{event}"));
            Ok(())
        }
        other => print_value(other, &events),
    }
}

pub(super) async fn timeline(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let events = all_events(client).await?;
    let last = matches.get_one::<usize>("last").copied().unwrap_or(events.len());
    print_events(matches, &events[events.len().saturating_sub(last)..])
}

pub(super) async fn explain(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let text = matches.get_one::<String>("reference").map(String::as_str).unwrap_or("");
    let explained = Explained::read(text)?;
    let view = match &explained {
        Explained::Resource(kind, name) => client.find(*kind, name).await?,
        Explained::Subject(..) => None,
    };
    let events = all_events(client).await?;
    let chosen = related(&events, &explained);
    if chosen.is_empty() && view.is_none() {
        let (kind, name) = (explained.kind(), explained.name());
        return Err(CommandError::Usage(format!("nothing is known of {kind} '{name}'")));
    }
    if let (Format::Table, Explained::Resource(kind, name)) = (format(matches), &explained) {
        print_line(headline(*kind, name, view.as_ref()));
    }
    print_events(matches, &chosen)
}

fn headline(kind: Kind, name: &str, view: Option<&ResourceView>) -> String {
    let subject = format!("{}/{name}", kind.name().to_lowercase());
    match view {
        None => format!("{subject} does not exist any more"),
        Some(view) => {
            let conditions: Vec<String> = view
                .status
                .conditions
                .iter()
                .map(|one| format!("{}={} {} ({})", one.aspect, one.status, one.reason, one.message))
                .collect();
            format!("{subject} is now: {}", conditions.join("; "))
        }
    }
}

/// Events on the subject itself, those that tell of it, and those that stand at the same revision.
pub(super) fn related(events: &[Event], explained: &Explained) -> Vec<Event> {
    let (kind, name) = (explained.kind(), explained.name());
    let is_subject = |event: &Event| event.subject.kind == kind && event.subject.name == name;
    let names_it = |event: &Event| {
        event.message.split(|c: char| !(c.is_alphanumeric() || c == '-')).any(|word| word == name)
    };
    let revisions: Vec<u64> =
        events.iter().filter(|event| is_subject(event)).filter_map(|event| event.cause_revision).collect();
    let same_cause =
        |event: &Event| event.cause_revision.is_some_and(|revision| revisions.contains(&revision));
    events.iter().filter(|event| is_subject(event) || names_it(event) || same_cause(event)).cloned().collect()
}
