//! What is exchanged on a tunnel's connection.
//!
//! The connection is made to the peer address of the other daemon. It begins with [`PREFACE`] and a frame with a
//! [`TunnelRequest`], which is answered with a frame with a [`TunnelReply`]. After [`TunnelReply::Connected`], the client's
//! bytes follow as they are, and the server's bytes in frames that are not empty. An empty frame says that the server closed
//! its connection properly; without it, the end of the connection is an error, so that a response without a length is
//! never taken for complete because a daemon has ended.

use crate::gateway::ConnectFault;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio_util::codec::LengthDelimitedCodec;

/// First bytes of a connection that is a tunnel. As the length of a frame they exceed the maximum, so a daemon that does
/// not know of tunnels closes the connection.
pub const PREFACE: &[u8; 8] = b"dwtunnel";
/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Address of the server.
    pub server: SocketAddr,
    /// Maximum time to connect to it, in milliseconds.
    pub connect_within_ms: u64,
    /// The tunnel is closed after this time, in milliseconds.
    pub lifetime_ms: u64,
}

/// Reply to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The server is connected.
    Connected,
    /// This daemon provides no tunnel now: it is shutting down, is cut off as well, does not know the server, or has
    /// too many tunnels.
    Unavailable,
    /// This daemon does not reach the server.
    NotReached {
        /// Why.
        fault: ConnectFault,
        /// Whether this daemon has recently reached any server, and thus is not cut off from all.
        reaches_others: bool,
    },
}

/// Returns the codec of the frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
