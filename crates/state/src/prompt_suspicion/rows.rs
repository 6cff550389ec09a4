//! Rows of the tables on parts of prompts.

use crate::suspicion::{Evidence, QuarantinePeriod};
use dockwood_api::gateway::{Fingerprint, PartSet, PromptPart};
use serde::{Deserialize, Serialize};

/// The prompt of an attempt that a server was running when its process ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPrompt {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The caller's request id for the attempt; empty if it sent none.
    pub request: String,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Number of the newest crash that the daemon knew of when it sent the attempt: the attempt is later than that crash,
    /// whatever the clocks say.
    pub known_crash: u64,
}

/// The crash of a server process, aggregated from the reports of all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrashRow {
    /// Unique and increasing; never reused.
    pub number: u64,
    /// Instance id of the server.
    pub instance: String,
    /// Zone of the server.
    pub zone: String,
    /// When it was first reported, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The daemon that reported it first.
    pub daemon: String,
    /// Prompts that the server was running, with the parts that have not been cleared since.
    pub prompts: Vec<SuspectPrompt>,
    /// What is known about its cause.
    pub cause: CrashCause,
}

/// What is known about the cause of a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashCause {
    /// Any request that the server was running.
    Unknown,
    /// One of these requests, which are quarantined: the parts of their prompts remain suspects.
    Requests(Vec<Fingerprint>),
    /// A part that is quarantined: no other part is a suspect.
    Part,
}

impl PromptCrashRow {
    /// Whether the attempt with a prompt is known.
    pub(super) fn has_attempt(&self, prompt: &SuspectPrompt) -> bool {
        let is_same = |known: &SuspectPrompt| {
            known.fingerprint == prompt.fingerprint && known.request == prompt.request
        };
        self.prompts.iter().any(is_same)
    }

    /// The prompts that contain a part.
    pub(super) fn prompts_with<'a>(
        &'a self,
        part: &'a PromptPart,
    ) -> impl Iterator<Item = &'a SuspectPrompt> {
        self.prompts.iter().filter(move |prompt| prompt.parts.contains(part))
    }

    /// The prompts that contain a part, of requests that may have caused the crash.
    pub(super) fn suspects_with<'a>(
        &'a self,
        part: &'a PromptPart,
    ) -> impl Iterator<Item = &'a SuspectPrompt> {
        let may_have_caused = |prompt: &&SuspectPrompt| match &self.cause {
            CrashCause::Unknown => true,
            CrashCause::Requests(requests) => requests.contains(&prompt.fingerprint),
            CrashCause::Part => false,
        };
        self.prompts_with(part).filter(may_have_caused)
    }

    /// Adds quarantined requests to the possible causes.
    pub(super) fn add_cause_requests(&mut self, requests: &[Fingerprint]) {
        match &mut self.cause {
            CrashCause::Unknown if requests.is_empty() => {}
            CrashCause::Unknown => self.cause = CrashCause::Requests(requests.to_vec()),
            CrashCause::Requests(known) => {
                let new = requests.iter().filter(|request| !known.contains(request));
                let new: Vec<Fingerprint> = new.copied().collect();
                known.extend(new);
            }
            CrashCause::Part => {}
        }
    }

    /// The row after a part was found to be the cause.
    pub(super) fn explained_by_part(self) -> PromptCrashRow {
        PromptCrashRow { prompts: Vec::new(), cause: CrashCause::Part, ..self }
    }

    /// This crash as evidence against a part, with the first attempt that contained it.
    pub fn evidence_against(&self, part: &PromptPart) -> Evidence {
        let request = self.suspects_with(part).next().map(|prompt| prompt.request.clone());
        Evidence {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            at_ms: self.at_ms,
            request: request.unwrap_or_default(),
            daemon: self.daemon.clone(),
        }
    }
}

/// Parts that are quarantined, so that no daemon sends a request with all of them to a server, or on probation afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartQuarantineRow {
    /// The parts.
    pub parts: PartSet,
    /// When they are quarantined.
    pub period: QuarantinePeriod,
    /// Number of server crashes attributed to the parts before the quarantine.
    pub crashes: u32,
    /// Number of reports of complete responses to requests with these parts since then.
    pub responses: u32,
    /// The newest of these crashes, and of those since.
    pub evidence: Vec<Evidence>,
}
