//! Evacuated zones: handles the operator's calls, and keeps requests away from servers in these zones.

use super::Gateway;
use super::loads::PlaceQuery;
use crate::peer::{read_revision, submit};
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use dockwood_api::gateway::InstanceState;
use dockwood_api::{ApiError, ResultCode};
use dockwood_routing::gateway::{AllowedZones, WithheldReason};
use dockwood_state::{CommandBody, GatewayCommand, GatewayTables, GroupPhase, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a zone name that the settings don't declare, in bytes. Names used by cloud providers are a third as
/// long.
const MAX_ZONE_BYTES: usize = 64;

/// Evacuates a zone, or ends its evacuation; returns once the change is committed. The command carries the zone's
/// generation as committed at some time after the call arrived, and is never retried with a newer one: in the meantime,
/// the caller may have timed out and withdrawn the evacuation. A caller that is still waiting repeats the call.
pub async fn set_evacuation(
    shared: &Shared,
    zone: String,
    evacuated: bool,
    limit: Duration,
) -> Result<(), ApiError> {
    check_zone(&zone, shared.settings.gateway.as_ref())?;
    let deadline = Instant::now() + limit;
    let remaining = || deadline.saturating_duration_since(Instant::now());
    let revision = read_revision(shared, remaining()).await?;
    if !shared.wait_for_revision(revision, remaining()).await {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the newest revision has not arrived here"));
    }
    let generation = shared.tables().gateway.evacuation_generation(&zone);
    // If the process was suspended in the meantime, its tables may contain changes made after the caller timed out.
    if remaining().is_zero() {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the call's time has passed"));
    }
    let command = GatewayCommand::SetEvacuation { zone, evacuated, generation };
    match submit(shared, CommandBody::Gateway(command), remaining()).await? {
        (_, Outcome::Refused(error)) => Err(error),
        _ => Ok(()),
    }
}

/// Checks the name of a zone: it must be declared in the settings, or be well-formed if the settings declare no zones.
fn check_zone(zone: &str, settings: Option<&GatewaySettings>) -> Result<(), ApiError> {
    let declared = settings.map(|settings| &settings.zone_regions);
    if declared.is_some_and(|zones| zones.contains_key(zone)) {
        return Ok(());
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if zone.is_empty() || zone.len() > MAX_ZONE_BYTES || !zone.bytes().all(is_allowed) {
        let code = ResultCode::ZoneMalformed;
        return Err(ApiError::new(code, code.meaning()));
    }
    if declared.is_some_and(|zones| !zones.is_empty()) {
        return Err(ApiError::new(ResultCode::ZoneUnknown, format!("the settings declare no zone {zone}")));
    }
    Ok(())
}

/// Checks that a request may still be written to a server in a zone. The server was selected before the connection was
/// established, and the zone may have been evacuated in the meantime.
pub fn check_zone_and_lease(gateway: &Gateway, zone: &str) -> Result<(), WithheldReason> {
    if gateway.shared.tables().gateway.is_evacuated(zone) {
        gateway.shared.metrics.kept_from_evacuated_zones.with_label_values(&["stopped"]).inc();
        return Err(WithheldReason::ZoneEvacuated);
    }
    // A process that was suspended while it connected has outdated tables, but its lease has expired.
    if gateway.shared.holds_lease() { Ok(()) } else { Err(WithheldReason::NoLease) }
}

/// Returns the result code for a request that no group accepts.
pub fn no_group_code(tables: &GatewayTables, query: PlaceQuery<'_>) -> ResultCode {
    let open = tables.groups.values().filter(|group| {
        let is_requested_model = group.service == query.service && group.model == query.model;
        is_requested_model && group.phase == GroupPhase::Open && query.zones.contains(&group.zone)
    });
    code_for_zones(tables, open.map(|group| group.zone.as_str()))
}

/// Returns the result code for a request to a plain service that no server in these zones accepts.
pub fn no_server_code(tables: &GatewayTables, service: &str, zones: &AllowedZones) -> ResultCode {
    let ready = tables.instances.values().filter(|row| {
        row.service == service && row.state == InstanceState::Ready && zones.contains(&row.zone)
    });
    code_for_zones(tables, ready.map(|row| row.zone.as_str()))
}

/// Returns the result code if none of the servers accepts a request, given the zones of these servers.
fn code_for_zones<'a>(tables: &GatewayTables, zones: impl Iterator<Item = &'a str>) -> ResultCode {
    let mut zones = zones.peekable();
    let all_evacuated = zones.peek().is_some() && zones.all(|zone| tables.is_evacuated(zone));
    if all_evacuated { ResultCode::ZoneEvacuated } else { ResultCode::NoServer }
}
