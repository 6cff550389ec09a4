//! The dockwood daemon: answers callers, forwards their requests, and participates in the control plane.
//!
//! One thread owns the control state ([`control`]); other threads handle traffic ([`traffic`], [`http`], [`probe`]).
//! Decisions are made in crates without I/O; this crate provides their clocks, disks and sockets.

pub mod bounded_response;
pub mod caller_memory;
pub mod cli;
pub mod client_metrics;
pub mod client_stream;
pub mod clock;
pub mod connection_line;
pub mod connection_slots;
pub mod content_coding;
pub mod control;
pub mod control_directory;
pub mod dialect;
pub mod framed_response;
pub mod gateway;
pub mod guarded_body;
pub mod header_list;
pub mod http;
pub mod http_connection;
pub mod known_leader;
pub mod line_budget;
pub mod listener_slots;
pub mod lock;
pub mod log_line;
pub mod logging;
pub mod metrics;
pub mod native_dialect;
pub mod pause_detector;
pub mod peer;
pub mod probe;
pub mod process;
pub mod published;
pub mod pushback;
pub mod request_bodies;
pub mod response_framing;
pub mod scope_dispatchers;
pub mod server_connections;
pub mod server_dialer;
pub mod settings;
pub mod shared;
pub mod suspects;
pub mod timeline;
pub mod traffic;
pub mod tunnel;
pub mod unannounced_chunks;
pub mod unread_body;
pub mod watch_hub;
