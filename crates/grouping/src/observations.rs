//! The control leader's observations of instances and groups. They are local to the leader, and every new
//! leader collects them again.

use crate::Millis;
use crate::demand::Demand;
use crate::group_evidence::GroupEvidence;
use crate::heartbeat::HeartbeatInterval;
use crate::instances::{InstanceObservation, LeftGroup, ProbeResult};
use crate::outstanding_joins::ORDER_TIMEOUT_MS;
use crate::serving_heads::ServingHeads;
use crate::slow_server_detection::SlowServerDetector;
use dockwood_api::gateway::{
    DispatchScope, GroupOrder, InstanceReport, InstanceState, LoadDigest, LoadReport, OrderAnswer,
    RequestRate, ServerLimit, SharedGroupLoad,
};
use dockwood_state::GatewayTables;
use std::collections::{BTreeMap, BTreeSet};

/// Validity of an entry's load report.
const LOAD_VALID_MS: Millis = 1_500;

/// The sender of a load report: an entry, or a dispatcher reporting on one of its scopes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reporter {
    daemon: String,
    scope: Option<DispatchScope>,
}

/// The newest load report of one sender.
#[derive(Clone, Debug)]
struct ReceivedLoad {
    at: Millis,
    report: LoadReport,
}

/// All observations of the leader.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    heartbeat: HeartbeatInterval,
    instances: BTreeMap<String, InstanceObservation>,
    loads: BTreeMap<Reporter, ReceivedLoad>,
    /// Requests in flight by group, over all of `loads`.
    in_flight: BTreeMap<u64, u32>,
    groups: BTreeMap<u64, GroupEvidence>,
    /// Groups that were recently reported as stalled; some may have recovered.
    stalled: BTreeSet<u64>,
    demand: Demand,
    slow_servers: SlowServerDetector,
    serving_heads: ServingHeads,
    /// Rates of servers that have declared limits for some time, by id.
    limits: BTreeMap<String, RequestRate>,
    /// When the newest instance was first observed.
    pub newest_instance_at: Millis,
    /// Whether any entry has reported a request yet.
    pub traffic_seen: bool,
}

impl Observations {
    /// Sets the expected interval of the instances' reports.
    pub fn expect_heartbeats(&mut self, heartbeat: HeartbeatInterval) {
        self.heartbeat = heartbeat;
    }

    /// The expected interval of the instances' reports.
    pub fn heartbeat(&self) -> HeartbeatInterval {
        self.heartbeat
    }

    /// Records an instance's report. Returns false if a newer one has been recorded.
    pub fn record_report(&mut self, now: Millis, report: &InstanceReport) -> bool {
        let known = self.instances.contains_key(&report.id);
        if !known {
            self.newest_instance_at = now;
        }
        let seen = self.instances.entry(report.id.clone()).or_default();
        let is_newer = !known || report.sequence > seen.sequence;
        seen.reported_at = now;
        seen.absence = None;
        let reported_epoch = report.membership.as_ref().map_or(0, |membership| membership.epoch);
        seen.max_reported_epoch = seen.max_reported_epoch.max(reported_epoch);
        seen.reported_leaving |= report.state == InstanceState::Draining;
        if is_newer {
            seen.newest_report_at = now;
            seen.sequence = report.sequence;
            seen.started_ms = report.started_ms;
            let former = std::mem::replace(&mut seen.membership, report.membership.clone());
            self.serving_heads.record(&report.id, former.as_ref(), report.membership.as_ref());
            seen.staged = report.staged.clone();
        }
        is_newer
    }

    /// Resets the observations of a server that has restarted under its id. Those of the former process say
    /// nothing about the new one, except that it has left the group that the former process was in.
    pub fn reset_restarted_instance(&mut self, instance: &str, started_ms: u64, former_group: Option<u64>) {
        let Some(seen) = self.instances.get_mut(instance) else { return };
        self.serving_heads.record(instance, seen.membership.as_ref(), None);
        *seen = InstanceObservation {
            started_ms: Some(started_ms),
            left: former_group.map(|epoch| LeftGroup { epoch, after: 0 }),
            outstanding_joins: seen.outstanding_joins.after_restart(),
            ..InstanceObservation::default()
        };
    }

    /// Accepts the next report of an instance whatever its sequence number: the earlier reports under its id
    /// had another sender.
    pub fn reset_sequence(&mut self, instance: &str) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.sequence = 0;
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Millis, instance: &str, result: ProbeResult) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.record_probe(now, result);
        }
    }

    /// Records the multiple of its declared times that an instance reports to take.
    pub fn record_slowness(&mut self, now: Millis, instance: &str, factor: f64) {
        if self.instances.contains_key(instance) {
            self.slow_servers.record_factor(now, instance, factor);
        }
    }

    /// The multiple of its declared times that an instance takes, if it counts as slow.
    pub fn slow_factor(&self, instance: &str) -> Option<f64> {
        self.slow_servers.factor(instance)
    }

    /// Replaces the set of servers that have declared limits for some time.
    pub fn note_limits(&mut self, limits: Vec<ServerLimit>) {
        self.limits = limits.into_iter().map(|limit| (limit.server.id, limit.rate)).collect();
    }

    /// The rate that a server has accepted for some time, if it declared a limit.
    pub fn limit_of(&self, instance: &str) -> Option<RequestRate> {
        self.limits.get(instance).copied()
    }

    /// Whether any instance counts as slow.
    pub fn has_slow_servers(&self) -> bool {
        self.slow_servers.has_slow_servers()
    }

    /// Groups whose streams look slow and whose members should be asked now.
    pub fn claim_slow_groups(&mut self, now: Millis) -> Vec<u64> {
        self.slow_servers.claim_suspected_groups(now)
    }

    /// Slow instances that should be asked again now.
    pub fn claim_slow_servers(&mut self, now: Millis) -> Vec<String> {
        self.slow_servers.claim_rechecks(now)
    }

    /// Records since when instances have been leaving. Instances that a new leader finds leaving are recorded
    /// with 0, as it is not known how much longer they serve.
    pub fn note_departures(&mut self, since: Millis, tables: &GatewayTables) {
        let leaving = tables.instances.values().filter(|row| row.state == InstanceState::Draining);
        for row in leaving {
            if let Some(seen) = self.instances.get_mut(&row.id) {
                seen.leaving_since.get_or_insert(since);
            }
        }
    }

    /// Records that an order is sent.
    pub fn record_sent(&mut self, now: Millis, order: &GroupOrder) {
        if let Some(seen) = self.instances.get_mut(&order.instance) {
            seen.record_sent(now, order);
        }
    }

    /// Records that an earlier leader may have sent an order to join that was not answered. None was sent after `sent_at`.
    pub fn assume_unanswered_join(&mut self, sent_at: Millis, instance: &str, epoch: u64) {
        let seen = self.instances.entry(instance.to_string()).or_default();
        seen.outstanding_joins.timed_out(epoch, sent_at + ORDER_TIMEOUT_MS);
    }

    /// Records a server's answer to an order.
    pub fn record_answer(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        if let Some(seen) = self.instances.get_mut(&order.instance) {
            seen.record_answer(now, order, answer);
        }
    }

    /// Records an entry's load, and returns the load of the others. `is_witness` is false for an entry that
    /// shares its machine with a member of the control group: whatever is partitioned from that member is
    /// also partitioned from the entry, while all other entries may still reach it.
    pub fn exchange(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        for load in &report.groups {
            if (load.silent || load.refuses) && is_witness {
                self.note_stalled(now, load.epoch);
            }
            if load.progressed {
                self.groups.entry(load.epoch).or_default().progressed_at = Some(now);
            }
            self.slow_servers.record_events(now, load.epoch, load.pace);
            self.traffic_seen |= load.in_flight > 0;
        }
        self.demand.record(now, &report.models);
        let reporter = Reporter { daemon: report.daemon.clone(), scope: report.scope.clone() };
        self.remove_load(&reporter);
        for load in &report.groups {
            *self.in_flight.entry(load.epoch).or_default() += load.in_flight;
        }
        self.loads.insert(reporter.clone(), ReceivedLoad { at: now, report });
        self.expire_loads(now);
        self.digest_for(now, &reporter)
    }

    /// Removes expired load reports. Each exchange does this too; a caller that has had no exchange for some
    /// time must call it before it uses the loads.
    pub fn expire_loads(&mut self, now: Millis) {
        let is_expired = |load: &ReceivedLoad| now >= load.at + LOAD_VALID_MS;
        let expired: Vec<Reporter> = self
            .loads
            .iter()
            .filter(|(_, load)| is_expired(load))
            .map(|(reporter, _)| reporter.clone())
            .collect();
        expired.iter().for_each(|reporter| self.remove_load(reporter));
    }

    fn remove_load(&mut self, reporter: &Reporter) {
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
            suspected: self.is_stalled(now, *epoch),
            granted: 0,
        };
        LoadDigest { groups: self.in_flight.iter().map(shared).collect(), entries: self.loads.len() as u32 }
    }

    /// Records an observer's report that a group is stalled.
    pub fn note_stalled(&mut self, now: Millis, epoch: u64) {
        self.groups.entry(epoch).or_default().stalled_at = Some(now);
        self.stalled.insert(epoch);
    }

    /// The demand for each model.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// The observations of an instance.
    pub fn instance(&self, id: &str) -> Option<&InstanceObservation> {
        self.instances.get(id)
    }

    /// Whether this leader itself received a recent report of an instance.
    pub fn was_heard(&self, now: Millis, id: &str) -> bool {
        self.is_present(now, id) && self.instances.get(id).is_some_and(|seen| seen.sequence > 0)
    }

    /// Whether an instance is considered present: it reported recently, and no probe has failed since.
    pub fn is_present(&self, now: Millis, id: &str) -> bool {
        self.instances.get(id).is_some_and(|seen| {
            seen.absence.is_none() && now < seen.reported_at + self.heartbeat.missing_after_ms()
        })
    }

    /// Whether a group was stalled at `since` or later according to the entries' last reports, with no
    /// progress reported then or since.
    pub fn was_stalled(&self, epoch: u64, since: Millis) -> bool {
        self.groups.get(&epoch).is_some_and(|evidence| evidence.was_stalled(since))
    }

    /// Whether entries currently report a group as stalled.
    pub fn is_stalled(&self, now: Millis, epoch: u64) -> bool {
        self.groups.get(&epoch).is_some_and(|evidence| evidence.is_stalled(now))
    }

    /// Groups that entries currently report as stalled.
    pub fn stalled_groups(&mut self, now: Millis) -> Vec<u64> {
        let reported = std::mem::take(&mut self.stalled);
        let is_recent = |epoch: &u64| self.groups.get(epoch).is_some_and(|group| group.is_recent(now));
        self.stalled = reported.into_iter().filter(is_recent).collect();
        self.stalled.iter().copied().filter(|epoch| self.is_stalled(now, *epoch)).collect()
    }

    /// Whether an entry reported progress at a group within `span`.
    pub fn progressed_within(&self, now: Millis, epoch: u64, span: Millis) -> bool {
        self.groups.get(&epoch).is_some_and(|evidence| evidence.progressed_within(now, span))
    }

    /// Whether a server that reports to be a group's head has opened it and not left it since.
    pub fn may_be_serving(&self, epoch: u64) -> bool {
        self.serving_heads.contains(epoch)
    }

    /// Requests in flight at a group, over all entries.
    pub fn in_flight(&self, epoch: u64) -> u32 {
        self.in_flight.get(&epoch).copied().unwrap_or(0)
    }

    /// Groups that no entry sends requests to for long, because their heads asked for a long pause or
    /// announced that they are leaving, with the remaining time in milliseconds. A group is omitted if any
    /// entry that uses it or holds back from it still sends to it: each entry acts on the responses that it
    /// received itself.
    pub fn held_back_groups(&self, now: Millis) -> BTreeMap<u64, Millis> {
        let reported =
            || self.loads.values().flat_map(|load| load.report.groups.iter().map(move |group| (load, group)));
        let mut held_back: BTreeMap<u64, Millis> = reported()
            .filter(|(_, group)| group.held_for_ms > 0)
            .map(|(_, group)| (group.epoch, Millis::MAX))
            .collect();
        // There are usually none, while there are many reports to scan.
        if held_back.is_empty() {
            return held_back;
        }
        for (load, group) in reported() {
            if let Some(min_left_ms) = held_back.get_mut(&group.epoch) {
                *min_left_ms =
                    group.held_for_ms.saturating_sub(now.saturating_sub(load.at)).min(*min_left_ms);
            }
        }
        held_back.retain(|_, left_ms| *left_ms > 0);
        held_back
    }

    /// Groups with requests in flight.
    pub fn busy_groups(&self) -> impl Iterator<Item = u64> + '_ {
        self.in_flight.iter().filter(|(_, in_flight)| **in_flight > 0).map(|(epoch, _)| *epoch)
    }

    /// Whether the members of a stalled group should be probed now; true at most once in `pause`.
    pub fn claim_probe(&mut self, now: Millis, epoch: u64, pause: Millis) -> bool {
        let evidence = self.groups.entry(epoch).or_default();
        let is_due = evidence.probed_at.is_none_or(|at| now >= at + pause);
        if is_due {
            evidence.probed_at = Some(now);
        }
        is_due
    }

    /// Treats all instances as present for the time of one report, as a new leader has received no reports
    /// yet.
    pub fn assume_present(&mut self, now: Millis, ids: impl Iterator<Item = String>) {
        for id in ids {
            let seen = self.instances.entry(id).or_default();
            seen.reported_at = seen.reported_at.max(now);
        }
    }

    /// Treats instances that were never observed as present for the time of one report, like all instances
    /// under a new leader.
    pub fn note_unseen(&mut self, now: Millis, tables: &GatewayTables) {
        for id in tables.instances.keys() {
            if !self.instances.contains_key(id) {
                let unseen = InstanceObservation { reported_at: now, ..InstanceObservation::default() };
                self.instances.insert(id.clone(), unseen);
            }
        }
    }

    /// Extends the deadlines of all instances by the time for which the observer received nothing.
    pub fn extend_deadlines(&mut self, now: Millis, late: Millis) {
        for seen in self.instances.values_mut() {
            seen.reported_at = now.min(seen.reported_at + late);
        }
    }

    /// Removes instances and groups that no longer exist.
    pub fn retain(&mut self, tables: &GatewayTables) {
        self.instances.retain(|id, _| tables.instances.contains_key(id));
        self.serving_heads.retain(|head| tables.instances.contains_key(head));
        let slow_servers = &mut self.slow_servers;
        slow_servers
            .retain(|epoch| tables.groups.contains_key(&epoch), |id| tables.instances.contains_key(id));
        self.groups.retain(|epoch, _| tables.groups.contains_key(epoch));
        self.in_flight.retain(|epoch, in_flight| *in_flight > 0 || tables.groups.contains_key(epoch));
    }
}
