//! Bounds the number of clients' connections at a listener.
//!
//! When all slots are taken, a new connection displaces another one: first the oldest that never had a request, then the one
//! that has been idle for the longest time, then one whose request has been incomplete for too long. Only if each connection
//! has a complete request, or one that has just begun, is the new one refused.

use crate::lock::lock;
use prometheus::{IntCounter, IntGauge};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Time for which a request may be incomplete before its connection may be displaced.
const RECEIVING_AT_LEAST: Duration = Duration::from_millis(500);

/// Number and use of the connections at one listener.
#[derive(Debug)]
pub struct ConnectionSlots {
    limit: usize,
    table: Mutex<SlotTable>,
    /// Number of open connections.
    count: watch::Sender<usize>,
    metrics: SlotMetrics,
}

/// Metrics of one listener's connections.
#[derive(Clone, Debug)]
pub struct SlotMetrics {
    /// Open connections.
    pub open: IntGauge,
    /// Connections closed without a request, to make room for others.
    pub displaced: IntCounter,
    /// Connections refused because all others had requests.
    pub refused: IntCounter,
}

#[derive(Debug, Default)]
struct SlotTable {
    /// Number of the next connection.
    next: u64,
    displacements: BTreeMap<u64, Arc<Notify>>,
    /// Connections that may be displaced, the first of which is displaced first.
    displaceable: BTreeSet<Displaceable>,
}

/// A connection without a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Displaceable {
    state: IncompleteState,
    since: Instant,
    connection: u64,
}

/// How a connection is used, in the order in which connections are displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum IncompleteState {
    /// It never had a request.
    Unused,
    /// Its last request has been answered.
    Idle,
    /// The body of its request is arriving.
    Receiving,
}

impl Displaceable {
    fn may_be_displaced(&self) -> bool {
        self.state != IncompleteState::Receiving || self.since.elapsed() >= RECEIVING_AT_LEAST
    }
}

impl ConnectionSlots {
    /// Creates slots for up to `limit` connections.
    pub fn new(limit: usize, metrics: SlotMetrics) -> Arc<ConnectionSlots> {
        let (table, count) = (Mutex::default(), watch::Sender::new(0));
        Arc::new(ConnectionSlots { limit, table, count, metrics })
    }

    /// Returns a slot for a connection that was just accepted; `None` if it is to be closed.
    pub fn admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut table = lock(&self.table);
        if table.displacements.len() >= self.limit {
            let first = table.displaceable.first().copied().filter(Displaceable::may_be_displaced);
            let Some(displaced) = first else {
                self.metrics.refused.inc();
                return None;
            };
            table.displaceable.remove(&displaced);
            // Its slot is free at once, though its task closes it a little later.
            if let Some(displacement) = table.displacements.remove(&displaced.connection) {
                displacement.notify_one();
            }
            self.metrics.displaced.inc();
        }
        table.next += 1;
        let connection = table.next;
        let displaced = Arc::new(Notify::new());
        table.displacements.insert(connection, displaced.clone());
        let unused = Displaceable { state: IncompleteState::Unused, since: Instant::now(), connection };
        table.displaceable.insert(unused);
        drop(table);
        self.count.send_modify(|open| *open += 1);
        self.metrics.open.inc();
        Some(ConnectionSlot {
            slots: self.clone(),
            connection,
            displaced,
            requests: Mutex::new(SlotRequests { current: 0, arriving: 0, displaceable: Some(unused) }),
            received: AtomicU64::new(0),
        })
    }

    /// Completes once no connection is open.
    pub async fn all_closed(&self) {
        // The sender exists as long as `self`.
        let _ = self.count.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// Slot of one connection, which is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    connection: u64,
    displaced: Arc<Notify>,
    requests: Mutex<SlotRequests>,
    /// Number of requests whose heads were received.
    received: AtomicU64,
}

#[derive(Debug)]
struct SlotRequests {
    /// Guards of requests that are being handled.
    current: usize,
    /// Guards of bodies that may still arrive.
    arriving: usize,
    /// The entry in the table.
    displaceable: Option<Displaceable>,
}

impl SlotRequests {
    fn state(&self) -> Option<IncompleteState> {
        match (self.arriving, self.current) {
            (0, 0) => Some(IncompleteState::Idle),
            (0, _) => None,
            _ => Some(IncompleteState::Receiving),
        }
    }
}

impl ConnectionSlot {
    /// Records that the head of a request was received; the request lasts until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.received.fetch_add(1, Ordering::SeqCst);
        self.change(|requests| requests.current += 1);
        RequestGuard { slot: self.clone() }
    }

    fn change(&self, change: impl FnOnce(&mut SlotRequests)) {
        let mut requests = lock(&self.requests);
        let before = requests.state();
        change(&mut requests);
        let state = requests.state();
        let mut table = lock(&self.slots.table);
        // A connection that was displaced is being closed.
        if !table.displacements.contains_key(&self.connection) {
            return;
        }
        let is_unused =
            requests.displaceable.is_some_and(|displaceable| displaceable.state == IncompleteState::Unused);
        if state == before && !is_unused {
            return;
        }
        if let Some(outdated) = requests.displaceable.take() {
            table.displaceable.remove(&outdated);
        }
        requests.displaceable = state.map(|state| {
            let displaceable = Displaceable { state, since: Instant::now(), connection: self.connection };
            table.displaceable.insert(displaceable);
            displaceable
        });
    }

    /// Returns the number of requests whose heads were received.
    pub fn received_requests(&self) -> u64 {
        self.received.load(Ordering::SeqCst)
    }

    /// Returns whether a request is being received or handled.
    pub fn has_request(&self) -> bool {
        let requests = lock(&self.requests);
        requests.current + requests.arriving > 0
    }

    /// Returns whether the body of a request is arriving.
    pub fn is_receiving(&self) -> bool {
        lock(&self.requests).arriving > 0
    }

    /// Completes when the connection is to be closed to make room for another.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let displaceable = lock(&self.requests).displaceable;
        let mut table = lock(&self.slots.table);
        table.displacements.remove(&self.connection);
        if let Some(displaceable) = displaceable {
            table.displaceable.remove(&displaceable);
        }
        drop(table);
        self.slots.metrics.open.dec();
        self.slots.count.send_modify(|open| *open -= 1);
    }
}

/// A request on a connection. A connection with a complete request is not displaced.
#[derive(Debug)]
pub struct RequestGuard {
    slot: Arc<ConnectionSlot>,
}

impl RequestGuard {
    /// Records that the body of the request arrives until the guard is dropped.
    pub fn receive_body(&self) -> BodyGuard {
        self.slot.change(|requests| requests.arriving += 1);
        BodyGuard { slot: self.slot.clone() }
    }
}

impl Clone for RequestGuard {
    fn clone(&self) -> RequestGuard {
        self.slot.change(|requests| requests.current += 1);
        RequestGuard { slot: self.slot.clone() }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.slot.change(|requests| requests.current -= 1);
    }
}

/// The body of a request on a connection, as long as it may arrive.
#[derive(Debug)]
pub struct BodyGuard {
    slot: Arc<ConnectionSlot>,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.slot.change(|requests| requests.arriving -= 1);
    }
}
