//! The leader's part of the gateway: collects reports of instances and entries, and derives group changes and
//! orders from them. Local to one leader term; a new leader collects the reports again.

use crate::Millis;
use crate::address_takeovers::AddressTakeovers;
use crate::formation_times::FormationTimes;
use crate::heartbeat_origin::{ForeignHeartbeat, ForeignHeartbeats, HeartbeatOrigin, heartbeat_origin};
use crate::unexpected_memberships::UnexpectedMembership;
use dockwood_api::gateway::{
    GroupOrder, InstanceReport, LoadDigest, LoadReport, OrderAnswer, PlaceReply, PlaceRequest, ServerLimit,
    SharedGroupLoad,
};
use dockwood_grouping::{
    ColdLimit, Dispatcher, GroupPlaces, GroupingPolicy, Observations, OrderKind, OrderTracker,
    PlaceAllocator, ProbeResult, ScanScope, StaleMembers, View, advance_groups, full_scan_interval_ms,
    places_of_group, plan, plan_interval_ms, reap_instances, release_members, replace_slow_members,
    settle_joins,
};
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupRow, InstanceRow};
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between two rounds of probes of the members of one silent group.
const PROBE_INTERVAL_MS: Millis = 700;

/// What a probe checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeQuestion {
    /// Whether the instance is alive.
    IsAlive,
    /// Whether this instance is the one that answers at its address, by a health check at this path.
    AnswersAt(String),
}

/// A probe of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceProbe {
    /// Instance id.
    pub instance: String,
    /// Service, which determines the health path.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// What the probe checks.
    pub question: ProbeQuestion,
}

/// Gateway state of one leader term.
#[derive(Debug, Default)]
pub struct GatewayLeaderState {
    observations: Observations,
    places: PlaceAllocator,
    dispatcher: Dispatcher,
    orders: OrderTracker,
    stale_members: StaleMembers,
    /// Members to probe, because they did not answer an order to join.
    silent_joiners: BTreeSet<String>,
    address_takeovers: AddressTakeovers,
    foreign_heartbeats: ForeignHeartbeats,
    /// The unexpected membership that the last report showed, until it is recorded.
    unexpected_membership: Option<UnexpectedMembership>,
    /// Whether the groups of earlier leaders have been taken over.
    has_taken_over: bool,
    initialized: bool,
    /// When all groups and servers are checked again.
    next_full_check_at: Millis,
    /// Earliest time of the next plan.
    next_plan_at: Millis,
    last_seen: TableSnapshot,
}

/// The instances and groups at the last check; persistent maps, so that a copy is cheap.
#[derive(Debug, Default)]
struct TableSnapshot {
    instances: OrdMap<String, Arc<InstanceRow>>,
    groups: OrdMap<u64, Arc<GroupRow>>,
}

impl TableSnapshot {
    fn of(tables: &GatewayTables) -> TableSnapshot {
        TableSnapshot { instances: tables.instances.clone(), groups: tables.groups.clone() }
    }

    /// Whether both are unchanged.
    fn is_same(&self, tables: &GatewayTables) -> bool {
        self.instances.ptr_eq(&tables.instances) && self.groups.ptr_eq(&tables.groups)
    }
}

impl GatewayLeaderState {
    /// Takes an instance's report. Returns the command to commit before the report is acknowledged, if any.
    pub fn register(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        report: &InstanceReport,
    ) -> Option<GatewayCommand> {
        match heartbeat_origin(now, tables, &self.observations, report) {
            HeartbeatOrigin::Registered => {}
            HeartbeatOrigin::Foreign => {
                self.foreign_heartbeats.note(now, report);
                return None;
            }
            HeartbeatOrigin::Replacement => self.observations.reset_sequence(&report.id),
        }
        if self.is_from_earlier_start(tables, report) {
            return None;
        }
        if tables.is_outdated_report(&report.id, report.started_ms) {
            // The instance is never admitted again, but it may still be serving, and its reports on its group
            // count until it ends.
            if tables.instances.contains_key(&report.id) {
                self.record_report(now, tables, report);
            }
            return None;
        }
        let is_newest = self.record_report(now, tables, report);
        let row = InstanceRow::from(report);
        let known = tables.instances.get(&report.id);
        let is_at_new_address = known.is_none_or(|known| known.address != row.address);
        if is_at_new_address && self.address_takeovers.needs_probe(now, tables, &self.observations, &row) {
            self.address_takeovers.add(row);
            return None;
        }
        let is_changed = known.is_none_or(|known| is_newest && **known != row);
        is_changed.then_some(GatewayCommand::Register(row))
    }

    /// Takes over the groups of earlier leaders. Has an effect once.
    ///
    /// What servers answered to earlier leaders is known only of groups with settled joins. Of all others, each member
    /// may have left an order to join unanswered, which was sent while the group was forming.
    pub fn take_over(&mut self, now: Millis, tables: &GatewayTables, formation_times: &FormationTimes) {
        if std::mem::replace(&mut self.has_taken_over, true) {
            return;
        }
        for group in tables.groups.values().filter(|group| !tables.has_settled_joins(group.epoch)) {
            let last_sent_at = formation_times.formed_at(group.epoch).unwrap_or(now);
            for member in &group.members {
                self.observations.assume_unanswered_join(last_sent_at, member, group.epoch);
            }
        }
    }

    /// Takes the foreign heartbeat that is to be recorded now, if any.
    pub fn take_foreign_heartbeat(&mut self) -> Option<ForeignHeartbeat> {
        self.foreign_heartbeats.take_unrecorded()
    }

    /// Takes the unexpected membership that the last report showed, if any.
    pub fn take_unexpected_membership(&mut self) -> Option<UnexpectedMembership> {
        self.unexpected_membership.take()
    }

    /// Whether a report is stale: its sender has restarted since.
    fn is_from_earlier_start(&self, tables: &GatewayTables, report: &InstanceReport) -> bool {
        let newest = self.latest_start(tables, &report.id);
        report.started_ms.zip(newest).is_some_and(|(reported, newest)| reported < newest)
    }

    /// The latest known start of an instance, in milliseconds since the Unix epoch.
    fn latest_start(&self, tables: &GatewayTables, id: &str) -> Option<u64> {
        let seen = self.observations.instance(id).and_then(|seen| seen.started_ms);
        seen.max(tables.instances.get(id).and_then(|row| row.started_ms))
    }

    /// Records the content of a report. False if a newer report was recorded before.
    fn record_report(&mut self, now: Millis, tables: &GatewayTables, report: &InstanceReport) -> bool {
        let known = self.latest_start(tables, &report.id);
        if let Some((started_ms, known)) = report.started_ms.zip(known)
            && started_ms > known
        {
            let earlier_group = tables.group_of(&report.id).map(|group| group.epoch);
            self.observations.reset_restarted_instance(&report.id, started_ms, earlier_group);
        }
        if let Some(group) = tables.group_of(&report.id) {
            self.orders.touch(group.epoch);
        }
        self.unexpected_membership = UnexpectedMembership::shown_by(report, now, tables, &self.observations);
        self.observations.record_report(now, report)
    }

    /// Records an entry's load, and returns the load of the others and the places granted to it. `entries` is
    /// the number of live entries.
    pub fn exchange_load(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        entries: u32,
        report: LoadReport,
        is_witness: bool,
    ) -> LoadDigest {
        if report.scope.is_some() {
            return self.record_summary(now, report, is_witness);
        }
        self.places.expect_entries(entries);
        let accepts_requests =
            |group: &&Arc<GroupRow>| group.phase == GroupPhase::Open && !tables.is_evacuated(&group.zone);
        let open = tables.groups.values().filter(accepts_requests);
        let groups = open.map(|group| GroupPlaces {
            epoch: group.epoch,
            service: &group.service,
            model: &group.model,
            places: places_of(tables, &group.service),
        });
        let grants = self.places.exchange(now, &report.daemon, &report.groups, &report.models, groups);
        self.dispatcher.reported(now, &report.daemon);
        let mut digest = self.observations.exchange(now, report, is_witness);
        for shared in &mut digest.groups {
            shared.granted = grants.get(&shared.epoch).copied().unwrap_or(0);
        }
        let known: BTreeSet<u64> = digest.groups.iter().map(|shared| shared.epoch).collect();
        let unknown = grants.into_iter().filter(|(epoch, _)| !known.contains(epoch));
        digest.groups.extend(unknown.map(|(epoch, granted)| SharedGroupLoad {
            epoch,
            others_in_flight: 0,
            suspected: false,
            granted,
        }));
        digest
    }

    /// Sets by how much the rates declared by cold servers may be exceeded. `started_at` is when this process
    /// started.
    pub fn limit_cold_heads(&mut self, limit: ColdLimit, started_at: Millis) {
        self.dispatcher.limit_cold_heads(limit, started_at);
    }

    /// Assigns a request to a group.
    pub fn assign(&mut self, now: Millis, tables: &GatewayTables, request: &PlaceRequest) -> PlaceReply {
        self.dispatcher.assign(now, request, tables, &self.observations)
    }

    /// Records a dispatcher's summary of its scope, and returns the groups that are considered stalled.
    fn record_summary(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        let mut digest = self.observations.exchange(now, report, is_witness);
        digest.groups.retain(|shared| shared.suspected);
        digest
    }

    /// Records the result of an order. A refused connection counts like a failed probe. Silence does not, as
    /// servers may leave orders unanswered and carry them out late; but a group waits for each of its
    /// members, so a member that does not answer a join order is probed. Measured with servers cut off from
    /// the network: without the probe such groups were abandoned after 3.3 s, when enough of the member's
    /// heartbeats were missing; with it after 0.7 s.
    pub fn record_order_answer(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        self.orders.answered(now, order, answer);
        self.stale_members.answered(now, order);
        self.observations.record_answer(now, order, answer);
        match answer {
            OrderAnswer::Unreachable => {
                self.observations.record_probe(now, &order.instance, ProbeResult::Refused);
            }
            OrderAnswer::Silent if OrderKind::of(&order.command) == OrderKind::Join => {
                self.silent_joiners.insert(order.instance.clone());
            }
            _ => {}
        }
    }

    /// Extends the deadlines of all instances by the time for which this leader received nothing.
    pub fn extend_deadlines(&mut self, now: Millis, delay: Millis) {
        self.observations.extend_deadlines(now, delay);
    }

    /// Records the result of a probe, and the ratio of the instance's actual to its declared processing
    /// times, if reported.
    pub fn record_probe(&mut self, now: Millis, instance: &str, result: ProbeResult, slowness: Option<f64>) {
        if self.address_takeovers.record_probe_result(instance, result) {
            return;
        }
        self.observations.record_probe(now, instance, result);
        if let Some(factor) = slowness {
            self.observations.record_slowness(now, instance, factor);
        }
    }

    /// Replaces the set of servers whose load limits have persisted for some time.
    pub fn set_server_limits(&mut self, limits: Vec<ServerLimit>) {
        self.observations.note_limits(limits);
    }

    /// Returns the commands that should be committed now.
    pub fn decide(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        policy: GroupingPolicy,
    ) -> Vec<GatewayCommand> {
        if !self.initialized {
            self.initialized = true;
            self.observations.expect_heartbeats(policy.heartbeat);
            self.observations.assume_present(now, tables.instances.keys().cloned());
            self.observations.note_departures(0, tables);
        }
        self.track_changes(now, tables);
        let view = View { tables, observations: &self.observations, now, policy };
        let is_full_check = now >= self.next_full_check_at;
        let scrutiny = if is_full_check { ScanScope::All } else { ScanScope::Unsettled };
        let mut commands = self.address_takeovers.take_confirmed();
        commands.extend(advance_groups(&view, scrutiny, |epoch| self.orders.closing_since(now, epoch)));
        commands.extend(release_members(&view, |epoch| self.orders.closing_since(now, epoch)));
        if is_full_check {
            self.next_full_check_at = now + full_scan_interval_ms(tables.instances.len());
            let decided: BTreeSet<u64> = commands.iter().filter_map(group_with_set_phase).collect();
            commands.extend(replace_slow_members(&view, |epoch| decided.contains(&epoch)));
            commands.extend(reap_instances(&view));
            self.stale_members.scan(&view);
        }
        if self.observations.traffic_seen && !tables.requests_seen {
            commands.push(GatewayCommand::NoteRequests);
        }
        // Plans are only made on settled tables: earlier decisions are committed first.
        if commands.is_empty() && now >= self.next_plan_at {
            let plan = plan(&view, self.orders.staging());
            self.next_plan_at = now + plan_interval_ms(tables.instances.len());
            self.orders.set_staging_requests(plan.staging);
            commands = plan.commands;
        }
        commands.extend(settle_joins(&view));
        commands
    }

    /// Records which instances have begun to leave, and drops instances and groups that no longer exist.
    fn track_changes(&mut self, now: Millis, tables: &GatewayTables) {
        if self.last_seen.is_same(tables) {
            return;
        }
        self.observations.note_departures(now, tables);
        self.observations.retain(tables);
        self.observations.note_unseen(now, tables);
        self.dispatcher.retain(|epoch| tables.groups.contains_key(&epoch));
        self.dispatcher.observe_heads(now, tables);
        self.last_seen = TableSnapshot::of(tables);
    }

    /// Orders to send now.
    pub fn orders_to_send(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        policy: GroupingPolicy,
        term: u64,
    ) -> Vec<GroupOrder> {
        let view = View { tables, observations: &self.observations, now, policy };
        let mut orders = self.orders.due_orders(&view, term);
        orders.extend(self.stale_members.due_orders(&view, term));
        orders.iter().for_each(|order| self.observations.record_sent(now, order));
        orders
    }

    /// Returns the instances to probe now: members of silent or slow groups, slow servers, members that did
    /// not answer a join order, and instances that seem to have taken over another one's address.
    pub fn probes(&mut self, now: Millis, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let silent_joiners = std::mem::take(&mut self.silent_joiners);
        let rows = silent_joiners.iter().filter_map(|instance| tables.instances.get(instance));
        let mut probes: Vec<InstanceProbe> = rows.map(|row| probe_of(row)).collect();
        probes.extend(self.slowness_probes(now, tables));
        probes.extend(self.address_takeovers.due_probes(tables));
        for epoch in self.observations.stalled_groups(now) {
            let group = tables.groups.get(&epoch).filter(|group| group.phase == GroupPhase::Open);
            let Some(group) = group else { continue };
            if !self.observations.claim_probe(now, epoch, PROBE_INTERVAL_MS) {
                continue;
            }
            let rows = group.members.iter().filter_map(|member| tables.instances.get(member));
            probes.extend(rows.map(|row| probe_of(row)));
        }
        probes
    }

    /// Probes members of groups with slow streams, and servers that reported themselves as slow.
    fn slowness_probes(&mut self, now: Millis, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let groups = self.observations.claim_slow_groups(now);
        let open = groups.iter().filter_map(|epoch| tables.groups.get(epoch));
        let open = open.filter(|group| group.phase == GroupPhase::Open);
        let mut probed: BTreeSet<String> = open.flat_map(|group| group.members.iter().cloned()).collect();
        probed.extend(self.observations.claim_slow_servers(now));
        probed.iter().filter_map(|instance| tables.instances.get(instance)).map(|row| probe_of(row)).collect()
    }
}

/// The group whose phase a command sets.
fn group_with_set_phase(command: &GatewayCommand) -> Option<u64> {
    match command {
        GatewayCommand::SetPhase { epoch, .. } => Some(*epoch),
        _ => None,
    }
}

fn probe_of(row: &InstanceRow) -> InstanceProbe {
    InstanceProbe {
        instance: row.id.clone(),
        service: row.service.clone(),
        address: row.address,
        question: ProbeQuestion::IsAlive,
    }
}

/// Maximum number of requests in a group of a service.
fn places_of(tables: &GatewayTables, service: &str) -> u32 {
    tables.engine(service).map_or(0, places_of_group)
}
