//! Reads bodies of clients' requests, whose bytes are taken from [`CallerMemory`] before they are kept.
//!
//! When a share of the memory is used up, bodies of which nothing arrives any more are given up for a body that does arrive.

use crate::caller_memory::{CallerMemory, HeldBytes, HeldFor, SMALL_BODY_BYTES};
use crate::client_metrics::ClientMetrics;
use crate::lock::lock;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use prometheus::IntCounterVec;
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A body makes progress if this many bytes arrive within [`STALLED_AFTER`].
const PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress after which a body may be given up for another.
const STALLED_AFTER: Duration = Duration::from_millis(500);
/// Maximum time until a body that is given up has returned its bytes.
const RETURN_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum growth of a buffer at a time.
const MAX_GROWTH_BYTES: usize = 256 << 10;

quick_error! {
    /// Why a body is not read completely.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum RequestBodyFault {
        /// It is larger than allowed.
        TooLarge {
            display("the body is too large")
        }
        /// Its connection ended early.
        Broken {
            display("the body ended early")
        }
        /// It did not arrive in time.
        TimedOut {
            display("the body did not arrive in time")
        }
        /// The process holds as much for clients as it may.
        NoMemory {
            display("no memory is left for the body")
        }
    }
}

/// What applies to one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// When it must have arrived.
    pub deadline: Instant,
    /// Number of copies of the body that its handling needs at the same time, itself included.
    pub copies: usize,
    /// How long it waits for memory that others hold: not at all if they may hold it for long.
    pub patience: Duration,
}

/// The bodies that are being read.
#[derive(Debug)]
pub struct RequestBodies {
    memory: Arc<CallerMemory>,
    arriving: Mutex<ArrivingTable>,
    ended: IntCounterVec,
}

#[derive(Debug, Default)]
struct ArrivingTable {
    next: u64,
    bodies: BTreeMap<u64, Arriving>,
}

#[derive(Debug)]
struct Arriving {
    /// When it last made progress.
    progressed_at: Instant,
    held_for: Option<HeldFor>,
    held_bytes: usize,
    given_up: Arc<Notify>,
}

impl RequestBodies {
    /// Creates a reader that takes bytes from this memory.
    pub fn new(memory: Arc<CallerMemory>, metrics: &ClientMetrics) -> RequestBodies {
        let ended = metrics.request_bodies_ended.clone();
        RequestBodies { memory, arriving: Mutex::default(), ended }
    }

    /// Reads a complete body. Its bytes count as held until the last part of the returned content is dropped.
    ///
    /// # Errors
    /// Why it is not read. Nothing of it is held any more.
    pub async fn read(
        &self,
        body: impl Body<Data = Bytes> + Unpin,
        limits: BodyLimits,
    ) -> Result<Bytes, RequestBodyFault> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        if body.size_hint().lower() > limits.max_bytes as u64 {
            return Err(RequestBodyFault::TooLarge);
        }
        let registered = Registration::new(self);
        let given_up = registered.given_up.clone();
        let content = tokio::select! {
            content = HeldBuffer::new(&registered, limits).fill(body) => content,
            () = given_up.notified() => Err(RequestBodyFault::NoMemory),
            () = tokio::time::sleep_until(limits.deadline) => Err(RequestBodyFault::TimedOut),
        };
        match content {
            Err(RequestBodyFault::TimedOut) => self.ended.with_label_values(&["timedOut"]).inc(),
            Err(RequestBodyFault::NoMemory) => self.ended.with_label_values(&["noMemory"]).inc(),
            _ => {}
        }
        content
    }

    /// Takes bytes for a body, if necessary those of others that have stalled.
    async fn take(
        &self,
        number: u64,
        held_for: HeldFor,
        bytes: usize,
        patience: Duration,
    ) -> Option<HeldBytes> {
        if let Some(held) = self.memory.try_hold(held_for, bytes) {
            return Some(held);
        }
        let limit = if self.give_up_stalled(number, held_for, bytes) { RETURN_TIMEOUT } else { patience };
        let held = tokio::time::timeout(limit, self.memory.hold(held_for, bytes)).await.ok().flatten();
        if held.is_none() {
            self.memory.record_refusal(held_for);
        }
        held
    }

    /// Gives up other bodies, those first that have stalled for the longest time, until they have held as many bytes of a share;
    /// returns false without giving up any if there are not enough.
    fn give_up_stalled(&self, number: u64, held_for: HeldFor, bytes: usize) -> bool {
        let mut arriving = lock(&self.arriving);
        let now = Instant::now();
        let is_stalled = |body: &Arriving| {
            body.held_for == Some(held_for) && now.duration_since(body.progressed_at) >= STALLED_AFTER
        };
        let mut stalled: Vec<(Instant, u64)> = arriving
            .bodies
            .iter()
            .filter(|(other, body)| **other != number && is_stalled(body))
            .map(|(other, body)| (body.progressed_at, *other))
            .collect();
        stalled.sort_unstable();
        let mut returned_bytes = 0;
        let mut given_up = Vec::new();
        for (_, other) in stalled {
            if returned_bytes >= bytes {
                break;
            }
            returned_bytes += arriving.bodies.get(&other).map_or(0, |body| body.held_bytes);
            given_up.push(other);
        }
        if returned_bytes < bytes {
            return false;
        }
        for body in given_up.iter().filter_map(|other| arriving.bodies.remove(other)) {
            body.given_up.notify_one();
        }
        true
    }
}

/// Registers a body as arriving until this is dropped.
struct Registration<'a> {
    bodies: &'a RequestBodies,
    number: u64,
    given_up: Arc<Notify>,
}

impl<'a> Registration<'a> {
    fn new(bodies: &'a RequestBodies) -> Registration<'a> {
        let given_up = Arc::new(Notify::new());
        let mut arriving = lock(&bodies.arriving);
        arriving.next += 1;
        let number = arriving.next;
        let body = Arriving {
            progressed_at: Instant::now(),
            held_for: None,
            held_bytes: 0,
            given_up: given_up.clone(),
        };
        arriving.bodies.insert(number, body);
        drop(arriving);
        Registration { bodies, number, given_up }
    }

    fn change(&self, change: impl FnOnce(&mut Arriving)) {
        lock(&self.bodies.arriving).bodies.get_mut(&self.number).map(change);
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        lock(&self.bodies.arriving).bodies.remove(&self.number);
    }
}

/// Content of a body as far as it has arrived, with the bytes taken for its capacity.
struct HeldBuffer<'a> {
    registered: &'a Registration<'a>,
    limits: BodyLimits,
    content: Vec<u8>,
    held: Option<HeldBytes>,
    /// Size of the content at the last progress.
    progressed_bytes: usize,
}

impl<'a> HeldBuffer<'a> {
    fn new(registered: &'a Registration<'a>, limits: BodyLimits) -> HeldBuffer<'a> {
        HeldBuffer { registered, limits, content: Vec::new(), held: None, progressed_bytes: 0 }
    }

    async fn fill(mut self, mut body: impl Body<Data = Bytes> + Unpin) -> Result<Bytes, RequestBodyFault> {
        let max_bytes = self.limits.max_bytes;
        let announced = body.size_hint().exact().map_or(max_bytes, |announced| announced as usize);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| RequestBodyFault::Broken)?.into_data() else { continue };
            let length = self.content.len() + data.len();
            if length > max_bytes {
                return Err(RequestBodyFault::TooLarge);
            }
            if length > self.content.capacity() {
                self.grow(next_capacity(self.content.capacity(), length, announced)).await?;
            }
            self.content.extend_from_slice(&data);
            if length - self.progressed_bytes >= PROGRESS_BYTES {
                self.progressed_bytes = length;
                self.registered.change(|arriving| arriving.progressed_at = Instant::now());
            }
        }
        Ok(match self.held {
            Some(held) => held.wrap(self.content),
            None => Bytes::new(),
        })
    }

    /// Takes the bytes for a larger capacity, then allocates it.
    async fn grow(&mut self, capacity: usize) -> Result<(), RequestBodyFault> {
        let bodies = self.registered.bodies;
        let needed = capacity * self.limits.copies;
        let held_for = if needed <= SMALL_BODY_BYTES { HeldFor::SmallBodies } else { HeldFor::LargeBodies };
        let bytes = needed.min(bodies.memory.share_bytes(held_for));
        let is_same_share = self.held.as_ref().is_some_and(|held| held.held_for() == held_for);
        let held_bytes = self.held.as_ref().filter(|_| is_same_share).map_or(0, HeldBytes::bytes);
        let missing = bytes.saturating_sub(held_bytes);
        let taken = bodies
            .take(self.registered.number, held_for, missing, self.limits.patience)
            .await
            .ok_or(RequestBodyFault::NoMemory)?;
        match &mut self.held {
            Some(held) if is_same_share => held.merge(taken),
            // What was taken of the other share is returned.
            held => *held = Some(taken),
        }
        self.content.reserve_exact(capacity - self.content.len());
        let held_bytes = self.held.as_ref().map_or(0, HeldBytes::bytes);
        self.registered.change(|arriving| {
            (arriving.held_for, arriving.held_bytes) = (Some(held_for), held_bytes);
        });
        Ok(())
    }
}

/// Returns the capacity of a buffer that must hold `length` bytes of up to `most`. It grows with what has arrived, since an
/// announced body may never arrive.
fn next_capacity(capacity: usize, length: usize, most: usize) -> usize {
    let grown = capacity + capacity.min(MAX_GROWTH_BYTES);
    grown.min(most).max(length)
}
