//! The suspicion table, and the rules by which requests are quarantined and released.

use super::period::{QuarantineDurations, QuarantinePeriod};
use super::rows::{
    CrashReport, CrashRow, Evidence, QuarantineRow, Suspect, SuspectAttempt, SuspicionStatus, TrialRequest,
    TrialRow,
};
use crate::machine::Applied;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of attributed crashes, in more than one zone, after which a request is quarantined: operators were promised that
/// the third server is the last, except for attempts already in flight. A suspect is sent to a different zone each time,
/// so the requirement of a second zone is met early.
const QUARANTINE_CRASHES: usize = 3;
/// The same if all crashes were in one zone: the zone itself may be failing, rack by rack, while requests are moved within
/// it. Two attempts beyond the third are still fewer than the three that operators allow.
const QUARANTINE_CRASHES_IN_ONE_ZONE: usize = 5;
/// Reports about one instance within this time refer to the same crash, in milliseconds: a server takes some seconds to
/// restart, and reports follow a crash within tens of milliseconds, but carry timestamps of several machines' clocks.
pub(crate) const DUPLICATE_REPORT_WINDOW_MS: u64 = 2_000;
/// Minimum time that a server process takes to restart, in milliseconds.
const MIN_RESTART_MS: u64 = 250;
/// Duration of a first quarantine, in milliseconds. If a request that keeps arriving crashes three servers each time, it
/// costs less than one server per three minutes; operators can release it earlier.
const FIRST_QUARANTINE_MS: u64 = 600_000;
/// Up to 2.7 hours.
const DURATIONS: QuarantineDurations =
    QuarantineDurations { first_ms: FIRST_QUARANTINE_MS, max_doublings: 4 };
/// How long a crash that no request is known to have caused is retained, in milliseconds.
const CRASH_RETENTION_MS: u64 = FIRST_QUARANTINE_MS;
/// Time after which a trial without a result expires, in milliseconds; its daemon is assumed to have failed. Servers crash
/// within a second of starting such a request.
const TRIAL_TIMEOUT_MS: u64 = 3_000;
/// Maximum number of retained crashes; the oldest is evicted first. With 150 bytes per suspect and some 20 suspects per
/// crash, this is 0.8 MB.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects per crash: several times the number of requests that a server runs concurrently.
const MAX_SUSPECTS_PER_CRASH: usize = 256;
/// Maximum number of quarantined requests; the one whose quarantine ends first is evicted first. With 600 bytes each, this
/// is 0.6 MB.
const MAX_QUARANTINED: usize = 1_024;
/// Maximum number of crashes listed as evidence against one request.
const MAX_EVIDENCE: usize = 8;

/// Evidence on requests that may have crashed servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspicionTable {
    /// Crashes that no request is known to have caused, by number.
    pub crashes: OrdMap<u64, Arc<CrashRow>>,
    /// Requests that are quarantined, or on probation afterwards.
    pub quarantined: OrdMap<Fingerprint, Arc<QuarantineRow>>,
    trials: OrdMap<Fingerprint, TrialRow>,
    last_crash: u64,
    /// Numbers of the crashes that each suspect was involved in: an index derived from `crashes`, not stored.
    #[serde(skip)]
    crashes_of: OrdMap<Fingerprint, OrdSet<u64>>,
}

impl SuspicionTable {
    /// How strongly a request is suspected at `at_ms`.
    pub fn status(&self, fingerprint: Fingerprint, at_ms: u64) -> SuspicionStatus {
        match self.quarantined.get(&fingerprint) {
            Some(row) if row.period.is_active(at_ms) => SuspicionStatus::Quarantined,
            Some(_) => SuspicionStatus::Suspect,
            None if self.attributed_crashes(fingerprint).is_empty() => SuspicionStatus::Unsuspected,
            None => SuspicionStatus::Suspect,
        }
    }

    /// Crashes attributed to a request: those in which no other suspect was involved in more crashes than this one. A
    /// request that merely shared a server with one involved in several crashes is not suspected for that crash.
    pub fn attributed_crashes(&self, fingerprint: Fingerprint) -> Vec<&Arc<CrashRow>> {
        let Some(numbers) = self.crashes_of.get(&fingerprint) else { return Vec::new() };
        let crash_count =
            |suspect: &Suspect| self.crashes_of.get(&suspect.tried.fingerprint).map_or(0, OrdSet::len);
        let is_likeliest =
            |row: &&Arc<CrashRow>| row.suspects.iter().all(|other| crash_count(other) <= numbers.len());
        numbers.iter().filter_map(|number| self.crashes.get(number)).filter(is_likeliest).collect()
    }

    /// Zones in which crashes are attributed to a request: the next attempt goes to another zone.
    pub fn crash_zones(&self, fingerprint: Fingerprint) -> BTreeSet<&str> {
        let quarantined = self.quarantined.get(&fingerprint);
        let evidence_zones = quarantined.map(|row| row.zones()).unwrap_or_default();
        let crashes = self.attributed_crashes(fingerprint);
        crashes.into_iter().map(|row| row.zone.as_str()).chain(evidence_zones).collect()
    }

    /// Number of requests that servers were running when they crashed, not counting quarantined ones.
    pub fn suspect_count(&self) -> usize {
        self.crashes_of.len()
    }

    /// The table for daemons that are not voters: trials are granted through the log, and only voters hold them.
    pub(crate) fn for_non_voters(&self) -> SuspicionTable {
        SuspicionTable { trials: OrdMap::new(), ..self.clone() }
    }

    /// Rebuilds the index that is not stored; called after the table was decoded.
    pub(crate) fn rebuild_index(&mut self) {
        self.crashes_of = OrdMap::new();
        let rows: Vec<Arc<CrashRow>> = self.crashes.values().cloned().collect();
        for row in rows {
            row.suspects.iter().for_each(|suspect| self.index_suspect(suspect.tried.fingerprint, row.number));
        }
    }

    fn index_suspect(&mut self, fingerprint: Fingerprint, number: u64) {
        self.crashes_of.entry(fingerprint).or_default().insert(number);
    }

    /// The requests of a report that are quarantined or on probation, which explains the crash.
    pub(crate) fn quarantined_among(&self, report: &CrashReport) -> Vec<Fingerprint> {
        let requests = report.tries.iter().map(|attempt| attempt.fingerprint);
        requests.filter(|request| self.quarantined.contains_key(request)).collect()
    }

    /// Removes a crash whose cause is known, so that no request is suspected for it.
    pub(crate) fn resolve_crash(&mut self, instance: &str, at_ms: u64) {
        let is_same = |row: &Arc<CrashRow>| {
            row.instance == instance && row.at_ms.abs_diff(at_ms) <= DUPLICATE_REPORT_WINDOW_MS
        };
        let numbers: Vec<u64> =
            self.crashes.values().filter(|row| is_same(row)).map(|row| row.number).collect();
        numbers.into_iter().for_each(|number| self.remove_crash(number));
    }

    /// Ends the trials of the requests that a crashed server was running.
    pub(crate) fn trials_ended(&mut self, report: &CrashReport) -> Applied {
        for attempt in &report.tries {
            self.trials.remove(&attempt.fingerprint);
        }
        Applied::with_changes(Vec::new())
    }

    /// The crashes for which a request was quarantined.
    pub(crate) fn evidence_against(&self, fingerprint: Fingerprint) -> Vec<Evidence> {
        self.quarantined.get(&fingerprint).map(|row| row.evidence.clone()).unwrap_or_default()
    }

    /// Records a daemon's report of a crash, and quarantines the requests to which enough crashes are now attributed.
    pub(crate) fn server_ended(&mut self, report: &CrashReport) -> Applied {
        self.trials_ended(report);
        let (quarantined, others): (Vec<&SuspectAttempt>, Vec<&SuspectAttempt>) =
            report.tries.iter().partition(|attempt| self.quarantined.contains_key(&attempt.fingerprint));
        // A crash under a request that is known to crash servers needs no other cause.
        if quarantined.is_empty() {
            self.record_crash(report, &others);
        }
        quarantined.iter().for_each(|attempt| self.record_reoffence(report, attempt));
        others.iter().for_each(|attempt| self.quarantine_if_attributed(attempt, report.at_ms));
        self.enforce_limits();
        Applied::with_changes(Vec::new())
    }

    /// Adds the attempts of a report as suspects to the row of the crash, creating it for the first report.
    fn record_crash(&mut self, report: &CrashReport, attempts: &[&SuspectAttempt]) {
        let mut row = match self.crashes.values().rev().find(|row| is_same_crash(row, report)) {
            Some(row) => CrashRow::clone(row),
            None => {
                self.last_crash += 1;
                let (instance, zone) = (report.instance.clone(), report.zone.clone());
                CrashRow {
                    number: self.last_crash,
                    instance,
                    zone,
                    at_ms: report.at_ms,
                    suspects: Vec::new(),
                }
            }
        };
        for attempt in attempts {
            if row.suspects.len() < MAX_SUSPECTS_PER_CRASH && row.suspect(attempt.fingerprint).is_none() {
                row.suspects.push(Suspect { tried: (*attempt).clone(), daemon: report.daemon.clone() });
                self.index_suspect(attempt.fingerprint, row.number);
            }
        }
        self.crashes.insert(row.number, Arc::new(row));
    }

    /// Quarantines a suspect if enough crashes are attributed to it.
    fn quarantine_if_attributed(&mut self, attempt: &SuspectAttempt, at_ms: u64) {
        let fingerprint = attempt.fingerprint;
        let attributed = self.attributed_crashes(fingerprint);
        let zones: BTreeSet<&str> = attributed.iter().map(|row| row.zone.as_str()).collect();
        let needed = if zones.len() > 1 { QUARANTINE_CRASHES } else { QUARANTINE_CRASHES_IN_ONE_ZONE };
        if attributed.len() < needed {
            return;
        }
        let evidence = attributed.iter().rev().take(MAX_EVIDENCE).filter_map(|row| {
            let suspect = row.suspect(fingerprint)?;
            Some(Evidence {
                instance: row.instance.clone(),
                zone: row.zone.clone(),
                at_ms: row.at_ms,
                request: suspect.tried.request.clone(),
                daemon: suspect.daemon.clone(),
            })
        });
        let row = QuarantineRow {
            fingerprint,
            tenant: attempt.tenant.clone(),
            route: attempt.route.clone(),
            period: QuarantinePeriod::first(at_ms, DURATIONS),
            evidence: evidence.collect(),
        };
        self.quarantined.insert(fingerprint, Arc::new(row));
        self.resolve_crashes(fingerprint);
    }

    /// Records a crash under a request that is quarantined or on probation. During the quarantine it is only added to the
    /// evidence, as the attempt was already in flight; during the probation it starts another quarantine.
    fn record_reoffence(&mut self, report: &CrashReport, attempt: &SuspectAttempt) {
        let Some(current) = self.quarantined.get(&attempt.fingerprint) else { return };
        let mut row = QuarantineRow::clone(current);
        if !row.period.is_active(report.at_ms) {
            row.period = row.period.next(report.at_ms, DURATIONS);
        }
        let is_known =
            |evidence: &Evidence| evidence.instance == report.instance && evidence.at_ms == report.at_ms;
        if row.evidence.len() < MAX_EVIDENCE && !row.evidence.iter().any(is_known) {
            row.evidence.push(Evidence {
                instance: report.instance.clone(),
                zone: report.zone.clone(),
                at_ms: report.at_ms,
                request: attempt.request.clone(),
                daemon: report.daemon.clone(),
            });
        }
        self.quarantined.insert(attempt.fingerprint, Arc::new(row));
    }

    /// Removes the crashes that a request was involved in: their cause is known, so that no other request is suspected for
    /// them.
    fn resolve_crashes(&mut self, fingerprint: Fingerprint) {
        let numbers = self.crashes_of.get(&fingerprint).cloned().unwrap_or_default();
        numbers.iter().for_each(|number| self.remove_crash(*number));
    }

    fn remove_crash(&mut self, number: u64) {
        let Some(row) = self.crashes.remove(&number) else { return };
        for suspect in &row.suspects {
            self.unindex_suspect(suspect.tried.fingerprint, number);
        }
    }

    fn unindex_suspect(&mut self, fingerprint: Fingerprint, number: u64) {
        let Some(numbers) = self.crashes_of.get_mut(&fingerprint) else { return };
        numbers.remove(&number);
        if numbers.is_empty() {
            self.crashes_of.remove(&fingerprint);
        }
    }

    /// Grants a trial, or refuses it with the reason.
    pub(crate) fn begin_trial(&mut self, request: &TrialRequest) -> Applied {
        let (fingerprint, at_ms) = (request.fingerprint, request.at_ms);
        if self.status(fingerprint, at_ms) == SuspicionStatus::Quarantined {
            let code = ResultCode::RequestQuarantined;
            return Applied::refused(code, code.meaning());
        }
        let running = self.trials.get(&fingerprint).filter(|trial| at_ms < trial.until_ms);
        if running.is_some_and(|trial| trial.trial != request.trial) {
            return Applied::refused(ResultCode::TrialUnderWay, "the request is being tried at a server");
        }
        let crashes = self.suspicion_strength(fingerprint);
        // If suspects that share a server crash it, both are suspected again; so a request with two attributed crashes
        // never shares a server.
        let conflicts = |other: &Fingerprint, trial: &TrialRow| {
            let is_on_server = *other != fingerprint && trial.instance == request.instance;
            let may_share = request.may_share && crashes <= 1 && trial.crashes <= 1;
            is_on_server && at_ms < trial.until_ms && !may_share
        };
        if self.trials.iter().any(|(other, trial)| conflicts(other, trial)) {
            return Applied::refused(
                ResultCode::ServerOnTrial,
                "another suspect is being tried at the server",
            );
        }
        let (trial, instance) = (request.trial, request.instance.clone());
        let row = TrialRow { trial, instance, crashes, until_ms: at_ms + TRIAL_TIMEOUT_MS };
        self.trials.insert(fingerprint, row);
        Applied::with_changes(Vec::new())
    }

    /// Number of crashes attributed to a request; for one on probation, the number that quarantine requires.
    fn suspicion_strength(&self, fingerprint: Fingerprint) -> usize {
        if self.quarantined.contains_key(&fingerprint) {
            return QUARANTINE_CRASHES;
        }
        self.attributed_crashes(fingerprint).len()
    }

    /// Whether a request with several attributed crashes is on trial on a server: no other requests are routed there.
    pub fn has_dangerous_trial(&self, instance: &str) -> bool {
        self.trials.values().any(|trial| trial.instance == instance && trial.crashes > 1)
    }

    /// Ends a trial that gave no result: its caller disconnected, or nothing was sent.
    pub(crate) fn end_trial(&mut self, fingerprint: Fingerprint, trial: u64) -> Applied {
        if self.trials.get(&fingerprint).is_some_and(|running| running.trial == trial) {
            self.trials.remove(&fingerprint);
        }
        Applied::with_changes(Vec::new())
    }

    /// Clears a request of all suspicion: it received a complete response, or an operator released it.
    pub(crate) fn clear(&mut self, fingerprint: Fingerprint) -> Applied {
        self.trials.remove(&fingerprint);
        self.quarantined.remove(&fingerprint);
        let numbers = self.crashes_of.remove(&fingerprint).unwrap_or_default();
        for number in numbers {
            let Some(row) = self.crashes.get(&number) else { continue };
            let mut next = CrashRow::clone(row);
            next.suspects.retain(|suspect| suspect.tried.fingerprint != fingerprint);
            if next.suspects.is_empty() {
                self.crashes.remove(&number);
            } else {
                self.crashes.insert(number, Arc::new(next));
            }
        }
        Applied::with_changes(Vec::new())
    }

    /// Whether [`GatewayCommand::ExpireSuspicions`](crate::GatewayCommand::ExpireSuspicions) would remove anything.
    pub fn has_expired(&self, at_ms: u64) -> bool {
        self.crashes.values().any(|row| is_expired(row, at_ms))
            || self.quarantined.values().any(|row| at_ms >= row.period.probation_ends_ms())
            || self.trials.values().any(|trial| at_ms >= trial.until_ms)
    }

    /// Removes expired crashes, quarantines and trials.
    pub(crate) fn expire(&mut self, at_ms: u64) -> Applied {
        let crashes = self.crashes.values().filter(|row| is_expired(row, at_ms));
        let numbers: Vec<u64> = crashes.map(|row| row.number).collect();
        numbers.into_iter().for_each(|number| self.remove_crash(number));
        let retained = self.quarantined.iter().filter(|(_, row)| at_ms < row.period.probation_ends_ms());
        self.quarantined = retained.map(|(fingerprint, row)| (*fingerprint, row.clone())).collect();
        let running = self.trials.iter().filter(|(_, trial)| at_ms < trial.until_ms);
        self.trials = running.map(|(fingerprint, trial)| (*fingerprint, trial.clone())).collect();
        Applied::with_changes(Vec::new())
    }

    fn enforce_limits(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let Some((number, _)) = self.crashes.get_min().cloned() else { return };
            self.remove_crash(number);
        }
        while self.quarantined.len() > MAX_QUARANTINED {
            let first = self.quarantined.values().min_by_key(|row| row.period.until_ms);
            let Some(fingerprint) = first.map(|row| row.fingerprint) else { return };
            self.quarantined.remove(&fingerprint);
        }
    }
}

/// Whether a report refers to a known crash. A server may restart under the same id within a second: a new attempt of a
/// request that it was running before belongs to another crash, as a suspect is tried on one server at a time.
fn is_same_crash(row: &CrashRow, report: &CrashReport) -> bool {
    let apart_ms = row.at_ms.abs_diff(report.at_ms);
    let is_new_attempt = |attempt: &SuspectAttempt| {
        row.suspect(attempt.fingerprint).is_some_and(|suspect| suspect.tried.request != attempt.request)
    };
    let has_restarted = apart_ms >= MIN_RESTART_MS && report.tries.iter().any(is_new_attempt);
    row.instance == report.instance && apart_ms <= DUPLICATE_REPORT_WINDOW_MS && !has_restarted
}

fn is_expired(row: &CrashRow, at_ms: u64) -> bool {
    at_ms >= row.at_ms + CRASH_RETENTION_MS
}
