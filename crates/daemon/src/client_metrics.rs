//! Metrics of what the process holds for clients.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of what the process holds for clients, and of what it refuses them.
#[derive(Clone, Debug)]
pub struct ClientMetrics {
    /// Bytes held, by the share of the memory that they are taken from.
    pub held_bytes: IntGaugeVec,
    /// Times that a share of the memory had too few bytes left.
    pub held_bytes_refused: IntCounterVec,
    /// Bodies of requests that were not read completely, because they came too slowly or for want of memory.
    pub request_bodies_ended: IntCounterVec,
    /// Open connections, by listener.
    pub connections: IntGaugeVec,
    /// Connections that were closed for want of room, by listener and by whether they were open already.
    pub connections_ended: IntCounterVec,
}

impl ClientMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &Registry) -> Result<ClientMetrics, prometheus::Error> {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        Ok(ClientMetrics {
            held_bytes: gauges("dockwood_held_bytes", "Bytes held for clients", &["share"])?,
            held_bytes_refused: counters(
                "dockwood_held_bytes_refused_total",
                "Times that a share of the memory for clients had too few bytes left",
                &["share"],
            )?,
            request_bodies_ended: counters(
                "dockwood_request_bodies_ended_total",
                "Bodies of requests that were not read completely",
                &["reason"],
            )?,
            connections: gauges("dockwood_client_connections", "Open connections of clients", &["listener"])?,
            connections_ended: counters(
                "dockwood_client_connections_ended_total",
                "Connections of clients that were closed for want of room",
                &["listener", "reason"],
            )?,
        })
    }
}
