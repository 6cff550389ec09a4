//! The end of a tunnel at the daemon that reaches the server.

use super::protocol::{PREFACE, TunnelReply, TunnelRequest, frame_codec};
use crate::clock::monotonic_ms;
use crate::gateway::ConnectFault;
use crate::server_connections::{dial_directly, record_connected};
use crate::shared::Shared;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use std::io::{Error, ErrorKind, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

/// Time limit for the request, once the connection is known to be a tunnel.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the first bytes of a connection are looked at again, if only a part of them has arrived.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often they are looked at. The connection may have ended, which peeking does not show.
const MAX_PREFACE_POLLS: u32 = 100;
/// Size of the buffer for the server's bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Returns whether an accepted connection is a tunnel, without taking bytes from it.
pub async fn is_tunnel(stream: &TcpStream) -> bool {
    let mut first = [0; PREFACE.len()];
    for _ in 0..MAX_PREFACE_POLLS {
        let Ok(length) = stream.peek(&mut first).await else { return false };
        if length == 0 || first[..length] != PREFACE[..length] {
            return false;
        }
        if length == PREFACE.len() {
            return true;
        }
        tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
    }
    false
}

/// Serves a tunnel until one of its ends closes it.
pub async fn serve_tunnel(shared: Arc<Shared>, mut stream: TcpStream) {
    let accepted = tokio::time::timeout(REQUEST_TIMEOUT, accept_request(&mut stream)).await;
    // Without a request, there is nobody to reply to.
    let Ok(Ok(request)) = accepted else { return };
    let _in_flight = shared.begin_request();
    let _open = OpenTunnel::begin(&shared);
    // Held until the tunnel is closed.
    let permit = shared.tunnel_permits.try_acquire();
    let connected = match permit {
        Ok(_) => connect(&shared, &request).await,
        Err(_) => Err(TunnelReply::Unavailable),
    };
    let (reply, server) = match connected {
        Ok(server) => (TunnelReply::Connected, Some(server)),
        Err(reply) => (reply, None),
    };
    shared.metrics.tunnels.with_label_values(&[result_name(reply)]).inc();
    let lifetime = Duration::from_millis(request.lifetime_ms);
    // An error of either connection ends both.
    let _ = tokio::time::timeout(lifetime, pass_bytes(stream, reply, server)).await;
}

/// Counts a tunnel as open until it is dropped.
struct OpenTunnel {
    shared: Arc<Shared>,
}

impl OpenTunnel {
    fn begin(shared: &Arc<Shared>) -> OpenTunnel {
        shared.metrics.open_tunnels.inc();
        OpenTunnel { shared: shared.clone() }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.shared.metrics.open_tunnels.dec();
    }
}

fn result_name(reply: TunnelReply) -> &'static str {
    match reply {
        TunnelReply::Connected => "connected",
        TunnelReply::Unavailable => "unavailable",
        TunnelReply::NotReached { .. } => "notReached",
    }
}

async fn accept_request(stream: &mut TcpStream) -> Result<TunnelRequest> {
    let mut preface = [0; PREFACE.len()];
    stream.read_exact(&mut preface).await?;
    let mut frames = Framed::new(stream, frame_codec());
    let frame = frames.next().await.unwrap_or_else(|| Err(Error::from(ErrorKind::UnexpectedEof)))?;
    // The client sends nothing further before the reply, so no bytes are lost with the frames' buffer.
    postcard::from_bytes(&frame).map_err(Error::other)
}

/// Connects to the server, or returns the reply that says why not.
async fn connect(
    shared: &Arc<Shared>,
    request: &TunnelRequest,
) -> std::result::Result<TcpStream, TunnelReply> {
    let tables = shared.tables();
    let is_known = tables.gateway.zone_of_server(request.server).is_some();
    if shared.is_leaving() || !is_known || shared.server_paths().is_cut(request.server) {
        return Err(TunnelReply::Unavailable);
    }
    let limit = Duration::from_millis(request.connect_within_ms);
    let dialed = tokio::time::timeout(limit, dial_directly(shared, request.server)).await;
    match dialed.unwrap_or(Err(ConnectFault::Silent)) {
        Ok(server) => {
            record_connected(shared, request.server);
            Ok(server)
        }
        Err(fault) => {
            let reaches_others = shared.server_paths().reaches_servers(monotonic_ms());
            Err(TunnelReply::NotReached { fault, reaches_others })
        }
    }
}

async fn pass_bytes(stream: TcpStream, reply: TunnelReply, server: Option<TcpStream>) -> Result<()> {
    stream.set_nodelay(true)?;
    let (mut client_reader, client_writer) = stream.into_split();
    let mut frames = FramedWrite::new(client_writer, frame_codec());
    let encoded = postcard::to_stdvec(&reply).map_err(Error::other)?;
    frames.send(Bytes::from(encoded)).await?;
    let Some(server) = server else { return Ok(()) };
    let (server_reader, mut server_writer) = server.into_split();
    tokio::select! {
        // The client has closed the tunnel: the connection to the server is closed with it.
        passed = pass_to_server(&mut client_reader, &mut server_writer) => passed,
        sent = send_frames(server_reader, frames) => sent,
    }
}

/// Passes the client's bytes to the server until the client closes the tunnel.
async fn pass_to_server(
    client: &mut (impl AsyncRead + Unpin),
    server: &mut (impl AsyncWrite + Unpin),
) -> Result<()> {
    if tokio::io::copy(client, server).await.is_err() {
        // The server may have answered and closed the connection before it has read everything: its answer is still sent.
        tokio::io::copy(client, &mut tokio::io::sink()).await?;
    }
    Ok(())
}

/// Sends the server's bytes in frames, and an empty one after its last bytes.
async fn send_frames<Reader, Writer>(
    mut reader: Reader,
    mut frames: FramedWrite<Writer, LengthDelimitedCodec>,
) -> Result<()>
where
    Reader: AsyncRead + Unpin,
    Writer: AsyncWrite + Unpin,
{
    loop {
        let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
        let length = reader.read_buf(&mut buffer).await?;
        frames.send(buffer.freeze()).await?;
        if length == 0 {
            return SinkExt::<Bytes>::close(&mut frames).await;
        }
    }
}
