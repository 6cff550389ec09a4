//! Bodies of requests that are answered before they have been read completely.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Maximum time for which the rest of a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the rest of a body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Reads and discards the rest of a body in a task of its own, while the response is sent. If the connection was closed
/// instead, the caller that is still sending would get a reset in place of the response.
pub fn discard(body: Incoming) {
    if !body.is_end_stream() {
        // A caller that takes longer gets the reset.
        tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, read_rest(body)));
    }
}

async fn read_rest(mut body: Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, |data| data.len());
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
