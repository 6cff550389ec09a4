//! Selection of a server of a plain service.

use super::Gateway;
use super::receive::ReceivedRequest;
use super::regions::no_server_in_zones_code;
use super::silent_servers::{SilenceReport, retry_after_silence_ms};
use super::write_permit::Selection;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::pushback::{HeldServers, SendTarget, Unavailable, start_of};
use crate::suspects::SuspectGate;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{ColdStart, InstanceState, ServiceProfile};
use dockwood_grouping::{SendRate, grant_valid_ms};
use dockwood_routing::gateway::{AllowedZones, NewRequest, SilenceAdvice};
use dockwood_routing::{CallResult, Millis};
use dockwood_state::{GatewayTables, InstanceRow, Tables};
use std::sync::Arc;

/// A server that was selected; it counts as a request in flight until it is dropped.
pub struct SelectedServer {
    gateway: Arc<Gateway>,
    /// Row of the server.
    pub row: Arc<InstanceRow>,
    /// The selection expires at this time; `None` if it does not expire.
    pub valid_until: Option<Millis>,
    /// The silence of servers that the selection was based on, if any is silent.
    pub silence: Option<SilenceReport>,
    result: Option<CallResult>,
    servers: usize,
}

impl SelectedServer {
    /// Returns what has to be checked before a request is written to the server.
    pub fn selection(&self) -> Selection<'_> {
        Selection {
            target: SendTarget::instance(&self.row),
            zone: &self.row.zone,
            is_cold: self.row.is_cold,
            valid_until: self.valid_until,
        }
    }

    /// Ends the selection with the result of the call.
    pub fn finish(mut self, result: CallResult) {
        self.result = Some(result);
    }
}

impl Drop for SelectedServer {
    fn drop(&mut self) {
        // A call that was abandoned by its caller does not count as a failure of the server.
        let result = self.result.unwrap_or(CallResult::Answered);
        if let Some(picker) = lock(&self.gateway.pickers).get_mut(&self.row.service) {
            picker.finished(monotonic_ms(), &self.row.id, result, self.servers);
        }
    }
}

/// Returns the ready servers that may be sent a request now, with this entry's rate for them if the service limits
/// sends to cold servers. Only warm servers are returned if there are any, because cold ones are slow and can process
/// few requests.
fn sendable_servers<'a>(
    gateway: &Gateway,
    tables: &Tables,
    cold_start: Option<&ColdStart>,
    ready: &[&'a Arc<InstanceRow>],
) -> Vec<(&'a Arc<InstanceRow>, Option<SendRate>)> {
    let now = monotonic_ms();
    let entry = &gateway.shared.settings.name;
    let Some(cold_start) = cold_start else { return ready.iter().map(|row| (*row, None)).collect() };
    ready.iter().for_each(|row| gateway.cold.observe(now, row));
    let (cold, warm): (Vec<_>, Vec<_>) = ready.iter().partition(|row| row.is_cold);
    if !warm.is_empty() {
        let rate = gateway.cold.warm_rate(cold_start);
        return warm.into_iter().map(|row| (row, Some(rate))).collect();
    }
    let with_rate =
        |row: &'a Arc<InstanceRow>| (row, gateway.cold.cold_rate(tables, cold_start, &row.id, entry));
    let sendable =
        cold.into_iter().map(with_rate).filter(|(row, rate)| gateway.cold.has_capacity(now, &row.id, *rate));
    sendable.map(|(row, rate)| (row, Some(rate))).collect()
}

/// Returns the ready servers of a service in the allowed zones that are not evacuated.
fn ready_servers<'a>(
    tables: &'a GatewayTables,
    service: &str,
    zones: &AllowedZones,
) -> Vec<&'a Arc<InstanceRow>> {
    let may_run = |row: &InstanceRow| zones.contains(&row.zone) && !tables.is_evacuated(&row.zone);
    let is_ready = |row: &InstanceRow| row.service == service && row.state == InstanceState::Ready;
    tables.instances.values().filter(|row| may_run(row) && is_ready(row)).collect()
}

/// Returns the ready servers that are not on hold and have not been tried yet; `Err` with the servers on hold if they
/// are the reason that there is none.
fn servers_without_hold<'a>(
    gateway: &Gateway,
    ready: Vec<&'a Arc<InstanceRow>>,
    tried: &[String],
) -> Result<Vec<&'a Arc<InstanceRow>>, HeldServers> {
    let (mut others, held) = gateway.shared.pushback.split(ready.into_iter(), |row| start_of(row));
    others.retain(|row| !tried.contains(&row.id));
    if others.is_empty() && !held.is_empty() { Err(held) } else { Ok(others) }
}

/// The servers that a request is not sent to.
#[derive(Clone, Copy, Debug)]
pub struct Excluded<'a> {
    /// Servers that were tried before, or that run other suspects.
    pub servers: &'a [String],
    /// Whether one of them has answered the request with an error.
    pub has_answer: bool,
}

/// Selects a server for a request, other than the excluded ones. For a suspect, zones in which it has crashed no server
/// are preferred. `Err` with the reason if there is none.
pub fn select_server(
    gateway: &Arc<Gateway>,
    received: &ReceivedRequest,
    gate: &SuspectGate,
    is_suspect: bool,
    excluded: Excluded<'_>,
) -> Result<SelectedServer, Unavailable> {
    let zones = &received.zones;
    let other_zones = gate.zones_without_crashes(is_suspect, zones);
    let selected = other_zones.and_then(|zones| select_from_zones(gateway, received, &zones, excluded).ok());
    let selected = selected.map_or_else(|| select_from_zones(gateway, received, zones, excluded), Ok);
    selected.map_err(|unavailable| match unavailable {
        Unavailable { code: ResultCode::NoServer, .. } => {
            Unavailable { code: no_server_in_zones_code(gateway, received), ..unavailable }
        }
        other => other,
    })
}

/// Returns those of the eligible servers that respond, or that are to be probed, with the silence of the others; `Err` if
/// all of them are silent and the request is not to be sent. Streams are not considered: they have a search of their own.
fn responsive_servers<'a>(
    gateway: &Gateway,
    received: &ReceivedRequest,
    excluded: Excluded<'a>,
    eligible: Vec<&'a str>,
) -> Result<(Vec<&'a str>, Option<SilenceReport>), Unavailable> {
    if received.is_stream() {
        return Ok((eligible, None));
    }
    let now = monotonic_ms();
    let request = NewRequest {
        now,
        since: gateway.shared.pause_detector.observe(now),
        target_ms: received.route.target_latency_ms,
        tried: excluded.servers,
        has_answer: excluded.has_answer,
    };
    let (servers, silence) = gateway.silent_servers.decide(&received.service.name, &request, &eligible);
    if let Some(report) = silence {
        let metric = &gateway.shared.metrics.silent_servers;
        metric.with_label_values(&[report.advice.name()]).inc();
        if report.advice == SilenceAdvice::Refuse {
            let retry_after_ms = Some(retry_after_silence_ms(received.remaining_ms()));
            return Err(Unavailable { retry_after_ms, silence, ..ResultCode::NoServer.into() });
        }
    }
    Ok((servers, silence))
}

/// Selects a server of a service in the allowed zones that has not been tried yet; `Err` with the reason if there is
/// none.
fn select_from_zones(
    gateway: &Arc<Gateway>,
    received: &ReceivedRequest,
    zones: &AllowedZones,
    excluded: Excluded<'_>,
) -> Result<SelectedServer, Unavailable> {
    let (service, tried): (&ServiceProfile, _) = (&received.service, excluded.servers);
    let tables = gateway.shared.tables();
    let instances = &tables.gateway.instances;
    let cold_start = tables.gateway.cold_start(&service.name);
    let ready = ready_servers(&tables.gateway, &service.name, zones);
    let ready = servers_without_hold(gateway, ready, tried).map_err(HeldServers::refused)?;
    let sendable = sendable_servers(gateway, &tables, cold_start.as_ref(), &ready);
    if sendable.is_empty() && !ready.is_empty() {
        gateway.shared.metrics.cold_limited.with_label_values(&["noShare"]).inc();
        return Err(ResultCode::Overloaded.into());
    }
    let eligible: Vec<&str> = sendable.iter().map(|(row, _)| row.id.as_str()).collect();
    let (responsive, silence) = responsive_servers(gateway, received, excluded, eligible.clone())?;
    let random = [rand::random(), rand::random()];
    let mut pickers = lock(&gateway.pickers);
    let picker = pickers.entry(service.name.clone()).or_default();
    let declared: Vec<&str> = instances.keys().map(String::as_str).collect();
    picker.retain(&declared);
    let id = picker
        .pick(monotonic_ms(), &responsive, service.max_connections, random)
        .ok_or(ResultCode::NoServer)?;
    drop(pickers);
    let (row, rate) = sendable.iter().find(|(row, _)| row.id == id).ok_or(ResultCode::NoServer)?;
    let mut selected = SelectedServer {
        gateway: gateway.clone(),
        row: (*row).clone(),
        valid_until: None,
        silence,
        result: None,
        servers: eligible.len() + tried.len(),
    };
    if let Some(rate) = rate {
        let now = monotonic_ms();
        // Another request may have used this share in the meantime.
        if !gateway.cold.try_reserve(now, &id, *rate) && row.is_cold {
            return Err(ResultCode::Overloaded.into());
        }
        selected.valid_until = Some(now + grant_valid_ms(row.is_cold));
    }
    Ok(selected)
}
