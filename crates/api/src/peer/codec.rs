//! A `postcard` codec for the `tarpc` transport. Its messages have about half the size of those of the codecs that
//! `tarpc` provides.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio_serde::{Deserializer, Serializer};

/// Maximum size of a frame between daemons, in bytes: several times the size of a snapshot of the largest planned
/// fleet.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Size of the length prefix that the transport adds to each frame, in bytes.
const LENGTH_BYTES: u64 = 4;

static SENT_FRAMES: AtomicU64 = AtomicU64::new(0);
static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_FRAMES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Counts of the frames and bytes that this process has exchanged with other daemons, excluding TCP/IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerVolume {
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

impl PeerVolume {
    /// Returns the counts since the start of the process.
    pub fn now() -> PeerVolume {
        PeerVolume {
            sent_frames: SENT_FRAMES.load(Ordering::Relaxed),
            sent_bytes: SENT_BYTES.load(Ordering::Relaxed),
            received_frames: RECEIVED_FRAMES.load(Ordering::Relaxed),
            received_bytes: RECEIVED_BYTES.load(Ordering::Relaxed),
        }
    }
}

/// Codec that encodes `Out` and decodes `In`.
pub struct PostcardCodec<In, Out> {
    direction: PhantomData<fn(In) -> Out>,
}

impl<In, Out> Default for PostcardCodec<In, Out> {
    fn default() -> Self {
        PostcardCodec { direction: PhantomData }
    }
}

impl<In, Out: Serialize> Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> Result<Bytes, io::Error> {
        let encoded = postcard::to_stdvec(item).map(Bytes::from).map_err(invalid_data)?;
        SENT_FRAMES.fetch_add(1, Ordering::Relaxed);
        SENT_BYTES.fetch_add(encoded.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        Ok(encoded)
    }
}

impl<In: for<'de> Deserialize<'de>, Out> Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<In, io::Error> {
        RECEIVED_FRAMES.fetch_add(1, Ordering::Relaxed);
        RECEIVED_BYTES.fetch_add(source.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        postcard::from_bytes(source).map_err(invalid_data)
    }
}

fn invalid_data(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
