//! What entries tell the control leader of their requests, and what they learn of the other entries'.

use serde::{Deserialize, Serialize};

/// How many events of running streams came in time, since the last report. The first event of a stream doesn't count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPace {
    /// Events.
    pub events: u32,
    /// Those among them that came within twice the longest pass that reads no prompt, by the declared figures.
    pub timely: u32,
}

impl EventPace {
    /// Adds what another report tells of the same group.
    pub fn add(&mut self, other: EventPace) {
        self.events += other.events;
        self.timely += other.timely;
    }
}

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
    /// How many events came in time.
    pub pace: EventPace,
    /// How much longer the entry sends nothing to the head, which asked for a long rest or said that it leaves, in
    /// milliseconds; 0 if it sends.
    pub held_for_ms: u64,
}

impl GroupLoad {
    /// Whether there is more to tell of the group than that it is held back, which doesn't change from one moment to the
    /// next.
    pub fn is_at_work(&self) -> bool {
        self.in_flight > 0 || self.silent || self.refuses || self.progressed
    }
}

/// One entry's requests for one model since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoad {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Requests that arrived, whether or not they got a place; a caller that comes back after a refusal counts again.
    pub arrived: u32,
    /// Requests that were refused for want of a place.
    pub refused: u32,
    /// Tokens of the prompts of all that arrived.
    pub prompt_tokens: u64,
    /// Answers that were complete.
    pub answered: u32,
    /// Events of those.
    pub events: u64,
    /// Times that a request found no place.
    pub found_none: u32,
}

impl ModelLoad {
    /// Adds what another report tells of the same model.
    pub fn add(&mut self, other: &ModelLoad) {
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.prompt_tokens += other.prompt_tokens;
        self.answered += other.answered;
        self.events += other.events;
        self.found_none += other.found_none;
    }
}

/// The groups of one model whose heads stand in one zone: what one dispatcher assigns requests to in a large fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchScope {
    /// Zone of the groups' heads.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
}

/// One entry's report; or a dispatcher's, on what all entries told it of its scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Daemon name.
    pub daemon: String,
    /// The scope that it is about; `None` for all groups.
    pub scope: Option<DispatchScope>,
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
    /// Zone of the groups that it asks for; `None` for all.
    pub group_zone: Option<String>,
    /// Zones in which the request may run; `None` for all.
    pub allowed_zones: Option<Vec<String>>,
    /// When its first event should be expected at the latest, in milliseconds from now; `None` for any time.
    pub most_first_event_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The group with the fewest requests is the best: the request may end the server that runs it.
    pub prefers_idle: bool,
    /// Epochs of groups that the entry doesn't want: it has tried them, or holds them for silent.
    pub excluded: Vec<u64>,
    /// Groups whose heads named a limit.
    pub limited: Vec<LimitedGroup>,
}

/// A group whose head named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedGroup {
    /// Group epoch.
    pub epoch: u64,
    /// Time between two requests that the limit allows, in milliseconds.
    pub interval_ms: u64,
}

impl PlaceRequest {
    /// Time between two requests that the head of a group takes, in milliseconds; `None` if it takes what comes.
    pub fn interval_ms(&self, epoch: u64) -> Option<u64> {
        self.limited.iter().find(|group| group.epoch == epoch).map(|group| group.interval_ms)
    }

    /// Whether a group of this zone is asked for and may run the request.
    pub fn wants_zone(&self, zone: &str) -> bool {
        let is_asked_for = self.group_zone.as_ref().is_none_or(|asked| asked == zone);
        let is_allowed =
            self.allowed_zones.as_ref().is_none_or(|allowed| allowed.iter().any(|name| name == zone));
        is_asked_for && is_allowed
    }
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
    /// Every group is full, or would show the first event too late.
    Full,
    /// The heads of all groups that might take it get as many requests as they said they take.
    AtLimit {
        /// When the first of them takes another one, in milliseconds from now.
        free_in_ms: u64,
    },
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
