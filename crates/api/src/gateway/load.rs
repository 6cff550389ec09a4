//! What entries tell the control leader of their requests, and what they learn of the other entries'.

use serde::{Deserialize, Serialize};

/// One entry's requests at one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// Group epoch.
    pub epoch: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// The group has shown nothing for longer than its declared pace allows.
    pub silent: bool,
    /// The head refuses connections.
    pub refuses: bool,
    /// The group has shown progress since the last report.
    pub progressed: bool,
}

/// One entry's requests for one model since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoad {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Requests that arrived, whether or not they got a place; not those whose callers had been refused before.
    pub arrived: u32,
    /// Tokens of the prompts of those.
    pub prompt_tokens: u64,
    /// Answers that were complete.
    pub answered: u32,
    /// Events of those.
    pub events: u64,
    /// Times that a request found no place.
    pub found_none: u32,
}

/// One entry's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Daemon name.
    pub daemon: String,
    /// Groups with requests in flight or with evidence.
    pub groups: Vec<GroupLoad>,
    /// Models that were asked for.
    pub models: Vec<ModelLoad>,
}

/// All entries' requests at one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedGroupLoad {
    /// Group epoch.
    pub epoch: u64,
    /// Requests in flight at other entries than the one that asked.
    pub others_in_flight: u32,
    /// Another entry, or the control leader, holds the group for silent.
    pub suspected: bool,
    /// Places that the entry that asked may take beyond its requests in flight, until its next report is answered.
    pub granted: u32,
}

/// An entry asks for a place at a group for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Daemon name of the entry.
    pub daemon: String,
    /// Its zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Epochs of groups that the entry doesn't want: it has tried them, or holds them for silent.
    pub excluded: Vec<u64>,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// To this group.
    Assigned {
        /// Group epoch.
        epoch: u64,
        /// When its first event is expected, in milliseconds from now.
        first_event_ms: u64,
    },
    /// Every group is full.
    Full,
    /// No group serves the model.
    NoGroup,
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Groups with load or evidence at others.
    pub groups: Vec<SharedGroupLoad>,
    /// Entries that reported lately, the asking one among them.
    pub entries: u32,
}
