//! Reader of another daemon's connection, which bounds what incomplete frames hold.
//!
//! The codec keeps the bytes of a frame until it is complete. Those of large frames are taken from the memory for clients, since
//! nothing proves before the frame that the other end is a daemon.

use super::transport::transfer_time;
use crate::caller_memory::{CallerMemory, HeldBytes, HeldFor};
use crate::connection_slots::{ConnectionSlot, RequestGuard};
use dockwood_api::peer::MAX_FRAME_BYTES;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Sleep;

/// Size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Bytes of a frame that are not taken from the budget.
const FREE_BYTES: usize = 64 << 10;
/// Bytes that are taken from the budget at a time.
const STEP_BYTES: usize = 64 << 10;
/// Maximum time from the beginning of a frame, or of the connection, to the end of the frame, if that is small.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Reader of another daemon's connection. It fails if a frame takes too long, or if no memory is left for it.
pub struct FrameReader {
    reader: OwnedReadHalf,
    memory: Arc<CallerMemory>,
    slot: Arc<ConnectionSlot>,
    /// Present once a frame was received.
    served: Option<RequestGuard>,
    frame: FrameProgress,
    held: Option<HeldBytes>,
    /// Ends when the current frame must be complete.
    limit: Option<Pin<Box<Sleep>>>,
    /// Length of the current frame, once its time limit takes it into account.
    limited_length: Option<usize>,
}

/// How much of the current frame has been received.
#[derive(Debug, Default)]
struct FrameProgress {
    length: [u8; LENGTH_BYTES],
    length_bytes: usize,
    received: usize,
}

impl FrameProgress {
    /// Adds received bytes; returns whether a frame was completed.
    fn add(&mut self, mut bytes: &[u8]) -> bool {
        let mut is_any_complete = false;
        while !bytes.is_empty() {
            let length_part = bytes.len().min(LENGTH_BYTES - self.length_bytes);
            let (length, rest) = bytes.split_at(length_part);
            self.length[self.length_bytes..self.length_bytes + length_part].copy_from_slice(length);
            self.length_bytes += length_part;
            let Some(frame_length) = self.length() else { return is_any_complete };
            let missing = frame_length - self.received;
            let received = rest.len().min(missing);
            self.received += received;
            if received == missing {
                *self = FrameProgress::default();
                is_any_complete = true;
            }
            bytes = &rest[received..];
        }
        is_any_complete
    }

    /// Returns the length of the frame; `None` if it is not known yet.
    fn length(&self) -> Option<usize> {
        let length = (u32::from_be_bytes(self.length) as usize).min(MAX_FRAME_BYTES);
        (self.length_bytes == LENGTH_BYTES).then_some(length)
    }

    fn is_between_frames(&self) -> bool {
        self.length_bytes == 0
    }
}

impl FrameReader {
    /// Wraps one half of an accepted connection.
    pub fn new(reader: OwnedReadHalf, memory: Arc<CallerMemory>, slot: Arc<ConnectionSlot>) -> FrameReader {
        let limit = Some(Box::pin(tokio::time::sleep(FRAME_TIMEOUT)));
        FrameReader {
            reader,
            memory,
            slot,
            served: None,
            frame: FrameProgress::default(),
            held: None,
            limit,
            limited_length: None,
        }
    }

    /// Records received bytes, and takes as many from the budget as are held for the current frame.
    fn receive(&mut self, bytes: &[u8]) -> Result<()> {
        if self.frame.add(bytes) {
            self.served.get_or_insert_with(|| self.slot.begin_request());
            (self.held, self.limit, self.limited_length) = (None, None, None);
        }
        self.limit_frame();
        self.hold()
    }

    /// Sets the time limit of the current frame when it begins, and again when its length is known.
    fn limit_frame(&mut self) {
        let timeout = match self.frame.length() {
            _ if self.frame.is_between_frames() => return,
            Some(length) if self.limited_length != Some(length) => FRAME_TIMEOUT + transfer_time(length),
            None if self.limit.is_none() => FRAME_TIMEOUT,
            _ => return,
        };
        self.limited_length = self.frame.length();
        self.limit = Some(Box::pin(tokio::time::sleep(timeout)));
    }

    fn hold(&mut self) -> Result<()> {
        let charged = self.frame.received.saturating_sub(FREE_BYTES);
        let most = self.memory.share_bytes(HeldFor::Frames);
        let needed = charged.next_multiple_of(STEP_BYTES).min(most);
        let held = self.held.as_ref().map_or(0, HeldBytes::bytes);
        if needed <= held {
            return Ok(());
        }
        let Some(taken) = self.memory.try_hold(HeldFor::Frames, needed - held) else {
            self.memory.record_refusal(HeldFor::Frames);
            return Err(Error::from(ErrorKind::OutOfMemory));
        };
        match &mut self.held {
            Some(held) => held.merge(taken),
            None => self.held = Some(taken),
        }
        Ok(())
    }
}

impl AsyncRead for FrameReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if let Some(limit) = &mut self.limit
            && limit.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        Poll::Ready(self.receive(&buffer.filled()[filled..]))
    }
}
