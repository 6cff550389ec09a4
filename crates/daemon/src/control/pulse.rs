//! Lets the control thread measure how late the calls to this process are handled.

use super::ControlMessage;
use crate::shared::Shared;
use dockwood_control::PULSE_INTERVAL_MS;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Sends pulses at a fixed interval, from the runtime that receives other daemons' calls.
pub async fn run_pulse(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(PULSE_INTERVAL_MS));
    // After a delay, one pulse is enough.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.control.send(ControlMessage::Pulse).await;
    }
}
