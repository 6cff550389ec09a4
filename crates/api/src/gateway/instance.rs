//! Registrations of servers.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    /// It accepts new requests.
    Ready,
    /// It is about to shut down.
    Draining,
}

/// State of a server as a member of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipState {
    /// The weights are being loaded.
    Joining,
    /// The weights are loaded.
    Ready,
    /// The group serves requests.
    Open,
    /// The group finishes its running requests.
    Closing,
    /// The group has stopped because it lost a member.
    Broken,
}

/// A server's report on its group membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipReport {
    /// Group name.
    pub group: String,
    /// Group epoch.
    pub epoch: u64,
    /// Membership state.
    pub state: MembershipState,
}

/// A server's report on itself. Each start of a server creates a new instance, usually with a new id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Identifies this run of the server process, unless the server keeps its id across restarts.
    pub id: String,
    /// When its process started, in milliseconds since the Unix epoch by its own clock; `None` if not reported.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Service name.
    pub service: String,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Remaining time for which it is cold, in milliseconds; 0 once it is warm. See
    /// [`ColdStart`](super::ColdStart).
    #[serde(default)]
    pub cold_ms: u64,
    /// Increases with each report, so that outdated reports are detected.
    pub sequence: u64,
    /// Fabric domain; set for model engines only.
    pub domain: Option<String>,
    /// Models whose weights are staged in the host's memory.
    pub staged: Vec<String>,
    /// Group membership, if it is a member of a group.
    pub membership: Option<MembershipReport>,
}

impl InstanceReport {
    /// Whether the report contains no news compared with `earlier`, except that the server is still alive. The
    /// remaining cold time changes with each report and is ignored; a change between cold and warm counts as news.
    pub fn is_unchanged_since(&self, earlier: &InstanceReport) -> bool {
        let is_as_cold = (self.cold_ms > 0) == (earlier.cold_ms > 0);
        let (sequence, cold_ms) = (earlier.sequence, earlier.cold_ms);
        is_as_cold && InstanceReport { sequence, cold_ms, ..self.clone() } == *earlier
    }
}
