//! The transport between daemons: length-delimited frames over TCP, without Nagle's algorithm. Many calls share one
//! connection and some are answered only after a long time, so that a frame must not wait for the response to an
//! earlier one.

use dockwood_api::peer::{MAX_FRAME_BYTES, PostcardCodec};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::{AsyncRead, AsyncWrite};

/// Bytes for each additional millisecond of the time limit of a call: a tenth of a link of 100 Mbit/s, which may be busy with
/// snapshots of the state.
const BYTES_PER_MS: usize = 1_250;

/// Returns the time that a body of this size may take in addition to that of an empty one.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_millis((bytes / BYTES_PER_MS) as u64)
}

/// A connection that sends `Out` and receives `In`.
pub type PeerTransport<Io, In, Out> = Transport<Io, In, Out, PostcardCodec<In, Out>>;

/// Creates the transport on a connected stream, for which Nagle's algorithm must be disabled.
pub fn peer_transport<Io, In, Out>(stream: Io) -> PeerTransport<Io, In, Out>
where
    Io: AsyncRead + AsyncWrite,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    serde_transport::new(framed, PostcardCodec::default())
}
