//! Load reports from entries to the control leader, and the load of other entries in its responses.

use serde::{Deserialize, Serialize};

/// How many events of running streams arrived in time since the last report. The first event of each stream is
/// not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPace {
    /// Number of events.
    pub events: u32,
    /// Number of these that arrived within twice the duration of the longest pass without prompt processing,
    /// according to the declared figures.
    pub timely: u32,
}

impl EventPace {
    /// Adds the counts of another report on the same group.
    pub fn add(&mut self, other: EventPace) {
        self.events += other.events;
        self.timely += other.timely;
    }
}

/// Load of one group from one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// Group epoch.
    pub epoch: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether the group has shown no progress for longer than its declared pace allows.
    pub silent: bool,
    /// Whether the head refuses connections.
    pub refuses: bool,
    /// Whether the group has made progress since the last report.
    pub progressed: bool,
    /// How many events arrived in time.
    pub pace: EventPace,
    /// Remaining time for which the entry sends nothing to the head, because the head requested a long back-off or
    /// announced its shutdown, in milliseconds; 0 if the head is not on hold.
    pub held_for_ms: u64,
}

impl GroupLoad {
    /// Whether the group has load or evidence to report. A hold alone doesn't count, because it rarely changes.
    pub fn has_activity(&self) -> bool {
        self.in_flight > 0 || self.silent || self.refuses || self.progressed
    }
}

/// An entry's requests for one model since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoad {
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Number of requests that arrived, whether or not they were assigned a place; a retry after a refusal is
    /// counted again.
    pub arrived: u32,
    /// Number of requests that were refused because no place was free.
    pub refused: u32,
    /// Total prompt tokens of the requests that arrived.
    pub prompt_tokens: u64,
    /// Number of complete responses.
    pub answered: u32,
    /// Number of events in complete responses.
    pub events: u64,
    /// How many times a request found no free place.
    pub found_none: u32,
}

impl ModelLoad {
    /// Adds the counts of another report on the same model.
    pub fn add(&mut self, other: &ModelLoad) {
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.prompt_tokens += other.prompt_tokens;
        self.answered += other.answered;
        self.events += other.events;
        self.found_none += other.found_none;
    }
}

/// The groups of one model whose heads are in one zone. In a large fleet, each scope has its own dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchScope {
    /// Zone of the heads.
    pub zone: String,
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
}

/// Report of an entry, or of a dispatcher that summarizes the reports of all entries on its scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the reporting daemon.
    pub daemon: String,
    /// Scope of the report; `None` for all groups.
    pub scope: Option<DispatchScope>,
    /// Groups with requests in flight or with evidence.
    pub groups: Vec<GroupLoad>,
    /// Models for which requests arrived.
    pub models: Vec<ModelLoad>,
}

/// Load of one group from all entries, in the response to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedGroupLoad {
    /// Group epoch.
    pub epoch: u64,
    /// Requests in flight from other entries than the receiver.
    pub others_in_flight: u32,
    /// Whether another entry or the control leader considers the group stalled.
    pub suspected: bool,
    /// Places that the receiver may take in addition to its requests in flight, until its next report is answered.
    pub granted: u32,
}

/// An entry's request for a place at a group, for one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Name of the entry's daemon.
    pub daemon: String,
    /// Zone of the entry.
    pub zone: String,
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Zone in which to look for groups; `None` for all.
    pub group_zone: Option<String>,
    /// Zones in which the request may run; `None` for all.
    pub allowed_zones: Option<Vec<String>>,
    /// Maximum expected time to the first event, in milliseconds from now; `None` if unlimited.
    pub most_first_event_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Whether to prefer the group with the fewest requests, because the request may crash the server that runs it.
    pub prefers_idle: bool,
    /// Epochs of groups to exclude: the entry has tried them, or considers them stalled.
    pub excluded: Vec<u64>,
    /// Groups whose heads declared a limit.
    pub limited: Vec<LimitedGroup>,
}

/// A group whose head declared a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedGroup {
    /// Group epoch.
    pub epoch: u64,
    /// Minimum time between two requests according to the limit, in milliseconds.
    pub interval_ms: u64,
}

impl PlaceRequest {
    /// Returns the minimum time between two requests to the head of a group, in milliseconds; `None` if it has
    /// declared no limit.
    pub fn interval_ms(&self, epoch: u64) -> Option<u64> {
        self.limited.iter().find(|group| group.epoch == epoch).map(|group| group.interval_ms)
    }

    /// Whether a group in this zone is requested and may run the request.
    pub fn matches_zone(&self, zone: &str) -> bool {
        let is_asked_for = self.group_zone.as_ref().is_none_or(|asked| asked == zone);
        let is_allowed =
            self.allowed_zones.as_ref().is_none_or(|allowed| allowed.iter().any(|name| name == zone));
        is_asked_for && is_allowed
    }
}

/// Result of a [`PlaceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// The request is assigned to a group.
    Assigned {
        /// Group epoch.
        epoch: u64,
        /// Expected time to the first event, in milliseconds from now.
        first_event_ms: u64,
    },
    /// Every group is full, or its first event is expected too late.
    Full,
    /// The heads of all suitable groups receive as many requests as their limits allow.
    AtLimit {
        /// Time until the first of them accepts another request, in milliseconds from now.
        free_in_ms: u64,
    },
    /// No group serves the model.
    NoGroup,
}

/// Response to a [`LoadReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Groups with load or evidence from other entries.
    pub groups: Vec<SharedGroupLoad>,
    /// Number of entries that reported recently, including the receiver.
    pub entries: u32,
}
