//! Rows of the gateway's tables.

use dockwood_api::gateway::{InstanceReport, InstanceState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A registered instance, reduced to what routing needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Identifies one run of a server process, unless the server keeps its id across restarts.
    pub id: String,
    /// When its process started, in milliseconds since the Unix epoch; `None` if not reported.
    pub started_ms: Option<u64>,
    /// Service name.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Zone name.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Whether it is cold, according to its last report or presumed after an evacuation.
    pub is_cold: bool,
    /// Fabric domain; set for model engines only.
    pub domain: Option<String>,
}

/// Lifecycle phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupPhase {
    /// Members are loading.
    Forming,
    /// All members are ready; the head is being ordered to open.
    Opening,
    /// The group serves requests.
    Open,
    /// The head is being ordered to close; running requests may finish.
    Draining,
    /// The head is being ordered to close; running requests are aborted.
    Cutting,
}

/// Evacuation state of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether the zone is evacuated, so that no requests are routed to its servers.
    pub evacuated: bool,
    /// Incremented by each call that is not outdated. A call carries the generation that it is based on, so that an outdated
    /// call changes nothing.
    pub generation: u64,
}

/// Purpose of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupPurpose {
    /// Serve requests.
    Serve,
    /// Make the members load a model, then end: a server rejoins a group of its last model immediately, whatever its
    /// host stages afterwards. Such a group may have any size, and never opens.
    Preload,
}

/// A group of instances that together serve a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Unique and increasing; never reused.
    pub epoch: u64,
    /// Group name, as sent to the servers.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Instance ids, head first.
    pub members: Vec<String>,
    /// Address of the head.
    pub head: SocketAddr,
    /// When the head's process started, in milliseconds since the Unix epoch; `None` if not reported.
    pub head_started_ms: Option<u64>,
    /// Zone of the head.
    pub zone: String,
    /// Whether the head, the only member that receives requests, is cold.
    pub head_is_cold: bool,
    /// Purpose of the group.
    pub purpose: GroupPurpose,
    /// Lifecycle phase.
    pub phase: GroupPhase,
    /// Why it was formed or moved to its phase.
    pub reason: String,
}

impl InstanceRow {
    /// Whether it is a model engine: only these belong to fabric domains.
    pub fn is_engine(&self) -> bool {
        self.domain.is_some()
    }
}

impl GroupRow {
    /// Whether the group may have requests in flight.
    pub fn serves(&self) -> bool {
        matches!(self.phase, GroupPhase::Open | GroupPhase::Draining)
    }

    /// Whether an instance is the head of the group.
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
