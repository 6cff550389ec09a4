//! Rows of the suspicion table.

use super::period::QuarantinePeriod;
use dockwood_api::gateway::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// An attempt of a request that a server was running when its process ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectAttempt {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The caller's request id for this attempt; empty if it sent none.
    pub request: String,
    /// Tenant of the caller.
    pub tenant: Option<String>,
    /// Route on which the request arrived.
    pub route: String,
}

/// One daemon's report that a server process ended, with the requests that the daemon had sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Instance id of the server.
    pub instance: String,
    /// Zone of the server.
    pub zone: String,
    /// When the daemon observed it, in milliseconds since the Unix epoch; a repeated report carries the same time.
    pub at_ms: u64,
    /// The reporting daemon.
    pub daemon: String,
    /// Attempts that the daemon had in flight on the server.
    pub tries: Vec<SuspectAttempt>,
}

/// The crash of a server process, aggregated from the reports of all daemons, for as long as no request is known to have
/// caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// Unique and increasing; never reused.
    pub number: u64,
    /// Instance id of the server.
    pub instance: String,
    /// Zone of the server.
    pub zone: String,
    /// When it was first reported, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Requests that the server was running, each once.
    pub suspects: Vec<Suspect>,
}

/// A request that a server was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The attempt on that server.
    pub tried: SuspectAttempt,
    /// The daemon that reported it.
    pub daemon: String,
}

impl CrashRow {
    /// The suspect with a fingerprint, if the server was running that request.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects.iter().find(|suspect| suspect.tried.fingerprint == fingerprint)
    }
}

/// A server crash that counts against a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Instance id of the server.
    pub instance: String,
    /// Zone of the server.
    pub zone: String,
    /// When the crash was reported, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The caller's request id for the attempt on that server.
    pub request: String,
    /// The daemon that reported it.
    pub daemon: String,
}

/// A request that is quarantined, so that no daemon sends it to a server, or on probation afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Tenant of the caller.
    pub tenant: Option<String>,
    /// Route on which the request arrived.
    pub route: String,
    /// When it is quarantined.
    pub period: QuarantinePeriod,
    /// Server crashes attributed to the request.
    pub evidence: Vec<Evidence>,
}

impl QuarantineRow {
    /// Zones of the servers whose crashes are attributed to the request.
    pub fn zones(&self) -> BTreeSet<&str> {
        self.evidence.iter().map(|evidence| evidence.zone.as_str()).collect()
    }
}

/// A trial: a suspect that is running on a server, isolated from other suspects if possible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRow {
    /// Distinguishes trials of the same request.
    pub trial: u64,
    /// Instance id of the server.
    pub instance: String,
    /// Number of crashes attributed to the request when the trial began.
    pub crashes: usize,
    /// When the trial expires, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// A daemon's request to send a suspect to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Distinguishes this trial from others; a repetition of the same call carries the same number.
    pub trial: u64,
    /// Instance id of the server.
    pub instance: String,
    /// Whether the suspect may share the server with other suspects, each of which was involved in at most one crash: set
    /// when no server without suspects is available.
    pub may_share: bool,
    /// When the trial is requested, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// How strongly a request, or a part of its prompt, is suspected of crashing servers; in increasing order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionStatus {
    /// No crash is attributed to it.
    Unsuspected,
    /// It is sent to one server at a time, each time after a trial was granted.
    Suspect,
    /// It is not sent to any server.
    Quarantined,
}
