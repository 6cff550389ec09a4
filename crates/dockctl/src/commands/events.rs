//! `timeline` and `explain`: events merged from all daemons.

use super::{format, parse_reference, reference_argument};
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_line, print_value};
use clap::{Arg, ArgMatches, Command, value_parser};
use dockwood_api::event::{Event, merge_events};
use dockwood_api::resource::{Kind, ResourceView};

pub(super) fn timeline_command() -> Command {
    Command::new("timeline").about("Shows the events of all daemons in causal order").arg(
        Arg::new("last")
            .long("last")
            .value_parser(value_parser!(usize))
            .default_value("200")
            .help("Number of newest events to show"),
    )
}

pub(super) fn explain_command() -> Command {
    Command::new("explain").about("Shows what happened to one resource, and why").arg(reference_argument())
}

/// Kinds of event subjects that are not resources: servers and groups of the gateway, its requests, and zones.
const EVENT_ONLY_KINDS: [&str; 4] = ["instance", "group", "request", "zone"];

/// What `explain` reports on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExplainTarget {
    /// A resource.
    Resource(Kind, String),
    /// An event subject that is not a resource, by its kind and name.
    Subject(&'static str, String),
}

impl ExplainTarget {
    /// Parses `KIND/NAME`.
    pub(super) fn parse(text: &str) -> Result<ExplainTarget, CommandError> {
        let subject = text.split_once('/').and_then(|(kind, name)| {
            let known = EVENT_ONLY_KINDS.into_iter().find(|subject| *subject == kind)?;
            (!name.is_empty()).then(|| ExplainTarget::Subject(known, name.to_string()))
        });
        match subject {
            Some(subject) => Ok(subject),
            None => parse_reference(text).map(|(kind, name)| ExplainTarget::Resource(kind, name)),
        }
    }

    fn kind(&self) -> String {
        match self {
            ExplainTarget::Resource(kind, _) => kind.name().to_lowercase(),
            ExplainTarget::Subject(kind, _) => kind.to_string(),
        }
    }

    fn name(&self) -> &str {
        match self {
            ExplainTarget::Resource(_, name) | ExplainTarget::Subject(_, name) => name,
        }
    }
}

/// Collects the events of all daemons. Reports the daemons that do not answer, since their events are missing.
async fn collect_events(client: &Client) -> Result<Vec<Event>, CommandError> {
    let mut servers: Vec<String> = client.servers().to_vec();
    // The fleet may have more daemons than are configured for this command.
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
            Err(_) => eprintln!("{server} does not answer; events that only it recorded are missing"),
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
    let events = collect_events(client).await?;
    let last = matches.get_one::<usize>("last").copied().unwrap_or(events.len());
    print_events(matches, &events[events.len().saturating_sub(last)..])
}

pub(super) async fn explain(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let text = matches.get_one::<String>("reference").map(String::as_str).unwrap_or("");
    let target = ExplainTarget::parse(text)?;
    let view = match &target {
        ExplainTarget::Resource(kind, name) => client.find(*kind, name).await?,
        ExplainTarget::Subject(..) => None,
    };
    let events = collect_events(client).await?;
    let related_events = related(&events, &target);
    if related_events.is_empty() && view.is_none() {
        let (kind, name) = (target.kind(), target.name());
        return Err(CommandError::Usage(format!("no resource or event found for {kind} '{name}'")));
    }
    if let (Format::Table, ExplainTarget::Resource(kind, name)) = (format(matches), &target) {
        print_line(current_state_line(*kind, name, view.as_ref()));
    }
    print_events(matches, &related_events)
}

fn current_state_line(kind: Kind, name: &str, view: Option<&ResourceView>) -> String {
    let subject = format!("{}/{name}", kind.name().to_lowercase());
    match view {
        None => format!("{subject} does not exist any more"),
        Some(view) => {
            let conditions: Vec<String> = view
                .status
                .conditions
                .iter()
                .map(|condition| {
                    format!(
                        "{}={} {} ({})",
                        condition.aspect, condition.status, condition.reason, condition.message
                    )
                })
                .collect();
            format!("{subject} is now: {}", conditions.join("; "))
        }
    }
}

/// Selects the events of the subject, those whose message mentions it, and those caused by the same revisions.
pub(super) fn related(events: &[Event], target: &ExplainTarget) -> Vec<Event> {
    let (kind, name) = (target.kind(), target.name());
    let is_subject = |event: &Event| event.subject.kind == kind && event.subject.name == name;
    let mentions_target = |event: &Event| {
        event.message.split(|c: char| !(c.is_alphanumeric() || c == '-')).any(|word| word == name)
    };
    let revisions: Vec<u64> =
        events.iter().filter(|event| is_subject(event)).filter_map(|event| event.cause_revision).collect();
    let same_cause =
        |event: &Event| event.cause_revision.is_some_and(|revision| revisions.contains(&revision));
    events
        .iter()
        .filter(|event| is_subject(event) || mentions_target(event) || same_cause(event))
        .cloned()
        .collect()
}
