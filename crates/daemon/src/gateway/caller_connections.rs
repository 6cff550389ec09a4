//! Counts callers' connections that may hold responses which are not written yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;

/// Number of open connections.
///
/// Only the end of its connection proves that a response was written: hyper holds bytes for a caller that reads slowly, also
/// after it has taken the last part of the body.
#[derive(Debug, Default)]
pub struct CallerConnections {
    open: watch::Sender<usize>,
}

impl CallerConnections {
    /// Completes once no connection is open.
    pub async fn all_closed(&self) {
        // The sender exists as long as `self`.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// One connection, counted until this is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    connections: Arc<CallerConnections>,
    has_request: AtomicBool,
}

impl CallerConnection {
    /// Creates the record of a connection that has just been accepted.
    pub fn new(connections: Arc<CallerConnections>) -> CallerConnection {
        connections.open.send_modify(|open| *open += 1);
        CallerConnection { connections, has_request: AtomicBool::new(false) }
    }

    /// Records that a request was received.
    pub fn record_request(&self) {
        self.has_request.store(true, Ordering::SeqCst);
    }

    /// Returns whether a request was received.
    pub fn has_request(&self) -> bool {
        self.has_request.load(Ordering::SeqCst)
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.connections.open.send_modify(|open| *open -= 1);
    }
}
