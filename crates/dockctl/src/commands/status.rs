//! `status`: a summary of the state of the fleet.

use super::format;
use crate::client::Client;
use crate::exit::CommandError;
use crate::output::{Format, print_line, print_value, table};
use clap::{ArgMatches, Command};
use serde_json::Value;
use std::collections::BTreeMap;

/// A voter that has not answered for this long is shown as silent. It spans several heartbeat intervals of the leader.
const SILENT_AFTER_MS: u64 = 1_000;

pub(super) fn command() -> Command {
    Command::new("status").about("Shows a summary of control, stranded machines, replicas and daemons")
}

pub(super) async fn run(client: &Client, matches: &ArgMatches) -> Result<(), CommandError> {
    let status = client.read("status").await?;
    if format(matches) != Format::Table {
        return print_value(format(matches), &status);
    }
    print_control(&status);
    print_replicas(&status);
    print_daemons(&status);
    Ok(())
}

fn items<'a>(status: &'a Value, name: &str) -> &'a [Value] {
    status[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn join_or_none(values: &[Value]) -> String {
    let names: Vec<String> = values.iter().map(text).collect();
    if names.is_empty() { "none".to_string() } else { names.join(" ") }
}

/// Formats the number of voters in each zone, and the voters that do not answer.
fn voters_by_zone(voters: &[Value]) -> String {
    let mut by_zone: BTreeMap<String, usize> = BTreeMap::new();
    for voter in voters {
        let zone = voter["zone"].as_str().unwrap_or("unknown zone");
        *by_zone.entry(zone.to_string()).or_default() += 1;
    }
    let zones: Vec<String> = by_zone.iter().map(|(zone, count)| format!("{count} in {zone}")).collect();
    let is_silent = |voter: &&Value| voter["silentMs"].as_u64().unwrap_or(0) >= SILENT_AFTER_MS;
    let silent: Vec<Value> = voters.iter().filter(is_silent).map(|voter| voter["address"].clone()).collect();
    format!("{} ({}), silent: {}", voters.len(), zones.join(", "), join_or_none(&silent))
}

fn print_control(status: &Value) {
    print_line(format!("control: leader {} in term {}", text(&status["leader"]), status["term"]));
    print_line(format!("revision: {}, in force {}", status["revision"], status["inForceRevision"]));
    print_line(format!("voters: {}", voters_by_zone(items(status, "voters"))));
    print_line(format!("daemons behind: {}", join_or_none(items(status, "behind"))));
    print_line(format!("stranded machines: {}", join_or_none(items(status, "strandedMachines"))));
    print_line(format!("evacuated zones: {}", join_or_none(items(status, "evacuatedZones"))));
    for shortfall in items(status, "shortfalls") {
        println!(
            "deployment {} lacks {}: {}",
            text(&shortfall["deployment"]),
            shortfall["missing"],
            text(&shortfall["why"])
        );
    }
}

fn print_replicas(status: &Value) {
    let mut rows =
        table(&["replica", "serving", "phase", "epoch", "domain", "version", "unwell machines", "reason"]);
    for replica in items(status, "replicas") {
        rows.add_row([
            text(&replica["name"]),
            if replica["serving"] == Value::Bool(true) { "yes".to_string() } else { "NO".to_string() },
            text(&replica["phase"]),
            text(&replica["epoch"]),
            text(&replica["domain"]),
            text(&replica["version"]),
            join_or_none(items(replica, "unwellMachines")),
            text(&replica["reason"]),
        ]);
    }
    print_line(format!("\n{rows}"));
}

fn print_daemons(status: &Value) {
    let mut rows = table(&["daemon", "zone", "liveness", "lease", "applied revision", "in flight"]);
    for daemon in items(status, "daemons") {
        rows.add_row([
            text(&daemon["name"]),
            text(&daemon["zone"]),
            text(&daemon["liveness"]),
            if daemon["holdsLease"] == Value::Bool(true) { "held".to_string() } else { "none".to_string() },
            text(&daemon["appliedRevision"]),
            text(&daemon["inFlight"]),
        ]);
    }
    print_line(format!("\n{rows}"));
}
