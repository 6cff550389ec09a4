//! Puts the log lines of all daemons that concern one request into one account, in order of time.

use dockwood_log_lines::{Body, Event, Line, Request, Send, Suspect};
use std::collections::{BTreeMap, BTreeSet};

/// Events this long before a request's arrival may have led to its end, in milliseconds.
const BEFORE_MS: u64 = 5_000;
/// Events this long after its end may tell what was found out, in milliseconds.
const AFTER_MS: u64 = 2_000;

/// What the lines tell of a request; empty if there is no line on it.
pub fn account(lines: &[Line], id: &str) -> Vec<String> {
    let mut told: BTreeMap<String, u64> = BTreeMap::new();
    for line in lines {
        let Body::Request(request) = &line.body else { continue };
        if request.request != id {
            continue;
        }
        let arrived = line.at_ms.saturating_sub(request.took_ms);
        let all =
            courses(line, request, arrived).into_iter().chain(surroundings(lines, line, request, arrived));
        for Told { at_ms, text } in all {
            // Every member tells of a change when it applies it; the first one counts.
            let first = told.entry(text).or_insert(at_ms);
            *first = at_ms.min(*first);
        }
    }
    let mut ordered: Vec<Told> = told.into_iter().map(|(text, at_ms)| Told { at_ms, text }).collect();
    ordered.sort();
    ordered.into_iter().map(|Told { at_ms, text }| format!("{at_ms} {text}")).collect()
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Told {
    at_ms: u64,
    text: String,
}

/// The request's own course.
fn courses(line: &Line, request: &Request, arrived: u64) -> Vec<Told> {
    let told = |at_ms: u64, text: String| Told { at_ms, text: format!("{}: {text}", line.daemon) };
    let model = request.model.as_deref().map_or(String::new(), |model| format!(" for {model}"));
    let prompt = request.prompt_tokens.map_or(String::new(), |tokens| format!(", {tokens} tokens of prompt"));
    let fingerprint = request.fingerprint.as_deref();
    let fingerprint = fingerprint.map_or(String::new(), |print| format!(", fingerprint {print}"));
    let mut course = vec![told(
        arrived,
        format!(
            "arrives{model}{prompt}{fingerprint}; {} ms allowed, configuration {}",
            request.allowed_ms, request.configuration
        ),
    )];
    for send in &request.sends {
        course.push(told(arrived + send.at_ms, send_told(send)));
    }
    if let Some(first) = request.first_event_ms {
        course.push(told(arrived + first, "first event passed on".to_string()));
    }
    let pause = request.longest_pause_ms.map_or(String::new(), |pause| format!(", longest pause {pause} ms"));
    let places = request.places_age_ms.map_or(String::new(), |age| format!(", places known {age} ms ago"));
    let held_back = match request.held_back {
        0 => String::new(),
        count => format!(" ({count} lines of this result held back before)"),
    };
    if !request.servers_held.is_empty() {
        course
            .push(told(line.at_ms, format!("all servers rest or leave: {}", request.servers_held.join(" "))));
    }
    course.push(told(
        line.at_ms,
        format!(
            "ends with {} {} after {} ms, {} ms of them waiting; lease left {} ms{pause}{places}{held_back}",
            request.code, request.code_name, request.took_ms, request.waited_ms, request.lease_left_ms
        ),
    ));
    course
}

/// One send: to whom, on whose choice, and what the server's answer said.
fn send_told(send: &Send) -> String {
    let group = send.epoch.map_or(String::new(), |epoch| format!(" of g{epoch}"));
    let chosen_by =
        send.chosen_by.as_deref().map_or(String::new(), |chooser| format!(" chosen by {chooser}"));
    let ended = send.ended.as_deref().map_or(String::new(), |ended| format!(", which ended: {ended}"));
    let status = send.status.map_or(String::new(), |status| format!("; answered {status}"));
    let rest =
        send.retry_after_ms.map_or(String::new(), |rest_ms| format!(", asked for {rest_ms} ms of rest"));
    let leaving = if send.leaving { ", said that it leaves" } else { "" };
    let limit =
        send.limit_per_second.map_or(String::new(), |rate| format!(", takes {rate} requests a second"));
    format!("sent to {}{group}{chosen_by}{ended}{status}{rest}{leaving}{limit}", send.instance)
}

/// What happened around it: to the groups it was sent to, to its daemon, and how many groups served its model. What the
/// tries of the same request led to is told whenever it was: a quarantine lasts.
fn surroundings(lines: &[Line], line: &Line, request: &Request, arrived: u64) -> Vec<Told> {
    let fingerprint = request.fingerprint.as_deref();
    let epochs: BTreeSet<u64> = request.sends.iter().filter_map(|send| send.epoch).collect();
    let span = arrived.saturating_sub(BEFORE_MS)..=line.at_ms + AFTER_MS;
    let own_subject = format!("daemon/{}", line.daemon);
    let mut told = Vec::new();
    for other in lines {
        let is_near = span.contains(&other.at_ms);
        match &other.body {
            Body::Event(event) => {
                let concerns_group = event.group_epoch().is_some_and(|epoch| epochs.contains(&epoch));
                let is_election = matches!(event.reason.as_str(), "Elected" | "SteppedDown");
                let concerns_request = fingerprint.is_some_and(|print| event.is_about_request(print));
                let is_around = concerns_group || event.subject == own_subject || is_election;
                if concerns_request || (is_near && is_around) {
                    let text = format!("{} {}: {}", event.subject, event.reason, event.message);
                    told.push(Told { at_ms: other.at_ms, text });
                }
            }
            Body::Suspect(suspect) if fingerprint == Some(&suspect.fingerprint) => {
                told.push(Told { at_ms: other.at_ms, text: step_told(other, suspect) });
            }
            Body::Order(order) if is_near && epochs.contains(&order.epoch) => {
                let text = format!("order {} to {}: {}", order.order, order.instance, order.answer);
                told.push(Told { at_ms: other.at_ms, text });
            }
            _ => {}
        }
    }
    if let Some(model) = &request.model {
        let open = open_groups(lines, model, line.at_ms);
        told.push(Told { at_ms: line.at_ms, text: format!("{open} groups of {model} are open by the log") });
    }
    told
}

/// A step of this request, in this try or another one.
fn step_told(line: &Line, suspect: &Suspect) -> String {
    let at = suspect.instance.as_deref().map_or(String::new(), |instance| format!(" at {instance}"));
    let against = match suspect.servers.as_slice() {
        [] => String::new(),
        servers => format!("; ended under it so far: {}", servers.join(" ")),
    };
    format!("{}: {} {} as {}{at}{against}", line.daemon, suspect.fingerprint, suspect.step, suspect.request)
}

/// Groups of a model that the log shows as open at a time.
fn open_groups(lines: &[Line], model: &str, at_ms: u64) -> usize {
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
