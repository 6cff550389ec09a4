//! Probes machines that are in no replica, so that spares are known to work before they are needed.

use super::engine_client::{EngineClient, machine_state};
use super::reporter::Reporter;
use crate::shared::Shared;
use dockwood_api::digest::rendezvous_weight;
use dockwood_state::Tables;
use futures::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between probes of one machine.
const PROBE_EVERY: Duration = Duration::from_millis(1_000);
/// Probes at once.
const PROBES_AT_ONCE: usize = 32;

/// Probes for ever.
pub async fn run_machine_prober(shared: Arc<Shared>, engines: EngineClient, reporter: Arc<Reporter>) {
    let mut ticks = tokio::time::interval(PROBE_EVERY);
    loop {
        ticks.tick().await;
        let tables = shared.tables();
        let own = shared.settings.name.as_str();
        retain_own(&tables, own, &reporter);
        let due: Vec<(String, SocketAddr)> = tables
            .servers()
            .filter(|(server, _)| !is_held(&tables, server) && owner(&tables, server) == Some(own))
            .map(|(server, spec)| (server.to_string(), spec.address))
            .collect();
        let probes = futures::stream::iter(due).map(|(server, address)| {
            let (engines, reporter, shared) = (engines.clone(), reporter.clone(), shared.clone());
            async move {
                probe(&shared, &engines, &reporter, &server, address).await;
            }
        });
        probes.buffer_unordered(PROBES_AT_ONCE).collect::<()>().await;
    }
}

/// Probes one machine and notes the result.
pub(super) async fn probe(
    shared: &Shared,
    engines: &EngineClient,
    reporter: &Reporter,
    server: &str,
    address: SocketAddr,
) -> bool {
    let found = engines.health(address).await;
    let state = match &found {
        Ok(health) => machine_state(health),
        Err(failure) => failure.machine_state(),
    };
    let result = if found.is_ok() { "answered" } else { "failed" };
    shared.metrics.probes.with_label_values(&[result]).inc();
    reporter.machine(server, state);
    found.is_ok()
}

fn is_held(tables: &Tables, server: &str) -> bool {
    tables.machines.get(server).is_some_and(|machine| machine.holder.is_some())
}

/// The live daemon that probes a free machine.
fn owner<'a>(tables: &'a Tables, server: &str) -> Option<&'a str> {
    let names = tables.live_daemons().map(|daemon| daemon.record.name.as_str());
    names.max_by_key(|name| rendezvous_weight(server, name))
}

fn retain_own(tables: &Tables, own: &str, reporter: &Reporter) {
    let owns = |server: &str| match tables.machines.get(server).and_then(|machine| machine.holder.as_ref()) {
        Some(holder) => {
            tables.replicas.get(&holder.replica).is_some_and(|row| row.watcher.as_deref() == Some(own))
        }
        None => owner(tables, server) == Some(own),
    };
    let exists =
        |replica: &str, epoch: u64| tables.replicas.get(replica).is_some_and(|row| row.epoch == epoch);
    reporter.retain(owns, exists);
}
