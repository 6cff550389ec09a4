//! Servers that pause are not lost, while losses are acted on at once.

mod common;

use common::{SMALL, TestCluster};
use dockwood_grouping::{ProbeResult, ScanScope, advance_groups};
use dockwood_state::GroupPhase;
use std::collections::BTreeMap;
use yare::parameterized;

const STEP_MS: u64 = 50;
/// Interval between two reports of an entry.
const REPORT_MS: u64 = 100;
/// Silence of a group's streams after which entries report the group as stalled.
const STALL_MS: u64 = 250;
/// Interval between two heartbeats of a server.
const HEARTBEAT_MS: u64 = 1_200;
/// Interval between two rounds of probes of a stalled group.
const PROBE_INTERVAL_MS: u64 = 700;
/// Time limit of a probe.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Time in which a probe is answered or refused.
const PROBE_ANSWER_MS: u64 = 10;
/// Time to detect a stall and to probe the members.
const AT_ONCE_MS: u64 = STALL_MS + REPORT_MS + PROBE_TIMEOUT_MS + 2 * STEP_MS;
const DOMAINS: usize = 6;

/// What has happened to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It sends nothing until then.
    Pause { until: u64 },
    /// Its machine has no power.
    Dark,
    /// Its process has ended: its machine refuses connections.
    Ended,
}

/// Twelve serving groups of two servers each, in six fabric domains.
struct Fleet {
    cluster: TestCluster,
    groups: Vec<u64>,
    faults: BTreeMap<String, Fault>,
    faulty_since: u64,
    probes: Vec<(u64, String, ProbeResult)>,
    closed_after: BTreeMap<u64, u64>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut cluster = TestCluster::new(DOMAINS, 4);
        let mut groups = Vec::new();
        for domain in 0..DOMAINS {
            for members in [["s0", "s1"], ["s2", "s3"]] {
                let members = members.map(|server| format!("d{domain}-{server}"));
                groups.push(cluster.open_group(SMALL, &[&members[0], &members[1]]));
            }
        }
        let (faults, probes, closed_after) = Default::default();
        let faulty_since = cluster.now;
        let mut fleet = Fleet { cluster, groups, faults, faulty_since, probes, closed_after };
        fleet.run(500);
        fleet.faulty_since = fleet.cluster.now;
        fleet
    }

    fn servers(&self) -> Vec<String> {
        self.cluster.tables.instances.keys().cloned().collect()
    }

    fn set_fault(&mut self, servers: &[String], fault: Fault) {
        self.faults.extend(servers.iter().map(|id| (id.clone(), fault)));
    }

    /// Makes these servers pause from now on.
    fn pause(&mut self, servers: &[String], for_ms: u64) {
        let until = self.cluster.now + for_ms;
        self.set_fault(servers, Fault::Pause { until });
    }

    fn fault(&self, id: &str) -> Option<Fault> {
        let fault = self.faults.get(id).copied();
        fault.filter(|fault| !matches!(fault, Fault::Pause { until } if *until <= self.cluster.now))
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.cluster.now + for_ms;
        while self.cluster.now < end {
            self.cluster.now += STEP_MS;
            if self.cluster.now.is_multiple_of(REPORT_MS) {
                self.report_groups();
            }
            if self.cluster.now.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats();
            }
            self.send_probes();
            self.receive_probe_results();
            self.advance();
        }
    }

    fn send_heartbeats(&mut self) {
        for id in self.servers() {
            if self.fault(&id).is_none() {
                self.cluster.report_again(&id);
            }
        }
    }

    /// Makes an entry report progress of the sound groups and stalls of the others.
    fn report_groups(&mut self) {
        let silent_ms = self.cluster.now - self.faulty_since;
        for epoch in self.groups.clone() {
            let members = self.cluster.tables.groups[&epoch].members.clone();
            let is_sound = members.iter().all(|id| self.fault(id).is_none());
            let is_stalled = !is_sound && silent_ms >= STALL_MS;
            self.cluster.report_load("entry", epoch, 1, is_stalled, is_sound, true);
        }
    }

    fn send_probes(&mut self) {
        let now = self.cluster.now;
        for epoch in self.cluster.observations.stalled_groups(now) {
            if !self.cluster.observations.claim_probe(now, epoch, PROBE_INTERVAL_MS) {
                continue;
            }
            for id in self.cluster.tables.groups[&epoch].members.clone() {
                let (after_ms, result) = match self.fault(&id) {
                    None => (PROBE_ANSWER_MS, ProbeResult::Answered),
                    Some(Fault::Ended) => (PROBE_ANSWER_MS, ProbeResult::Refused),
                    Some(Fault::Pause { until }) if until < now + PROBE_TIMEOUT_MS => {
                        (until - now, ProbeResult::Answered)
                    }
                    Some(Fault::Pause { .. }) => (PROBE_TIMEOUT_MS, ProbeResult::Unresponsive),
                    Some(Fault::Dark) => (PROBE_TIMEOUT_MS, ProbeResult::Silent),
                };
                self.probes.push((now + after_ms, id, result));
            }
        }
    }

    fn receive_probe_results(&mut self) {
        let now = self.cluster.now;
        let (due, pending) =
            std::mem::take(&mut self.probes).into_iter().partition(|(at, ..): &(u64, _, _)| *at <= now);
        self.probes = pending;
        for (_, id, result) in due {
            self.cluster.observations.record_probe(now, &id, result);
        }
    }

    fn advance(&mut self) {
        let now = self.cluster.now;
        let commands = advance_groups(&self.cluster.view(), ScanScope::All, |_| now);
        self.cluster.apply_all(commands);
        for epoch in &self.groups {
            if self.cluster.phase(*epoch) != Some(GroupPhase::Open) {
                self.closed_after.entry(*epoch).or_insert(now - self.faulty_since);
            }
        }
    }

    fn group_of(&self, id: &str) -> u64 {
        self.cluster.tables.group_of(id).expect("a member").epoch
    }
}

/// Regression (answers were cut while servers were silent): groups were closed 0.6 s after their servers had
/// fallen silent.
#[parameterized(
    all_servers = { 1, 1 },
    two_in_three = { 2, 3 },
    one_in_eight = { 1, 8 },
)]
fn groups_whose_servers_pause_stay_open(paused: usize, of: usize) {
    let mut fleet = Fleet::new();
    let servers = fleet.servers().into_iter().enumerate();
    let pausing: Vec<String> = servers.filter(|(number, _)| number % of < paused).map(|(_, id)| id).collect();
    fleet.pause(&pausing, 1_300);
    fleet.run(6_000);
    assert_eq!(fleet.closed_after, BTreeMap::new());
}

/// Each answer of a server cancels what its earlier pauses showed.
#[test]
fn pauses_in_quick_succession_do_not_add_up() {
    let mut fleet = Fleet::new();
    for _ in 0..5 {
        let servers = fleet.servers();
        fleet.faulty_since = fleet.cluster.now;
        fleet.pause(&servers, 1_200);
        fleet.run(2_000);
    }
    assert_eq!(fleet.closed_after, BTreeMap::new());
}

#[parameterized(
    its_process_has_ended = { Fault::Ended, STALL_MS + REPORT_MS + 2 * STEP_MS },
    its_machine_has_no_power = { Fault::Dark, AT_ONCE_MS },
)]
fn a_group_that_loses_a_member_is_closed_at_once(fault: Fault, within_ms: u64) {
    let mut fleet = Fleet::new();
    let epoch = fleet.group_of("d3-s1");
    fleet.set_fault(&["d3-s1".to_string()], fault);
    fleet.run(4_000);
    assert_eq!(fleet.closed_after.keys().collect::<Vec<_>>(), [&epoch]);
    assert!(fleet.closed_after[&epoch] <= within_ms, "{:?}", fleet.closed_after);
}

#[parameterized(
    its_process_has_ended = { Fault::Ended },
    its_machine_has_no_power = { Fault::Dark },
)]
fn a_group_that_loses_a_member_while_all_others_pause_is_closed_at_once(fault: Fault) {
    let mut fleet = Fleet::new();
    let servers = fleet.servers();
    fleet.pause(&servers, 1_300);
    fleet.set_fault(&["d3-s1".to_string()], fault);
    let epoch = fleet.group_of("d3-s1");
    fleet.run(4_000);
    assert_eq!(fleet.closed_after.keys().collect::<Vec<_>>(), [&epoch]);
    assert!(fleet.closed_after[&epoch] <= AT_ONCE_MS, "{:?}", fleet.closed_after);
}

#[test]
fn a_process_that_hangs_counts_as_lost_after_half_of_the_stall_limit() {
    const LONG_MS: u64 = 60_000;
    let mut fleet = Fleet::new();
    let epoch = fleet.group_of("d3-s1");
    fleet.pause(&["d3-s1".to_string()], LONG_MS);
    fleet.run(8_000);
    assert_eq!(fleet.closed_after.keys().collect::<Vec<_>>(), [&epoch]);
    let half_ms = fleet.cluster.view().policy.stall_ms / 2;
    let latest_ms = half_ms + AT_ONCE_MS + PROBE_INTERVAL_MS;
    assert!((half_ms..=latest_ms).contains(&fleet.closed_after[&epoch]), "{:?}", fleet.closed_after);
}
