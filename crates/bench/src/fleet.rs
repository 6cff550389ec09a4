//! A running fleet: daemons and emulator as child processes.

use crate::operator::{Operator, live_daemons, serving_replicas};
use crate::process::{ChildProcess, Usage, fleet_executable};
use crate::topology::Topology;
use nix::sys::signal::Signal;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet on loopback.
pub struct RunningFleet {
    /// Layout of the fleet.
    pub topology: Topology,
    /// Client of the resource API.
    pub operator: Operator,
    daemons: Vec<Option<ChildProcess>>,
    emulator: ChildProcess,
    http: reqwest::Client,
}

impl RunningFleet {
    /// Starts all processes and waits until each daemon holds a lease.
    pub async fn start(topology: Topology) -> io::Result<RunningFleet> {
        // Data of an earlier run refers to other addresses.
        let data = topology.folder.join("data");
        if data.exists() {
            std::fs::remove_dir_all(data)?;
        }
        if topology.emulator.ledger.exists() {
            std::fs::remove_file(&topology.emulator.ledger)?;
        }
        for folder in ["settings", "data", "logs"] {
            std::fs::create_dir_all(topology.folder.join(folder))?;
        }
        let fleet_file = topology.folder.join("fleet.yaml");
        let fleet_text = serde_saphyr::to_string(&topology.emulator).map_err(io::Error::other)?;
        std::fs::write(&fleet_file, fleet_text)?;
        let emulator_output = topology.folder.join("logs").join("emulator.out");
        let emulator = ChildProcess::start(
            "emulator",
            &fleet_executable()?,
            &["dockwood-emulator".to_string(), "--fleet".to_string(), fleet_file.display().to_string()],
            &emulator_output,
        )?;
        let operator = Operator::new(topology.daemons.iter().map(|daemon| daemon.http).collect());
        let count = topology.daemons.len();
        let daemons = (0..count).map(|_| None).collect();
        let mut fleet = RunningFleet { topology, operator, daemons, emulator, http: reqwest::Client::new() };
        for index in 0..count {
            fleet.start_daemon(index)?;
        }
        fleet
            .operator
            .wait_for("every daemon holds a lease", START_TIMEOUT, |status| live_daemons(status) == count)
            .await?;
        Ok(fleet)
    }

    /// Starts or restarts a daemon.
    pub fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let plan = &self.topology.daemons[index];
        let settings = self.topology.folder.join("settings").join(format!("{}.yaml", plan.name));
        std::fs::write(&settings, self.topology.settings(plan))?;
        let output = self.topology.folder.join("logs").join(format!("{}.out", plan.name));
        let arguments = ["dockwoodd".to_string(), "--settings".to_string(), settings.display().to_string()];
        let child = ChildProcess::start(&plan.name, &fleet_executable()?, &arguments, &output)?;
        self.daemons[index] = Some(child);
        Ok(())
    }

    /// Applies all resources and waits until every declared replica serves.
    pub async fn apply_resources(&self, limit: Duration) -> io::Result<()> {
        self.operator.apply_all(&self.topology.resources()).await?;
        let declared = self.topology.declared_replicas();
        let complete = |status: &serde_json::Value| {
            let in_force = status["inForceRevision"] == status["revision"];
            in_force && serving_replicas(status) >= declared
        };
        self.operator.wait_for("every declared replica serves, and all is in force", limit, complete).await
    }

    /// The child process of a daemon, if it was started and not stopped.
    pub fn daemon(&mut self, index: usize) -> Option<&mut ChildProcess> {
        self.daemons[index].as_mut()
    }

    /// Index of a daemon by name.
    pub fn daemon_index(&self, name: &str) -> Option<usize> {
        self.topology.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Kills a daemon, as in a crash.
    pub fn kill_daemon(&mut self, index: usize) -> io::Result<()> {
        match self.daemons[index].take() {
            Some(mut child) => child.kill(),
            None => Ok(()),
        }
    }

    /// Stops a daemon by SIGTERM, waits for it to exit and returns its exit code.
    pub async fn stop_daemon(&mut self, index: usize, limit: Duration) -> io::Result<i32> {
        let Some(mut child) = self.daemons[index].take() else { return Ok(0) };
        child.signal(Signal::SIGTERM)?;
        let exit_code = child.wait(limit).await;
        exit_code.ok_or_else(|| io::Error::other(format!("{} did not exit within {limit:?}", child.name)))
    }

    /// Changes the state of a machine through the emulator's admin API.
    pub async fn change_machine(&self, machine: &str, change: &str) -> io::Result<()> {
        let url = format!("http://{}/admin/machines/{machine}/{change}", self.topology.emulator.admin);
        let response = self.http.post(url).send().await.map_err(io::Error::other)?;
        response.error_for_status().map(|_| ()).map_err(io::Error::other)
    }

    /// HTTP addresses of all daemons.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.topology.daemons.iter().map(|daemon| daemon.http).collect()
    }

    /// Resource usage of a running daemon.
    pub fn daemon_usage(&self, index: usize) -> io::Result<Usage> {
        let child =
            self.daemons[index].as_ref().ok_or_else(|| io::Error::other("the daemon is not running"))?;
        child.usage()
    }

    /// Stops the daemons, then the emulator. Returns a message for each process that did not exit cleanly.
    pub async fn stop(mut self) -> io::Result<Vec<String>> {
        let mut faults = Vec::new();
        for child in self.daemons.iter().flatten() {
            child.signal(Signal::SIGTERM)?;
        }
        for child in self.daemons.iter_mut().flatten() {
            match child.wait(STOP_TIMEOUT).await {
                Some(0) => {}
                Some(code) => faults.push(format!("{} ended with {code}", child.name)),
                None => faults.push(format!("{} did not end", child.name)),
            }
        }
        self.emulator.signal(Signal::SIGTERM)?;
        if self.emulator.wait(STOP_TIMEOUT).await.is_none() {
            faults.push("the emulator did not end".to_string());
        }
        Ok(faults)
    }
}
