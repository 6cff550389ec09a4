//! Bounds the memory for parts of large responses that were read from servers and not yet written to callers.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of parts that the daemon holds for all callers together. A part is at most twice as large as the buffer of
/// a server's connection (`SERVER_BUFFER_BYTES`), so they take at most 32 MiB.
const MAX_HELD_PARTS: usize = 512;

/// The parts that may be held. If none is left, responses are not read any further until callers have read some.
pub struct ResponseMemory {
    parts: Arc<Semaphore>,
}

impl Default for ResponseMemory {
    fn default() -> ResponseMemory {
        ResponseMemory::with_parts(MAX_HELD_PARTS)
    }
}

impl ResponseMemory {
    /// Allows this number of parts.
    pub fn with_parts(parts: usize) -> ResponseMemory {
        ResponseMemory { parts: Arc::new(Semaphore::new(parts)) }
    }

    /// Waits until one more part may be held, and returns the part, which counts as held until it is dropped.
    pub async fn hold(&self, part: Bytes) -> Bytes {
        // `Err` only if the semaphore is closed, which it never is.
        let permit = self.parts.clone().acquire_owned().await.ok();
        Bytes::from_owner(HeldPart { part, _permit: permit })
    }
}

struct HeldPart {
    part: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}
