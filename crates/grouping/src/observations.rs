//! What the control leader has seen of instances and groups; local to it, and gathered again by each leader.

use crate::Millis;
use crate::demand::Demand;
use crate::heartbeat::HeartbeatInterval;
use crate::instances::{InstanceObservation, ProbeResult, UnansweredJoin};
use crate::slowness::Slowness;
use dockwood_api::gateway::{
    DispatchScope, GroupCommand, GroupOrder, InstanceReport, InstanceState, LoadDigest, LoadReport,
    OrderAnswer, RequestRate, ServerLimit, SharedGroupLoad,
};
use dockwood_state::GatewayTables;
use std::collections::{BTreeMap, BTreeSet};

/// An entry's load report counts for this long.
const LOAD_VALID_MS: Millis = 1_500;
/// A group's silence counts for this long after an entry last reported it.
const SILENCE_VALID_MS: Millis = 1_500;

/// Who reports loads: an entry, or a dispatcher on one of its scopes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    daemon: String,
    scope: Option<DispatchScope>,
}

/// One entry's newest load report.
#[derive(Clone, Debug)]
struct EntryLoad {
    at: Millis,
    report: LoadReport,
}

/// One group as seen by the entries.
#[derive(Clone, Copy, Debug, Default)]
struct GroupEvidence {
    silent_at: Option<Millis>,
    progressed_at: Option<Millis>,
    probed_at: Option<Millis>,
}

/// A group that showed progress to any entry this recently is at work, whatever others report. Longer than two of the
/// entries' reports are apart.
const PROGRESS_VALID_MS: Millis = 250;

/// All that the leader has observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    heartbeat: HeartbeatInterval,
    instances: BTreeMap<String, InstanceObservation>,
    loads: BTreeMap<Reporter, EntryLoad>,
    /// Requests in flight by group, over all of `loads`.
    in_flight: BTreeMap<u64, u32>,
    groups: BTreeMap<u64, GroupEvidence>,
    /// Groups that were recently reported as stalled; some may have moved on.
    silent: BTreeSet<u64>,
    demand: Demand,
    slowness: Slowness,
    /// Servers that have named limits for some time, by id.
    limits: BTreeMap<String, RequestRate>,
    /// When an instance was first seen, for the newest one.
    pub newest_instance_at: Millis,
    /// Whether any entry has reported a request yet.
    pub traffic_seen: bool,
}

impl Observations {
    /// Sets how often instances are expected to report.
    pub fn expect_heartbeats(&mut self, heartbeat: HeartbeatInterval) {
        self.heartbeat = heartbeat;
    }

    /// How often instances are expected to report.
    pub fn heartbeat(&self) -> HeartbeatInterval {
        self.heartbeat
    }

    /// Takes an instance's report. False if a newer one was seen.
    pub fn record_report(&mut self, now: Millis, report: &InstanceReport) -> bool {
        let known = self.instances.contains_key(&report.id);
        if !known {
            self.newest_instance_at = now;
        }
        let seen = self.instances.entry(report.id.clone()).or_default();
        let is_newer = !known || report.sequence > seen.sequence;
        seen.reported_at = now;
        seen.silent_since = None;
        let shown = report.membership.as_ref().map_or(0, |membership| membership.epoch);
        seen.last_epoch = seen.last_epoch.max(shown);
        seen.told_leaving |= report.state == InstanceState::Draining;
        if is_newer {
            seen.newest_at = now;
            seen.sequence = report.sequence;
            seen.started_ms = report.started_ms;
            seen.membership = report.membership.clone();
            seen.staged = report.staged.clone();
        }
        is_newer
    }

    /// Notes that a server has started again under its id. What was seen of its former start shows nothing of it, but that
    /// it has left the group which held that start.
    pub fn begin_again(&mut self, instance: &str, started_ms: u64, former_group: Option<u64>) {
        let Some(seen) = self.instances.get_mut(instance) else { return };
        *seen = InstanceObservation {
            started_ms: Some(started_ms),
            left_epoch: former_group.unwrap_or_default(),
            // An order on its way to the former start may be carried out by this one.
            unanswered_join: seen.unanswered_join,
            ..InstanceObservation::default()
        };
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, now: Millis, instance: &str, result: ProbeResult) {
        let Some(seen) = self.instances.get_mut(instance) else { return };
        match result {
            ProbeResult::Answered => seen.silent_since = None,
            ProbeResult::NotAsked => {}
            // A refusal doesn't show that it has ended either: a cut network may answer for it.
            ProbeResult::OtherInstance | ProbeResult::Refused | ProbeResult::Silent => {
                seen.silent_since.get_or_insert(now);
            }
        }
    }

    /// Takes an instance's word on how many times its declared times it takes.
    pub fn record_slowness(&mut self, now: Millis, instance: &str, factor: f64) {
        if self.instances.contains_key(instance) {
            self.slowness.record_factor(now, instance, factor);
        }
    }

    /// How many times its declared times an instance takes, if it counts as slow.
    pub fn slow_factor(&self, instance: &str) -> Option<f64> {
        self.slowness.factor(instance)
    }

    /// Takes the servers that have named limits for some time, all of them.
    pub fn note_limits(&mut self, limits: Vec<ServerLimit>) {
        self.limits = limits.into_iter().map(|limit| (limit.server.id, limit.rate)).collect();
    }

    /// The requests that a server has taken for some time, if it named a limit.
    pub fn limit_of(&self, instance: &str) -> Option<RequestRate> {
        self.limits.get(instance).copied()
    }

    /// Whether any instance counts as slow.
    pub fn has_slow_servers(&self) -> bool {
        self.slowness.is_any()
    }

    /// Groups whose streams look slow, and whose members should be asked now.
    pub fn claim_slow_groups(&mut self, now: Millis) -> Vec<u64> {
        self.slowness.claim_suspicious(now)
    }

    /// Slow instances that should be asked again now.
    pub fn claim_slow_servers(&mut self, now: Millis) -> Vec<String> {
        self.slowness.claim_due(now)
    }

    /// Notes since when the instances that leave do so. Those that a new leader finds leaving are noted with 0: how
    /// much longer they serve on is not known.
    pub fn note_departures(&mut self, since: Millis, tables: &GatewayTables) {
        let leaving = tables.instances.values().filter(|row| row.state == InstanceState::Draining);
        for row in leaving {
            if let Some(seen) = self.instances.get_mut(&row.id) {
                seen.leaving_since.get_or_insert(since);
            }
        }
    }

    /// Takes a server's answer to an order, which shows where the server stood after the order had been sent.
    pub fn record_answer(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        let Some(seen) = self.instances.get_mut(&order.instance) else { return };
        let is_taken = matches!(answer, OrderAnswer::Begun | OrderAnswer::Holds);
        let is_unfit = answer == OrderAnswer::Unfit;
        match &order.command {
            // It takes effect at once, and fits any member.
            GroupCommand::Leave if is_taken || is_unfit => seen.left_epoch = order.epoch,
            GroupCommand::Join { .. } if answer == OrderAnswer::Silent => {
                seen.unanswered_join = Some(UnansweredJoin { epoch: order.epoch, noted_at: now });
            }
            GroupCommand::Close { .. } if is_unfit => seen.unserved_epoch = order.epoch,
            _ => {}
        }
    }

    /// Takes an entry's load, and returns the others'. `is_witness` is false for an entry that shares its machine
    /// with a member of the control group: what is cut off from control is cut off from it too, and may be reached
    /// by all other entries.
    pub fn exchange(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        for load in &report.groups {
            if (load.silent || load.refuses) && is_witness {
                self.note_silent(now, load.epoch);
            }
            if load.progressed {
                self.groups.entry(load.epoch).or_default().progressed_at = Some(now);
            }
            self.slowness.record_events(now, load.epoch, load.pace);
            self.traffic_seen |= load.in_flight > 0;
        }
        self.demand.record(now, &report.models);
        let reporter = Reporter { daemon: report.daemon.clone(), scope: report.scope.clone() };
        self.forget_load(&reporter);
        for load in &report.groups {
            *self.in_flight.entry(load.epoch).or_default() += load.in_flight;
        }
        self.loads.insert(reporter.clone(), EntryLoad { at: now, report });
        self.forget_old_loads(now);
        self.digest_for(now, &reporter)
    }

    /// Entries that have not reported for long hold nothing any more. Each exchange forgets them too; who has none for
    /// some time asks for it before going by the loads.
    pub fn forget_old_loads(&mut self, now: Millis) {
        let is_old = |load: &EntryLoad| now >= load.at + LOAD_VALID_MS;
        let old: Vec<Reporter> = self
            .loads
            .iter()
            .filter(|(_, load)| is_old(load))
            .map(|(reporter, _)| reporter.clone())
            .collect();
        old.iter().for_each(|reporter| self.forget_load(reporter));
    }

    fn forget_load(&mut self, reporter: &Reporter) {
        let Some(former) = self.loads.remove(reporter) else { return };
        for load in &former.report.groups {
            if let Some(in_flight) = self.in_flight.get_mut(&load.epoch) {
                *in_flight = in_flight.saturating_sub(load.in_flight);
            }
        }
    }

    fn digest_for(&self, now: Millis, reporter: &Reporter) -> LoadDigest {
        let own = self.loads.get(reporter);
        let own_in_flight = |epoch: u64| {
            let groups = own.iter().flat_map(|load| &load.report.groups);
            groups.filter(|group| group.epoch == epoch).map(|group| group.in_flight).sum::<u32>()
        };
        let shared = |(epoch, in_flight): (&u64, &u32)| SharedGroupLoad {
            epoch: *epoch,
            others_in_flight: in_flight.saturating_sub(own_in_flight(*epoch)),
            suspected: self.is_silent(now, *epoch),
            granted: 0,
        };
        LoadDigest { groups: self.in_flight.iter().map(shared).collect(), entries: self.loads.len() as u32 }
    }

    /// Takes an observer's word that a group is stalled.
    pub fn note_silent(&mut self, now: Millis, epoch: u64) {
        self.groups.entry(epoch).or_default().silent_at = Some(now);
        self.silent.insert(epoch);
    }

    /// What is asked of each model.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// What was seen of an instance.
    pub fn instance(&self, id: &str) -> Option<&InstanceObservation> {
        self.instances.get(id)
    }

    /// Whether this leader itself received a report of an instance recently.
    pub fn was_heard(&self, now: Millis, id: &str) -> bool {
        self.is_present(now, id) && self.instances.get(id).is_some_and(|seen| seen.sequence > 0)
    }

    /// Whether an instance is taken to take part: it reported recently, and no probe failed since.
    pub fn is_present(&self, now: Millis, id: &str) -> bool {
        self.instances.get(id).is_some_and(|seen| {
            seen.silent_since.is_none() && now < seen.reported_at + self.heartbeat.missing_after_ms()
        })
    }

    /// Whether a group was stalled at `since`, or later, when entries last reported it: none reported progress then or
    /// since.
    pub fn was_silent(&self, epoch: u64, since: Millis) -> bool {
        let Some(evidence) = self.groups.get(&epoch) else { return false };
        let Some(silent_at) = evidence.silent_at else { return false };
        silent_at + SILENCE_VALID_MS >= since
            && evidence.progressed_at.is_none_or(|at| at + PROGRESS_VALID_MS <= silent_at)
    }

    /// Whether entries find a group stalled.
    pub fn is_silent(&self, now: Millis, epoch: u64) -> bool {
        let Some(evidence) = self.groups.get(&epoch) else { return false };
        let Some(silent_at) = evidence.silent_at else { return false };
        let progressed = evidence.progressed_at.is_some_and(|at| now < at + PROGRESS_VALID_MS);
        now < silent_at + SILENCE_VALID_MS && !progressed
    }

    /// Groups that entries find stalled.
    pub fn silent_groups(&mut self, now: Millis) -> Vec<u64> {
        let reported = std::mem::take(&mut self.silent);
        let is_recent = |epoch: &u64| {
            let silent_at = self.groups.get(epoch).and_then(|evidence| evidence.silent_at);
            silent_at.is_some_and(|at| now < at + SILENCE_VALID_MS)
        };
        self.silent = reported.into_iter().filter(is_recent).collect();
        self.silent.iter().copied().filter(|epoch| self.is_silent(now, *epoch)).collect()
    }

    /// Whether an entry reported progress at a group within `span`.
    pub fn progressed_within(&self, now: Millis, epoch: u64, span: Millis) -> bool {
        let progressed_at = self.groups.get(&epoch).and_then(|evidence| evidence.progressed_at);
        progressed_at.is_some_and(|at| now < at + span)
    }

    /// Requests in flight at a group, over all entries.
    pub fn in_flight(&self, epoch: u64) -> u32 {
        self.in_flight.get(&epoch).copied().unwrap_or(0)
    }

    /// Groups that no entry sends anything to for long, as their heads asked for a long rest or said that they leave, and
    /// for how much longer, in milliseconds. Without one that any entry which uses it or holds it back sends to still:
    /// each goes by the answers that it received itself.
    pub fn held_groups(&self, now: Millis) -> BTreeMap<u64, Millis> {
        let reported =
            || self.loads.values().flat_map(|load| load.report.groups.iter().map(move |group| (load, group)));
        let mut held: BTreeMap<u64, Millis> = reported()
            .filter(|(_, group)| group.held_for_ms > 0)
            .map(|(_, group)| (group.epoch, Millis::MAX))
            .collect();
        // Most of the time there is none, and reports are many.
        if held.is_empty() {
            return held;
        }
        for (load, group) in reported() {
            if let Some(least) = held.get_mut(&group.epoch) {
                *least = group.held_for_ms.saturating_sub(now.saturating_sub(load.at)).min(*least);
            }
        }
        held.retain(|_, left_ms| *left_ms > 0);
        held
    }

    /// Groups with requests in flight.
    pub fn busy_groups(&self) -> impl Iterator<Item = u64> + '_ {
        self.in_flight.iter().filter(|(_, in_flight)| **in_flight > 0).map(|(epoch, _)| *epoch)
    }

    /// Whether the members of a silent group should be asked now; true at most once in `pause`.
    pub fn claim_probe(&mut self, now: Millis, epoch: u64, pause: Millis) -> bool {
        let evidence = self.groups.entry(epoch).or_default();
        let due = evidence.probed_at.is_none_or(|at| now >= at + pause);
        if due {
            evidence.probed_at = Some(now);
        }
        due
    }

    /// A new leader has seen nobody yet: everybody gets the time of one report to be seen.
    pub fn assume_present(&mut self, now: Millis, ids: impl Iterator<Item = String>) {
        for id in ids {
            let seen = self.instances.entry(id).or_default();
            seen.reported_at = seen.reported_at.max(now);
        }
    }

    /// Instances that were never seen get the time of one report to be seen, like all others under a new leader.
    pub fn note_unseen(&mut self, now: Millis, tables: &GatewayTables) {
        for id in tables.instances.keys() {
            if !self.instances.contains_key(id) {
                let unseen = InstanceObservation { reported_at: now, ..InstanceObservation::default() };
                self.instances.insert(id.clone(), unseen);
            }
        }
    }

    /// Extends all instances by the time for which the observer received nothing.
    pub fn excuse(&mut self, now: Millis, late: Millis) {
        for seen in self.instances.values_mut() {
            seen.reported_at = now.min(seen.reported_at + late);
        }
    }

    /// Forgets instances and groups that exist no more.
    pub fn retain(&mut self, tables: &GatewayTables) {
        self.instances.retain(|id, _| tables.instances.contains_key(id));
        let slowness = &mut self.slowness;
        slowness.retain(|epoch| tables.groups.contains_key(&epoch), |id| tables.instances.contains_key(id));
        self.groups.retain(|epoch, _| tables.groups.contains_key(epoch));
        self.in_flight.retain(|epoch, in_flight| *in_flight > 0 || tables.groups.contains_key(epoch));
    }
}
