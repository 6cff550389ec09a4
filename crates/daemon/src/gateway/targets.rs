//! Servers of plain services: which one takes a request.

use super::Gateway;
use super::receive::Received;
use super::regions::none_serves;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::pushback::{HeldServers, Unavailable, start_of};
use crate::suspects::SuspectGate;
use dockwood_api::ResultCode;
use dockwood_api::gateway::{ColdStart, InstanceState, ServiceProfile};
use dockwood_grouping::{SendRate, grant_valid_ms};
use dockwood_routing::gateway::AllowedZones;
use dockwood_routing::{CallResult, Millis};
use dockwood_state::{GatewayTables, InstanceRow, Tables};
use std::sync::Arc;

/// A server that was picked; the pick is counted until its result is told.
pub struct Picked {
    gateway: Arc<Gateway>,
    /// The server.
    pub row: Arc<InstanceRow>,
    /// Nothing may be sent from then on; `None` if the pick may be used at any time.
    pub valid_until: Option<Millis>,
    result: Option<CallResult>,
    servers: usize,
}

impl Picked {
    /// Notes how the call ended.
    pub fn ended(mut self, result: CallResult) {
        self.result = Some(result);
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        // A call that its caller gave up tells nothing against the server.
        let result = self.result.unwrap_or(CallResult::Answered);
        if let Some(picker) = lock(&self.gateway.pickers).get_mut(&self.row.service) {
            picker.finished(monotonic_ms(), &self.row.id, result, self.servers);
        }
    }
}

/// Which servers of a service may take a request now, with what this entry may send them while they are cold. Warm ones
/// where there are any: cold ones are slow, and bear little.
fn open_servers<'a>(
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
    let open =
        cold.into_iter().map(with_rate).filter(|(row, rate)| gateway.cold.may_give(now, &row.id, *rate));
    open.map(|(row, rate)| (row, Some(rate))).collect()
}

/// Servers of a service that may run the request.
fn ready_servers<'a>(
    tables: &'a GatewayTables,
    service: &str,
    zones: &AllowedZones,
) -> Vec<&'a Arc<InstanceRow>> {
    let may_run = |row: &InstanceRow| zones.contains(&row.zone) && !tables.is_evacuated(&row.zone);
    let is_ready = |row: &InstanceRow| row.service == service && row.state == InstanceState::Ready;
    tables.instances.values().filter(|row| may_run(row) && is_ready(row)).collect()
}

/// Those of a service's servers that may be asked and were not tried yet; else those that rest or leave, where that is why
/// there is none.
fn not_held<'a>(
    gateway: &Gateway,
    ready: Vec<&'a Arc<InstanceRow>>,
    tried: &[String],
) -> Result<Vec<&'a Arc<InstanceRow>>, HeldServers> {
    let (mut others, held) = gateway.shared.pushback.split(ready.into_iter(), |row| start_of(row));
    others.retain(|row| !tried.contains(&row.id));
    if others.is_empty() && !held.is_empty() { Err(held) } else { Ok(others) }
}

/// Picks a server for a request, none of `passed_over`: for a suspect, in a zone where no server has ended under it if
/// there is one; else why there is none.
pub fn pick_for(
    gateway: &Arc<Gateway>,
    received: &Received,
    gate: &SuspectGate,
    is_suspect: bool,
    passed_over: &[String],
) -> Result<Picked, Unavailable> {
    let (service, zones) = (&received.service, &received.zones);
    let elsewhere = gate.zones_without_crashes(is_suspect, zones);
    let picked = elsewhere.and_then(|zones| pick(gateway, service, &zones, passed_over).ok());
    let picked = picked.map_or_else(|| pick(gateway, service, zones, passed_over), Ok);
    picked.map_err(|unavailable| match unavailable {
        Unavailable { code: ResultCode::NoServer, held, .. } => {
            Unavailable { held, ..none_serves(gateway, received).into() }
        }
        other => other,
    })
}

/// Picks a server of a service that may run the request and was not tried yet; else why there is none.
fn pick(
    gateway: &Arc<Gateway>,
    service: &ServiceProfile,
    zones: &AllowedZones,
    tried: &[String],
) -> Result<Picked, Unavailable> {
    let tables = gateway.shared.tables();
    let instances = &tables.gateway.instances;
    let cold_start = tables.gateway.cold_start(&service.name);
    let ready = ready_servers(&tables.gateway, &service.name, zones);
    let ready = not_held(gateway, ready, tried).map_err(HeldServers::refused)?;
    let open = open_servers(gateway, &tables, cold_start.as_ref(), &ready);
    if open.is_empty() && !ready.is_empty() {
        gateway.shared.metrics.cold_limited.with_label_values(&["noShare"]).inc();
        return Err(ResultCode::Overloaded.into());
    }
    let eligible: Vec<&str> = open.iter().map(|(row, _)| row.id.as_str()).collect();
    let random = [rand::random(), rand::random()];
    let mut pickers = lock(&gateway.pickers);
    let picker = pickers.entry(service.name.clone()).or_default();
    let declared: Vec<&str> = instances.keys().map(String::as_str).collect();
    picker.retain(&declared);
    let id = picker
        .pick(monotonic_ms(), &eligible, service.max_connections, random)
        .ok_or(ResultCode::NoServer)?;
    drop(pickers);
    let (row, rate) = open.iter().find(|(row, _)| row.id == id).ok_or(ResultCode::NoServer)?;
    let mut picked = Picked {
        gateway: gateway.clone(),
        row: (*row).clone(),
        valid_until: None,
        result: None,
        servers: eligible.len() + tried.len(),
    };
    if let Some(rate) = rate {
        let now = monotonic_ms();
        // Another request may have got this turn since it was looked for.
        if !gateway.cold.try_give(now, &id, *rate) && row.is_cold {
            return Err(ResultCode::Overloaded.into());
        }
        picked.valid_until = Some(now + grant_valid_ms(row.is_cold));
    }
    Ok(picked)
}
