//! Merges the log lines of all daemons that concern one request into one trace, ordered by time.

use dockwood_log_lines::{Body, Event, Line, Request, Send, Suspect};
use std::collections::{BTreeMap, BTreeSet};

/// Events up to this long before a request's arrival are included as possible causes of its result, in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 5_000;
/// Events up to this long after its end are included, since failures are detected with a delay, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 2_000;

/// Returns the trace of a request, one text line per entry; empty if no log line names the request.
pub fn trace_request(lines: &[Line], id: &str) -> Vec<String> {
    let mut first_seen: BTreeMap<String, u64> = BTreeMap::new();
    for line in lines {
        let Body::Request(request) = &line.body else { continue };
        if request.request != id {
            continue;
        }
        let arrived = line.at_ms.saturating_sub(request.took_ms);
        let all = request_entries(line, request, arrived)
            .into_iter()
            .chain(context_entries(lines, line, request, arrived));
        for TraceEntry { at_ms, text } in all {
            // Every voter logs a change when it applies it; the earliest line counts.
            let first = first_seen.entry(text).or_insert(at_ms);
            *first = at_ms.min(*first);
        }
    }
    let mut ordered: Vec<TraceEntry> =
        first_seen.into_iter().map(|(text, at_ms)| TraceEntry { at_ms, text }).collect();
    ordered.sort();
    ordered.into_iter().map(|TraceEntry { at_ms, text }| format!("{at_ms} {text}")).collect()
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TraceEntry {
    at_ms: u64,
    text: String,
}

/// Entries from the request's own log line: its arrival, sends, first event and result.
fn request_entries(line: &Line, request: &Request, arrived: u64) -> Vec<TraceEntry> {
    let entry = |at_ms: u64, text: String| TraceEntry { at_ms, text: format!("{}: {text}", line.daemon) };
    let model = request.model.as_deref().map_or(String::new(), |model| format!(" for {model}"));
    let prompt = request.prompt_tokens.map_or(String::new(), |tokens| format!(", {tokens} tokens of prompt"));
    let fingerprint = request.fingerprint.as_deref();
    let fingerprint = fingerprint.map_or(String::new(), |fingerprint| format!(", fingerprint {fingerprint}"));
    let mut entries = vec![entry(
        arrived,
        format!(
            "arrives{model}{prompt}{fingerprint}; {} ms allowed, configuration {}",
            request.allowed_ms, request.configuration
        ),
    )];
    for send in &request.sends {
        entries.push(entry(arrived + send.at_ms, describe_send(send)));
    }
    if let Some(first) = request.first_event_ms {
        entries.push(entry(arrived + first, "first event passed on".to_string()));
    }
    let pause = request.longest_pause_ms.map_or(String::new(), |pause| format!(", longest pause {pause} ms"));
    let places = request.places_age_ms.map_or(String::new(), |age| format!(", places known {age} ms ago"));
    let held_back = match request.held_back {
        0 => String::new(),
        count => format!(" ({count} lines of this result held back before)"),
    };
    if !request.servers_held.is_empty() {
        entries.push(entry(
            line.at_ms,
            format!("all servers rest or leave: {}", request.servers_held.join(" ")),
        ));
    }
    entries.push(entry(
        line.at_ms,
        format!(
            "ends with {} {} after {} ms, {} ms of them waiting; lease left {} ms{pause}{places}{held_back}",
            request.code, request.code_name, request.took_ms, request.waited_ms, request.lease_left_ms
        ),
    ));
    entries
}

/// Describes one send: the server, who chose it, and what its response contained.
fn describe_send(send: &Send) -> String {
    let group = send.epoch.map_or(String::new(), |epoch| format!(" of g{epoch}"));
    let chosen_by =
        send.chosen_by.as_deref().map_or(String::new(), |chooser| format!(" chosen by {chooser}"));
    let ended = send.ended.as_deref().map_or(String::new(), |ended| format!(", which ended: {ended}"));
    let status = send.status.map_or(String::new(), |status| format!("; answered {status}"));
    let retry_after =
        send.retry_after_ms.map_or(String::new(), |delay_ms| format!(", asked for {delay_ms} ms of rest"));
    let leaving = if send.leaving { ", said that it leaves" } else { "" };
    let limit =
        send.limit_per_second.map_or(String::new(), |rate| format!(", takes {rate} requests a second"));
    format!("sent to {}{group}{chosen_by}{ended}{status}{retry_after}{leaving}{limit}", send.instance)
}

/// Entries on the context of a request: events of the groups it was sent to and of its daemon, elections, and how many
/// groups served its model. Events and suspicions that concern its fingerprint are included at any time, because a
/// quarantine outlasts the attempt that led to it.
fn context_entries(lines: &[Line], line: &Line, request: &Request, arrived: u64) -> Vec<TraceEntry> {
    let fingerprint = request.fingerprint.as_deref();
    let epochs: BTreeSet<u64> = request.sends.iter().filter_map(|send| send.epoch).collect();
    let time_range = arrived.saturating_sub(CONTEXT_BEFORE_MS)..=line.at_ms + CONTEXT_AFTER_MS;
    let own_subject = format!("daemon/{}", line.daemon);
    let quarantined_parts = quarantined_parts(lines, fingerprint);
    let mut entries = Vec::new();
    for other in lines {
        let is_near = time_range.contains(&other.at_ms);
        match &other.body {
            Body::Event(event) => {
                let concerns_group = event.group_epoch().is_some_and(|epoch| epochs.contains(&epoch));
                let is_election = matches!(event.reason.as_str(), "Elected" | "SteppedDown");
                let concerns_request =
                    fingerprint.is_some_and(|fingerprint| event.is_about_request(fingerprint));
                let concerns_part = quarantined_parts.iter().any(|part| event.is_about_part(part));
                let is_context = concerns_group || event.subject == own_subject || is_election;
                if concerns_request || concerns_part || (is_near && is_context) {
                    let text = format!("{} {}: {}", event.subject, event.reason, event.message);
                    entries.push(TraceEntry { at_ms: other.at_ms, text });
                }
            }
            Body::Suspect(suspect) if fingerprint == Some(&suspect.fingerprint) => {
                entries.push(TraceEntry { at_ms: other.at_ms, text: describe_suspect(other, suspect) });
            }
            Body::Order(order) if is_near && epochs.contains(&order.epoch) => {
                let text = format!("order {} to {}: {}", order.order, order.instance, order.answer);
                entries.push(TraceEntry { at_ms: other.at_ms, text });
            }
            _ => {}
        }
    }
    if let Some(model) = &request.model {
        let open = count_open_groups(lines, model, line.at_ms);
        entries.push(TraceEntry {
            at_ms: line.at_ms,
            text: format!("{open} groups of {model} are open by the log"),
        });
    }
    entries
}

/// Returns the parts of prompts for which a request was refused.
fn quarantined_parts<'a>(lines: &'a [Line], fingerprint: Option<&str>) -> BTreeSet<&'a str> {
    let part = |line: &'a Line| match &line.body {
        Body::Suspect(suspect) if fingerprint == Some(&suspect.fingerprint) => {
            suspect.quarantined_part.as_deref()
        }
        _ => None,
    };
    lines.iter().filter_map(part).collect()
}

/// Describes a log line on a suspected request, from this attempt or another one.
fn describe_suspect(line: &Line, suspect: &Suspect) -> String {
    let at = suspect.instance.as_deref().map_or(String::new(), |instance| format!(" at {instance}"));
    let against = match suspect.servers.as_slice() {
        [] => String::new(),
        servers => format!("; ended under it so far: {}", servers.join(" ")),
    };
    let part = suspect.quarantined_part.as_deref();
    let part = part.map_or(String::new(), |part| format!("; its part {part} is quarantined"));
    format!(
        "{}: {} {} as {}{at}{against}{part}",
        line.daemon, suspect.fingerprint, suspect.step, suspect.request
    )
}

/// Counts the groups of a model that are open at a time according to the log.
fn count_open_groups(lines: &[Line], model: &str, at_ms: u64) -> usize {
    let mut groups: BTreeMap<u64, (bool, bool)> = BTreeMap::new();
    let mut events: Vec<(u64, u64, &Event)> = lines
        .iter()
        .filter(|line| line.at_ms <= at_ms)
        .filter_map(|line| match &line.body {
            Body::Event(event) => Some((line.at_ms, event.group_epoch()?, event)),
            _ => None,
        })
        .collect();
    events.sort_by_key(|(at_ms, epoch, _)| (*at_ms, *epoch));
    for (_, epoch, event) in events {
        let (is_of_model, is_open) = groups.entry(epoch).or_default();
        match event.reason.as_str() {
            "Formed" => *is_of_model = event.message.starts_with(&format!("{model} on ")),
            "Open" => *is_open = true,
            "Draining" | "Cutting" | "Ended" => *is_open = false,
            _ => {}
        }
    }
    groups.values().filter(|(is_of_model, is_open)| *is_of_model && *is_open).count()
}
