//! This entry's state of one group.

use super::PlaceQuery;
use dockwood_api::gateway::EventPace;
use dockwood_grouping::COLD_SLOW_START_MS;
use dockwood_routing::Millis;
use dockwood_state::GroupRow;
use std::sync::Arc;

/// Number of places at a group for which the leader has not granted any yet.
const FIRST_ALLOWANCE: u32 = 1;

/// A group that is open or completes its remaining requests.
#[derive(Debug)]
pub(super) struct GroupState {
    /// Its row in the tables that were published last.
    pub row: Arc<GroupRow>,
    /// Whether it is open and its zone is not evacuated.
    pub accepts_requests: bool,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Requests in flight from the other entries, as last reported by the leader or a dispatcher.
    pub others_in_flight: u32,
    /// Requests in flight in the last report.
    pub reported_in_flight: u32,
    /// Maximum number of requests from this entry.
    pub allowance: u32,
    /// This entry avoids it until this time, because it stalled or refused a connection.
    pub avoided_until: Millis,
    /// It is reported as stalled until this time.
    pub stalled_until: Millis,
    /// Whether other entries suspect it to be stalled.
    pub suspected_by_others: bool,
    /// Its head counts as cold until this time, even if it reports that it is warm.
    cold_until: Millis,
    /// Whether it has sent an event since the last report.
    pub progressed: bool,
    /// Whether its head has refused a connection since the last report.
    pub refused: bool,
    /// When it last sent an event.
    pub last_event_at: Millis,
    /// Maximum interval between two events that counts as timely, in milliseconds.
    pub timely_ms: f64,
    /// Events since the last report.
    pub pace: EventPace,
}

impl GroupState {
    /// Creates the state of a group.
    pub fn new(row: &Arc<GroupRow>, slots: u32, accepts_requests: bool, timely_ms: f64) -> GroupState {
        GroupState {
            row: row.clone(),
            accepts_requests,
            slots,
            in_flight: 0,
            others_in_flight: 0,
            reported_in_flight: 0,
            allowance: FIRST_ALLOWANCE,
            avoided_until: 0,
            stalled_until: 0,
            suspected_by_others: false,
            cold_until: 0,
            progressed: false,
            refused: false,
            last_event_at: 0,
            timely_ms,
            pace: EventPace::default(),
        }
    }

    /// Returns whether it serves the requested model.
    pub fn serves(&self, query: &PlaceQuery<'_>) -> bool {
        self.row.service == query.service && self.row.model == query.model
    }

    /// Returns whether it accepts new requests and may run this one.
    pub fn may_run(&self, query: &PlaceQuery<'_>) -> bool {
        self.serves(query) && self.accepts_requests && query.zones.contains(&self.row.zone)
    }

    /// Returns whether this entry may send one more request to it. `is_granted`: the allowance granted by the leader is
    /// recent.
    pub fn has_place(&self, is_granted: bool) -> bool {
        if is_granted { self.in_flight < self.allowance } else { self.total() < self.slots }
    }

    /// Returns whether it is avoided.
    pub fn is_suspected(&self, now: Millis) -> bool {
        now < self.avoided_until || self.suspected_by_others
    }

    /// Returns whether its head is cold, or was until recently.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.row.head_is_cold || now < self.cold_until
    }

    /// Updates its row.
    pub fn follow(&mut self, now: Millis, row: &Arc<GroupRow>) {
        if self.row.head_is_cold {
            self.cold_until = now + COLD_SLOW_START_MS;
        }
        self.row = row.clone();
    }

    /// Returns the requests in flight from all entries.
    pub fn total(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }
}
