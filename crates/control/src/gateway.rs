//! The leader's part in the gateway: what instances and entries report, which groups follow, and the orders to
//! send. Local to one leader term; a new leader gathers it anew.

use crate::Millis;
use dockwood_api::gateway::{
    GroupOrder, InstanceReport, LoadDigest, LoadReport, OrderAnswer, PlaceReply, PlaceRequest,
    SharedGroupLoad,
};
use dockwood_grouping::{
    Dispatcher, GroupPlaces, GroupingPolicy, Observations, OrderBook, PlaceLedger, ProbeResult, View,
    advance_groups, places_of_group, plan, reap_instances, release_members,
};
use dockwood_state::{GatewayCommand, GatewayTables, GroupPhase, InstanceRow};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Pause between two rounds of asking the members of one silent group.
const PROBE_PAUSE_MS: Millis = 700;

/// An instance to ask whether it is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceProbe {
    /// Instance id.
    pub instance: String,
    /// Service, which names the health path.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
}

/// The gateway's state of one leader term.
#[derive(Debug, Default)]
pub struct GatewayLeadership {
    observations: Observations,
    places: PlaceLedger,
    dispatcher: Dispatcher,
    orders: OrderBook,
    started: bool,
}

impl GatewayLeadership {
    /// Takes a report. The command that must be committed before it is acknowledged, if there is one.
    pub fn register(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        report: &InstanceReport,
    ) -> Option<GatewayCommand> {
        if tables.was_removed(&report.id) {
            return None;
        }
        let is_newest = self.observations.record_report(now, report);
        let row = InstanceRow::from(report);
        let known = tables.instances.get(&report.id);
        let is_news = known.is_none_or(|known| is_newest && **known != row);
        is_news.then_some(GatewayCommand::Register(row))
    }

    /// Takes an entry's load, and tells it the others' and the places that it may take. `entries` are those that are
    /// live.
    pub fn exchange(
        &mut self,
        now: Millis,
        tables: &GatewayTables,
        entries: u32,
        report: LoadReport,
        is_witness: bool,
    ) -> LoadDigest {
        self.places.expect_entries(entries);
        let open = tables.groups.values().filter(|group| group.phase == GroupPhase::Open);
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

    /// Assigns a request to a group.
    pub fn assign(&mut self, now: Millis, tables: &GatewayTables, request: &PlaceRequest) -> PlaceReply {
        let profile = tables.configuration.as_ref().and_then(|held| held.service(&request.service));
        let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) else {
            return PlaceReply::NoGroup;
        };
        let groups = tables.groups.values().filter(|group| {
            let serves = group.service == request.service && group.model == request.model;
            serves && group.phase == GroupPhase::Open
        });
        self.dispatcher.assign(now, request, engine, groups, &self.observations)
    }

    /// Notes what came of an order. A refused connection is evidence like a probe's.
    pub fn order_answered(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        self.orders.answered(now, order, answer);
        if answer == OrderAnswer::Unreachable {
            self.observations.record_probe(now, &order.instance, ProbeResult::Refused);
        }
    }

    /// Notes what came of a probe.
    pub fn probed(&mut self, now: Millis, instance: &str, result: ProbeResult) {
        self.observations.record_probe(now, instance, result);
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
            self.observations.assume_present(now, tables.instances.keys().cloned());
        }
        let ids: BTreeSet<String> = tables.instances.keys().cloned().collect();
        let epochs: BTreeSet<u64> = tables.groups.keys().copied().collect();
        self.observations.retain(&ids, &epochs);
        self.dispatcher.retain(|epoch| epochs.contains(&epoch));
        let view = View { tables, observations: &self.observations, now, policy };
        let mut commands = advance_groups(&view, |epoch| self.orders.closing_since(now, epoch));
        commands.extend(release_members(&view, |epoch| self.orders.closing_since(now, epoch)));
        commands.extend(reap_instances(&view));
        if self.observations.traffic_seen && !tables.requests_seen {
            commands.push(GatewayCommand::NoteRequests);
        }
        // A plan is made on settled tables only: what was decided is committed first.
        if commands.is_empty() {
            let plan = plan(&view, self.orders.staging());
            self.orders.wish(plan.staging);
            commands = plan.commands;
        }
        commands
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

    /// Members of silent groups, to be asked.
    pub fn probes(&mut self, now: Millis, tables: &GatewayTables) -> Vec<InstanceProbe> {
        let mut probes = Vec::new();
        for group in tables.groups.values().filter(|group| group.phase == GroupPhase::Open) {
            let is_silent = self.observations.is_silent(now, group.epoch);
            if !is_silent || !self.observations.claim_probe(now, group.epoch, PROBE_PAUSE_MS) {
                continue;
            }
            let rows = group.members.iter().filter_map(|member| tables.instances.get(member));
            probes.extend(rows.map(|row| InstanceProbe {
                instance: row.id.clone(),
                service: row.service.clone(),
                address: row.address,
            }));
        }
        probes
    }
}

/// Requests that a group of a service may hold.
fn places_of(tables: &GatewayTables, service: &str) -> u32 {
    let profile = tables.configuration.as_ref().and_then(|held| held.service(service));
    let engine = profile.and_then(|profile| profile.engine.as_ref());
    engine.map_or(0, places_of_group)
}
