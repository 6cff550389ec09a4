//! Silence of the servers of a plain service, as one daemon sees it: which servers have left its calls without a response for
//! longer than expected, and what that means for a new request.
//!
//! A response to a call shows that the server responds; calls to the same server that began earlier are then merely slow,
//! and are evidence no more. Calls that began later count from the response on.

use super::recent_times::RecentTimes;
use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// A response is overdue after this many times the median of the recent ones, if that is longer than its latency target.
const MEDIAN_FACTOR: Millis = 3;
/// A connection that is not established within this time is overdue: longer than one between regions takes.
const CONNECTION_OVERDUE_MS: Millis = 100;
/// Number of overdue calls, at all servers together, from which on new requests are refused. A few slow requests at servers
/// that are otherwise idle are no reason to refuse others.
const MIN_OVERDUE_TO_REFUSE: usize = 3;
/// New requests are refused once no server has responded for this many times as long as a response may take.
const REFUSE_AFTER_TIMES: Millis = 2;
/// While servers are silent, one request is sent to them in this time, to find out whether they respond again.
const PROBE_INTERVAL_MS: Millis = 500;
/// A call that has waited for this long may never be answered, though its server responds to others.
const LOST_RESPONSE_MS: Millis = 2_000;
/// Number of calls per server that ended without a response and are kept as evidence.
const MAX_ENDED_CALLS: usize = 4;

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// A connection.
    Connection,
    /// The head of the response to a request with this latency target, in milliseconds.
    Response {
        /// The latency target.
        target_ms: Millis,
    },
}

/// How a call ended, as far as it tells whether the server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The server responded.
    Responded,
    /// The connection was established, refused or broken, which the server's machine does by itself.
    Inconclusive,
    /// It was given up without a response.
    Unanswered,
}

/// A call of this daemon to a server, from its begin to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCall {
    number: u64,
    begun_at: Millis,
    awaited: Awaited,
}

/// A call that ended without a response.
#[derive(Clone, Copy, Debug)]
struct EndedCall {
    call: ServerCall,
    ended_at: Millis,
}

/// Calls to one server.
#[derive(Clone, Debug, Default)]
struct ServerCalls {
    /// Calls without a response that no later call has overtaken.
    waiting: BTreeMap<u64, ServerCall>,
    /// Calls that ended without a response since the last response.
    ended: VecDeque<EndedCall>,
    responded_at: Millis,
    newest_begun_at: Millis,
}

impl ServerCalls {
    fn end(&mut self, now: Millis, call: ServerCall, end: CallEnd) {
        let was_waiting = self.waiting.remove(&call.number).is_some();
        match end {
            CallEnd::Responded => {
                self.waiting.retain(|number, _| *number > call.number);
                self.ended.clear();
                self.responded_at = self.responded_at.max(now);
            }
            CallEnd::Unanswered if was_waiting => {
                self.ended.push_back(EndedCall { call, ended_at: now });
                if self.ended.len() > MAX_ENDED_CALLS {
                    self.ended.pop_front();
                }
            }
            CallEnd::Unanswered | CallEnd::Inconclusive => {}
        }
    }

    /// Returns how long each overdue call has waited, or had waited when it ended. Only time after `since` counts.
    fn overdue<'a>(
        &'a self,
        now: Millis,
        since: Millis,
        overdue_after: impl Fn(Awaited) -> Millis + 'a,
    ) -> impl Iterator<Item = OverdueCall> + 'a {
        let waiting = self.waiting.values().map(move |call| EndedCall { call: *call, ended_at: now });
        let since = since.max(self.responded_at);
        waiting.chain(self.ended.iter().copied()).filter_map(move |EndedCall { call, ended_at }| {
            let from = call.begun_at.max(since);
            let is_overdue = ended_at >= from + overdue_after(call.awaited);
            is_overdue.then_some(OverdueCall { from })
        })
    }
}

/// A call without a response in the expected time.
#[derive(Clone, Copy, Debug)]
struct OverdueCall {
    /// Begin of the call, or the last response of the server before it.
    from: Millis,
}

/// A request that a server is selected for.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest<'a> {
    /// Current time.
    pub now: Millis,
    /// Time before which silence proves nothing, because this process did not run itself.
    pub since: Millis,
    /// Its latency target.
    pub target_ms: Millis,
    /// Servers that were selected for it before.
    pub tried: &'a [String],
    /// A server has answered it with an error, which its caller receives if it is sent to no other.
    pub has_answer: bool,
}

/// What is known of the silence of a service's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceEvidence {
    /// Number of servers that could take the request, or were selected for it before.
    pub servers: usize,
    /// Those of them that are silent.
    pub silent: usize,
    /// Number of their overdue calls.
    pub overdue_calls: usize,
    /// Time without a response from any of the servers, in milliseconds.
    pub quiet_ms: Millis,
    /// Time after which a response to the request would be overdue, in milliseconds.
    pub overdue_after_ms: Millis,
}

impl SilenceEvidence {
    fn suffices_to_refuse(&self) -> bool {
        self.overdue_calls >= MIN_OVERDUE_TO_REFUSE
            && self.quiet_ms >= REFUSE_AFTER_TIMES * self.overdue_after_ms
    }
}

/// What is advised for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAdvice {
    /// No server is silent, or too little is known: any server may take the request.
    AnyServer,
    /// Silent servers are to be avoided.
    Avoid,
    /// All servers are silent. The request is sent to one of them to find out whether it responds again.
    Probe,
    /// All servers are silent: the request is not to be sent.
    Refuse,
}

impl SilenceAdvice {
    /// The name of the advice in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            SilenceAdvice::AnyServer => "anyServer",
            SilenceAdvice::Avoid => "avoid",
            SilenceAdvice::Probe => "probe",
            SilenceAdvice::Refuse => "refuse",
        }
    }
}

/// Advice for a request, with its reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceDecision<'a> {
    /// The advice.
    pub advice: SilenceAdvice,
    /// The servers that the request may be sent to; none if it is to be refused.
    pub servers: Vec<&'a str>,
    /// The reasons.
    pub evidence: SilenceEvidence,
}

/// Calls of this daemon to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSilence {
    servers: BTreeMap<String, ServerCalls>,
    response_times: RecentTimes,
    calls: u64,
}

impl ServiceSilence {
    /// Records that a call begins.
    pub fn begin(&mut self, now: Millis, server: &str, awaited: Awaited) -> ServerCall {
        self.calls += 1;
        let call = ServerCall { number: self.calls, begun_at: now, awaited };
        let calls = self.servers.entry(server.to_string()).or_default();
        calls.waiting.insert(call.number, call);
        calls.newest_begun_at = now;
        call
    }

    /// Records the end of a call.
    pub fn end(&mut self, now: Millis, server: &str, call: ServerCall, end: CallEnd) {
        if end == CallEnd::Responded {
            self.response_times.record(now.saturating_sub(call.begun_at));
        }
        if let Some(calls) = self.servers.get_mut(server) {
            calls.end(now, call, end);
        }
    }

    /// Removes servers that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| is_declared(server));
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn overdue_after(&self, awaited: Awaited) -> Millis {
        match awaited {
            Awaited::Connection => CONNECTION_OVERDUE_MS,
            Awaited::Response { target_ms } => target_ms.max(MEDIAN_FACTOR * self.response_times.median()),
        }
    }

    fn overdue_calls(&self, server: &str, request: &NewRequest<'_>) -> Vec<OverdueCall> {
        let Some(calls) = self.servers.get(server) else { return Vec::new() };
        calls.overdue(request.now, request.since, |awaited| self.overdue_after(awaited)).collect()
    }

    /// Whether a silent server is due for a probe although others respond: a call that still waits there is a probe itself,
    /// unless its response was lost.
    fn is_probe_due_beside_others(&self, now: Millis, server: &str) -> bool {
        let Some(calls) = self.servers.get(server) else { return true };
        let interval = if calls.waiting.is_empty() { PROBE_INTERVAL_MS } else { LOST_RESPONSE_MS };
        now >= calls.newest_begun_at + interval
    }

    fn newest_begun_at<'a>(&self, servers: impl Iterator<Item = &'a str>) -> Millis {
        servers
            .filter_map(|server| self.servers.get(server))
            .map(|calls| calls.newest_begun_at)
            .max()
            .unwrap_or(0)
    }

    /// Decides which of the eligible servers a request may be sent to. Servers that were tried before are not eligible.
    pub fn decide<'a>(&self, request: &NewRequest<'a>, eligible: &[&'a str]) -> SilenceDecision<'a> {
        let tried = request.tried.iter().map(String::as_str);
        let servers: Vec<&str> = eligible.iter().copied().chain(tried).collect();
        let overdue: BTreeMap<&str, Vec<OverdueCall>> =
            servers.iter().map(|server| (*server, self.overdue_calls(server, request))).collect();
        let is_silent = |server: &str| overdue.get(server).is_some_and(|calls| !calls.is_empty());
        let evidence = self.evidence(request, &overdue);
        let decision = |advice, servers| SilenceDecision { advice, servers, evidence };
        let responsive: Vec<&str> = eligible.iter().copied().filter(|server| !is_silent(server)).collect();
        if responsive.len() == eligible.len() {
            return decision(SilenceAdvice::AnyServer, eligible.to_vec());
        }
        let is_probe_due = |newest: Millis| !request.has_answer && request.now >= newest + PROBE_INTERVAL_MS;
        if !responsive.is_empty() {
            let probe_due =
                |server: &str| !request.has_answer && self.is_probe_due_beside_others(request.now, server);
            let chosen = eligible.iter().copied().filter(|server| !is_silent(server) || probe_due(server));
            return decision(SilenceAdvice::Avoid, chosen.collect());
        }
        if is_probe_due(self.newest_begun_at(servers.iter().copied())) {
            return decision(SilenceAdvice::Probe, eligible.to_vec());
        }
        match request.has_answer || evidence.suffices_to_refuse() {
            true => decision(SilenceAdvice::Refuse, Vec::new()),
            false => decision(SilenceAdvice::AnyServer, eligible.to_vec()),
        }
    }

    fn evidence(
        &self,
        request: &NewRequest<'_>,
        overdue: &BTreeMap<&str, Vec<OverdueCall>>,
    ) -> SilenceEvidence {
        let responses = overdue.keys().filter_map(|server| self.servers.get(*server));
        let last_response = responses.map(|calls| calls.responded_at).max().unwrap_or(0);
        let oldest = overdue.values().flatten().map(|call| call.from).min();
        let quiet_from = oldest.map(|from| from.max(last_response));
        SilenceEvidence {
            servers: overdue.len(),
            silent: overdue.values().filter(|calls| !calls.is_empty()).count(),
            overdue_calls: overdue.values().map(Vec::len).sum(),
            quiet_ms: quiet_from.map_or(0, |from| request.now.saturating_sub(from)),
            overdue_after_ms: self.overdue_after(Awaited::Response { target_ms: request.target_ms }),
        }
    }
}
