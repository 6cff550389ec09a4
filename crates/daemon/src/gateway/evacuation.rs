//! Evacuated zones: takes the operator's calls, and keeps requests away from the zones' servers.

use super::Gateway;
use super::loads::PlaceQuery;
use crate::peer::{read_revision, submit};
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use dockwood_api::gateway::InstanceState;
use dockwood_api::{ApiError, ResultCode};
use dockwood_routing::gateway::AllowedZones;
use dockwood_state::{CommandBody, GatewayCommand, GatewayTables, GroupPhase, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// Longest name of a zone that the settings don't declare, in bytes: cloud providers' names are a third of that.
const MOST_ZONE_BYTES: usize = 64;

/// Evacuates a zone, or ends its evacuation; acknowledged once it is committed. The call is decided on the zone's
/// generation as it was committed at a moment after the call arrived, and it is never decided anew: its caller may have
/// given it up and have withdrawn it meanwhile, and a caller that still waits repeats it.
pub async fn set_evacuation(
    shared: &Shared,
    zone: String,
    evacuated: bool,
    limit: Duration,
) -> Result<(), ApiError> {
    check_zone(&zone, shared.settings.gateway.as_ref())?;
    let deadline = Instant::now() + limit;
    let left = || deadline.saturating_duration_since(Instant::now());
    let revision = read_revision(shared, left()).await?;
    if !shared.wait_for_revision(revision, left()).await {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the newest revision has not arrived here"));
    }
    let generation = shared.tables().gateway.evacuation_generation(&zone);
    // A process that was stopped meanwhile sees changes that came after its caller had gone on.
    if left().is_zero() {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the call's time has passed"));
    }
    let command = GatewayCommand::SetEvacuation { zone, evacuated, generation };
    match submit(shared, CommandBody::Gateway(command), left()).await? {
        (_, Outcome::Refused(error)) => Err(error),
        _ => Ok(()),
    }
}

/// Whether a name is a zone's: one that the settings declare, or any that looks like one where they declare none.
fn check_zone(zone: &str, settings: Option<&GatewaySettings>) -> Result<(), ApiError> {
    let declared = settings.map(|settings| &settings.zone_regions);
    if declared.is_some_and(|zones| zones.contains_key(zone)) {
        return Ok(());
    }
    let is_usual = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if zone.is_empty() || zone.len() > MOST_ZONE_BYTES || !zone.bytes().all(is_usual) {
        let code = ResultCode::ZoneMalformed;
        return Err(ApiError::new(code, code.meaning()));
    }
    if declared.is_some_and(|zones| !zones.is_empty()) {
        return Err(ApiError::new(ResultCode::ZoneUnknown, format!("the settings declare no zone {zone}")));
    }
    Ok(())
}

/// Whether a request may still be written to a server of a zone. Its server was chosen before the connection was made,
/// and the zone may have been evacuated meanwhile.
pub fn may_write(gateway: &Gateway, zone: &str) -> bool {
    let is_evacuated = gateway.shared.tables().gateway.is_evacuated(zone);
    if is_evacuated {
        gateway.shared.metrics.kept_from_evacuated_zones.with_label_values(&["stopped"]).inc();
    }
    // A process that was stopped while it connected holds old tables, and no lease.
    !is_evacuated && gateway.shared.holds_lease()
}

/// Why no group takes a request.
pub fn no_group_code(tables: &GatewayTables, query: PlaceQuery<'_>) -> ResultCode {
    let open = tables.groups.values().filter(|group| {
        let is_asked_for = group.service == query.service && group.model == query.model;
        is_asked_for && group.phase == GroupPhase::Open && query.zones.contains(&group.zone)
    });
    code_of(tables, open.map(|group| group.zone.as_str()))
}

/// Why no server of a plain service takes a request that may run in these zones.
pub fn no_server_code(tables: &GatewayTables, service: &str, zones: &AllowedZones) -> ResultCode {
    let ready = tables.instances.values().filter(|row| {
        row.service == service && row.state == InstanceState::Ready && zones.contains(&row.zone)
    });
    code_of(tables, ready.map(|row| row.zone.as_str()))
}

/// What is told where none of the servers that stand in these zones takes a request.
fn code_of<'a>(tables: &GatewayTables, zones: impl Iterator<Item = &'a str>) -> ResultCode {
    let mut zones = zones.peekable();
    let are_evacuated = zones.peek().is_some() && zones.all(|zone| tables.is_evacuated(zone));
    if are_evacuated { ResultCode::ZoneEvacuated } else { ResultCode::NoServer }
}
