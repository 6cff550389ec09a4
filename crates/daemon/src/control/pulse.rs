//! Shows the control thread that this process takes calls in time.

use super::ControlMessage;
use crate::shared::Shared;
use dockwood_control::PULSE_INTERVAL_MS;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Sends pulses for ever, from the runtime that takes other daemons' calls.
pub async fn run_pulse(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(PULSE_INTERVAL_MS));
    // Of pulses that were held up, one is enough.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.control.send(ControlMessage::Pulse).await;
    }
}
