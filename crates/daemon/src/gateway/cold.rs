//! What this entry does about servers that are cold: its part of what a plain server may get, and how long a place that
//! it was given may be used.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::metrics::Metrics;
use dockwood_api::gateway::ColdStart;
use dockwood_grouping::{ColdLimit, ColdPacing, SendRate, grant_valid_ms};
use dockwood_routing::Millis;
use dockwood_state::{GatewayTables, InstanceRow, Tables};
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// The span over which sends to one server are counted, in milliseconds.
const SECOND_MS: Millis = 1_000;

/// Until when a place at a group that was asked for at `asked_at` may be used; `None` if for ever. `is_limited`: its
/// head is cold, or was until a moment ago.
pub fn place_valid_until(
    tables: &GatewayTables,
    service: &str,
    is_limited: bool,
    asked_at: Millis,
) -> Option<Millis> {
    tables.cold_start(service)?;
    Some(asked_at + grant_valid_ms(is_limited))
}

/// The cold servers as this entry treats them.
#[derive(Debug, Default)]
pub struct ColdServers {
    limit: ColdLimit,
    pacing: Mutex<ColdPacing<String>>,
    /// When each cold server was sent requests lately.
    sends: Mutex<HashMap<String, VecDeque<Millis>>>,
}

impl ColdServers {
    /// None is known yet; each may get so much more than it declares.
    pub fn new(limit: ColdLimit) -> Self {
        ColdServers { limit, ..ColdServers::default() }
    }

    /// This entry's part of what a plain server may get while it is cold.
    pub fn cold_rate(&self, tables: &Tables, cold_start: &ColdStart, server: &str, entry: &str) -> SendRate {
        let live = tables.reachable_daemons().filter(|daemon| daemon.record.frontend.is_some());
        let entries: Vec<&str> = live.map(|daemon| daemon.record.name.as_str()).collect();
        SendRate::of_entry(self.limit.arrivals(cold_start), server, entry, &entries)
    }

    /// What is remembered of a plain server's requests while it is warm: no entry's part is larger.
    pub fn warm_rate(&self, cold_start: &ColdStart) -> SendRate {
        SendRate::of_dispatcher(self.limit.arrivals(cold_start))
    }

    /// Notes whether a plain server is cold. It gets everything again once it is warm: in a slow start, entries without
    /// a part of their own could send nothing.
    pub fn observe(&self, now: Millis, row: &InstanceRow) {
        lock(&self.pacing).observe(now, &row.id, row.is_cold);
    }

    /// Whether this entry may send a request to a plain server now.
    pub fn may_give(&self, now: Millis, server: &str, rate: SendRate) -> bool {
        lock(&self.pacing).may_send(now, &server.to_string(), rate)
    }

    /// Notes that a plain server gets a request, if this entry may send it one now.
    pub fn try_give(&self, now: Millis, server: &str, rate: SendRate) -> bool {
        let (mut pacing, server) = (lock(&self.pacing), server.to_string());
        let may_give = pacing.may_send(now, &server, rate);
        if may_give {
            pacing.record_send(now, &server, rate);
        }
        may_give
    }

    /// Whether a request may be written to a server now, with what it was picked under. To be asked at that very
    /// moment: the process may have been stopped since.
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
            let sent = self.sent_within_second(now, server);
            metrics.cold_sends_peak.set(metrics.cold_sends_peak.get().max(sent));
        }
        true
    }

    /// Notes a send to a cold server, and returns how many there were within a second.
    fn sent_within_second(&self, now: Millis, server: &str) -> i64 {
        let mut sends = lock(&self.sends);
        let sent = sends.entry(server.to_string()).or_default();
        sent.push_back(now);
        sent.retain(|at| now < at + SECOND_MS);
        sent.len() as i64
    }

    /// Forgets servers that are gone, and shows how many of the others are cold.
    pub fn follow(&self, metrics: &Metrics, tables: &GatewayTables) {
        lock(&self.pacing).retain(|server| tables.instances.contains_key(server));
        let now = monotonic_ms();
        lock(&self.sends).retain(|_, sent| sent.back().is_some_and(|at| now < at + SECOND_MS));
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
