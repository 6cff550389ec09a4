//! The stream of events with which a small model server answers.

use crate::servers::{EVENT_PAUSE, EVENTS, FakeServer};
use futures::stream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts a stream that is dropped before its end.
struct Running {
    server: Arc<FakeServer>,
    complete: bool,
}

impl Running {
    fn finish(&mut self) {
        self.complete = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.streaming.fetch_sub(1, Ordering::SeqCst);
        if !self.complete {
            self.server.broken_off.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// The events after one, a pause apart.
pub fn events(
    server: Arc<FakeServer>,
    after: u64,
) -> impl futures::Stream<Item = std::io::Result<Vec<u8>>> + Send + 'static {
    server.streaming.fetch_add(1, Ordering::SeqCst);
    let running = Running { server, complete: false };
    stream::unfold((running, after + 1), |(mut running, id)| async move {
        tokio::time::sleep(EVENT_PAUSE).await;
        running.server.break_if_ended();
        while running.server.stands_still.load(Ordering::SeqCst) {
            tokio::time::sleep(EVENT_PAUSE).await;
        }
        if id > EVENTS {
            running.finish();
            return None;
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n").into_bytes();
        Some((Ok(event), (running, id + 1)))
    })
}
