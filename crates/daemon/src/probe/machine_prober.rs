//! Probes machines outside replicas, so that spare machines are known to be healthy before they are needed.

use super::engine_client::{EngineClient, machine_state};
use super::reporter::Reporter;
use crate::shared::Shared;
use dockwood_api::digest::rendezvous_weight;
use dockwood_state::Tables;
use futures::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between probes of one machine.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent probes.
const MAX_CONCURRENT_PROBES: usize = 32;

/// Probes the machines that this daemon owns. Never returns.
pub async fn run_machine_prober(shared: Arc<Shared>, engines: EngineClient, reporter: Arc<Reporter>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    loop {
        ticks.tick().await;
        let tables = shared.tables();
        let own_name = shared.settings.name.as_str();
        retain_owned(&tables, own_name, &reporter);
        let owned: Vec<(String, SocketAddr)> = tables
            .servers()
            .filter(|(server, _)| !is_in_replica(&tables, server) && owner(&tables, server) == Some(own_name))
            .map(|(server, spec)| (server.to_string(), spec.address))
            .collect();
        let probes = futures::stream::iter(owned).map(|(server, address)| {
            let (engines, reporter, shared) = (engines.clone(), reporter.clone(), shared.clone());
            async move {
                probe(&shared, &engines, &reporter, &server, address).await;
            }
        });
        probes.buffer_unordered(MAX_CONCURRENT_PROBES).collect::<()>().await;
    }
}

/// Probes one machine and records its state. Returns whether it responded.
pub(super) async fn probe(
    shared: &Shared,
    engines: &EngineClient,
    reporter: &Reporter,
    server: &str,
    address: SocketAddr,
) -> bool {
    let health = engines.health(address).await;
    let state = match &health {
        Ok(health) => machine_state(health),
        Err(failure) => failure.machine_state(),
    };
    let result = if health.is_ok() { "answered" } else { "failed" };
    shared.metrics.probes.with_label_values(&[result]).inc();
    reporter.record_machine(server, state);
    health.is_ok()
}

fn is_in_replica(tables: &Tables, server: &str) -> bool {
    tables.machines.get(server).is_some_and(|machine_row| machine_row.holder.is_some())
}

/// Returns the live daemon that probes a machine outside replicas.
fn owner<'a>(tables: &'a Tables, server: &str) -> Option<&'a str> {
    let names = tables.live_daemons().map(|daemon| daemon.record.name.as_str());
    names.max_by_key(|name| rendezvous_weight(server, name))
}

fn retain_owned(tables: &Tables, own_name: &str, reporter: &Reporter) {
    let owns = |server: &str| match tables
        .machines
        .get(server)
        .and_then(|machine_row| machine_row.holder.as_ref())
    {
        Some(holder) => {
            tables.replicas.get(&holder.replica).is_some_and(|row| row.watcher.as_deref() == Some(own_name))
        }
        None => owner(tables, server) == Some(own_name),
    };
    let exists =
        |replica: &str, epoch: u64| tables.replicas.get(replica).is_some_and(|row| row.epoch == epoch);
    reporter.retain(owns, exists);
}
