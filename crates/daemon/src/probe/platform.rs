//! Reads the platform's list of machines. The list lags and is only a hint: liveness is determined by the daemons' own
//! probes, and the list is used only to learn which machines are about to be taken away.

use crate::bounded_response::{MAX_LIST_BYTES, read_json};
use crate::control::ControlMessage;
use crate::framed_response::send_request;
use crate::shared::Shared;
use dockwood_api::engine::PlatformMachine;
use std::sync::Arc;
use std::time::Duration;

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time limit of one request to the platform.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Polls the list while this daemon is the control leader. Never returns.
pub async fn run_platform_reader(shared: Arc<Shared>, http: reqwest::Client) {
    let Some(platform) = shared.settings.platform else { return };
    let url = format!("http://{platform}/platform/machines");
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        if shared.metrics.is_leader.get() == 0 {
            continue;
        }
        let Ok(response) = send_request(http.get(&url).timeout(READ_TIMEOUT)).await else { continue };
        if let Ok(rows) = read_json::<Vec<PlatformMachine>>(response, MAX_LIST_BYTES).await {
            shared.control.send(ControlMessage::PlatformList(rows)).await;
        }
    }
}
