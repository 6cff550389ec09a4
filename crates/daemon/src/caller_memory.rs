//! Bounds the memory that callers make this process hold.
//!
//! One budget, a part of the memory of the process, is divided into shares for what is held. Bytes are taken from a share before
//! they are kept, and returned when the guard that stands for them is dropped.

use crate::client_metrics::ClientMetrics;
use bytes::Bytes;
use prometheus::{IntCounter, IntGauge};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of the budget, in bytes.
const UNIT_BYTES: usize = 1 << 10;
/// Shares are multiples of this part of the memory of the process.
const SIXTEENTHS: usize = 16;
/// Share of bodies up to [`SMALL_BODY_BYTES`], in sixteenths of the memory of the process.
const SMALL_BODIES_SHARE: usize = 1;
/// Share of larger bodies, likewise.
const LARGE_BODIES_SHARE: usize = 3;
/// Share of parts of responses that are not written yet, likewise.
const RESPONSES_SHARE: usize = 2;
/// Share of frames from other daemons that are not complete, likewise.
const FRAMES_SHARE: usize = 2;
/// The rest is for the process itself and for callers' connections (see [`crate::connection_slots`]).
const _: () =
    assert!(SMALL_BODIES_SHARE + LARGE_BODIES_SHARE + RESPONSES_SHARE + FRAMES_SHARE <= SIXTEENTHS / 2);

/// Bodies up to this size have a share of their own, in bytes, so that large ones do not displace them.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// Bodies of requests up to [`SMALL_BODY_BYTES`].
    SmallBodies,
    /// Larger bodies of requests.
    LargeBodies,
    /// Parts of responses.
    Responses,
    /// Frames from other daemons.
    Frames,
}

impl HeldFor {
    const fn name(self) -> &'static str {
        match self {
            HeldFor::SmallBodies => "smallBodies",
            HeldFor::LargeBodies => "largeBodies",
            HeldFor::Responses => "responses",
            HeldFor::Frames => "frames",
        }
    }
}

/// The budget.
#[derive(Debug)]
pub struct CallerMemory {
    small_bodies: Share,
    large_bodies: Share,
    responses: Share,
    frames: Share,
}

#[derive(Debug)]
struct Share {
    units: Arc<Semaphore>,
    total: usize,
    held: IntGauge,
    refused: IntCounter,
}

impl Share {
    fn new(held_for: HeldFor, bytes: usize, metrics: &ClientMetrics) -> Share {
        let total = bytes / UNIT_BYTES;
        Share {
            units: Arc::new(Semaphore::new(total)),
            total,
            held: metrics.held_bytes.with_label_values(&[held_for.name()]),
            refused: metrics.held_bytes_refused.with_label_values(&[held_for.name()]),
        }
    }

    /// Returns the units for a number of bytes: at most all, so that a single holder is never refused.
    fn units_of(&self, bytes: usize) -> usize {
        bytes.div_ceil(UNIT_BYTES).min(self.total)
    }
}

impl CallerMemory {
    /// Divides the memory of a process, in bytes.
    pub fn new(memory_bytes: usize, metrics: &ClientMetrics) -> CallerMemory {
        let share = |held_for, sixteenths: usize| {
            Share::new(held_for, memory_bytes / SIXTEENTHS * sixteenths, metrics)
        };
        CallerMemory {
            small_bodies: share(HeldFor::SmallBodies, SMALL_BODIES_SHARE),
            large_bodies: share(HeldFor::LargeBodies, LARGE_BODIES_SHARE),
            responses: share(HeldFor::Responses, RESPONSES_SHARE),
            frames: share(HeldFor::Frames, FRAMES_SHARE),
        }
    }

    fn share(&self, held_for: HeldFor) -> &Share {
        match held_for {
            HeldFor::SmallBodies => &self.small_bodies,
            HeldFor::LargeBodies => &self.large_bodies,
            HeldFor::Responses => &self.responses,
            HeldFor::Frames => &self.frames,
        }
    }

    /// Takes bytes from a share if it has as many left.
    pub fn try_hold(&self, held_for: HeldFor, bytes: usize) -> Option<HeldBytes> {
        let share = self.share(held_for);
        let units = share.units_of(bytes);
        let permit = share.units.clone().try_acquire_many_owned(units as u32).ok()?;
        Some(HeldBytes::new(held_for, share, permit))
    }

    /// Takes bytes from a share as soon as it has as many left.
    pub async fn hold(&self, held_for: HeldFor, bytes: usize) -> Option<HeldBytes> {
        let share = self.share(held_for);
        let units = share.units_of(bytes);
        // `Err` only if the semaphore is closed, which it never is.
        let permit = share.units.clone().acquire_many_owned(units as u32).await.ok()?;
        Some(HeldBytes::new(held_for, share, permit))
    }

    /// Returns the size of a share, in bytes. Nobody needs to hold more of it.
    pub fn share_bytes(&self, held_for: HeldFor) -> usize {
        self.share(held_for).total * UNIT_BYTES
    }

    /// Records that bytes were refused because a share has too few left.
    pub fn record_refusal(&self, held_for: HeldFor) {
        self.share(held_for).refused.inc();
    }
}

/// Bytes taken from a share, which are returned when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    held_for: HeldFor,
    permit: OwnedSemaphorePermit,
    held: IntGauge,
}

impl HeldBytes {
    fn new(held_for: HeldFor, share: &Share, permit: OwnedSemaphorePermit) -> HeldBytes {
        share.held.add((permit.num_permits() * UNIT_BYTES) as i64);
        HeldBytes { held_for, permit, held: share.held.clone() }
    }

    /// Returns what the bytes are held for.
    pub fn held_for(&self) -> HeldFor {
        self.held_for
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits() * UNIT_BYTES
    }

    /// Adds bytes of the same share.
    pub fn merge(&mut self, mut other: HeldBytes) {
        if let Some(units) = other.permit.split(other.permit.num_permits()) {
            // The gauge counts them already, and `other` returns none when it is dropped.
            self.permit.merge(units);
        }
    }

    /// Returns content that keeps these bytes taken as long as any part of it exists.
    pub fn wrap(self, content: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldContent { content, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.sub(self.bytes() as i64);
    }
}

struct HeldContent<Content> {
    content: Content,
    _held: HeldBytes,
}

impl<Content: AsRef<[u8]>> AsRef<[u8]> for HeldContent<Content> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}
