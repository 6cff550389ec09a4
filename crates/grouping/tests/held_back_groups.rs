//! Groups whose heads reject requests for a minute are healthy but contribute nothing meanwhile, which plans
//! take into account. A pause that ends before another group could serve changes nothing, and neither does
//! the report of one entry that others contradict.

mod common;

use common::{LARGE, SERVICE, SMALL, TestCluster, engine, formed_groups};
use dockwood_api::gateway::{
    DispatchScope, EngineProfile, EventPace, GroupLoad, LoadReport, RequestRate, ServerLimit, ServerStart,
};
use dockwood_grouping::ScopeDispatch;
use dockwood_state::GatewayTables;

const MINUTE_MS: u64 = 60_000;

/// One group of the larger model, one of the smaller, which has more requests, and four free servers whose
/// hosts have staged both models.
fn cluster_with_free_servers() -> (TestCluster, u64) {
    let mut cluster = TestCluster::with_engine(EngineProfile { staged_models: 2, ..engine() }, 1, 10);
    let large = cluster.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    cluster.open_group(SMALL, &["d0-s4", "d0-s5"]);
    for free in ["d0-s6", "d0-s7", "d0-s8", "d0-s9"] {
        let report = cluster.report(free, None, &[LARGE, SMALL]);
        cluster.receive_report(report);
    }
    cluster.mark_requests_seen();
    cluster.send_requests(3, 12);
    (cluster, large)
}

fn group_load(epoch: u64, in_flight: u32, held_for_ms: u64) -> GroupLoad {
    GroupLoad {
        epoch,
        in_flight,
        silent: false,
        refuses: false,
        progressed: false,
        pace: EventPace::default(),
        held_for_ms,
    }
}

fn report_group(cluster: &mut TestCluster, entry: &str, group: GroupLoad) {
    let report =
        LoadReport { daemon: entry.to_string(), scope: None, groups: vec![group], models: Vec::new() };
    cluster.observations.exchange(cluster.now, report, true);
}

fn models_formed(cluster: &TestCluster) -> Vec<String> {
    formed_groups(&cluster.plan().commands).into_iter().map(|(model, _)| model).collect()
}

#[test]
fn a_group_that_is_held_back_for_long_is_replaced_by_free_servers() {
    let (mut cluster, large) = cluster_with_free_servers();
    assert_eq!(models_formed(&cluster), [SMALL, SMALL], "the smaller model has more requests");
    report_group(&mut cluster, "e0", group_load(large, 0, MINUTE_MS));
    assert_eq!(models_formed(&cluster), [LARGE], "no group serves the larger model for a minute");
}

#[test]
fn a_group_that_any_entry_uses_still_counts() {
    let (mut cluster, large) = cluster_with_free_servers();
    let before = models_formed(&cluster);
    report_group(&mut cluster, "e0", group_load(large, 0, MINUTE_MS));
    report_group(&mut cluster, "e1", group_load(large, 3, 0));
    assert!(cluster.observations.held_back_groups(cluster.now).is_empty());
    assert_eq!(models_formed(&cluster), before);
}

#[test]
fn the_remaining_pause_decreases_with_time() {
    let (mut cluster, large) = cluster_with_free_servers();
    report_group(&mut cluster, "e0", group_load(large, 0, MINUTE_MS));
    report_group(&mut cluster, "e1", group_load(large, 2, MINUTE_MS + 500));
    let left =
        |after_ms: u64| cluster.observations.held_back_groups(cluster.now + after_ms).get(&large).copied();
    assert_eq!(left(1_000), Some(MINUTE_MS - 1_000));
    assert_eq!(left(2 * MINUTE_MS), None);
}

/// A leaving head is held back permanently, even before its own report announces it.
#[test]
fn a_leaving_head_is_held_back_permanently() {
    let (mut cluster, large) = cluster_with_free_servers();
    report_group(&mut cluster, "e0", group_load(large, 4, u64::MAX));
    let left = cluster.observations.held_back_groups(cluster.now + MINUTE_MS);
    assert!(left.get(&large).is_some_and(|left_ms| *left_ms > MINUTE_MS));
    assert_eq!(models_formed(&cluster), [LARGE]);
}

/// In a large fleet, the dispatcher of the group's scope reports it to the leader.
#[test]
fn a_dispatcher_reports_which_groups_are_held_back() {
    let (cluster, large) = cluster_with_free_servers();
    let scope =
        DispatchScope { zone: "z".to_string(), service: SERVICE.to_string(), model: LARGE.to_string() };
    let summary = |reports: &[(&str, GroupLoad)], tables: &GatewayTables| {
        let mut dispatch = ScopeDispatch::new(scope.clone());
        for (entry, group) in reports {
            let report = LoadReport {
                daemon: entry.to_string(),
                scope: Some(scope.clone()),
                groups: vec![*group],
                models: Vec::new(),
            };
            dispatch.exchange(1_000, report, true);
        }
        let summary = dispatch.summary(1_000, "d", tables);
        summary.groups.iter().find(|group| group.epoch == large).map(|group| group.held_for_ms)
    };
    let (held, used) = (group_load(large, 0, MINUTE_MS), group_load(large, 1, 0));
    assert_eq!(summary(&[("e0", held), ("e1", held)], &cluster.tables), Some(MINUTE_MS));
    assert_eq!(summary(&[("e0", held), ("e1", used)], &cluster.tables), Some(0));
}

fn limit(server: &str, thousandths: u64) -> ServerLimit {
    ServerLimit {
        server: ServerStart { id: server.to_string(), started_ms: None },
        rate: RequestRate::from_thousandths(thousandths),
        has_ended: false,
        heard_ago_ms: 0,
    }
}

/// A head that accepts one request per ten seconds serves hardly any requests, although its group has all its
/// places.
#[test]
fn a_group_counts_for_the_request_rate_that_its_head_accepts() {
    let (mut cluster, _) = cluster_with_free_servers();
    let before = models_formed(&cluster);
    cluster.observations.note_limits(vec![limit("d0-s0", 100)]);
    assert_eq!(models_formed(&cluster), [LARGE]);
    cluster.observations.note_limits(vec![limit("d0-s0", 100_000), limit("d0-s1", 0)]);
    assert_eq!(
        models_formed(&cluster),
        before,
        "the head accepts more than it can serve; limits of other members are irrelevant"
    );
    cluster.observations.note_limits(Vec::new());
    assert_eq!(models_formed(&cluster), before);
}
