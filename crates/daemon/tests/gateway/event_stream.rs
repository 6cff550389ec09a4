//! The event stream with which a fake model server responds.

use crate::servers::{EVENT_INTERVAL, EVENTS, FakeServer};
use futures::stream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts a stream as aborted if it is dropped before its end.
struct StreamGuard {
    server: Arc<FakeServer>,
    complete: bool,
}

impl StreamGuard {
    fn finish(&mut self) {
        self.complete = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.server.streaming.fetch_sub(1, Ordering::SeqCst);
        if !self.complete {
            self.server.aborted_streams.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Streams the events after the event `after`, one per [`EVENT_PAUSE`].
pub fn events(
    server: Arc<FakeServer>,
    after: u64,
) -> impl futures::Stream<Item = std::io::Result<Vec<u8>>> + Send + 'static {
    server.streaming.fetch_add(1, Ordering::SeqCst);
    let guard = StreamGuard { server, complete: false };
    stream::unfold((guard, after + 1), |(mut guard, id)| async move {
        tokio::time::sleep(EVENT_INTERVAL).await;
        guard.server.break_if_crashed();
        while guard.server.is_stalled.load(Ordering::SeqCst) {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        if id > EVENTS {
            guard.finish();
            return None;
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n").into_bytes();
        Some((Ok(event), (guard, id + 1)))
    })
}
