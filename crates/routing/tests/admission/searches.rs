//! Calls of entries that search for slots: calls without an answer, repeated calls, and returns of slots that are overtaken.

use super::{
    acquire, config, evidence, grants, open_pool, refusals, replica, request, returned_slot, slot_return,
};
use dockwood_api::ResultCode;
use dockwood_api::peer::AcquireRequest;
use dockwood_api::resource::TenantLimits;
use dockwood_routing::{Coordinator, Input, PoolConfig, TenantShare};
use std::collections::BTreeMap;

/// An entry that loses contact with the coordinator for a moment leaves the queue and asks again.
#[test]
fn a_request_that_leaves_the_queue_returns_its_share_of_the_tenants_rate() {
    let limits = TenantLimits { requests_per_second: 1, tokens_per_second: 10, concurrency: 1 };
    let share = TenantShare { tier: 0, weight: 1, limits };
    let mut pool = Coordinator::default();
    let tenants = BTreeMap::from([("top".to_string(), share)]);
    pool.step(1_000, Input::Configure(PoolConfig { tenants, ..config(vec![replica("a", 1)]) }));
    assert!(refusals(&acquire(&mut pool, 1_000, 1, "top")).is_empty());
    pool.step(1_100, Input::Cancel { ticket: 1 });
    assert!(refusals(&acquire(&mut pool, 1_100, 2, "top")).is_empty(), "it waits as before");
    let refused = refusals(&acquire(&mut pool, 1_100, 3, "top"));
    assert_eq!(refused, vec![(3, ResultCode::TenantLimit)], "a further request is beyond the limit");
}

/// A pool with one replica, at which the tenant "top" may run one request at a time.
fn pool_with_limited_tenant(requests_per_second: u32) -> Coordinator {
    let limits = TenantLimits { requests_per_second, tokens_per_second: 0, concurrency: 1 };
    let share = TenantShare { tier: 0, weight: 1, limits };
    let tenants = BTreeMap::from([("top".to_string(), share)]);
    let mut pool = Coordinator::default();
    pool.step(1_000, Input::Configure(PoolConfig { tenants, ..config(vec![replica("a", 1)]) }));
    pool.step(1_000, evidence(1_000, "a", 1, true));
    pool
}

/// Guards against the request that follows a stalled one being refused for the limit of its tenant, because it overtook the
/// call that returned the slot of the stalled one.
#[test]
fn a_request_that_overtakes_the_return_of_a_slot_gets_its_place() {
    let mut pool = pool_with_limited_tenant(0);
    let first = grants(&acquire(&mut pool, 1_001, 1, "top"))[0].2;
    let next = AcquireRequest { returned: vec![returned_slot(first)], ..request("top", "e", Vec::new()) };
    let outputs = pool.step(1_002, Input::Acquire { ticket: 2, request: next });
    assert_eq!(grants(&outputs).len(), 1, "{outputs:?}");
    pool.step(1_003, slot_return(first, false));
    let refused = refusals(&acquire(&mut pool, 1_004, 3, "top"));
    assert_eq!(refused, [(3, ResultCode::TenantLimit)], "the slot was released twice");
}

#[test]
fn a_request_releases_no_slots_of_other_entries() {
    let mut pool = pool_with_limited_tenant(0);
    let first = grants(&acquire(&mut pool, 1_001, 1, "top"))[0].2;
    let other =
        AcquireRequest { returned: vec![returned_slot(first)], ..request("top", "other", Vec::new()) };
    let outputs = pool.step(1_002, Input::Acquire { ticket: 2, request: other });
    assert_eq!(refusals(&outputs), [(2, ResultCode::TenantLimit)]);
}

#[yare::parameterized(
    granted = { true },
    waiting = { false },
)]
fn a_repeated_call_replaces_one_whose_answer_was_lost(is_granted: bool) {
    let mut pool = pool_with_limited_tenant(1);
    if !is_granted {
        pool.step(1_001, evidence(1_001, "a", 1, false));
    }
    let call = request("top", "e", Vec::new());
    let lost = pool.step(1_002, Input::Acquire { ticket: 1, request: call.clone() });
    assert_eq!(grants(&lost).len(), usize::from(is_granted));
    let outputs = pool.step(1_003, Input::Acquire { ticket: 2, request: call });
    assert_eq!(refusals(&outputs), []);
    let outputs = [outputs, pool.step(1_004, evidence(1_004, "a", 1, true))].concat();
    assert_eq!(grants(&outputs).iter().map(|grant| grant.0).collect::<Vec<_>>(), [2]);
    pool.step(1_005, Input::Cancel { ticket: 1 });
    assert_eq!(refusals(&acquire(&mut pool, 1_006, 3, "top")), [(3, ResultCode::TenantLimit)]);
}

/// One slot in all, which a search was granted without receiving the answer, and another tenant waiting for it.
#[test]
fn a_repeated_call_gets_its_slot_again_before_others_that_wait() {
    let mut pool = pool_with_limited_tenant(1);
    let call = request("top", "e", Vec::new());
    let lost = grants(&pool.step(1_002, Input::Acquire { ticket: 1, request: call.clone() }));
    let mut others = 0;
    while grants(&acquire(&mut pool, 1_003, 100 + others, "low")).len() == 1 {
        others += 1;
    }
    let repeated = AcquireRequest { call: 1, ..call };
    let outputs = pool.step(1_004, Input::Acquire { ticket: 2, request: repeated });
    assert_eq!(grants(&outputs), [(2, lost[0].1.clone(), lost[0].2)]);
}

#[test]
fn a_repeated_call_keeps_its_place_in_the_queue() {
    let mut pool = open_pool();
    let slots: Vec<u64> = (0..4)
        .flat_map(|ticket| grants(&acquire(&mut pool, 1_001, ticket, "low")))
        .map(|one| one.2)
        .collect();
    let call = request("low", "e", Vec::new());
    pool.step(1_002, Input::Acquire { ticket: 10, request: call.clone() });
    acquire(&mut pool, 1_003, 11, "low");
    pool.step(1_004, Input::Acquire { ticket: 12, request: AcquireRequest { call: 1, ..call } });
    pool.step(1_004, Input::Cancel { ticket: 10 });
    assert_eq!(grants(&pool.step(1_005, slot_return(slots[0], false)))[0].0, 12);
    assert_eq!(grants(&pool.step(1_006, slot_return(slots[1], false)))[0].0, 11);
}

#[yare::parameterized(
    granted = { true },
    waiting = { false },
)]
fn a_call_that_arrives_after_a_later_one_of_its_search_changes_nothing(is_granted: bool) {
    let mut pool = pool_with_limited_tenant(1);
    if !is_granted {
        pool.step(1_001, evidence(1_001, "a", 1, false));
    }
    let first = request("top", "e", Vec::new());
    let second = AcquireRequest { call: 1, ..first.clone() };
    let outputs = pool.step(1_002, Input::Acquire { ticket: 2, request: second });
    assert_eq!(grants(&outputs).len(), usize::from(is_granted));
    let late = pool.step(1_003, Input::Acquire { ticket: 1, request: first });
    assert_eq!(refusals(&late), [(1, ResultCode::CallerLeft)]);
    let all = [outputs, pool.step(1_004, evidence(1_004, "a", 1, true))].concat();
    assert_eq!(grants(&all).iter().map(|grant| grant.0).collect::<Vec<_>>(), [2]);
    assert_eq!(refusals(&acquire(&mut pool, 1_006, 3, "top")), [(3, ResultCode::TenantLimit)]);
}
