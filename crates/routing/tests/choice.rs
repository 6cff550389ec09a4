//! Selection of entries, replicas and servers.

use dockwood_routing::{
    BackendPicker, CallResult, Candidate, ChoicePolicy, EntryCandidate, PREFIX_BLOCK_BYTES, PrefixIndex,
    RetryBudget, choose, entry_order, prefix_blocks,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn entries() -> Vec<(String, &'static str)> {
    (0..9).map(|number| (format!("e{number}"), ["x", "y", "z"][number % 3])).collect()
}

fn candidates(entries: &[(String, &'static str)]) -> Vec<EntryCandidate<'static>> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let leak = |name: &String| -> &'static str { Box::leak(name.clone().into_boxed_str()) };
    entries.iter().map(|(name, zone)| EntryCandidate { name: leak(name), zone, address }).collect()
}

#[test]
fn sessions_are_spread_and_keep_their_entry() {
    let all = candidates(&entries());
    let mut first: BTreeMap<&str, usize> = BTreeMap::new();
    for session in 0..900 {
        let order = entry_order(&all, &format!("s{session}"), None, 4);
        assert_eq!(order.len(), 4);
        *first.entry(order[0].name).or_default() += 1;
        let without_last: Vec<_> =
            all.iter().filter(|candidate| candidate.name != order[3].name).cloned().collect();
        assert_eq!(entry_order(&without_last, &format!("s{session}"), None, 4)[0].name, order[0].name);
    }
    assert!(first.values().all(|count| (60..150).contains(count)), "{first:?}");
}

#[test]
fn entries_of_the_callers_zone_come_first_and_one_is_in_another_zone() {
    let all = candidates(&entries());
    let order = entry_order(&all, "s", Some("y"), 3);
    assert_eq!(order.iter().map(|candidate| candidate.zone).collect::<Vec<_>>()[..2], ["y", "y"]);
    assert_ne!(order[2].zone, "y");
}

#[test]
fn each_policy_chooses_its_best_candidate() {
    let candidate = |replica, used, matched_blocks, last_granted| Candidate {
        replica,
        used,
        slots: 10,
        matched_blocks,
        last_granted,
    };
    let pool = [candidate("cached", 1, 5, 9), candidate("idle", 0, 0, 8), candidate("busy", 9, 9, 1)];
    assert_eq!(choose(ChoicePolicy::PrefixAffinity, &pool), Some("cached"));
    assert_eq!(choose(ChoicePolicy::LeastLoaded, &pool), Some("idle"));
    assert_eq!(choose(ChoicePolicy::RoundRobin, &pool), Some("busy"));
    assert_eq!(choose(ChoicePolicy::RoundRobin, &[]), None);
}

#[test]
fn prefixes_match_from_the_start_and_can_be_removed() {
    let text = "x".repeat(PREFIX_BLOCK_BYTES * 3 + 10);
    let blocks = prefix_blocks(&text);
    assert_eq!(blocks.len(), 3);
    let mut index = PrefixIndex::new(100);
    index.insert(&blocks[..2], "a");
    index.insert(&blocks, "b");
    assert_eq!(index.matches(&blocks), BTreeMap::from([("a", 2), ("b", 3)]));
    index.remove_replica("b");
    assert_eq!(index.matches(&blocks), BTreeMap::from([("a", 2)]));
    let other = prefix_blocks(&format!("y{text}"));
    assert!(index.matches(&other).is_empty());
}

#[test]
fn the_prefix_index_is_bounded() {
    let mut index = PrefixIndex::new(50);
    (0..1_000).for_each(|block| index.insert(&[block], "a"));
    assert_eq!(index.len(), 50);
}

#[test]
fn retries_stay_within_their_share_of_the_load() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.try_retry());
    }
    assert!((1_500..=2_600).contains(&retries), "{retries}");
}

#[test]
fn asking_whether_a_retry_is_allowed_does_not_take_it() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    while budget.allows_retry() {
        assert!(budget.allows_retry() && budget.try_retry());
        retries += 1;
    }
    assert_eq!(retries, 10, "a daemon without traffic may retry ten times");
    assert!(!budget.try_retry());
}

#[test]
fn two_choices_balance_load_within_the_limits() {
    let mut picker = BackendPicker::default();
    let servers = ["a", "b", "c"];
    let picked = (0..30_u64).filter_map(|n| picker.pick(0, &servers, 8, [n * 7, n * 13 + 1])).count();
    assert_eq!(picked, 24, "three servers with a limit of eight calls each");
    assert!(servers.iter().all(|name| picker.state(name).map(|state| state.in_flight) == Some(8)));
}

#[test]
fn failing_servers_are_ejected_temporarily_and_at_most_half_of_them() {
    let mut picker = BackendPicker::default();
    let servers = ["a", "b"];
    for name in servers {
        for _ in 0..3 {
            while picker.pick(0, &[name], 100, [0, 0]).is_none() {}
            picker.finished(0, name, CallResult::Failed, servers.len());
        }
    }
    let at = |picker: &mut BackendPicker, now| {
        (0..20_u64).filter_map(|n| picker.pick(now, &servers, 1_000, [n, n + 1])).collect::<Vec<_>>()
    };
    assert!(
        at(&mut picker, 10).iter().all(|name| name == "b"),
        "a is ejected, so b may not be ejected as well"
    );
    assert!(at(&mut picker, 60_000).iter().any(|name| name == "a"), "a is no longer ejected");
}
