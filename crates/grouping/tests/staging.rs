//! Which models servers load and stage ahead of need.

mod common;

use common::{LARGE, SERVICE, SMALL, TestCluster, formed_groups};
use dockwood_api::gateway::MembershipState;
use dockwood_grouping::{OrderTracker, ScanScope, StagingPriority, advance_groups, plan};
use dockwood_state::{GatewayCommand, GroupPhase, GroupPurpose};

/// A member that may or may not have executed its order to join another model's group has no model that is
/// certainly loaded.
#[test]
fn the_last_model_of_members_is_unknown_if_their_group_never_became_ready() {
    let mut cluster = TestCluster::new(1, 2);
    let epoch = cluster.open_group(SMALL, &["d0-s0", "d0-s1"]);
    cluster.apply(GatewayCommand::End { epoch, reason: String::new() });
    assert_eq!(cluster.tables.last_model("d0-s0"), Some(SMALL));
    cluster.apply(GatewayCommand::Form {
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        purpose: GroupPurpose::Serve,
        members: vec!["d0-s0".to_string()],
        reason: String::new(),
    });
    assert_eq!(cluster.tables.last_model("d0-s0"), None);
    assert_eq!(cluster.tables.last_model("d0-s1"), Some(SMALL));
    cluster.apply(GatewayCommand::Remove { id: "d0-s1".to_string() });
    assert_eq!(cluster.tables.last_model("d0-s1"), None);
}

#[test]
fn after_the_first_request_members_stage_before_they_join_within_the_limits_of_the_store() {
    let mut cluster = TestCluster::new(3, 10);
    cluster.mark_requests_seen();
    let planned = cluster.plan();
    assert!(planned.commands.is_empty(), "{:?}", planned.commands);
    assert!(planned.staging.len() > 6, "the groups with the highest utility wait for their members");
    let mut tracker = OrderTracker::default();
    tracker.set_staging_requests(planned.staging);
    let orders = tracker.due_orders(&cluster.view(), 1);
    assert_eq!(orders.len(), common::engine().loads_at_once as usize);
    tracker.set_staging_requests(plan(&cluster.view(), tracker.staging()).staging);
    assert!(tracker.due_orders(&cluster.view(), 1).is_empty(), "the first loads are still in progress");
}

#[test]
fn loads_stay_within_the_rate_and_concurrency_limits_of_the_store() {
    let mut cluster = TestCluster::new(4, 10);
    let mut tracker = OrderTracker::default();
    cluster.mark_requests_seen();
    let mut started = 0;
    for _ in 0..50 {
        tracker.set_staging_requests(plan(&cluster.view(), tracker.staging()).staging);
        started += tracker.due_orders(&cluster.view(), 1).len();
        cluster.now += 100;
        cluster.report_all();
    }
    assert_eq!(started, 6, "as many concurrent loads as run at full speed");
}

#[test]
fn before_the_first_request_loads_start_in_bounded_bursts() {
    let mut cluster = TestCluster::new(2, 10);
    for domain in 0..2 {
        let id = |server: usize| format!("d{domain}-s{server}");
        for first in [0, 2, 4, 6, 8] {
            cluster.open_group(SMALL, &[&id(first), &id(first + 1)]);
        }
    }
    let mut tracker = OrderTracker::default();
    tracker.set_staging_requests(cluster.plan().staging);
    let max_loads = 8;
    assert_eq!(
        tracker.due_orders(&cluster.view(), 1).len(),
        max_loads,
        "the store's limit for five seconds, less a margin"
    );
    tracker.set_staging_requests(plan(&cluster.view(), tracker.staging()).staging);
    assert!(tracker.due_orders(&cluster.view(), 1).is_empty());
    cluster.now += 500;
    cluster.report_all();
    tracker.set_staging_requests(plan(&cluster.view(), tracker.staging()).staging);
    assert_eq!(tracker.due_orders(&cluster.view(), 1).len(), max_loads);
}

/// Found on norrstrom-klubb: members that were about to load weights as they joined were also ordered to
/// stage them.
#[test]
fn before_the_first_request_members_load_as_they_join_and_stage_nothing() {
    let cluster = TestCluster::new(1, 6);
    let planned = cluster.plan();
    assert!(!formed_groups(&planned.commands).is_empty());
    assert!(planned.staging.is_empty(), "{planned:?}");
}

/// Found on norrstrom-klubb: the spare servers of a domain had nothing staged, so the first loss in each
/// domain cost a load from the store while the spare servers were idle.
#[test]
fn free_servers_stage_the_model_with_the_least_spare_coverage() {
    let mut cluster = TestCluster::new(1, 7);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    cluster.mark_requests_seen();
    let planned = cluster.plan();
    let first = planned.staging.first().expect("the free server stages something");
    assert_eq!((first.instance.as_str(), first.model.as_str()), ("d0-s6", LARGE), "{planned:?}");
    assert_eq!(first.priority, StagingPriority::SpareServer);
}

/// Staged weights survive a restart of the server, so that a whole domain that restarts can complete its
/// large groups.
#[test]
fn members_of_small_groups_stage_the_model_of_larger_ones_but_not_vice_versa() {
    let mut cluster = TestCluster::new(1, 6);
    cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    let planned = cluster.plan();
    let staged: Vec<(&str, &str)> =
        planned.staging.iter().map(|request| (request.instance.as_str(), request.model.as_str())).collect();
    assert_eq!(staged, [("d0-s4", LARGE), ("d0-s5", LARGE)]);
    let mut tracker = OrderTracker::default();
    tracker.set_staging_requests(planned.staging);
    assert_eq!(tracker.due_orders(&cluster.view(), 1).len(), 2);
    assert!(plan(&cluster.view(), tracker.staging()).staging.is_empty(), "each stages only once");
}

/// A free server that has one model staged loads it, so that its host can stage another one and the server
/// can replace a member of either group.
#[test]
fn a_free_server_preloads_its_staged_model_and_then_stages_another() {
    let mut cluster = TestCluster::new(1, 1);
    let report = cluster.report("d0-s0", None, &[SMALL]);
    cluster.receive_report(report);
    cluster.mark_requests_seen();
    let planned = cluster.plan();
    assert!(planned.staging.is_empty(), "the only copy of its model is the staged one: {planned:?}");
    assert!(
        matches!(
            &planned.commands[..],
            [GatewayCommand::Form { model, purpose: GroupPurpose::Preload, members, .. }]
                if model == SMALL && members == &["d0-s0".to_string()]
        ),
        "{planned:?}"
    );
    cluster.apply_all(planned.commands);
    let epoch = cluster.tables.last_epoch;
    assert!(advance_groups(&cluster.view(), ScanScope::All, |_| 0).is_empty(), "it has not loaded yet");
    cluster.report_membership("d0-s0", epoch, MembershipState::Ready, &[SMALL]);
    let commands = advance_groups(&cluster.view(), ScanScope::All, |_| 0);
    assert_eq!(commands, [GatewayCommand::Preloaded { epoch }]);
    cluster.apply_all(commands);
    assert!(cluster.tables.groups.is_empty());
    assert_eq!(cluster.tables.last_model("d0-s0"), Some(SMALL));
    let planned = cluster.plan();
    assert!(planned.commands.is_empty(), "it preloads only once: {planned:?}");
    let staged: Vec<&str> = planned.staging.iter().map(|request| request.model.as_str()).collect();
    assert_eq!(staged, [LARGE]);
}

/// A preloading group may have fewer members than its model needs, so it must never serve.
#[test]
fn a_preloading_group_never_opens() {
    let mut cluster = TestCluster::new(1, 1);
    cluster.apply(GatewayCommand::Form {
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        purpose: GroupPurpose::Preload,
        members: vec!["d0-s0".to_string()],
        reason: String::new(),
    });
    let epoch = cluster.tables.last_epoch;
    for phase in [GroupPhase::Opening, GroupPhase::Open] {
        cluster.apply(GatewayCommand::SetPhase { epoch, phase, reason: String::new() });
    }
    assert_eq!(cluster.phase(epoch), Some(GroupPhase::Forming));
}

/// Found on unidos-despacho scale-2: loads that staged weights for later, some of them at servers that had
/// failed meanwhile, used up the store's concurrent loads, and for 23 s no free server could load for a
/// group.
#[test]
fn staging_of_additional_models_leaves_loads_for_groups() {
    let mut cluster = TestCluster::new(6, 10);
    for domain in 0..6 {
        let id = |server: usize| format!("d{domain}-s{server}");
        let (a, b, c, d) = (id(0), id(1), id(2), id(3));
        cluster.open_group(LARGE, &[&a, &b, &c, &d]);
        let (e, f) = (id(4), id(5));
        let epoch = cluster.open_group(SMALL, &[&e, &f]);
        let (g, h, i, j) = (id(6), id(7), id(8), id(9));
        cluster.open_group(LARGE, &[&g, &h, &i, &j]);
        cluster.report_load("a", epoch, 4, false, true, true);
    }
    cluster.mark_requests_seen();
    let mut tracker = OrderTracker::default();
    tracker.set_staging_requests(cluster.plan().staging);
    assert_eq!(tracker.due_orders(&cluster.view(), 1).len(), 3, "half of the concurrent loads");
}

#[test]
fn a_server_that_fails_while_staging_does_not_block_loads() {
    let mut cluster = TestCluster::new(1, 10);
    cluster.mark_requests_seen();
    let mut tracker = OrderTracker::default();
    tracker.set_staging_requests(cluster.plan().staging);
    let orders = tracker.due_orders(&cluster.view(), 1);
    assert_eq!(orders.len(), 6);
    cluster.observations.record_probe(
        cluster.now,
        &orders[0].instance,
        dockwood_grouping::ProbeResult::Silent,
    );
    tracker.due_orders(&cluster.view(), 1);
    tracker.set_staging_requests(plan(&cluster.view(), tracker.staging()).staging);
    assert_eq!(
        tracker.due_orders(&cluster.view(), 1).len(),
        1,
        "one load replaces that of the failed server"
    );
}
