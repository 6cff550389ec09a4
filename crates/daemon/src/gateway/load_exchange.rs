//! Tells the control leader of this entry's load, and learns of the others'.

use super::Gateway;
use dockwood_api::peer::PeerClient;
use std::sync::Arc;
use std::time::Duration;

/// Time between two exchanges while requests are in flight.
const BUSY_EVERY: Duration = Duration::from_millis(60);
/// Time between two exchanges otherwise.
const IDLE_EVERY: Duration = Duration::from_millis(600);
/// Least time between two exchanges, however urgent.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
/// How long the leader may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Exchanges for ever. What goes wrong is mended by the next exchange.
pub async fn run(gateway: Arc<Gateway>) {
    let shared = gateway.shared.clone();
    let mut pause = IDLE_EVERY;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.loads.urgent.notified() => {}
        }
        let Some(leader) = shared.leader() else { continue };
        let report = gateway.loads.report(&shared.settings.name);
        let is_busy = shared.in_flight() > 0 || !report.groups.is_empty() || !report.models.is_empty();
        pause = if is_busy { BUSY_EVERY } else { IDLE_EVERY };
        let call = |client: PeerClient, context| async move { client.exchange_load(context, report).await };
        if let Ok(Some(digest)) = shared.peers.call(leader, ANSWER_TIMEOUT, call).await {
            gateway.loads.take_digest(&digest);
        }
        tokio::time::sleep(LEAST_PAUSE).await;
    }
}
