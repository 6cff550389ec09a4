//! Injects the faults of an experiment at their scheduled times.

use crate::fleet::RunningFleet;
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use std::io;
use std::time::{Duration, Instant};

/// Time limit of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// What a fault does, and to which machine or daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum FaultAction {
    /// A change through the emulator's admin API: `kill`, `restart`, `pause`, `cut`, `slow`, `leave` and so on.
    Machine {
        /// Server name; `head-of:DEPLOYMENT` picks the head of its first serving replica.
        name: String,
        /// The change.
        change: String,
    },
    /// Kills a daemon.
    KillDaemon {
        /// Daemon name, `leader` or `coordinator-of:DEPLOYMENT`.
        name: String,
    },
    /// Stops a daemon by SIGTERM.
    StopDaemon {
        /// As for `KillDaemon`.
        name: String,
    },
    /// Starts a daemon that was killed or stopped.
    StartDaemon {
        /// Daemon name.
        name: String,
    },
    /// Suspends the process of a daemon for a while, to simulate a long pause.
    PauseDaemon {
        /// As for `KillDaemon`.
        name: String,
        /// Duration of the pause, in milliseconds.
        milliseconds: u64,
    },
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TimedFault {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// The fault.
    pub action: FaultAction,
}

/// A fault that was injected.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultRecord {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Description, with names resolved.
    pub what: String,
}

/// Injects all faults in the given order, each at its time.
pub async fn inject_faults(fleet: &mut RunningFleet, faults: &[TimedFault]) -> io::Result<Vec<FaultRecord>> {
    let started = Instant::now();
    let mut records = Vec::new();
    for fault in faults {
        tokio::time::sleep_until((started + Duration::from_millis(fault.at_ms)).into()).await;
        let what = inject_fault(fleet, &fault.action).await?;
        records.push(FaultRecord { at_ms: started.elapsed().as_millis() as u64, what });
    }
    Ok(records)
}

async fn inject_fault(fleet: &mut RunningFleet, action: &FaultAction) -> io::Result<String> {
    match action {
        FaultAction::Machine { name, change } => {
            let machine = resolve_machine(fleet, name).await?;
            fleet.change_machine(&machine, change).await?;
            Ok(format!("{change} machine {machine}"))
        }
        FaultAction::KillDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.kill_daemon(index)?;
            Ok(format!("kill daemon {}", fleet.topology.daemons[index].name))
        }
        FaultAction::StopDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.stop_daemon(index, STOP_TIMEOUT).await?;
            Ok(format!("stop daemon {}", fleet.topology.daemons[index].name))
        }
        FaultAction::StartDaemon { name } => {
            let index = resolve_daemon(fleet, name).await?;
            fleet.start_daemon(index)?;
            Ok(format!("start daemon {}", fleet.topology.daemons[index].name))
        }
        FaultAction::PauseDaemon { name, milliseconds } => {
            let index = resolve_daemon(fleet, name).await?;
            let Some(daemon) = fleet.daemon(index) else {
                return Ok(format!("daemon {name} does not run"));
            };
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
