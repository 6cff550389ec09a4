//! What holds of every plan, whatever servers, groups and requests there are.

mod common;

use common::{LARGE, SMALL, World, engine};
use dockwood_api::gateway::{InstanceState, MembershipState};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose, GroupRow, Outcome};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One server as a case has it.
#[derive(Clone, Copy, Debug)]
struct Server {
    /// Whether its host keeps weights, and of which model.
    staged: Option<&'static str>,
    /// It takes no new work.
    drains: bool,
    /// It is not heard of any more.
    is_lost: bool,
}

/// A fleet: servers by domain, how many groups of each model are open in each domain, and requests of each model.
#[derive(Clone, Debug)]
struct Case {
    domains: Vec<Vec<Server>>,
    large_groups: usize,
    small_groups: usize,
    asked: (u32, u32),
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
        |(domains, large_groups, small_groups, asked, requests_seen)| Case {
            domains,
            large_groups,
            small_groups,
            asked,
            requests_seen,
        },
    )
}

fn name(domain: usize, server: usize) -> String {
    format!("d{domain}-s{server}")
}

/// The world of a case: groups are open at the first servers of each domain.
fn world_of(case: &Case) -> World {
    let largest = case.domains.iter().map(Vec::len).max().unwrap_or(0);
    let mut world = World::new(case.domains.len(), largest);
    for (domain, servers) in case.domains.iter().enumerate() {
        for missing in servers.len()..largest {
            world.apply(GatewayCommand::Remove { id: name(domain, missing) });
        }
        open_groups(&mut world, case, domain, servers.len());
    }
    if case.requests_seen {
        world.note_requests();
    }
    world.ask_for(case.asked.0, case.asked.1);
    for (domain, servers) in case.domains.iter().enumerate() {
        for (number, server) in servers.iter().enumerate() {
            set_state(&mut world, &name(domain, number), server);
        }
    }
    world
}

fn open_groups(world: &mut World, case: &Case, domain: usize, servers: usize) {
    let mut next = 0;
    for (model, size, groups) in [(LARGE, 4, case.large_groups), (SMALL, 2, case.small_groups)] {
        for _ in 0..groups {
            if next + size > servers {
                return;
            }
            let members: Vec<String> = (next..next + size).map(|number| name(domain, number)).collect();
            let members: Vec<&str> = members.iter().map(String::as_str).collect();
            world.open_group(model, &members);
            next += size;
        }
    }
}

fn set_state(world: &mut World, id: &str, server: &Server) {
    let is_member = world.tables.group_of(id).is_some();
    if server.drains {
        let mut report = world.report(id, None, &[]);
        report.state = InstanceState::Draining;
        world.apply(GatewayCommand::Register((&report).into()));
    } else if !is_member && let Some(model) = server.staged {
        let report = world.report(id, None, &[model]);
        world.hear(report);
    }
    if server.is_lost {
        let result = dockwood_grouping::ProbeResult::Silent;
        world.observations.record_probe(world.now, id, result);
    }
}

/// The model's size by the engine's profile.
fn size_of(model: &str) -> usize {
    engine().models.iter().find(|profile| profile.name == model).map_or(0, |profile| profile.size as usize)
}

fn check_formed(
    world: &World,
    command: &GatewayCommand,
    used: &mut BTreeSet<String>,
) -> Result<(), TestCaseError> {
    let GatewayCommand::Form { model, purpose, members, .. } = command else { return Ok(()) };
    let expected = if *purpose == GroupPurpose::Serve { size_of(model) } else { 1 };
    prop_assert_eq!(members.len(), expected, "{} of {:?}", model, members);
    let domain = world.tables.instances.get(&members[0]).and_then(|row| row.domain.clone());
    for member in members {
        let row = world.tables.instances.get(member);
        prop_assert!(row.is_some_and(|row| row.domain == domain), "{} is of another domain", member);
        prop_assert!(row.is_some_and(|row| row.state == InstanceState::Ready), "{} drains", member);
        prop_assert!(world.observations.is_present(world.now, member), "{} is not there", member);
        prop_assert!(used.insert(member.clone()), "{} is planned twice", member);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_plan_can_be_carried_out_and_keeps_what_groups_are(case in case()) {
        let mut world = world_of(&case);
        let commands = world.plan().commands;
        let mut used = BTreeSet::new();
        for command in &commands {
            check_formed(&world, command, &mut used)?;
        }
        // Servers of groups are free only if the plan takes them out of a preload.
        for member in &used {
            let purpose = world.tables.group_of(member).map(|group| group.purpose);
            prop_assert!(purpose.is_none_or(|purpose| purpose == GroupPurpose::Preload), "{} serves", member);
        }
        for command in &commands {
            let outcome = world.tables.apply(command).outcome;
            prop_assert!(matches!(outcome, Outcome::Applied), "{:?}: {:?}", command, outcome);
        }
    }

    #[test]
    fn the_same_world_gets_the_same_plan(case in case()) {
        let (one, other) = (world_of(&case), world_of(&case));
        prop_assert_eq!(format!("{:?}", one.plan()), format!("{:?}", other.plan()));
    }

    /// Groups that serve are given up for another model only while requests have been seen, in one domain at a time,
    /// and no more of them than one group of the other model takes the servers of.
    #[test]
    fn no_more_serving_groups_are_given_up_than_another_group_takes_the_servers_of(case in case()) {
        let world = world_of(&case);
        let commands = world.plan().commands;
        let given_up: Vec<&Arc<GroupRow>> = commands.iter().filter_map(|command| match command {
            GatewayCommand::SetPhase { phase, epoch, .. } if *phase != GroupPhase::Open => {
                world.tables.groups.get(epoch)
            }
            _ => None,
        }).collect();
        let servers: usize = given_up.iter().map(|group| group.members.len()).sum();
        let largest = size_of(LARGE);
        let domain_of = |group: &GroupRow| world.tables.instances[&group.members[0]].domain.clone();
        prop_assert!(servers <= largest, "{} servers", servers);
        prop_assert!(given_up.iter().all(|group| group.model == given_up[0].model));
        prop_assert!(given_up.iter().all(|group| domain_of(group) == domain_of(given_up[0])));
        prop_assert!(given_up.is_empty() || case.requests_seen);
    }

    /// A domain with enough free servers for some group, and requests for all models, is not left as it is.
    #[test]
    fn free_servers_are_put_to_use(servers in 4..14_usize, asked in 1..40_u32) {
        let mut world = World::new(1, servers);
        world.ask_for(asked, asked);
        prop_assert!(!world.plan().commands.is_empty());
    }
}

/// The state that members report is not part of the cases; a group whose members all left is no reason for another plan.
#[test]
fn members_that_are_about_to_leave_are_not_planned_with() {
    let mut world = World::new(1, 4);
    let epoch = world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason: "test".to_string() });
    for id in ["d0-s0", "d0-s1", "d0-s2", "d0-s3"] {
        world.hear_member(id, epoch, MembershipState::Ready, &[LARGE]);
    }
    assert!(world.plan().commands.is_empty());
}
