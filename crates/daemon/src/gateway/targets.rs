//! Servers of plain services: which one takes a request.

use super::{Gateway, lock};
use crate::clock::monotonic_ms;
use dockwood_api::gateway::InstanceState;
use dockwood_routing::CallResult;
use dockwood_state::InstanceRow;
use std::sync::Arc;

/// A server that was picked; the pick is counted until its result is told.
pub struct Picked {
    gateway: Arc<Gateway>,
    /// The server.
    pub row: Arc<InstanceRow>,
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

/// Picks a server of a service that was not tried yet.
pub fn pick(gateway: &Arc<Gateway>, service: &str, limit: u32, tried: &[String]) -> Option<Picked> {
    let tables = gateway.shared.tables();
    let instances = &tables.gateway.instances;
    let eligible: Vec<&str> = instances
        .values()
        .filter(|row| row.service == service && row.state == InstanceState::Ready && !tried.contains(&row.id))
        .filter(|row| !tables.gateway.is_evacuated(&row.zone))
        .map(|row| row.id.as_str())
        .collect();
    let random = [rand::random(), rand::random()];
    let mut pickers = lock(&gateway.pickers);
    let picker = pickers.entry(service.to_string()).or_default();
    let declared: Vec<&str> = instances.keys().map(String::as_str).collect();
    picker.retain(&declared);
    let id = picker.pick(monotonic_ms(), &eligible, limit, random)?;
    let row = instances.get(&id)?.clone();
    Some(Picked { gateway: gateway.clone(), row, result: None, servers: eligible.len() + tried.len() })
}
