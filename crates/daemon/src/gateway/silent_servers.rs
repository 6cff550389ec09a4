//! Calls of this entry to the servers of plain services, by which it knows which of them are silent.

use super::Gateway;
use super::responses::RETRY_SOON_MS;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use dockwood_routing::Millis;
use dockwood_routing::gateway::{
    Awaited, CallEnd, NewRequest, ServerCall, ServiceSilence, SilenceAdvice, SilenceEvidence,
};
use dockwood_state::GatewayTables;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The retry time of a caller that is refused because all servers are silent, as a divisor of its remaining time. Later
/// is better, as the servers have had more time to respond again; what is left has to suffice for the retry.
const RETRY_TIME_DIVISOR: Millis = 3;
/// Longest such retry time, in milliseconds.
const MAX_RETRY_MS: Millis = 1_000;

/// The silence of servers that a decision on a request was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceReport {
    /// What was decided.
    pub advice: SilenceAdvice,
    /// The reasons.
    pub evidence: SilenceEvidence,
}

/// A decision on a request while servers did not respond to earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SilenceLine {
    /// The decision.
    pub decision: &'static str,
    /// Servers that could take the request, or were tried for it before.
    pub servers: usize,
    /// Those of them that are silent.
    pub silent: usize,
    /// Calls to them whose response is overdue.
    pub overdue_calls: usize,
    /// Time without a response from any of the servers, in milliseconds.
    pub quiet_ms: u64,
    /// Time after which a response to the request would be overdue, in milliseconds.
    pub overdue_after_ms: u64,
}

impl From<SilenceReport> for SilenceLine {
    fn from(report: SilenceReport) -> SilenceLine {
        let evidence = report.evidence;
        SilenceLine {
            decision: report.advice.name(),
            servers: evidence.servers,
            silent: evidence.silent,
            overdue_calls: evidence.overdue_calls,
            quiet_ms: evidence.quiet_ms,
            overdue_after_ms: evidence.overdue_after_ms,
        }
    }
}

/// What is known of the silence of servers, by service.
#[derive(Default)]
pub struct SilentServers {
    services: Mutex<HashMap<String, ServiceSilence>>,
}

impl SilentServers {
    /// Decides which of the eligible servers of a service a request may be sent to. The report is `None` if none of them
    /// is silent.
    pub fn decide<'a>(
        &self,
        service: &str,
        request: &NewRequest<'a>,
        eligible: &[&'a str],
    ) -> (Vec<&'a str>, Option<SilenceReport>) {
        let services = lock(&self.services);
        let Some(silence) = services.get(service) else { return (eligible.to_vec(), None) };
        let decision = silence.decide(request, eligible);
        let report = SilenceReport { advice: decision.advice, evidence: decision.evidence };
        (decision.servers, (report.evidence.silent > 0).then_some(report))
    }

    /// Forgets servers that are no longer registered.
    pub fn follow(&self, tables: &GatewayTables) {
        let mut services = lock(&self.services);
        services
            .values_mut()
            .for_each(|silence| silence.retain(|server| tables.instances.contains_key(server)));
        services.retain(|_, silence| !silence.is_empty());
    }
}

/// Returns the retry time of a caller that is refused because all servers are silent.
pub fn retry_after_silence_ms(remaining_ms: Millis) -> Millis {
    (remaining_ms / RETRY_TIME_DIVISOR).clamp(RETRY_SOON_MS, MAX_RETRY_MS)
}

/// A call to a server. If it is dropped before its end is recorded, it was given up without a response.
pub struct CallWatch {
    gateway: Arc<Gateway>,
    service: String,
    server: String,
    call: ServerCall,
    end: CallEnd,
}

impl CallWatch {
    /// Records that a call to a server begins.
    pub fn begin(gateway: &Arc<Gateway>, service: &str, server: &str, awaited: Awaited) -> CallWatch {
        let mut services = lock(&gateway.silent_servers.services);
        let silence = services.entry(service.to_string()).or_default();
        let call = silence.begin(monotonic_ms(), server, awaited);
        CallWatch {
            gateway: gateway.clone(),
            service: service.to_string(),
            server: server.to_string(),
            call,
            end: CallEnd::Unanswered,
        }
    }

    /// Records how the call ended.
    pub fn finish(mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for CallWatch {
    fn drop(&mut self) {
        if let Some(silence) = lock(&self.gateway.silent_servers.services).get_mut(&self.service) {
            silence.end(monotonic_ms(), &self.server, self.call, self.end);
        }
    }
}
