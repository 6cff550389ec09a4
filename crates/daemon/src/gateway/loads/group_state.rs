//! What this entry knows of one group.

use super::PlaceQuery;
use dockwood_api::gateway::EventPace;
use dockwood_grouping::COLD_SLOW_START_MS;
use dockwood_routing::Millis;
use dockwood_state::GroupRow;
use std::sync::Arc;

/// What may be held at a group that the leader has granted nothing for yet.
const FIRST_ALLOWANCE: u32 = 1;

/// One group that is open, or finishes what it has.
#[derive(Debug)]
pub(super) struct GroupState {
    /// Its row, as it was published last.
    pub row: Arc<GroupRow>,
    /// It is open, and its zone is not evacuated.
    pub takes_new: bool,
    /// Requests that it may run at once.
    pub slots: u32,
    /// Requests of this entry.
    pub in_flight: u32,
    /// Requests of the other entries, as the leader or a dispatcher told last.
    pub others_in_flight: u32,
    /// Requests in flight when the leader was last told.
    pub reported_in_flight: u32,
    /// Requests that this entry may hold.
    pub allowance: u32,
    /// This entry avoids it until then: it stood still, or refused a connection.
    pub suspected_until: Millis,
    /// Other entries found it to stand still.
    pub suspected_by_others: bool,
    /// Its head counts as cold until then, also if it says that it is warm.
    cold_until: Millis,
    /// It has shown an event since the leader was last told.
    pub progressed: bool,
    /// Its head has refused a connection since the leader was last told.
    pub refused: bool,
    /// When it last showed an event.
    pub last_progress: Millis,
    /// An event that takes no longer came in time, in milliseconds.
    pub timely_ms: f64,
    /// Events since the leader was last told.
    pub pace: EventPace,
}

impl GroupState {
    /// A group that is new here.
    pub fn new(row: &Arc<GroupRow>, slots: u32, takes_new: bool, timely_ms: f64) -> GroupState {
        GroupState {
            row: row.clone(),
            takes_new,
            slots,
            in_flight: 0,
            others_in_flight: 0,
            reported_in_flight: 0,
            allowance: FIRST_ALLOWANCE,
            suspected_until: 0,
            suspected_by_others: false,
            cold_until: 0,
            progressed: false,
            refused: false,
            last_progress: 0,
            timely_ms,
            pace: EventPace::default(),
        }
    }

    /// Whether it serves the model that is asked for.
    pub fn serves(&self, query: &PlaceQuery<'_>) -> bool {
        self.row.service == query.service && self.row.model == query.model
    }

    /// Whether it takes new requests, and may run this one.
    pub fn may_run(&self, query: &PlaceQuery<'_>) -> bool {
        self.serves(query) && self.takes_new && query.zones.contains(&self.row.zone)
    }

    /// Whether this entry may hold one more request there. `is_granted`: the leader told lately how many it may hold.
    pub fn has_place(&self, is_granted: bool) -> bool {
        if is_granted { self.in_flight < self.allowance } else { self.total() < self.slots }
    }

    /// Whether it is avoided.
    pub fn is_suspected(&self, now: Millis) -> bool {
        now < self.suspected_until || self.suspected_by_others
    }

    /// Whether its head is cold, or was until a moment ago.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.row.head_is_cold || now < self.cold_until
    }

    /// Takes its row as it is now.
    pub fn follow(&mut self, now: Millis, row: &Arc<GroupRow>) {
        if self.row.head_is_cold {
            self.cold_until = now + COLD_SLOW_START_MS;
        }
        self.row = row.clone();
    }

    /// Requests of all entries.
    pub fn total(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }
}
