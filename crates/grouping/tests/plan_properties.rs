//! Properties of every plan, for arbitrary servers, groups and requests.

mod common;

use common::{LARGE, SMALL, TestCluster, engine};
use dockwood_api::gateway::{InstanceState, MembershipState};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow, Outcome};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A server of a test case.
#[derive(Clone, Copy, Debug)]
struct Server {
    /// The model that its host has staged, if any.
    staged: Option<&'static str>,
    /// Whether it accepts no new work.
    drains: bool,
    /// Whether it no longer responds.
    is_lost: bool,
}

/// A fleet: servers by domain, the number of open groups of each model in each domain, and the requests for
/// each model.
#[derive(Clone, Debug)]
struct Case {
    domains: Vec<Vec<Server>>,
    large_groups: usize,
    small_groups: usize,
    requests: (u32, u32),
    requests_seen: bool,
}

fn server() -> impl Strategy<Value = Server> {
    let staged = prop_oneof![Just(None), Just(Some(LARGE)), Just(Some(SMALL))];
    let rarely = || prop::bool::weighted(0.1);
    (staged, rarely(), rarely()).prop_map(|(staged, drains, is_lost)| Server { staged, drains, is_lost })
}

fn case() -> impl Strategy<Value = Case> {
    let domains = prop::collection::vec(prop::collection::vec(server(), 1..14), 1..5);
    (domains, 0..3_usize, 0..3_usize, (0..40_u32, 0..40_u32), any::<bool>()).prop_map(
        |(domains, large_groups, small_groups, requests, requests_seen)| Case {
            domains,
            large_groups,
            small_groups,
            requests,
            requests_seen,
        },
    )
}

fn name(domain: usize, server: usize) -> String {
    format!("d{domain}-s{server}")
}

/// The cluster of a test case: groups are open at the first servers of each domain.
fn cluster_of(case: &Case) -> TestCluster {
    let largest = case.domains.iter().map(Vec::len).max().unwrap_or(0);
    let mut cluster = TestCluster::new(case.domains.len(), largest);
    for (domain, servers) in case.domains.iter().enumerate() {
        for missing in servers.len()..largest {
            cluster.apply(GatewayCommand::Remove { id: name(domain, missing) });
        }
        open_groups(&mut cluster, case, domain, servers.len());
    }
    if case.requests_seen {
        cluster.mark_requests_seen();
    }
    cluster.send_requests(case.requests.0, case.requests.1);
    for (domain, servers) in case.domains.iter().enumerate() {
        for (number, server) in servers.iter().enumerate() {
            set_state(&mut cluster, &name(domain, number), server);
        }
    }
    cluster
}

fn open_groups(cluster: &mut TestCluster, case: &Case, domain: usize, servers: usize) {
    let mut next = 0;
    for (model, size, groups) in [(LARGE, 4, case.large_groups), (SMALL, 2, case.small_groups)] {
        for _ in 0..groups {
            if next + size > servers {
                return;
            }
            let members: Vec<String> = (next..next + size).map(|number| name(domain, number)).collect();
            let members: Vec<&str> = members.iter().map(String::as_str).collect();
            cluster.open_group(model, &members);
            next += size;
        }
    }
}

fn set_state(cluster: &mut TestCluster, id: &str, server: &Server) {
    let is_member = cluster.tables.group_of(id).is_some();
    if server.drains {
        let mut report = cluster.report(id, None, &[]);
        report.state = InstanceState::Draining;
        cluster.apply(GatewayCommand::Register((&report).into()));
    } else if !is_member && let Some(model) = server.staged {
        let report = cluster.report(id, None, &[model]);
        cluster.receive_report(report);
    }
    if server.is_lost {
        let result = dockwood_grouping::ProbeResult::Silent;
        cluster.observations.record_probe(cluster.now, id, result);
    }
}

/// The model's size according to the engine's profile.
fn size_of(model: &str) -> usize {
    engine().models.iter().find(|profile| profile.name == model).map_or(0, |profile| profile.size as usize)
}

fn check_formed_group(
    cluster: &TestCluster,
    command: &GatewayCommand,
    used: &mut BTreeSet<String>,
) -> Result<(), TestCaseError> {
    let GatewayCommand::Form { model, purpose, members, .. } = command else { return Ok(()) };
    let expected = if *purpose == GroupPurpose::Serve { size_of(model) } else { 1 };
    prop_assert_eq!(members.len(), expected, "{} of {:?}", model, members);
    let domain = cluster.tables.instances.get(&members[0]).and_then(|row| row.domain.clone());
    for member in members {
        let row = cluster.tables.instances.get(member);
        prop_assert!(row.is_some_and(|row| row.domain == domain), "{} is of another domain", member);
        prop_assert!(row.is_some_and(|row| row.state == InstanceState::Ready), "{} drains", member);
        prop_assert!(cluster.observations.is_present(cluster.now, member), "{} is missing", member);
        prop_assert!(used.insert(member.clone()), "{} is planned twice", member);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_plan_can_be_applied_and_leaves_serving_groups_unchanged(case in case()) {
        let mut cluster = cluster_of(&case);
        let commands = cluster.plan().commands;
        let mut used = BTreeSet::new();
        for command in &commands {
            check_formed_group(&cluster, command, &mut used)?;
        }
        // A planned member may belong to a group only if that group is a preload.
        for member in &used {
            let purpose = cluster.tables.group_of(member).map(|group| group.purpose);
            prop_assert!(purpose.is_none_or(|purpose| purpose == GroupPurpose::Preload), "{} serves", member);
        }
        for command in &commands {
            let outcome = cluster.tables.apply(command).outcome;
            prop_assert!(matches!(outcome, Outcome::Applied), "{:?}: {:?}", command, outcome);
        }
    }

    #[test]
    fn equal_clusters_get_equal_plans(case in case()) {
        let (first, second) = (cluster_of(&case), cluster_of(&case));
        prop_assert_eq!(format!("{:?}", first.plan()), format!("{:?}", second.plan()));
    }

    /// Serving groups are only closed for another model once requests have been seen, in one domain at a
    /// time, and no more of them than one group of the other model needs servers from.
    #[test]
    fn no_more_serving_groups_are_closed_than_another_group_needs_servers_from(case in case()) {
        let cluster = cluster_of(&case);
        let commands = cluster.plan().commands;
        let closed: Vec<&Arc<GroupRow>> = commands.iter().filter_map(|command| match command {
            GatewayCommand::SetPhase { phase, epoch, .. } if *phase != GroupPhase::Open => {
                cluster.tables.groups.get(epoch)
            }
            _ => None,
        }).collect();
        let servers: usize = closed.iter().map(|group| group.members.len()).sum();
        let largest = size_of(LARGE);
        let domain_of = |group: &GroupRow| cluster.tables.instances[&group.members[0]].domain.clone();
        prop_assert!(servers <= largest, "{} servers", servers);
        prop_assert!(closed.iter().all(|group| group.model == closed[0].model));
        prop_assert!(closed.iter().all(|group| domain_of(group) == domain_of(closed[0])));
        prop_assert!(closed.is_empty() || case.requests_seen);
    }

    /// A domain with enough free servers for a group, and requests for all models, gets a plan with commands.
    #[test]
    fn free_servers_are_used(servers in 4..14_usize, requests in 1..40_u32) {
        let mut cluster = TestCluster::new(1, servers);
        cluster.send_requests(requests, requests);
        prop_assert!(!cluster.plan().commands.is_empty());
    }
}

/// The states that members report are not part of the generated cases. A group whose members are all leaving
/// must not cause another plan.
#[test]
fn members_of_a_closing_group_are_not_planned() {
    let mut cluster = TestCluster::new(1, 4);
    let epoch = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: "test".to_string() });
    for id in ["d0-s0", "d0-s1", "d0-s2", "d0-s3"] {
        cluster.report_membership(id, epoch, MembershipState::Ready, &[LARGE]);
    }
    assert!(cluster.plan().commands.is_empty());
}
