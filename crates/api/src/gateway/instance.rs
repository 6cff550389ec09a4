//! Servers that register themselves.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It is about to end.
    Draining,
}

/// Where a server stands within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipState {
    /// Weights are being loaded.
    Joining,
    /// Weights are loaded.
    Ready,
    /// The group serves.
    Open,
    /// The group finishes what it has.
    Closing,
    /// The group has stopped for the loss of a member.
    Broken,
}

/// A server's own word on its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipReport {
    /// Group name.
    pub group: String,
    /// Group epoch.
    pub epoch: u64,
    /// Its state there.
    pub state: MembershipState,
}

/// What a server tells of itself. Each start of a server is another instance, and usually has another id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Identifies this start of the server, unless it keeps its id when it starts again.
    pub id: String,
    /// When its process started, in milliseconds since the Unix epoch by its own clock; `None` if it doesn't tell.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// How much longer it is cold, in milliseconds; 0 once it is warm. See [`ColdStart`](super::ColdStart).
    #[serde(default)]
    pub cold_ms: u64,
    /// Grows with each report, so that a late one is known.
    pub sequence: u64,
    /// Fabric domain, for a model server.
    pub domain: Option<String>,
    /// Models whose weights its host keeps.
    pub staged: Vec<String>,
    /// Its group, if it is in one.
    pub membership: Option<MembershipReport>,
}

impl InstanceReport {
    /// Whether it tells nothing but that its server lives still, where `earlier` was told before. How much longer the
    /// server is cold changes with each report; that it is, or is no more, does not.
    pub fn repeats(&self, earlier: &InstanceReport) -> bool {
        let is_as_cold = (self.cold_ms > 0) == (earlier.cold_ms > 0);
        let (sequence, cold_ms) = (earlier.sequence, earlier.cold_ms);
        is_as_cold && InstanceReport { sequence, cold_ms, ..self.clone() } == *earlier
    }
}
