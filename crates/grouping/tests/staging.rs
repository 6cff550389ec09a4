//! What servers load and stage before it is needed.

mod common;

use common::{LARGE, SERVICE, SMALL, World, formed};
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{OrderBook, Scrutiny, Urgency, advance_groups, plan};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// A member that may or may not have taken its order to join another model's group keeps nothing that is sure.
#[test]
fn a_group_that_never_became_ready_leaves_its_members_last_model_unknown() {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &["d0-s0", "d0-s1"]);
    world.apply(GatewayCommand::End { epoch, reason: String::new() });
    assert_eq!(world.tables.last_model("d0-s0"), Some(SMALL));
    world.apply(GatewayCommand::Form {
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        purpose: GroupPurpose::Serve,
        members: vec!["d0-s0".to_string()],
        reason: String::new(),
    });
    assert_eq!(world.tables.last_model("d0-s0"), None);
    assert_eq!(world.tables.last_model("d0-s1"), Some(SMALL));
    world.apply(GatewayCommand::Remove { id: "d0-s1".to_string() });
    assert_eq!(world.tables.last_model("d0-s1"), None);
}

#[test]
fn once_requests_come_members_stage_before_they_join_and_no_more_than_the_store_gives() {
    let mut world = World::new(3, 10);
    world.note_requests();
    let planned = world.plan();
    assert!(planned.commands.is_empty(), "{:?}", planned.commands);
    assert!(planned.staging.len() > 6, "the groups that are worth most wait for their members");
    let mut book = OrderBook::default();
    book.wish(planned.staging);
    let orders = book.to_send(&world.view(), 1);
    assert_eq!(orders.len(), common::engine().loads_at_once as usize);
    book.wish(plan(&world.view(), book.staging()).staging);
    assert!(book.to_send(&world.view(), 1).is_empty(), "those are still loading");
}

#[test]
fn loads_stay_within_the_stores_rate_and_number() {
    let mut world = World::new(4, 10);
    let mut book = OrderBook::default();
    world.note_requests();
    let mut begun = 0;
    for _ in 0..50 {
        book.wish(plan(&world.view(), book.staging()).staging);
        begun += book.to_send(&world.view(), 1).len();
        world.now += 100;
        world.hear_all();
    }
    assert_eq!(begun, 6, "as many at once as run at full speed");
}

#[test]
fn before_the_first_request_loads_begin_in_bounded_bursts() {
    let mut world = World::new(2, 10);
    for domain in 0..2 {
        let id = |server: usize| format!("d{domain}-s{server}");
        for first in [0, 2, 4, 6, 8] {
            world.open_group(SMALL, &[&id(first), &id(first + 1)]);
        }
    }
    let mut book = OrderBook::default();
    book.wish(world.plan().staging);
    let most = 8;
    assert_eq!(
        book.to_send(&world.view(), 1).len(),
        most,
        "what the store allows in five seconds, less a margin"
    );
    book.wish(plan(&world.view(), book.staging()).staging);
    assert!(book.to_send(&world.view(), 1).is_empty());
    world.now += 500;
    world.hear_all();
    book.wish(plan(&world.view(), book.staging()).staging);
    assert_eq!(book.to_send(&world.view(), 1).len(), most);
}

/// Found on norrstrom-klubb: members that were about to load as they joined were told to stage as well.
#[test]
fn before_the_first_request_members_load_as_they_join_and_stage_nothing_beside() {
    let world = World::new(1, 6);
    let planned = world.plan();
    assert!(!formed(&planned.commands).is_empty());
    assert!(planned.staging.is_empty(), "{planned:?}");
}

/// Found on norrstrom-klubb: the servers that a domain had left over had nothing staged, and the first loss in each
/// domain cost a load from the store while they stood idle beside it.
#[test]
fn free_servers_stage_what_their_domain_would_lack_after_a_loss() {
    let mut world = World::new(1, 7);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    world.note_requests();
    let planned = world.plan();
    let first = planned.staging.first().expect("the free server stages something");
    assert_eq!((first.instance.as_str(), first.model.as_str()), ("d0-s6", LARGE), "{planned:?}");
    assert_eq!(first.urgency, Urgency::Spare);
}

/// A host keeps its weights when its server starts again: a whole domain that comes back completes its large groups.
#[test]
fn members_of_small_groups_stage_the_model_of_larger_ones_and_not_the_other_way_round() {
    let mut world = World::new(1, 6);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(SMALL, &["d0-s4", "d0-s5"]);
    let planned = world.plan();
    let staged: Vec<(&str, &str)> =
        planned.staging.iter().map(|wish| (wish.instance.as_str(), wish.model.as_str())).collect();
    assert_eq!(staged, [("d0-s4", LARGE), ("d0-s5", LARGE)]);
    let mut book = OrderBook::default();
    book.wish(planned.staging);
    assert_eq!(book.to_send(&world.view(), 1).len(), 2);
    assert!(plan(&world.view(), book.staging()).staging.is_empty(), "each only once");
}

/// A free server that has one model staged loads it, so that its host can stage another one and it can replace a member
/// of either group.
#[test]
fn a_free_server_preloads_what_it_has_staged_and_then_stages_another_model() {
    let mut world = World::new(1, 1);
    let report = world.report("d0-s0", None, &[SMALL]);
    world.hear(report);
    world.note_requests();
    let planned = world.plan();
    assert!(planned.staging.is_empty(), "what it has staged is all that it has: {planned:?}");
    assert!(
        matches!(
            &planned.commands[..],
            [GatewayCommand::Form { model, purpose: GroupPurpose::Preload, members, .. }]
                if model == SMALL && members == &["d0-s0".to_string()]
        ),
        "{planned:?}"
    );
    world.apply_all(planned.commands);
    let epoch = world.tables.last_epoch;
    assert!(advance_groups(&world.view(), Scrutiny::All, |_| 0).is_empty(), "it has not loaded yet");
    world.hear_member("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| 0);
    assert_eq!(commands, [GatewayCommand::Preloaded { epoch }]);
    world.apply_all(commands);
    assert!(world.tables.groups.is_empty());
    assert_eq!(world.tables.last_model("d0-s0"), Some(SMALL));
    let planned = world.plan();
    assert!(planned.commands.is_empty(), "once is enough: {planned:?}");
    let staged: Vec<&str> = planned.staging.iter().map(|wish| wish.model.as_str()).collect();
    assert_eq!(staged, [LARGE]);
}

/// Such a group may lack members: it must never serve.
#[test]
fn a_group_that_preloads_never_opens() {
    let mut world = World::new(1, 1);
    world.apply(GatewayCommand::Form {
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        purpose: GroupPurpose::Preload,
        members: vec!["d0-s0".to_string()],
        reason: String::new(),
    });
    let epoch = world.tables.last_epoch;
    for phase in [GroupPhase::Opening, GroupPhase::Open] {
        world.apply(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
    }
    assert_eq!(world.phase(epoch), Some(GroupPhase::Forming));
}

/// Found on unidos-despacho scale-2: weights that were staged for later, some of them at servers that had died
/// meanwhile, took all loads that the store gives at a time, and for 23 s no free server could load for a group.
#[test]
fn staging_of_another_model_leaves_loads_to_groups() {
    let mut world = World::new(6, 10);
    for domain in 0..6 {
        let id = |server: usize| format!("d{domain}-s{server}");
        let (a, b, c, d) = (id(0), id(1), id(2), id(3));
        world.open_group(LARGE, &[&a, &b, &c, &d]);
        let (e, f) = (id(4), id(5));
        let epoch = world.open_group(SMALL, &[&e, &f]);
        let (g, h, i, j) = (id(6), id(7), id(8), id(9));
        world.open_group(LARGE, &[&g, &h, &i, &j]);
        world.load("a", epoch, 4, false, true, true);
    }
    world.note_requests();
    let mut book = OrderBook::default();
    book.wish(world.plan().staging);
    assert_eq!(book.to_send(&world.view(), 1).len(), 3, "half of the loads at a time");
}

#[test]
fn a_server_that_died_while_it_was_staging_holds_up_no_load() {
    let mut world = World::new(1, 10);
    world.note_requests();
    let mut book = OrderBook::default();
    book.wish(world.plan().staging);
    let orders = book.to_send(&world.view(), 1);
    assert_eq!(orders.len(), 6);
    world.observations.record_probe(world.now, &orders[0].instance, dockwood_grouping::ProbeResult::Silent);
    book.to_send(&world.view(), 1);
    book.wish(plan(&world.view(), book.staging()).staging);
    assert_eq!(book.to_send(&world.view(), 1).len(), 1, "in its place");
}
