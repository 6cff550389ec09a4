//! Divides the connections that clients may have open among the listeners of a process.

use crate::client_metrics::ClientMetrics;
use crate::connection_slots::{ConnectionSlots, SlotMetrics};
use crate::settings::Settings;
use std::sync::Arc;

/// Memory of a connection whose client sends as much of a head as it may, in bytes, without that head.
const CONNECTION_BYTES: usize = 40 << 10;
/// Share of the memory of the process for connections, in sixteenths.
const MEMORY_SHARE_SIXTEENTHS: usize = 5;
/// Clients' connections may take one in so many file descriptors; the rest is for servers, other daemons and files.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// Other daemons' connections may take one in so many descriptors.
const DESCRIPTORS_PER_PEER: usize = 3;
/// Minimum number of connections at a listener.
const MIN_CONNECTIONS: usize = 8;

/// Shares of the listeners. The main listener of a process has most connections.
const MAIN_SHARE: usize = 10;
const DIRECTORY_SHARE: usize = 2;
const SMALL_SHARE: usize = 1;

/// Slots of each listener.
#[derive(Debug)]
pub struct ListenerSlots {
    /// Callers' requests.
    pub frontend: Arc<ConnectionSlots>,
    /// Operators' calls and servers' reports.
    pub operators: Arc<ConnectionSlots>,
    /// Directory queries.
    pub directory: Arc<ConnectionSlots>,
    /// Readiness checks.
    pub readiness: Arc<ConnectionSlots>,
    /// Resource API and dockwood's own interface for callers.
    pub http: Arc<ConnectionSlots>,
    /// Other daemons.
    pub peers: Arc<ConnectionSlots>,
}

impl ListenerSlots {
    /// Divides the connections of a process with these settings.
    pub fn new(settings: &Settings, metrics: &ClientMetrics) -> ListenerSlots {
        let gateway = settings.gateway.as_ref();
        let share = |listens: Option<bool>, share: usize| if listens == Some(true) { share } else { 0 };
        let frontend = share(gateway.map(|gateway| gateway.frontend.is_some()), MAIN_SHARE);
        let operators = share(gateway.map(|gateway| gateway.operators.is_some()), MAIN_SHARE);
        let directory = share(gateway.map(|gateway| gateway.directory.is_some()), DIRECTORY_SHARE);
        let readiness = share(gateway.map(|gateway| gateway.readiness.is_some()), SMALL_SHARE);
        // Without a gateway, callers use dockwood's own interface.
        let http = if gateway.is_some() { SMALL_SHARE } else { MAIN_SHARE };
        let shares = frontend + operators + directory + readiness + http;
        let connections = max_connections(settings);
        let slots = |listener: &str, share: usize| {
            let limit = (connections * share / shares).max(MIN_CONNECTIONS);
            ConnectionSlots::new(limit, SlotMetrics::of(metrics, listener))
        };
        ListenerSlots {
            frontend: slots("frontend", frontend),
            operators: slots("operators", operators),
            directory: slots("directory", directory),
            readiness: slots("readiness", readiness),
            http: slots("http", http),
            peers: ConnectionSlots::new(max_peers(settings), SlotMetrics::of(metrics, "peers")),
        }
    }
}

impl SlotMetrics {
    fn of(metrics: &ClientMetrics, listener: &str) -> SlotMetrics {
        SlotMetrics {
            open: metrics.connections.with_label_values(&[listener]),
            displaced: metrics.connections_ended.with_label_values(&[listener, "displaced"]),
            refused: metrics.connections_ended.with_label_values(&[listener, "refused"]),
        }
    }
}

/// Returns the number of connections for which a process has memory and descriptors.
fn max_connections(settings: &Settings) -> usize {
    let limits = settings.limits;
    let memory_bytes = limits.memory_sixteenths(MEMORY_SHARE_SIXTEENTHS);
    let for_memory = memory_bytes / (CONNECTION_BYTES + limits.head_bytes);
    for_memory.min(limits.file_descriptors / DESCRIPTORS_PER_CONNECTION)
}

fn max_peers(settings: &Settings) -> usize {
    (settings.limits.file_descriptors / DESCRIPTORS_PER_PEER).max(MIN_CONNECTIONS)
}
