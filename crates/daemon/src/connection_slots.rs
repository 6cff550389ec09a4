//! Bounds the number of clients' connections at a listener.
//!
//! When all slots are taken, a new connection displaces one without a request: first the oldest that never had any, then the
//! one that has been idle for the longest time. Only if each connection has a request is the new one refused.

use crate::lock::lock;
use prometheus::{IntCounter, IntGauge};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

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
    /// Numbers connections, and times at which they became idle.
    next: u64,
    displacements: BTreeMap<u64, Arc<Notify>>,
    /// Connections that may be displaced, the first of which is displaced first.
    without_request: BTreeSet<Displaceable>,
}

/// A connection without a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Displaceable {
    had_request: bool,
    since: u64,
    connection: u64,
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
            let Some(displaced) = table.without_request.pop_first() else {
                self.metrics.refused.inc();
                return None;
            };
            // Its slot is free at once, though its task closes it a little later.
            if let Some(displacement) = table.displacements.remove(&displaced.connection) {
                displacement.notify_one();
            }
            self.metrics.displaced.inc();
        }
        let connection = table.next();
        let displaced = Arc::new(Notify::new());
        table.displacements.insert(connection, displaced.clone());
        let unused = Displaceable { had_request: false, since: connection, connection };
        table.without_request.insert(unused);
        drop(table);
        self.count.send_modify(|open| *open += 1);
        self.metrics.open.inc();
        Some(ConnectionSlot {
            slots: self.clone(),
            connection,
            displaced,
            requests: Mutex::new(SlotRequests { current: 0, without_request: Some(unused) }),
            received: AtomicU64::new(0),
        })
    }

    /// Completes once no connection is open.
    pub async fn all_closed(&self) {
        // The sender exists as long as `self`.
        let _ = self.count.subscribe().wait_for(|open| *open == 0).await;
    }
}

impl SlotTable {
    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
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
    /// The entry in the table while there are none.
    without_request: Option<Displaceable>,
}

impl ConnectionSlot {
    /// Records that the head of a request was received; the request lasts until the guard and its clones are dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.received.fetch_add(1, Ordering::SeqCst);
        let mut requests = lock(&self.requests);
        requests.current += 1;
        if let Some(idle) = requests.without_request.take() {
            lock(&self.slots.table).without_request.remove(&idle);
        }
        drop(requests);
        RequestGuard { slot: self.clone() }
    }

    fn end_request(&self) {
        let mut requests = lock(&self.requests);
        requests.current -= 1;
        let mut table = lock(&self.slots.table);
        // A connection that was displaced is being closed.
        if requests.current == 0 && table.displacements.contains_key(&self.connection) {
            let idle = Displaceable { had_request: true, since: table.next(), connection: self.connection };
            table.without_request.insert(idle);
            requests.without_request = Some(idle);
        }
    }

    /// Returns the number of requests whose heads were received.
    pub fn received_requests(&self) -> u64 {
        self.received.load(Ordering::SeqCst)
    }

    /// Returns whether a request is being handled.
    pub fn has_request(&self) -> bool {
        lock(&self.requests).current > 0
    }

    /// Completes when the connection is to be closed to make room for another.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let without_request = lock(&self.requests).without_request;
        let mut table = lock(&self.slots.table);
        table.displacements.remove(&self.connection);
        if let Some(idle) = without_request {
            table.without_request.remove(&idle);
        }
        drop(table);
        self.slots.metrics.open.dec();
        self.slots.count.send_modify(|open| *open -= 1);
    }
}

/// A request on a connection. A connection with a request is not displaced.
#[derive(Debug)]
pub struct RequestGuard {
    slot: Arc<ConnectionSlot>,
}

impl Clone for RequestGuard {
    fn clone(&self) -> RequestGuard {
        lock(&self.slot.requests).current += 1;
        RequestGuard { slot: self.slot.clone() }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.slot.end_request();
    }
}
