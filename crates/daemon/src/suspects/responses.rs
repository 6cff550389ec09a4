//! Reports complete responses to requests whose prompts contain suspected parts: evidence that these parts do not crash
//! servers.

use super::process_check::{ProcessCheck, check_process};
use crate::clock::wall_ms;
use crate::lock::lock;
use crate::peer::submit;
use crate::shared::Shared;
use dockwood_api::gateway::PromptPart;
use dockwood_state::{CommandBody, GatewayCommand};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A response is evidence once its server has outlived it by this time: a short response may be complete before the server
/// crashes.
const OUTLIVED_BY: Duration = Duration::from_millis(300);
/// The reports of all daemons are spread over this time per daemon, so that most of them learn from another one's report that
/// theirs is no longer needed.
const SPREAD_PER_DAEMON: Duration = Duration::from_millis(1);
/// Time limit of one report. If it is lost, the next response is reported.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of responses with the same part that are observed at the same time: more than one, because a server may
/// crash for another reason meanwhile.
const MAX_OBSERVED_PER_PART: u32 = 4;

/// Number of responses whose servers are being observed, by part.
#[derive(Debug, Default)]
pub struct ObservedResponses {
    by_part: Mutex<HashMap<PromptPart, u32>>,
}

impl ObservedResponses {
    /// Counts one more response with these parts, and returns those that are not observed often enough already.
    fn begin(&self, parts: Vec<PromptPart>) -> Vec<PromptPart> {
        let mut by_part = lock(&self.by_part);
        let is_needed =
            |part: &PromptPart| by_part.get(part).is_none_or(|count| *count < MAX_OBSERVED_PER_PART);
        let needed: Vec<PromptPart> = parts.into_iter().filter(is_needed).collect();
        needed.iter().for_each(|part| *by_part.entry(part.clone()).or_default() += 1);
        needed
    }

    fn end(&self, parts: &[PromptPart]) {
        let mut by_part = lock(&self.by_part);
        for part in parts {
            if let Some(count) = by_part.get_mut(part) {
                *count -= 1;
            }
        }
        by_part.retain(|_, count| *count > 0);
    }
}

/// Reports a complete response that the server at `address` has just sent, if any part of its prompt is suspected.
pub fn report_response(shared: &Arc<Shared>, shared_parts: &[PromptPart], address: SocketAddr) {
    let tables = shared.tables();
    let known_crash = tables.gateway.prompt_suspicion.last_crash;
    let suspected = still_needed(shared, shared_parts);
    let parts = shared.suspects.observed_responses.begin(suspected);
    if parts.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        observe_and_report(&shared, &parts, known_crash, address).await;
        shared.suspects.observed_responses.end(&parts);
    });
}

/// The parts for which the tables need complete responses.
fn still_needed(shared: &Shared, parts: &[PromptPart]) -> Vec<PromptPart> {
    let tables = shared.tables();
    tables.gateway.prompt_suspicion.parts_that_need_responses(parts)
}

async fn observe_and_report(
    shared: &Arc<Shared>,
    parts: &[PromptPart],
    known_crash: u64,
    address: SocketAddr,
) {
    let daemons = shared.tables().reachable_daemons().count() as u32;
    let spread = (SPREAD_PER_DAEMON * daemons).mul_f64(rand::random::<f64>());
    tokio::time::sleep(OUTLIVED_BY + spread).await;
    let check = check_process(shared.server_dialer.as_ref(), address).await;
    if !matches!(check, ProcessCheck::Connected(_)) {
        return;
    }
    let parts = still_needed(shared, parts);
    if parts.is_empty() {
        return;
    }
    let command = GatewayCommand::RecordResponse {
        parts,
        known_crash,
        daemon: shared.settings.name.clone(),
        at_ms: wall_ms(),
    };
    let step = match submit(shared, CommandBody::Gateway(command), REPORT_TIMEOUT).await {
        Ok(_) => "responseReported",
        Err(_) => "responseReportFailed",
    };
    shared.metrics.suspect_steps.with_label_values(&[step]).inc();
}
