//! Tunnels to servers: a daemon whose path to a server is cut connects by way of another daemon that reaches it.
//!
//! The other daemon only passes bytes on. The routing of the request, its deadline, its retries and their budget remain
//! with the daemon that received it, and closing the tunnel closes the connection to the server.

mod client;
mod peers;
mod protocol;
mod server;

pub use client::{TunnelStream, open_tunnel};
pub use peers::{NoTunnel, connect_by_tunnel};
pub use protocol::{PREFACE, TunnelReply, TunnelRequest};
pub use server::{is_tunnel, serve_tunnel};
