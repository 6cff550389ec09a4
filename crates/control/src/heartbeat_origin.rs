//! Tells the heartbeats of a registered server from those that only bear its id.
//!
//! A process keeps its service, its address and its location for as long as it runs. A heartbeat that names
//! other ones was therefore sent by a later start of the server, which reports a later start time, or by
//! another writer. A heartbeat of another writer must change nothing: neither the row of the registered
//! server nor the sequence number that the server's own next heartbeat has to exceed.

use crate::Millis;
use dockwood_api::gateway::InstanceReport;
use dockwood_grouping::Observations;
use dockwood_state::{GatewayTables, InstanceRow};
use std::net::SocketAddr;

/// The sender of a heartbeat, compared to the server that is registered under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOrigin {
    /// The registered server, a later start of it, or a server that is not registered yet.
    Registered,
    /// Another writer, while the registered server is sound.
    Foreign,
    /// A server that takes the place of a registered one that is not confirmed.
    Replacement,
}

/// Interval between two records of foreign heartbeats, in milliseconds: their writer may send any number.
const RECORD_INTERVAL_MS: Millis = 10_000;

/// A heartbeat of another writer that was ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignHeartbeat {
    /// The id that it bears.
    pub id: String,
    /// The service that it names.
    pub service: String,
    /// The address that it names.
    pub address: SocketAddr,
}

/// The last foreign heartbeat, as far as it is to be recorded.
#[derive(Debug, Default)]
pub(crate) struct ForeignHeartbeats {
    unrecorded: Option<ForeignHeartbeat>,
    next_record_at: Millis,
}

impl ForeignHeartbeats {
    /// Notes a foreign heartbeat.
    pub fn note(&mut self, now: Millis, report: &InstanceReport) {
        if now < self.next_record_at {
            return;
        }
        self.next_record_at = now + RECORD_INTERVAL_MS;
        let InstanceReport { id, service, address, .. } = report;
        let foreign = ForeignHeartbeat { id: id.clone(), service: service.clone(), address: *address };
        self.unrecorded = Some(foreign);
    }

    /// Takes the heartbeat that is to be recorded now.
    pub fn take_unrecorded(&mut self) -> Option<ForeignHeartbeat> {
        self.unrecorded.take()
    }
}

/// Determines the origin of a heartbeat.
pub(crate) fn heartbeat_origin(
    now: Millis,
    tables: &GatewayTables,
    observations: &Observations,
    report: &InstanceReport,
) -> HeartbeatOrigin {
    let Some(known) = tables.instances.get(&report.id) else { return HeartbeatOrigin::Registered };
    let known_is_usable = is_configured(tables, &known.service);
    let report_is_usable = is_configured(tables, &report.service);
    if known_is_usable && !report_is_usable {
        return HeartbeatOrigin::Foreign;
    }
    if is_same_server(known, report) || started_later(known, report) {
        return HeartbeatOrigin::Registered;
    }
    if known_is_usable == report_is_usable && is_confirmed(now, observations, &report.id) {
        return HeartbeatOrigin::Foreign;
    }
    HeartbeatOrigin::Replacement
}

/// Whether the configuration has a service. Servers register before the first configuration arrives, and
/// before a configuration that adds their service: until then nothing is known of their service.
fn is_configured(tables: &GatewayTables, service: &str) -> bool {
    tables.configuration.as_ref().is_some_and(|configuration| configuration.service(service).is_some())
}

fn is_same_server(known: &InstanceRow, report: &InstanceReport) -> bool {
    known.service == report.service
        && known.address == report.address
        && known.zone == report.zone
        && known.domain == report.domain
}

fn started_later(known: &InstanceRow, report: &InstanceReport) -> bool {
    report.started_ms.zip(known.started_ms).is_some_and(|(reported, known)| reported > known)
}

/// Whether the registered server sent a heartbeat recently.
fn is_confirmed(now: Millis, observations: &Observations, id: &str) -> bool {
    let missing_after_ms = observations.heartbeat().missing_after_ms();
    observations.instance(id).is_some_and(|seen| now < seen.reported_at + missing_after_ms)
}
