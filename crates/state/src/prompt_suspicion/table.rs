//! The table of crashes under prompts, and of quarantined parts.

use super::rows::{CrashCause, PartQuarantineRow, PromptCrashRow, SuspectPrompt};
use crate::machine::Applied;
use crate::suspicion::{
    CrashReport, DUPLICATE_REPORT_WINDOW_MS, QuarantineDurations, QuarantinePeriod, SuspicionStatus,
};
use dockwood_api::gateway::{Fingerprint, PartSet, PromptPart};
use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Duration of a first quarantine, in milliseconds. A part that was quarantined by mistake may concern many requests, so the
/// first one is short; a part that crashes servers costs one server at the end of each.
const FIRST_QUARANTINE_MS: u64 = 60_000;
/// Up to 4.3 hours.
const DURATIONS: QuarantineDurations =
    QuarantineDurations { first_ms: FIRST_QUARANTINE_MS, max_doublings: 8 };
/// How long a crash without a known cause is retained, in milliseconds.
const CRASH_RETENTION_MS: u64 = 600_000;
/// Maximum number of retained crashes; the oldest is evicted first. With 20 prompts of 150 bytes per crash, this is 0.2 MB;
/// with the longest prompts that are accepted, 6 MB.
const MAX_CRASHES: usize = 64;
/// Maximum number of prompts per crash: several times the number of requests that a server runs concurrently.
const MAX_PROMPTS_PER_CRASH: usize = 128;
/// Maximum number of quarantined parts; the one whose quarantine ends first is evicted first.
const MAX_QUARANTINED: usize = 256;
/// Maximum number of crashes listed as evidence against one part.
const MAX_EVIDENCE: usize = 8;

/// Evidence on parts of prompts that may crash servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptSuspicionTable {
    /// Crashes by number, without those whose parts were all cleared.
    pub crashes: OrdMap<u64, Arc<PromptCrashRow>>,
    /// Parts that are quarantined, or on probation afterwards.
    pub quarantined: OrdMap<PartSet, Arc<PartQuarantineRow>>,
    /// Number of the newest crash.
    pub last_crash: u64,
    /// Numbers of the crashes in which each part is suspected: an index derived from `crashes`, not stored.
    #[serde(skip)]
    crashes_of: OrdMap<PromptPart, OrdSet<u64>>,
}

impl PromptSuspicionTable {
    /// Whether requests with a prompt are sent at `at_ms`. Parts that are suspected but not quarantined do not hold their
    /// requests back: most suspected parts are innocent.
    pub fn status(&self, prompt: &[PromptPart], at_ms: u64) -> SuspicionStatus {
        let status = |row: &Arc<PartQuarantineRow>| match row.period.is_active(at_ms) {
            true => SuspicionStatus::Quarantined,
            false => SuspicionStatus::Suspect,
        };
        self.quarantined_in(prompt).map(status).max().unwrap_or(SuspicionStatus::Unsuspected)
    }

    /// The rows of quarantined parts that a prompt contains.
    pub fn quarantined_in<'a>(
        &'a self,
        prompt: &'a [PromptPart],
    ) -> impl Iterator<Item = &'a Arc<PartQuarantineRow>> {
        self.quarantined.values().filter(|row| row.parts.is_contained_in(prompt))
    }

    /// The crashes in which a part is suspected, oldest first.
    pub fn crashes_involving(&self, part: &PromptPart) -> impl Iterator<Item = &Arc<PromptCrashRow>> {
        let numbers = self.crashes_of.get(part).into_iter().flatten();
        numbers.filter_map(|number| self.crashes.get(number))
    }

    /// All parts that are suspected in any crash.
    pub fn suspected_parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.crashes_of.keys()
    }

    /// Rebuilds the index that is not stored; called after the table was decoded.
    pub(crate) fn rebuild_index(&mut self) {
        self.crashes_of = OrdMap::new();
        let rows: Vec<Arc<PromptCrashRow>> = self.crashes.values().cloned().collect();
        rows.iter().for_each(|row| self.index(row));
    }

    fn index(&mut self, row: &PromptCrashRow) {
        for part in row.prompts.iter().flat_map(|prompt| &prompt.parts) {
            self.crashes_of.entry(part.clone()).or_default().insert(row.number);
        }
    }

    /// Replaces a row; one without prompts is retained only if its cause is known.
    fn replace(&mut self, row: PromptCrashRow) {
        self.remove(row.number);
        if row.prompts.is_empty() && row.cause == CrashCause::Unknown {
            return;
        }
        self.index(&row);
        self.crashes.insert(row.number, Arc::new(row));
    }

    fn remove(&mut self, number: u64) {
        let Some(row) = self.crashes.remove(&number) else { return };
        for part in row.prompts.iter().flat_map(|prompt| &prompt.parts) {
            let Some(numbers) = self.crashes_of.get_mut(part) else { continue };
            numbers.remove(&number);
            if numbers.is_empty() {
                self.crashes_of.remove(part);
            }
        }
    }

    /// Records a daemon's report of a crash with the prompts that it had sent to the server. `known_requests` are those among
    /// them that are quarantined. Returns whether the cause of the crash is known.
    pub(crate) fn record_crash(
        &mut self,
        report: &CrashReport,
        prompts: &[SuspectPrompt],
        known_requests: &[Fingerprint],
    ) -> bool {
        let mut row = self.row_of(report);
        let known = prompts.iter().flat_map(|prompt| self.quarantined_in(&prompt.parts));
        let culprits: Vec<PartSet> = known.map(|row| row.parts.clone()).collect();
        row.add_cause_requests(known_requests);
        let room = MAX_PROMPTS_PER_CRASH.saturating_sub(row.prompts.len());
        // A report that is submitted again adds nothing.
        let is_new = |prompt: &&SuspectPrompt| !prompt.parts.is_empty() && !row.has_attempt(prompt);
        let new: Vec<SuspectPrompt> = prompts.iter().filter(is_new).take(room).cloned().collect();
        row.prompts.extend(new);
        culprits.iter().for_each(|parts| self.record_reoffence(&row, parts, report.at_ms));
        if !culprits.is_empty() || row.cause == CrashCause::Part {
            row = row.explained_by_part();
        }
        let is_known = row.cause != CrashCause::Unknown;
        if is_known || !row.prompts.is_empty() {
            self.last_crash = self.last_crash.max(row.number);
            self.replace(row);
        }
        self.enforce_limits();
        is_known
    }

    /// The row of the crash that a report refers to, or a new one.
    fn row_of(&self, report: &CrashReport) -> PromptCrashRow {
        self.find_crash(&report.instance, report.at_ms).unwrap_or_else(|| PromptCrashRow {
            number: self.last_crash + 1,
            instance: report.instance.clone(),
            zone: report.zone.clone(),
            at_ms: report.at_ms,
            daemon: report.daemon.clone(),
            prompts: Vec::new(),
            cause: CrashCause::Unknown,
        })
    }

    /// Records a crash under parts that are quarantined or on probation. During the quarantine it is only added to the
    /// evidence, as the attempt was already in flight; during the probation it starts another quarantine.
    fn record_reoffence(&mut self, crash: &PromptCrashRow, parts: &PartSet, at_ms: u64) {
        let Some(current) = self.quarantined.get(parts) else { return };
        let mut row = PartQuarantineRow::clone(current);
        if !row.period.is_active(at_ms) {
            row.period = row.period.next(at_ms, DURATIONS);
            row.responses = 0;
        }
        let is_known = row.evidence.iter().any(|known| is_same_crash(crash, &known.instance, known.at_ms));
        if !is_known && row.evidence.len() < MAX_EVIDENCE {
            row.evidence.extend(parts.parts().first().map(|part| crash.evidence_against(part)));
        }
        self.quarantined.insert(parts.clone(), Arc::new(row));
    }

    /// Records that a request that was quarantined caused a crash.
    pub(crate) fn attribute_to_request(&mut self, instance: &str, at_ms: u64, request: Fingerprint) {
        if let Some(mut row) = self.find_crash(instance, at_ms) {
            row.add_cause_requests(&[request]);
            self.replace(row);
        }
    }

    fn find_crash(&self, instance: &str, at_ms: u64) -> Option<PromptCrashRow> {
        let row = self.crashes.values().rev().find(|row| is_same_crash(row, instance, at_ms))?;
        Some(PromptCrashRow::clone(row))
    }

    /// Quarantines parts, and returns the crashes that they explain.
    pub(crate) fn quarantine(&mut self, parts: &PartSet, at_ms: u64) -> Vec<Arc<PromptCrashRow>> {
        let Some(first) = parts.parts().first().filter(|_| !self.quarantined.contains_key(parts)) else {
            return Vec::new();
        };
        let explained: Vec<Arc<PromptCrashRow>> = self.crashes_involving(first).cloned().collect();
        let newest = explained.iter().rev().take(MAX_EVIDENCE);
        let row = PartQuarantineRow {
            parts: parts.clone(),
            period: QuarantinePeriod::first(at_ms, DURATIONS),
            crashes: explained.len() as u32,
            responses: 0,
            evidence: newest.map(|row| row.evidence_against(first)).collect(),
        };
        self.quarantined.insert(parts.clone(), Arc::new(row));
        for row in &explained {
            self.replace(PromptCrashRow::clone(row).explained_by_part());
        }
        self.enforce_limits();
        explained
    }

    /// Records a complete response to a request whose prompt contains these parts, from a server that was running afterwards.
    /// It clears the parts of the crashes up to number `known_crash`. Quarantined parts are released once there are as many
    /// responses as crashes, and parts on probation at once.
    pub(crate) fn record_response(&mut self, parts: &[PromptPart], known_crash: u64, at_ms: u64) -> Applied {
        for part in parts {
            let numbers: Vec<u64> = self.crashes_involving(part).map(|row| row.number).collect();
            let known = numbers.into_iter().filter(|number| *number <= known_crash);
            known.for_each(|number| self.clear(part, number));
        }
        let rows: Vec<Arc<PartQuarantineRow>> = self.quarantined_in(parts).cloned().collect();
        for row in rows {
            let mut row = PartQuarantineRow::clone(&row);
            row.responses += 1;
            if row.responses >= row.crashes || !row.period.is_active(at_ms) {
                self.quarantined.remove(&row.parts);
            } else {
                self.quarantined.insert(row.parts.clone(), Arc::new(row));
            }
        }
        Applied::with_changes(Vec::new())
    }

    /// Removes a part from the suspects of one crash.
    fn clear(&mut self, part: &PromptPart, number: u64) {
        let Some(row) = self.crashes.get(&number) else { return };
        let mut row = PromptCrashRow::clone(row);
        row.prompts.iter_mut().for_each(|prompt| prompt.parts.retain(|other| other != part));
        row.prompts.retain(|prompt| !prompt.parts.is_empty());
        self.replace(row);
    }

    /// Releases parts from quarantine, and clears the evidence against them.
    pub(crate) fn release(&mut self, parts: &PartSet) -> Applied {
        self.quarantined.remove(parts);
        for part in parts.parts() {
            let numbers: Vec<u64> = self.crashes_involving(part).map(|row| row.number).collect();
            numbers.into_iter().for_each(|number| self.clear(part, number));
        }
        Applied::with_changes(Vec::new())
    }

    /// Whether [`PromptSuspicionTable::expire`] would remove anything.
    pub(crate) fn has_expired(&self, at_ms: u64) -> bool {
        self.crashes.values().any(|row| is_expired(row, at_ms))
            || self.quarantined.values().any(|row| at_ms >= row.period.probation_ends_ms())
    }

    /// Removes expired crashes and quarantines.
    pub(crate) fn expire(&mut self, at_ms: u64) {
        let crashes = self.crashes.values().filter(|row| is_expired(row, at_ms));
        let numbers: Vec<u64> = crashes.map(|row| row.number).collect();
        numbers.into_iter().for_each(|number| self.remove(number));
        let retained = self.quarantined.iter().filter(|(_, row)| at_ms < row.period.probation_ends_ms());
        self.quarantined = retained.map(|(parts, row)| (parts.clone(), row.clone())).collect();
    }

    fn enforce_limits(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let Some(number) = self.crashes.get_min().map(|(number, _)| *number) else { return };
            self.remove(number);
        }
        while self.quarantined.len() > MAX_QUARANTINED {
            let first = self.quarantined.values().min_by_key(|row| row.period.until_ms);
            let Some(parts) = first.map(|row| row.parts.clone()) else { return };
            self.quarantined.remove(&parts);
        }
    }
}

fn is_same_crash(row: &PromptCrashRow, instance: &str, at_ms: u64) -> bool {
    row.instance == instance && row.at_ms.abs_diff(at_ms) <= DUPLICATE_REPORT_WINDOW_MS
}

fn is_expired(row: &PromptCrashRow, at_ms: u64) -> bool {
    at_ms >= row.at_ms + CRASH_RETENTION_MS
}
