//! The leader's part in the gateway: what instances and entries report, which groups follow, and the orders to
//! send. Local to one leader term; a new leader gathers it again.

use crate::Millis;
use crate::successors::Successors;
use dockwood_api::gateway::{
    GroupOrder, InstanceReport, LoadDigest, LoadReport, OrderAnswer, PlaceReply, PlaceRequest, ServerLimit,
    SharedGroupLoad,
};
use dockwood_grouping::{
    ColdLimit, Dispatcher, GroupPlaces, GroupingPolicy, Observations, OrderBook, OrderKind, PlaceLedger,
    ProbeResult, Scrutiny, View, advance_groups, places_of_group, plan, plan_pause_ms, reap_instances,
    release_members, replace_slow_members, scrutiny_pause_ms,
};
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, GroupRow, InstanceRow};
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Pause between two rounds of asking the members of one silent group.
const PROBE_PAUSE_MS: Millis = 700;

/// What an instance is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeQuestion {
    /// Whether it is alive.
    IsAlive,
    /// Whether it is the one that answers at its address, by the health check at this path.
    AnswersAt(String),
}

/// An instance to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceProbe {
    /// Instance id.
    pub instance: String,
    /// Service, which names the health path.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// What it is asked.
    pub question: ProbeQuestion,
}

/// The gateway's state of one leader term.
#[derive(Debug, Default)]
pub struct GatewayLeadership {
    observations: Observations,
    places: PlaceLedger,
    dispatcher: Dispatcher,
    orders: OrderBook,
    /// Members that left an order to join unanswered, to be asked whether they are alive.
    unanswered: BTreeSet<String>,
    successors: Successors,
    started: bool,
    /// When all groups and servers are looked at again.
    scrutiny_at: Millis,
    /// When the next plan may be made.
    plan_at: Millis,
    known: KnownTables,
}

/// The instances and groups as they were when last looked at; a copy shares all with the original.
#[derive(Debug, Default)]
struct KnownTables {
    instances: OrdMap<String, Arc<InstanceRow>>,
    groups: OrdMap<u64, Arc<GroupRow>>,
}

impl KnownTables {
    fn of(tables: &GatewayTables) -> KnownTables {
        KnownTables { instances: tables.instances.clone(), groups: tables.groups.clone() }
    }

    /// Whether neither has changed.
    fn is_same(&self, tables: &GatewayTables) -> bool {
        self.instances.ptr_eq(&tables.instances) && self.groups.ptr_eq(&tables.groups)
    }
}

impl GatewayLeadership {
    /// Takes a report. The command that must be committed before it is acknowledged, if there is one.
    pub fn register(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        report: &InstanceReport,
    ) -> Option<GatewayCommand> {
        if self.is_of_former_start(tables, report) {
            return None;
        }
        if tables.is_outdated_report(&report.id, report.started_ms) {
            // It never comes back, but it may be serving still, and its word on its group counts until it ends.
            if tables.instances.contains_key(&report.id) {
                self.take_report(now, tables, report);
            }
            return None;
        }
        let is_newest = self.take_report(now, tables, report);
        let row = InstanceRow::from(report);
        let known = tables.instances.get(&report.id);
        if known.is_none() && self.successors.is_doubtful(now, tables, &self.observations, &row) {
            self.successors.ask_about(row);
            return None;
        }
        let is_news = known.is_none_or(|known| is_newest && **known != row);
        is_news.then_some(GatewayCommand::Register(row))
    }

    /// Whether a report is late: its sender has started again since.
    fn is_of_former_start(&self, tables: &GatewayTables, report: &InstanceReport) -> bool {
        let newest = self.newest_start(tables, &report.id);
        report.started_ms.zip(newest).is_some_and(|(reported, newest)| reported < newest)
    }

    /// The newest start of an instance that is known, in milliseconds since the Unix epoch.
    fn newest_start(&self, tables: &GatewayTables, id: &str) -> Option<u64> {
        let seen = self.observations.instance(id).and_then(|seen| seen.started_ms);
        seen.max(tables.instances.get(id).and_then(|row| row.started_ms))
    }

    /// Takes a report's content. False if a newer one was taken before.
    fn take_report(&mut self, now: Millis, tables: &GatewayTables, report: &InstanceReport) -> bool {
        let known = self.newest_start(tables, &report.id);
        if let Some((started_ms, known)) = report.started_ms.zip(known)
            && started_ms > known
        {
            let former_group = tables.group_of(&report.id).map(|group| group.epoch);
            self.observations.begin_again(&report.id, started_ms, former_group);
        }
        if let Some(group) = tables.group_of(&report.id) {
            self.orders.touch(group.epoch);
        }
        self.observations.record_report(now, report)
    }

    /// Takes an entry's load, and returns the others' and the places that it may take. `entries` are those that are
    /// live.
    pub fn exchange(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        entries: u32,
        report: LoadReport,
        is_witness: bool,
    ) -> LoadDigest {
        if report.scope.is_some() {
            return self.take_summary(now, report, is_witness);
        }
        self.places.expect_entries(entries);
        let takes_new =
            |group: &&Arc<GroupRow>| group.phase == GroupPhase::Open && !tables.is_evacuated(&group.zone);
        let open = tables.groups.values().filter(takes_new);
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

    /// Assigns a request to a group. `cold_limit` is by how much the rate that cold servers declare may be exceeded.
    pub fn assign(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        cold_limit: ColdLimit,
        request: &PlaceRequest,
    ) -> PlaceReply {
        self.dispatcher.limit_cold_heads(cold_limit);
        self.dispatcher.assign(now, request, tables, &self.observations)
    }

    /// Takes a dispatcher's summary of its scope, and returns which groups are found to be stalled.
    fn take_summary(&mut self, now: Millis, report: LoadReport, is_witness: bool) -> LoadDigest {
        let mut digest = self.observations.exchange(now, report, is_witness);
        digest.groups.retain(|shared| shared.suspected);
        digest
    }

    /// Notes what came of an order. A refused connection is evidence like a probe's. Silence is none, as servers leave
    /// orders unanswered and carry them out late; but a group waits for each of its members, so the member is asked
    /// whether it is alive. Measured where servers are cut off: such groups were given up after 3.3 s, when the silent
    /// member's heartbeats had been missing for long enough; this takes 0.7 s.
    pub fn order_answered(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        self.orders.answered(now, order, answer);
        self.observations.record_answer(now, order, answer);
        match answer {
            OrderAnswer::Unreachable => {
                self.observations.record_probe(now, &order.instance, ProbeResult::Refused);
            }
            OrderAnswer::Silent if OrderKind::of(&order.command) == OrderKind::Join => {
                self.unanswered.insert(order.instance.clone());
            }
            _ => {}
        }
    }

    /// Extends all instances by the time for which this leader received nothing.
    pub fn excuse(&mut self, now: Millis, late: Millis) {
        self.observations.excuse(now, late);
    }

    /// Notes what came of a probe, and how many times its declared times the instance takes, if it reported that.
    pub fn probed(&mut self, now: Millis, instance: &str, result: ProbeResult, slowness: Option<f64>) {
        if self.successors.answered(instance, result) {
            return;
        }
        self.observations.record_probe(now, instance, result);
        if let Some(factor) = slowness {
            self.observations.record_slowness(now, instance, factor);
        }
    }

    /// Takes the servers that have named limits for some time, all of them.
    pub fn note_limits(&mut self, limits: Vec<ServerLimit>) {
        self.observations.note_limits(limits);
    }

    /// Commands that should be committed now.
    pub fn decide(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        policy: GroupingPolicy,
    ) -> Vec<GatewayCommand> {
        if !self.started {
            self.started = true;
            self.observations.expect_heartbeats(policy.heartbeat);
            self.observations.assume_present(now, tables.instances.keys().cloned());
            self.observations.note_departures(0, tables);
        }
        self.follow(now, tables);
        let view = View { tables, observations: &self.observations, now, policy };
        let looks_at_all = now >= self.scrutiny_at;
        let scrutiny = if looks_at_all { Scrutiny::All } else { Scrutiny::Unsettled };
        let mut commands = self.successors.confirmed();
        commands.extend(advance_groups(&view, scrutiny, |epoch| self.orders.closing_since(now, epoch)));
        commands.extend(release_members(&view, |epoch| self.orders.closing_since(now, epoch)));
        if looks_at_all {
            self.scrutiny_at = now + scrutiny_pause_ms(tables.instances.len());
            let decided: BTreeSet<u64> = commands.iter().filter_map(decided_group).collect();
            commands.extend(replace_slow_members(&view, |epoch| decided.contains(&epoch)));
            commands.extend(reap_instances(&view));
        }
        if self.observations.traffic_seen && !tables.requests_seen {
            commands.push(GatewayCommand::NoteRequests);
        }
        // A plan is made on settled tables only: what was decided is committed first.
        if commands.is_empty() && now >= self.plan_at {
            let plan = plan(&view, self.orders.staging());
            self.plan_at = now + plan_pause_ms(tables.instances.len());
            self.orders.wish(plan.staging);
            commands = plan.commands;
        }
        commands
    }

    /// Notes which instances have begun to leave, and forgets instances and groups that are gone.
    fn follow(&mut self, now: Millis, tables: &GatewayTables) {
        if self.known.is_same(tables) {
            return;
        }
        self.observations.note_departures(now, tables);
        self.observations.retain(tables);
        self.observations.note_unseen(now, tables);
        self.dispatcher.retain(|epoch| tables.groups.contains_key(&epoch));
        self.dispatcher.observe_heads(now, tables);
        self.known = KnownTables::of(tables);
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
        self.orders.to_send(&view, term)
    }

    /// Members of silent or slow groups, slow servers, those that left an order to join unanswered, and instances that
    /// seem to have taken another one's address, to be asked.
    pub fn probes(&mut self, now: Millis, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let unanswered = std::mem::take(&mut self.unanswered);
        let rows = unanswered.iter().filter_map(|instance| tables.instances.get(instance));
        let mut probes: Vec<InstanceProbe> = rows.map(|row| probe_of(row)).collect();
        probes.extend(self.slowness_probes(now, tables));
        probes.extend(self.successors.due_probes(tables));
        for epoch in self.observations.silent_groups(now) {
            let group = tables.groups.get(&epoch).filter(|group| group.phase == GroupPhase::Open);
            let Some(group) = group else { continue };
            if !self.observations.claim_probe(now, epoch, PROBE_PAUSE_MS) {
                continue;
            }
            let rows = group.members.iter().filter_map(|member| tables.instances.get(member));
            probes.extend(rows.map(|row| probe_of(row)));
        }
        probes
    }

    /// Members of groups whose streams look slow, and servers that said that they are slow.
    fn slowness_probes(&mut self, now: Millis, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let groups = self.observations.claim_slow_groups(now);
        let open = groups.iter().filter_map(|epoch| tables.groups.get(epoch));
        let open = open.filter(|group| group.phase == GroupPhase::Open);
        let mut asked: BTreeSet<String> = open.flat_map(|group| group.members.iter().cloned()).collect();
        asked.extend(self.observations.claim_slow_servers(now));
        asked.iter().filter_map(|instance| tables.instances.get(instance)).map(|row| probe_of(row)).collect()
    }
}

/// The group whose phase a command sets.
fn decided_group(command: &GatewayCommand) -> Option<u64> {
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

/// Requests that a group of a service may hold.
fn places_of(tables: &GatewayTables, service: &str) -> u32 {
    tables.engine(service).map_or(0, places_of_group)
}
