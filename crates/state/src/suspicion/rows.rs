//! Rows on requests that may end the servers that run them.

use dockwood_api::gateway::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One try of a request that a server had when its process ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTry {
    /// What the request is recognised by.
    pub fingerprint: Fingerprint,
    /// The caller's id of this try; empty if it sent none.
    pub request: String,
    /// The caller's tenant.
    pub tenant: Option<String>,
    /// The route that it came by.
    pub route: String,
}

/// One daemon's word on the end of a server's process, with the requests that it had sent there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEnd {
    /// Instance id of the server.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// When that daemon saw it, in milliseconds since the Unix epoch; a repetition of its word carries the same.
    pub at_ms: u64,
    /// The daemon that saw it.
    pub daemon: String,
    /// What the server had of that daemon's.
    pub tries: Vec<SuspectTry>,
}

/// The end of a server's process, as all daemons together told it, while no request is known to have caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// Unique over all time; grows.
    pub number: u64,
    /// Instance id of the server.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// When it was told first, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Requests that it had, each once.
    pub suspects: Vec<Suspect>,
}

/// A request that a server had when it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The try that the server had.
    pub tried: SuspectTry,
    /// The daemon that told of it.
    pub daemon: String,
}

impl CrashRow {
    /// The suspect with a fingerprint, if the server had that request.
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects.iter().find(|suspect| suspect.tried.fingerprint == fingerprint)
    }
}

/// One server's end that counts against a request in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Instance id of the server.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// When it was told, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The caller's id of the try that it had.
    pub request: String,
    /// The daemon that told of it.
    pub daemon: String,
}

/// A request that no daemon sends to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// What it is recognised by.
    pub fingerprint: Fingerprint,
    /// The caller's tenant.
    pub tenant: Option<String>,
    /// The route that it came by.
    pub route: String,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Until when; afterwards it is on probation for as long again.
    pub until_ms: u64,
    /// How often it was put under quarantine without having been cleared.
    pub offences: u32,
    /// The servers that ended under it.
    pub evidence: Vec<Evidence>,
}

impl QuarantineRow {
    /// Whether it holds at a time.
    pub fn holds(&self, at_ms: u64) -> bool {
        at_ms < self.until_ms
    }

    /// When it is forgotten, its probation being over, in milliseconds since the Unix epoch.
    pub fn forgotten_at_ms(&self) -> u64 {
        self.until_ms + self.until_ms.saturating_sub(self.since_ms)
    }

    /// Zones of the servers that ended under it.
    pub fn zones(&self) -> BTreeSet<&str> {
        self.evidence.iter().map(|evidence| evidence.zone.as_str()).collect()
    }
}

/// A suspect that is being tried at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRow {
    /// Tells it from others of the same request.
    pub trial: u64,
    /// Where.
    pub instance: String,
    /// How strongly the request was suspected as it began: servers that ended under it.
    pub crashes: usize,
    /// It doesn't count from then on, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// A suspect that a daemon wants to send to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// What the request is recognised by.
    pub fingerprint: Fingerprint,
    /// Tells this trial from others; a repetition of the same call carries the same.
    pub trial: u64,
    /// The server's instance id.
    pub instance: String,
    /// It may share the server with other suspects, where each of them was at the end of one server only: there is none
    /// without.
    pub may_share: bool,
    /// When it is asked for, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Unsuspected,
    /// It is sent to one server at a time, after a trial was granted.
    Suspect,
    /// It is not sent.
    Quarantined,
}
