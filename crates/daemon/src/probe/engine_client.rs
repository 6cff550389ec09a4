//! HTTP client for health probes of single machines.

use crate::bounded_response::{MAX_ANSWER_BYTES, ResponseFault, read_json};
use crate::framed_response::send_request;
use dockwood_api::engine::{GroupHealth, PATH_HEALTH};
use dockwood_api::peer::MachineState;
use std::net::SocketAddr;
use std::time::Duration;

/// A machine that does not respond within this time counts as silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The connection was refused or reset.
    Refused,
    /// There was no response in time.
    Silent,
}

impl ProbeFailure {
    /// Returns the machine state that the failure implies.
    pub fn machine_state(self) -> MachineState {
        match self {
            ProbeFailure::Refused => MachineState::Refusing,
            ProbeFailure::Silent => MachineState::Silent,
        }
    }
}

/// Queries the health endpoint of machines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
}

impl EngineClient {
    /// Creates a client that uses the connection pool of `http`.
    pub fn new(http: reqwest::Client) -> Self {
        EngineClient { http }
    }

    /// Probes one machine.
    pub async fn health(&self, address: SocketAddr) -> Result<GroupHealth, ProbeFailure> {
        self.read_health(address).await.map_err(|fault| classify(&fault))
    }

    async fn read_health(&self, address: SocketAddr) -> Result<GroupHealth, ResponseFault> {
        let url = format!("http://{address}{PATH_HEALTH}");
        let response = send_request(self.http.get(url).timeout(PROBE_TIMEOUT)).await?;
        read_json(response, MAX_ANSWER_BYTES).await
    }
}

fn classify(fault: &ResponseFault) -> ProbeFailure {
    match fault {
        ResponseFault::Call(fault) if fault.is_timeout() => ProbeFailure::Silent,
        _ => ProbeFailure::Refused,
    }
}

/// Returns the machine state that a health response implies.
pub fn machine_state(health: &GroupHealth) -> MachineState {
    let replica = health.replica.as_deref().filter(|_| health.loaded);
    MachineState::alive(replica.map(|replica| (replica, health.epoch)))
}
