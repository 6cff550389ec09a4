//! `up`: keeps a fleet running for interactive use.

use super::demo::{out_argument, out_folder, preset, preset_argument};
use crate::fleet::RunningFleet;
use crate::topology::{OPERATOR_TOKEN, Sizes, Topology, own_network};
use clap::{ArgMatches, Command};
use std::io;
use std::time::Duration;

const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn command() -> Command {
    Command::new("up")
        .about("Starts a whole fleet, shows how to use it, and keeps it running until interrupted")
        .arg(preset_argument())
        .arg(out_argument("out/up"))
}

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let folder = out_folder(matches);
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let topology = Topology::new(preset(matches), Sizes::default(), own_network(), &folder);
    let fleet = RunningFleet::start(topology).await?;
    fleet.apply_resources(FORMATION_TIMEOUT).await?;
    print_usage(&fleet.topology);
    tokio::signal::ctrl_c().await?;
    println!("stopping");
    let faults = fleet.stop().await?;
    faults.iter().for_each(|fault| println!("{fault}"));
    Ok(faults.is_empty())
}

fn print_usage(topology: &Topology) {
    let entry = topology.daemons[0].http;
    let tenant = &topology.tenants[0];
    let model = &topology.deployments[0].model;
    let dockctl = "cargo run --release -q -p dockctl --";
    let all: Vec<String> = topology.daemons.iter().map(|daemon| format!("http://{}", daemon.http)).collect();
    println!("\nThe fleet is up. As a caller:\n");
    println!("  curl -s 'http://{entry}/v1/entry?model={model}' -H 'Authorization: Bearer {}'", tenant.key);
    println!(
        "  curl -sN http://{entry}/v1/chat/completions -H 'Authorization: Bearer {}' -H 'Content-Type: application/json' \\\n    -d '{{\"model\":\"{model}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Draft a note.\"}}]}}'",
        tenant.key
    );
    println!(
        "  curl -s http://{entry}/services/{}/records -H 'Authorization: Bearer {}' -d 'a record'",
        topology.service, tenant.key
    );
    println!("\nAs an operator:\n");
    println!("  export DOCKWOOD_SERVERS={} DOCKWOOD_TOKEN={OPERATOR_TOKEN}", all.join(","));
    println!("  {} status", dockctl);
    println!("  {} get replicas", dockctl);
    println!("  {} timeline", dockctl);
    println!("\nTo lose a machine, and get it back:\n");
    let machine = &topology.emulator.engines[0].name;
    let admin = topology.emulator.admin;
    println!("  curl -X POST http://{admin}/admin/machines/{machine}/kill");
    println!("  curl -X POST http://{admin}/admin/machines/{machine}/start");
    println!("\nInterrupt (Ctrl-C) to stop.");
}
