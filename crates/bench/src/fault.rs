//! Faults of an experiment, each at its time.

use crate::fleet::RunningFleet;
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use std::io;
use std::time::{Duration, Instant};

/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// What is done to what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum Action {
    /// A change by the emulator's admin port: `kill`, `restart`, `pause`, `cut`, `slow`, `leave` and so on.
    Machine {
        /// Server name; `head-of:DEPLOYMENT` picks the head of its first serving replica.
        name: String,
        /// The change.
        change: String,
    },
    /// Ends a daemon at once.
    KillDaemon {
        /// Daemon name; `leader` and `coordinator-of:DEPLOYMENT` pick one.
        name: String,
    },
    /// Stops a daemon as planned.
    StopDaemon {
        /// As above.
        name: String,
    },
    /// Starts a daemon that was killed or stopped.
    StartDaemon {
        /// Daemon name.
        name: String,
    },
    /// Stops a daemon's process for a while, as a long pause would.
    PauseDaemon {
        /// As for killing.
        name: String,
        /// For how long.
        milliseconds: u64,
    },
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TimedFault {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
}

/// A fault that was brought about.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultRecord {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// What was done, with names resolved.
    pub what: String,
}

/// Brings all faults about, in order of time.
pub async fn run_faults(fleet: &mut RunningFleet, faults: &[TimedFault]) -> io::Result<Vec<FaultRecord>> {
    let started = Instant::now();
    let mut records = Vec::new();
    for fault in faults {
        tokio::time::sleep_until((started + Duration::from_millis(fault.at_ms)).into()).await;
        let what = bring_about(fleet, &fault.action).await?;
        records.push(FaultRecord { at_ms: started.elapsed().as_millis() as u64, what });
    }
    Ok(records)
}

async fn bring_about(fleet: &mut RunningFleet, action: &Action) -> io::Result<String> {
    match action {
        Action::Machine { name, change } => {
            let machine = resolve_machine(fleet, name).await?;
            fleet.change_machine(&machine, change).await?;
            Ok(format!("{change} machine {machine}"))
        }
        Action::KillDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.kill_daemon(index)?;
            Ok(format!("kill daemon {}", fleet.topology.daemons[index].name))
        }
        Action::StopDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.stop_daemon(index, STOP_LIMIT).await?;
            Ok(format!("stop daemon {}", fleet.topology.daemons[index].name))
        }
        Action::StartDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.start_daemon(index)?;
            Ok(format!("start daemon {}", fleet.topology.daemons[index].name))
        }
        Action::PauseDaemon { name, milliseconds } => {
            let index = resolve_daemon(fleet, name).await?;
            let Some(daemon) = fleet.daemon(index) else { return Ok(format!("daemon {name} does not run")) };
            daemon.signal(Signal::SIGSTOP)?;
            tokio::time::sleep(Duration::from_millis(*milliseconds)).await;
            daemon.signal(Signal::SIGCONT)?;
            Ok(format!("pause daemon {} for {milliseconds} ms", fleet.topology.daemons[index].name))
        }
    }
}

async fn resolve_machine(fleet: &RunningFleet, name: &str) -> io::Result<String> {
    let Some(deployment) = name.strip_prefix("head-of:") else { return Ok(name.to_string()) };
    let list = fleet.operator.read("replicas").await?;
    let items = list["items"].as_array().cloned().unwrap_or_default();
    let serves = |item: &&serde_json::Value| {
        let detail = &item["status"]["detail"];
        detail["deployment"] == deployment && item["status"]["conditions"][0]["reason"] == "Serving"
    };
    let head = items.iter().find(serves).and_then(|item| item["status"]["detail"]["members"][0].as_str());
    head.map(str::to_string).ok_or_else(|| io::Error::other(format!("no serving replica of '{deployment}'")))
}

async fn resolve_daemon(fleet: &RunningFleet, name: &str) -> io::Result<usize> {
    let resolved = if name == "leader" {
        fleet.operator.status().await?["leader"].as_str().unwrap_or("").to_string()
    } else if let Some(deployment) = name.strip_prefix("coordinator-of:") {
        let view = fleet.operator.read(&format!("deployments/{deployment}")).await?;
        view["status"]["detail"]["coordinator"].as_str().unwrap_or("").to_string()
    } else {
        name.to_string()
    };
    fleet
        .daemon_index(&resolved)
        .ok_or_else(|| io::Error::other(format!("no daemon '{resolved}' for '{name}'")))
}
