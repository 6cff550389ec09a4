//! The table, and the rules by which a request comes under quarantine and leaves it.

use super::rows::{
    CrashRow, Evidence, QuarantineRow, ServerEnd, Standing, Suspect, SuspectTry, TrialRequest, TrialRow,
};
use crate::machine::Applied;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Fingerprint;
use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Servers that end under a request, in more than one zone, put it under quarantine: operators were promised that the
/// third is the last but for what is on its way. A suspect is sent to another zone each time, so these are reached at once.
const CRASHES: usize = 3;
/// The same where all of them stood in one zone, which may be failing by itself, a rack after the other, while requests
/// are moved within it. Two sends beyond the third are less than the three that operators allow.
const CRASHES_IN_ONE_ZONE: usize = 5;
/// Reports of the end of one instance within this time are of the same end, in milliseconds: a server is back after some
/// seconds, and reports follow an end within tens of milliseconds, but by clocks of several machines.
const SAME_END_MS: u64 = 2_000;
/// A server's process is back no sooner than this after its end, in milliseconds.
const LEAST_RESTART_MS: u64 = 250;
/// How long a request stays under quarantine for the first time, in milliseconds. At three servers lost each time, a
/// request that keeps coming costs less than one server in three minutes; operators release it earlier.
const QUARANTINE_MS: u64 = 600_000;
/// Each further time without having been cleared doubles it, up to this many times: to 2.7 hours.
const MOST_DOUBLINGS: u32 = 4;
/// Evidence on an end that no request is known to have caused is kept this long, in milliseconds.
const CRASH_KEPT_MS: u64 = QUARANTINE_MS;
/// A trial that was neither cleared nor ended by then is taken to have been lost with its daemon, in milliseconds: servers
/// end within a second of beginning such a request.
const TRIAL_MS: u64 = 3_000;
/// Ends of servers that are kept; the oldest goes first. With suspects of 150 bytes, and some 20 to an end, 0.8 MB.
const MOST_CRASHES: usize = 256;
/// Suspects kept of one end: several times the requests that a server runs at once.
const MOST_SUSPECTS: usize = 256;
/// Requests under quarantine; the one that would end first goes first. With 600 bytes each, 0.6 MB.
const MOST_QUARANTINED: usize = 1_024;
/// Servers named as evidence against one request.
const MOST_EVIDENCE: usize = 8;

/// What is known of requests under which servers ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspicionTable {
    /// Ends of servers that no request is known to have caused, by number.
    pub crashes: OrdMap<u64, Arc<CrashRow>>,
    /// Requests under quarantine or on probation after it.
    pub quarantined: OrdMap<Fingerprint, Arc<QuarantineRow>>,
    trials: OrdMap<Fingerprint, TrialRow>,
    last_crash: u64,
    /// Numbers of the ends that each suspect was at: made from `crashes`, and not stored with them.
    #[serde(skip)]
    crashes_of: OrdMap<Fingerprint, OrdSet<u64>>,
}

impl SuspicionTable {
    /// How a request stands at a time.
    pub fn standing(&self, fingerprint: Fingerprint, at_ms: u64) -> Standing {
        match self.quarantined.get(&fingerprint) {
            Some(row) if row.holds(at_ms) => Standing::Quarantined,
            Some(_) => Standing::Suspect,
            None if self.crashes_against(fingerprint).is_empty() => Standing::Unsuspected,
            None => Standing::Suspect,
        }
    }

    /// Ends of servers that speak against a request: those at which no other suspect was at more ends than it. What
    /// merely shared a server with a request that has ended several is not suspected for that end.
    pub fn crashes_against(&self, fingerprint: Fingerprint) -> Vec<&Arc<CrashRow>> {
        let Some(numbers) = self.crashes_of.get(&fingerprint) else { return Vec::new() };
        let ends = |suspect: &Suspect| self.crashes_of.get(&suspect.tried.fingerprint).map_or(0, OrdSet::len);
        let is_likeliest =
            |row: &&Arc<CrashRow>| row.suspects.iter().all(|other| ends(other) <= numbers.len());
        numbers.iter().filter_map(|number| self.crashes.get(number)).filter(is_likeliest).collect()
    }

    /// Zones in which servers ended under a request: it is tried elsewhere next.
    pub fn zones_against(&self, fingerprint: Fingerprint) -> BTreeSet<&str> {
        let quarantined = self.quarantined.get(&fingerprint);
        let known = quarantined.map(|row| row.zones()).unwrap_or_default();
        let crashes = self.crashes_against(fingerprint);
        crashes.into_iter().map(|row| row.zone.as_str()).chain(known).collect()
    }

    /// Requests that servers had when they ended, those under quarantine not among them.
    pub fn suspects(&self) -> usize {
        self.crashes_of.len()
    }

    /// The table as daemons need it that are not voters: trials are granted by the log, and known to voters alone.
    pub(crate) fn for_followers(&self) -> SuspicionTable {
        SuspicionTable { trials: OrdMap::new(), ..self.clone() }
    }

    /// Makes again what is not stored: to be called once the table was decoded.
    pub(crate) fn index(&mut self) {
        self.crashes_of = OrdMap::new();
        let rows: Vec<Arc<CrashRow>> = self.crashes.values().cloned().collect();
        for row in rows {
            row.suspects.iter().for_each(|suspect| self.note(suspect.tried.fingerprint, row.number));
        }
    }

    fn note(&mut self, fingerprint: Fingerprint, number: u64) {
        self.crashes_of.entry(fingerprint).or_default().insert(number);
    }

    /// Takes a daemon's word on the end of a server, and puts under quarantine what it proves to have caused it.
    pub(crate) fn server_ended(&mut self, end: &ServerEnd) -> Applied {
        for tried in &end.tries {
            self.trials.remove(&tried.fingerprint);
        }
        let (known, unknown): (Vec<&SuspectTry>, Vec<&SuspectTry>) =
            end.tries.iter().partition(|tried| self.quarantined.contains_key(&tried.fingerprint));
        // An end under a request that is known to cause them needs no other cause.
        if known.is_empty() {
            self.note_crash(end, &unknown);
        }
        known.iter().for_each(|tried| self.offended(end, tried));
        unknown.iter().for_each(|tried| self.judge(tried, end.at_ms));
        self.keep_bounds();
        Applied::touching(Vec::new())
    }

    /// Adds suspects to the end that they were at.
    fn note_crash(&mut self, end: &ServerEnd, tries: &[&SuspectTry]) {
        let mut row = match self.crashes.values().rev().find(|row| is_same_end(row, end)) {
            Some(row) => CrashRow::clone(row),
            None => {
                self.last_crash += 1;
                let (instance, zone) = (end.instance.clone(), end.zone.clone());
                CrashRow { number: self.last_crash, instance, zone, at_ms: end.at_ms, suspects: Vec::new() }
            }
        };
        for tried in tries {
            if row.suspects.len() < MOST_SUSPECTS && row.suspect(tried.fingerprint).is_none() {
                row.suspects.push(Suspect { tried: (*tried).clone(), daemon: end.daemon.clone() });
                self.note(tried.fingerprint, row.number);
            }
        }
        self.crashes.insert(row.number, Arc::new(row));
    }

    /// Puts a suspect under quarantine if the ends that speak against it suffice.
    fn judge(&mut self, tried: &SuspectTry, at_ms: u64) {
        let fingerprint = tried.fingerprint;
        let against = self.crashes_against(fingerprint);
        let zones: BTreeSet<&str> = against.iter().map(|row| row.zone.as_str()).collect();
        let needed = if zones.len() > 1 { CRASHES } else { CRASHES_IN_ONE_ZONE };
        if against.len() < needed {
            return;
        }
        let evidence = against.iter().rev().take(MOST_EVIDENCE).filter_map(|row| {
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
            tenant: tried.tenant.clone(),
            route: tried.route.clone(),
            since_ms: at_ms,
            until_ms: at_ms + QUARANTINE_MS,
            offences: 1,
            evidence: evidence.collect(),
        };
        self.quarantined.insert(fingerprint, Arc::new(row));
        self.explain(fingerprint);
    }

    /// A server ended under a request that is under quarantine, or on probation. The former tells nothing new: a try was
    /// on its way. The latter puts it under quarantine again.
    fn offended(&mut self, end: &ServerEnd, tried: &SuspectTry) {
        let Some(held) = self.quarantined.get(&tried.fingerprint) else { return };
        let mut row = QuarantineRow::clone(held);
        if !row.holds(end.at_ms) {
            let doublings = row.offences.min(MOST_DOUBLINGS);
            row.offences += 1;
            row.since_ms = end.at_ms;
            row.until_ms = end.at_ms + (QUARANTINE_MS << doublings);
        }
        let is_known = |evidence: &Evidence| evidence.instance == end.instance && evidence.at_ms == end.at_ms;
        if row.evidence.len() < MOST_EVIDENCE && !row.evidence.iter().any(is_known) {
            row.evidence.push(Evidence {
                instance: end.instance.clone(),
                zone: end.zone.clone(),
                at_ms: end.at_ms,
                request: tried.request.clone(),
                daemon: end.daemon.clone(),
            });
        }
        self.quarantined.insert(tried.fingerprint, Arc::new(row));
    }

    /// The ends at which a request was have their cause: nothing else is suspected for them.
    fn explain(&mut self, fingerprint: Fingerprint) {
        let numbers = self.crashes_of.get(&fingerprint).cloned().unwrap_or_default();
        numbers.iter().for_each(|number| self.forget_crash(*number));
    }

    fn forget_crash(&mut self, number: u64) {
        let Some(row) = self.crashes.remove(&number) else { return };
        for suspect in &row.suspects {
            self.forget_at(suspect.tried.fingerprint, number);
        }
    }

    fn forget_at(&mut self, fingerprint: Fingerprint, number: u64) {
        let Some(numbers) = self.crashes_of.get_mut(&fingerprint) else { return };
        numbers.remove(&number);
        if numbers.is_empty() {
            self.crashes_of.remove(&fingerprint);
        }
    }

    /// Grants a trial, or tells why not.
    pub(crate) fn begin_trial(&mut self, request: &TrialRequest) -> Applied {
        let (fingerprint, at_ms) = (request.fingerprint, request.at_ms);
        if self.standing(fingerprint, at_ms) == Standing::Quarantined {
            let code = ResultCode::RequestQuarantined;
            return Applied::refused(code, code.meaning());
        }
        let running = self.trials.get(&fingerprint).filter(|trial| at_ms < trial.until_ms);
        if running.is_some_and(|trial| trial.trial != request.trial) {
            return Applied::refused(ResultCode::TrialUnderWay, "the request is being tried at a server");
        }
        let crashes = self.strength(fingerprint);
        // Suspects that share a server are both suspected again if it ends; what has ended two servers shares none.
        let conflicts = |other: &Fingerprint, trial: &TrialRow| {
            let is_there = *other != fingerprint && trial.instance == request.instance;
            let may_share = request.may_share && crashes <= 1 && trial.crashes <= 1;
            is_there && at_ms < trial.until_ms && !may_share
        };
        if self.trials.iter().any(|(other, trial)| conflicts(other, trial)) {
            return Applied::refused(
                ResultCode::ServerOnTrial,
                "another suspect is being tried at the server",
            );
        }
        let (trial, instance) = (request.trial, request.instance.clone());
        let row = TrialRow { trial, instance, crashes, until_ms: at_ms + TRIAL_MS };
        self.trials.insert(fingerprint, row);
        Applied::touching(Vec::new())
    }

    /// How strongly a request is suspected: servers that ended under it, and no less than all that quarantine takes for
    /// one on probation.
    fn strength(&self, fingerprint: Fingerprint) -> usize {
        if self.quarantined.contains_key(&fingerprint) {
            return CRASHES;
        }
        self.crashes_against(fingerprint).len()
    }

    /// Whether a request is being tried at a server that has ended several: others are kept from that server.
    pub fn is_in_danger(&self, instance: &str) -> bool {
        self.trials.values().any(|trial| trial.instance == instance && trial.crashes > 1)
    }

    /// A trial has ended without telling anything: its caller left, or nothing was sent.
    pub(crate) fn end_trial(&mut self, fingerprint: Fingerprint, trial: u64) -> Applied {
        if self.trials.get(&fingerprint).is_some_and(|running| running.trial == trial) {
            self.trials.remove(&fingerprint);
        }
        Applied::touching(Vec::new())
    }

    /// A request was answered whole, or an operator releases it: nothing speaks against it any more.
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
        Applied::touching(Vec::new())
    }

    /// Whether anything is old enough to be forgotten.
    pub fn has_expired(&self, at_ms: u64) -> bool {
        self.crashes.values().any(|row| is_old(row, at_ms))
            || self.quarantined.values().any(|row| at_ms >= row.forgotten_at_ms())
            || self.trials.values().any(|trial| at_ms >= trial.until_ms)
    }

    /// Forgets what is old.
    pub(crate) fn expire(&mut self, at_ms: u64) -> Applied {
        let crashes = self.crashes.values().filter(|row| is_old(row, at_ms));
        let numbers: Vec<u64> = crashes.map(|row| row.number).collect();
        numbers.into_iter().for_each(|number| self.forget_crash(number));
        let kept = self.quarantined.iter().filter(|(_, row)| at_ms < row.forgotten_at_ms());
        self.quarantined = kept.map(|(fingerprint, row)| (*fingerprint, row.clone())).collect();
        let running = self.trials.iter().filter(|(_, trial)| at_ms < trial.until_ms);
        self.trials = running.map(|(fingerprint, trial)| (*fingerprint, trial.clone())).collect();
        Applied::touching(Vec::new())
    }

    fn keep_bounds(&mut self) {
        while self.crashes.len() > MOST_CRASHES {
            let Some((number, _)) = self.crashes.get_min().cloned() else { return };
            self.forget_crash(number);
        }
        while self.quarantined.len() > MOST_QUARANTINED {
            let first = self.quarantined.values().min_by_key(|row| row.until_ms);
            let Some(fingerprint) = first.map(|row| row.fingerprint) else { return };
            self.quarantined.remove(&fingerprint);
        }
    }
}

/// Whether a report is of an end that is known. A server may be back under its id within a second: a new try of a request
/// that it had before is of another end, as a request is tried at one server at a time.
fn is_same_end(row: &CrashRow, end: &ServerEnd) -> bool {
    let apart_ms = row.at_ms.abs_diff(end.at_ms);
    let is_another_try = |tried: &SuspectTry| {
        row.suspect(tried.fingerprint).is_some_and(|suspect| suspect.tried.request != tried.request)
    };
    let is_back = apart_ms >= LEAST_RESTART_MS && end.tries.iter().any(is_another_try);
    row.instance == end.instance && apart_ms <= SAME_END_MS && !is_back
}

fn is_old(row: &CrashRow, at_ms: u64) -> bool {
    at_ms >= row.at_ms + CRASH_KEPT_MS
}
