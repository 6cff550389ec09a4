//! Connects to servers: directly, or by a tunnel through another daemon while the direct path is cut.

use crate::clock::monotonic_ms;
use crate::gateway::ConnectFault;
use crate::shared::Shared;
use crate::suspects::is_refusal;
use crate::tunnel::{NoTunnel, TunnelStream, connect_by_tunnel};
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_routing::gateway::{CutOffChange, PathPlan};
use futures::future::{Either, select};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// If a direct connection is not established after this time, a tunnel is tried as well: longer than a connection
/// between regions takes.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);

/// A connection to a server.
pub enum ServerStream {
    /// A direct connection.
    Direct(TcpStream),
    /// A connection through another daemon.
    Tunnel(TunnelStream),
}

/// Connects to a server. `lifetime` is how long the connection is needed at most.
///
/// # Errors
/// Why no connection was established.
pub async fn connect_to_server(
    shared: &Arc<Shared>,
    server: SocketAddr,
    lifetime: Duration,
) -> Result<ServerStream, ConnectFault> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect_by_plan(shared, server, lifetime)).await;
    let result = connected.unwrap_or(Err(ConnectFault::Silent));
    let path = match &result {
        Ok(ServerStream::Direct(_)) => "direct",
        Ok(ServerStream::Tunnel(_)) => "tunnel",
        Err(_) => "none",
    };
    shared.metrics.server_connections.with_label_values(&[path]).inc();
    result
}

async fn connect_by_plan(
    shared: &Arc<Shared>,
    server: SocketAddr,
    lifetime: Duration,
) -> Result<ServerStream, ConnectFault> {
    let plan = shared.server_paths().plan(monotonic_ms(), server);
    let PathPlan::Tunnel { check_direct } = plan else {
        return connect_directly_first(shared, server, lifetime).await;
    };
    if check_direct {
        tokio::spawn(check_direct_path(shared.clone(), server));
    }
    match try_tunnel(shared, server, lifetime).await {
        Ok(stream) => Ok(ServerStream::Tunnel(stream)),
        Err(_) => connect_directly(shared, server).await,
    }
}

/// Connects directly, and by a tunnel if that fails or takes too long.
async fn connect_directly_first(
    shared: &Arc<Shared>,
    server: SocketAddr,
    lifetime: Duration,
) -> Result<ServerStream, ConnectFault> {
    let by_tunnel = async { try_tunnel(shared, server, lifetime).await.map(ServerStream::Tunnel) };
    let (mut direct, by_tunnel) = (pin!(connect_directly(shared, server)), pin!(by_tunnel));
    match tokio::time::timeout(TUNNEL_DELAY, direct.as_mut()).await {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(Err(fault)) => return by_tunnel.await.map_err(|_| fault),
        Err(_) => {}
    }
    match select(direct, by_tunnel).await {
        Either::Left((Ok(stream), _)) | Either::Right((Ok(stream), _)) => Ok(stream),
        Either::Left((Err(fault), by_tunnel)) => by_tunnel.await.map_err(|_| fault),
        Either::Right((Err(_), direct)) => direct.await,
    }
}

async fn connect_directly(shared: &Arc<Shared>, server: SocketAddr) -> Result<ServerStream, ConnectFault> {
    let stream = dial_directly(shared, server).await?;
    record_connected(shared, server);
    Ok(ServerStream::Direct(stream))
}

/// Establishes a direct connection.
///
/// # Errors
/// Why the connection failed; it may take indefinitely.
pub async fn dial_directly(shared: &Shared, server: SocketAddr) -> Result<TcpStream, ConnectFault> {
    let stream = shared.server_dialer.dial(server).await.map_err(|error| match is_refusal(&error) {
        true => ConnectFault::Refused,
        false => ConnectFault::Failed,
    })?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Opens a tunnel to a server that this daemon does not reach, and records what it shows of the path.
async fn try_tunnel(
    shared: &Arc<Shared>,
    server: SocketAddr,
    lifetime: Duration,
) -> Result<TunnelStream, NoTunnel> {
    let begun_at = monotonic_ms();
    if !shared.server_paths().may_tunnel(begun_at, server) {
        return Err(NoTunnel::ServerNotReached);
    }
    let result = connect_by_tunnel(shared, server, lifetime).await;
    match &result {
        Ok(_) => {
            let change = shared.server_paths().tunnelled(monotonic_ms(), begun_at, server);
            record_change(shared, change);
        }
        Err(NoTunnel::ServerNotReached) => shared.server_paths().unreachable(monotonic_ms(), server),
        Err(NoTunnel::NoPeer) => {}
    }
    result
}

async fn check_direct_path(shared: Arc<Shared>, server: SocketAddr) {
    // A check that fails leaves the path as it is known.
    let _ = tokio::time::timeout(CONNECT_TIMEOUT, connect_directly(&shared, server)).await;
}

/// Returns whether another daemon reaches a server that this one does not reach: then the path to it is cut, and the
/// server has not ended.
pub async fn is_reached_by_others(shared: &Arc<Shared>, server: SocketAddr) -> bool {
    let reached = tokio::time::timeout(CONNECT_TIMEOUT, try_tunnel(shared, server, CONNECT_TIMEOUT)).await;
    reached.is_ok_and(|tunnel| tunnel.is_ok())
}

/// Records that a direct connection to a server was established.
pub fn record_connected(shared: &Shared, server: SocketAddr) {
    let change = shared.server_paths().connected(monotonic_ms(), server);
    record_change(shared, change);
}

fn record_change(shared: &Shared, change: Option<CutOffChange>) {
    let Some(change) = change else { return };
    let (reason, message) = match change {
        CutOffChange::CutOff => ("CutOff", "other daemons reach the servers that this one does not reach"),
        CutOffChange::Restored => ("CutOffEnded", "this daemon reaches servers again"),
    };
    set_cut_off_metric(shared);
    let subject = Subject::new("daemon", &shared.settings.name);
    shared.timeline.record(subject, reason, message, None, ResultCode::Ok);
}

/// Sets the metric to the current state, as changes that follow each other closely may be recorded in any order.
fn set_cut_off_metric(shared: &Shared) {
    let paths = shared.server_paths();
    shared.metrics.cut_off.set(i64::from(paths.is_cut_off()));
}
