//! Decides which part of a prompt, if any, crashes servers. A pure function of the table.

use super::rows::PromptCrashRow;
use super::table::PromptSuspicionTable;
use dockwood_api::gateway::{PartSet, PromptPart};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Minimum number of crashes before a part is quarantined: operators were promised that the fifth is the last, except for
/// attempts already in flight.
const QUARANTINE_CRASHES: usize = 4;
/// Minimum number of these that followed each other: servers that fail at the same moment are one coincidence.
const QUARANTINE_CONSECUTIVE: usize = 3;
/// Minimum number of different requests with the part: a single request that is sent again is quarantined by itself.
const QUARANTINE_REQUESTS: usize = 3;
/// The same if all crashes were in one zone, which may be failing server by server.
const QUARANTINE_CRASHES_IN_ONE_ZONE: usize = 5;
const QUARANTINE_CONSECUTIVE_IN_ONE_ZONE: usize = 4;
/// From this number of consecutive crashes on, daemons report complete responses to requests with a part. A single failure,
/// of however many servers, causes no reports.
const REPORT_RESPONSES_AFTER: usize = 2;

/// Which crashes a decision may be based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashHorizon {
    /// Number of the newest crash that all daemons have reported.
    pub reported: u64,
    /// Number of the newest crash that is so old that complete responses would have cleared innocent parts of it.
    pub clearable: u64,
}

/// What the crashes of servers say against a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartEvidence {
    /// Number of servers that crashed while they ran a request with the part, since the part was last cleared.
    pub crashes: usize,
    /// Length of the longest sequence of these in which each attempt was sent after its daemon knew of the crash before.
    pub consecutive: usize,
    /// Number of attempts with the part that these servers were running.
    pub attempts: usize,
    /// Number of different requests among those that may have crashed them.
    pub requests: usize,
    /// Number of zones of these servers.
    pub zones: usize,
}

impl PartEvidence {
    fn of<'a>(part: &PromptPart, rows: impl Iterator<Item = &'a Arc<PromptCrashRow>>) -> PartEvidence {
        let mut evidence = PartEvidence::default();
        let (mut zones, mut requests) = (BTreeSet::new(), BTreeSet::new());
        let mut last_counted = 0;
        for row in rows.filter(|row| row.suspects_with(part).next().is_some()) {
            evidence.crashes += 1;
            evidence.attempts += row.prompts_with(part).count();
            zones.insert(row.zone.as_str());
            requests.extend(row.suspects_with(part).map(|prompt| prompt.fingerprint));
            if row.suspects_with(part).any(|prompt| prompt.known_crash >= last_counted) {
                evidence.consecutive += 1;
                last_counted = row.number;
            }
        }
        evidence.zones = zones.len();
        evidence.requests = requests.len();
        evidence
    }

    /// Whether the part would be quarantined if no other part explained the crashes better.
    fn is_sufficient(&self) -> bool {
        let (crashes, consecutive) = if self.zones > 1 {
            (QUARANTINE_CRASHES, QUARANTINE_CONSECUTIVE)
        } else {
            (QUARANTINE_CRASHES_IN_ONE_ZONE, QUARANTINE_CONSECUTIVE_IN_ONE_ZONE)
        };
        let is_shared = self.requests >= QUARANTINE_REQUESTS;
        is_shared && self.crashes >= crashes && self.consecutive >= consecutive
    }

    /// Compares how well two parts explain the crashes: by the number of crashes, weighted with the number of crashes per
    /// attempt. A part that crashes servers was running about once on each; a popular part was running many times.
    fn compare(&self, other: &PartEvidence) -> Ordering {
        let weighted = |own: &PartEvidence, other: &PartEvidence| own.crashes.pow(2) * other.attempts;
        weighted(self, other).cmp(&weighted(other, self))
    }
}

/// Whether a crash is attributed to a part: no other part that was involved explains the crashes better.
fn is_likeliest(
    part: &PromptPart,
    row: &PromptCrashRow,
    evidence: &BTreeMap<&PromptPart, PartEvidence>,
) -> bool {
    let Some(own) = evidence.get(part) else { return false };
    let others = row.prompts.iter().flat_map(|prompt| &prompt.parts).filter_map(|other| evidence.get(other));
    others.into_iter().all(|other| other.compare(own) != Ordering::Greater)
}

impl PromptSuspicionTable {
    /// What the crashes up to a number say against a part.
    pub fn evidence_against(&self, part: &PromptPart, newest: u64) -> PartEvidence {
        let rows = self.crashes_involving(part).filter(|row| row.number <= newest);
        PartEvidence::of(part, rows)
    }

    /// The parts of a prompt for which complete responses are to be reported, because these would clear or release them.
    pub fn parts_that_need_responses(&self, prompt: &[PromptPart]) -> Vec<PromptPart> {
        let quarantined: BTreeSet<&PromptPart> =
            self.quarantined_in(prompt).flat_map(|row| row.parts.parts()).collect();
        let is_suspected =
            |part: &PromptPart| self.evidence_against(part, u64::MAX).consecutive >= REPORT_RESPONSES_AFTER;
        prompt.iter().filter(|part| quarantined.contains(part) || is_suspected(part)).cloned().collect()
    }

    /// The parts to which enough of the reported crashes are attributed, and which no complete response has cleared although
    /// there was time for one; those that occurred only together form one set.
    pub fn parts_to_quarantine(&self, horizon: CrashHorizon) -> Vec<PartSet> {
        if self.crashes.len() < QUARANTINE_CRASHES {
            return Vec::new();
        }
        let against = |part| (part, self.evidence_against(part, horizon.reported));
        let evidence: BTreeMap<&PromptPart, PartEvidence> = self.suspected_parts().map(against).collect();
        let mut by_occurrence: BTreeMap<Vec<Occurrence<'_>>, Vec<PromptPart>> = BTreeMap::new();
        for (part, _) in evidence.iter().filter(|(_, evidence)| evidence.is_sufficient()) {
            let rows = self.crashes_involving(part).filter(|row| row.number <= horizon.reported);
            let attributed: Vec<&Arc<PromptCrashRow>> =
                rows.filter(|row| is_likeliest(part, row, &evidence)).collect();
            let was_clearable = attributed.first().is_some_and(|row| row.number <= horizon.clearable);
            if was_clearable && PartEvidence::of(part, attributed.iter().copied()).is_sufficient() {
                by_occurrence.entry(occurrences(part, &attributed)).or_default().push((*part).clone());
            }
        }
        by_occurrence.into_values().map(PartSet::new).collect()
    }
}

/// An attempt with a part at a server that crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Occurrence<'a> {
    crash: u64,
    request: &'a str,
}

fn occurrences<'a>(part: &'a PromptPart, rows: &[&'a Arc<PromptCrashRow>]) -> Vec<Occurrence<'a>> {
    let in_row = |row: &&'a Arc<PromptCrashRow>| {
        let crash = row.number;
        row.prompts_with(part).map(move |prompt| Occurrence { crash, request: &prompt.request })
    };
    rows.iter().flat_map(in_row).collect()
}
