//! Limits on sends to cold servers: this entry's share of the rate of a plain server, and how long a place at a group may
//! be used.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::metrics::Metrics;
use dockwood_api::gateway::ColdStart;
use dockwood_grouping::{ColdLimit, ColdPacing, SendRate, grant_valid_ms};
use dockwood_routing::Millis;
use dockwood_state::{GatewayTables, InstanceRow, Tables};
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// Window over which sends to one server are counted, in milliseconds.
const RATE_WINDOW_MS: Millis = 1_000;

/// Returns until when a place at a group that was requested at `requested_at` may be used; `None` if its validity is
/// unlimited. `is_limited`: the head of the group is cold, or was until recently.
pub fn place_valid_until(
    tables: &GatewayTables,
    service: &str,
    is_limited: bool,
    requested_at: Millis,
) -> Option<Millis> {
    tables.cold_start(service)?;
    Some(requested_at + grant_valid_ms(is_limited))
}

/// This entry's sends to servers that are or may become cold.
#[derive(Debug, Default)]
pub struct ColdServers {
    limit: ColdLimit,
    pacing: Mutex<ColdPacing<String>>,
    /// Times of recent sends to each cold server.
    sends: Mutex<HashMap<String, VecDeque<Millis>>>,
}

impl ColdServers {
    /// Creates the state without any servers. `limit` is by how much the declared rate of a cold server may be exceeded,
    /// `started_at` when this process started.
    pub fn new(limit: ColdLimit, started_at: Millis) -> Self {
        let servers = ColdServers { limit, ..ColdServers::default() };
        lock(&servers.pacing).set_started_at(started_at);
        servers
    }

    /// Returns this entry's share of the rate of a plain server while it is cold.
    pub fn cold_rate(&self, tables: &Tables, cold_start: &ColdStart, server: &str, entry: &str) -> SendRate {
        let live = tables.reachable_daemons().filter(|daemon| daemon.record.frontend.is_some());
        let entries: Vec<&str> = live.map(|daemon| daemon.record.name.as_str()).collect();
        SendRate::of_entry(self.limit.arrivals(cold_start), server, entry, &entries)
    }

    /// Returns the rate for which sends to a plain server are recorded while it is warm: no entry's share is larger.
    pub fn warm_rate(&self, cold_start: &ColdStart) -> SendRate {
        SendRate::of_dispatcher(self.limit.arrivals(cold_start))
    }

    /// Records whether a plain server is cold. It is no longer limited once it is warm: in a slow start, entries whose
    /// share is zero could not send anything.
    pub fn observe(&self, now: Millis, row: &InstanceRow) {
        lock(&self.pacing).observe(now, &row.id, row.is_cold);
    }

    /// Returns whether this entry may send a request to a plain server now.
    pub fn has_capacity(&self, now: Millis, server: &str, rate: SendRate) -> bool {
        lock(&self.pacing).may_send(now, &server.to_string(), rate)
    }

    /// Records a send to a plain server if this entry may send it a request now; returns false otherwise.
    pub fn try_reserve(&self, now: Millis, server: &str, rate: SendRate) -> bool {
        let (mut pacing, server) = (lock(&self.pacing), server.to_string());
        let has_capacity = pacing.may_send(now, &server, rate);
        if has_capacity {
            pacing.record_send(now, &server, rate);
        }
        has_capacity
    }

    /// Returns whether a request may be written to a server now, given the validity of its selection, and counts the
    /// send. Must be called immediately before writing: the process may have been suspended since the selection.
    pub fn may_send(
        &self,
        metrics: &Metrics,
        service: &str,
        server: &str,
        is_cold: bool,
        valid_until: Option<Millis>,
    ) -> bool {
        let now = monotonic_ms();
        if valid_until.is_some_and(|until| now >= until) {
            metrics.cold_limited.with_label_values(&["expired"]).inc();
            return false;
        }
        if is_cold {
            metrics.cold_sends.with_label_values(&[service]).inc();
            let sent = self.record_cold_send(now, server);
            metrics.cold_sends_peak.set(metrics.cold_sends_peak.get().max(sent));
        }
        true
    }

    /// Records a send to a cold server, and returns the number of sends within the last second.
    fn record_cold_send(&self, now: Millis, server: &str) -> i64 {
        let mut sends = lock(&self.sends);
        let sent = sends.entry(server.to_string()).or_default();
        sent.push_back(now);
        sent.retain(|at| now < at + RATE_WINDOW_MS);
        sent.len() as i64
    }

    /// Removes servers that no longer exist, and updates the metrics of cold servers.
    pub fn follow(&self, metrics: &Metrics, tables: &GatewayTables) {
        lock(&self.pacing).retain(|server| tables.instances.contains_key(server));
        let now = monotonic_ms();
        lock(&self.sends).retain(|_, sent| sent.back().is_some_and(|at| now < at + RATE_WINDOW_MS));
        let services = tables.configuration.iter().flat_map(|held| &held.services);
        for service in services.filter(|service| service.cold_start.is_some()) {
            let heads = tables.groups.values().filter(|row| row.serves() && row.head_is_cold);
            let heads = heads.filter(|row| row.service == service.name).count();
            let plain = tables.instances.values().filter(|row| row.is_cold && !row.is_engine());
            let plain = plain.filter(|row| row.service == service.name).count();
            metrics.cold_servers.with_label_values(&[&service.name]).set((heads + plain) as i64);
        }
    }
}
