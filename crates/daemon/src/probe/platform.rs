//! Reads the platform's list. It lags, so it is a hint only: liveness comes from our own probes, and from the
//! list no more than which machines are about to be taken away.

use crate::control::ControlMessage;
use crate::shared::Shared;
use dockwood_api::engine::PlatformMachine;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks.
const READ_EVERY: Duration = Duration::from_millis(1_000);
/// How long the platform may take.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads for ever, while this daemon leads.
pub async fn run_platform_reader(shared: Arc<Shared>, http: reqwest::Client) {
    let Some(platform) = shared.settings.platform else { return };
    let url = format!("http://{platform}/platform/machines");
    let mut ticks = tokio::time::interval(READ_EVERY);
    loop {
        ticks.tick().await;
        if shared.metrics.is_leader.get() == 0 {
            continue;
        }
        let Ok(response) = http.get(&url).timeout(READ_TIMEOUT).send().await else { continue };
        if let Ok(rows) = response.json::<Vec<PlatformMachine>>().await {
            shared.control.send(ControlMessage::PlatformList(rows)).await;
        }
    }
}
