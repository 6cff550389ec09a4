//! Rows of the gateway's tables.

use dockwood_api::gateway::{InstanceReport, InstanceState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A registered instance, as far as routing needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Identifies one start of a server, unless it keeps its id when it starts again.
    pub id: String,
    /// When its process started, in milliseconds since the Unix epoch; `None` if it doesn't tell.
    pub started_ms: Option<u64>,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// It said last that it is cold, or is presumed to be.
    pub is_cold: bool,
    /// Fabric domain, for a model server.
    pub domain: Option<String>,
}

/// Where a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupPhase {
    /// Members are loading.
    Forming,
    /// All members are ready; the head is being told to open.
    Opening,
    /// It serves.
    Open,
    /// The head is being told to close; running requests are finished.
    Draining,
    /// The head is being told to close; running requests are cut off.
    Cutting,
}

/// Whether requests are kept away from a zone's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether they are.
    pub evacuated: bool,
    /// Grows with each call that was not overtaken. A call names the generation that it was decided on, so that one
    /// that was overtaken changes nothing.
    pub generation: u64,
}

/// What a group is formed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupPurpose {
    /// To serve.
    Serve,
    /// To have its members load a model, and then to end: a server rejoins the model of its last group at once,
    /// whatever its host stages afterwards. Such a group may be of any size, and never opens.
    Preload,
}

/// Instances that serve a model together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Unique over all time; grows.
    pub epoch: u64,
    /// Name, as told to the servers.
    pub name: String,
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Instance ids, head first.
    pub members: Vec<String>,
    /// Address of the head.
    pub head: SocketAddr,
    /// When the head's process started, in milliseconds since the Unix epoch; `None` if it doesn't tell.
    pub head_started_ms: Option<u64>,
    /// Zone of the head.
    pub zone: String,
    /// The head, which alone is sent requests, is cold.
    pub head_is_cold: bool,
    /// What it is formed for.
    pub purpose: GroupPurpose,
    /// Where it stands.
    pub phase: GroupPhase,
    /// Why it was formed, or brought to its phase.
    pub reason: String,
}

impl InstanceRow {
    /// Whether it is a model engine: these alone stand in fabric domains.
    pub fn is_engine(&self) -> bool {
        self.domain.is_some()
    }
}

impl GroupRow {
    /// Whether requests may be in flight at it.
    pub fn serves(&self) -> bool {
        matches!(self.phase, GroupPhase::Open | GroupPhase::Draining)
    }

    /// Whether an instance is its head.
    pub fn is_headed_by(&self, id: &str) -> bool {
        self.members.first().is_some_and(|head| head == id)
    }
}

impl From<&InstanceReport> for InstanceRow {
    fn from(report: &InstanceReport) -> InstanceRow {
        InstanceRow {
            id: report.id.clone(),
            started_ms: report.started_ms,
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            slots: report.slots,
            state: report.state,
            is_cold: report.cold_ms > 0,
            domain: report.domain.clone(),
        }
    }
}
