//! Admission order, tenant limits, and the guarantees of the coordinator.

mod searches;

use dockwood_api::ResultCode;
use dockwood_api::peer::{AcquireRequest, ReplicaEvidence, SlotReturn};
use dockwood_api::resource::TenantLimits;
use dockwood_routing::admission::{AGEING_MS, AdmissionQueue, LimitDecision, QueuedRequest, TenantLimiter};
use dockwood_routing::{
    ChoicePolicy, Coordinator, EVIDENCE_WINDOW_MS, Input, Output, PoolConfig, PoolReplica, TenantShare,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

fn waiting(
    item: u64,
    tenant: &str,
    tier: u8,
    weight: u32,
    cost: u32,
    enqueued_at: u64,
) -> QueuedRequest<u64> {
    QueuedRequest {
        item,
        tenant: tenant.to_string(),
        tier,
        weight,
        cost_tokens: cost,
        enqueued_at,
        deadline: enqueued_at + 100_000,
    }
}

#[test]
fn tiers_are_served_in_strict_order() {
    let mut queue = AdmissionQueue::default();
    queue.push(waiting(1, "low", 2, 1, 10, 0));
    queue.push(waiting(2, "high", 0, 1, 10, 5));
    queue.push(waiting(3, "mid", 1, 1, 10, 1));
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true).map(|one| one.item)).collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn shares_within_a_tier_follow_weights_and_tokens() {
    let mut queue = AdmissionQueue::default();
    for item in 0..300 {
        queue.push(waiting(item, "light", 0, 1, 500, 0));
        queue.push(waiting(item, "heavy", 0, 3, 500, 0));
        queue.push(waiting(item, "greedy", 0, 1, 1_000, 0));
    }
    let mut tokens: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..300 {
        if let Some(taken) = queue.pop(|_| true) {
            *tokens.entry(taken.tenant).or_default() += taken.cost_tokens;
        }
    }
    let ratio = |left: &str, right: &str| f64::from(tokens[left]) / f64::from(tokens[right]);
    assert!((2.5..3.5).contains(&ratio("heavy", "light")), "{tokens:?}");
    assert!((0.8..1.25).contains(&ratio("greedy", "light")), "{tokens:?}");
}

#[test]
fn aged_requests_move_to_the_first_tier() {
    let mut queue = AdmissionQueue::default();
    queue.push(waiting(1, "low", 3, 1, 10, 0));
    queue.push(waiting(2, "high", 0, 1, 10, AGEING_MS));
    queue.promote_aged(AGEING_MS);
    assert_eq!(queue.ahead_of(0), 2);
}

#[test]
fn tenant_limits_apply_and_return_a_retry_time() {
    let mut limiter = TenantLimiter::default();
    limiter.configure(0, "t", TenantLimits { requests_per_second: 2, tokens_per_second: 0, concurrency: 3 });
    assert_eq!(limiter.admit(0, "t", 1), LimitDecision::Admit);
    assert_eq!(limiter.admit(0, "t", 1), LimitDecision::Admit);
    assert_eq!(limiter.admit(0, "t", 1), LimitDecision::RetryAfter(500));
    assert_eq!(limiter.admit(500, "t", 1), LimitDecision::Admit);
    assert!(
        matches!(limiter.admit(5_000, "t", 1), LimitDecision::RetryAfter(_)),
        "three requests are in flight"
    );
    limiter.release("t");
    assert_eq!(limiter.admit(5_000, "t", 1), LimitDecision::Admit);
    assert_eq!(limiter.admit(0, "unlimited", 1_000_000), LimitDecision::Admit);
}

#[test]
fn a_token_limit_holds_over_time() {
    let mut limiter = TenantLimiter::default();
    limiter.configure(
        0,
        "t",
        TenantLimits { requests_per_second: 0, tokens_per_second: 100, concurrency: 0 },
    );
    let admitted = (0..10_000).filter(|now| limiter.admit(*now, "t", 10) == LimitDecision::Admit).count();
    assert!(
        (105..=111).contains(&admitted),
        "{admitted} requests of 10 tokens in 10 s at 100 tokens/s and a burst"
    );
}

const SLOTS: u32 = 2;

fn replica(name: &str, epoch: u64) -> PoolReplica {
    let head = std::net::SocketAddr::from(([127, 0, 0, 1], 80));
    PoolReplica { name: name.to_string(), epoch, head, serving: true, draining: false }
}

fn config(replicas: Vec<PoolReplica>) -> PoolConfig {
    let share = |tier| TenantShare { tier, weight: 1, limits: TenantLimits::default() };
    PoolConfig {
        term: 1,
        slots_per_replica: SLOTS,
        queue_limit: 4,
        declared_replicas: 2,
        replicas,
        tenants: BTreeMap::from([("top".to_string(), share(0)), ("low".to_string(), share(1))]),
        policy: ChoicePolicy::PrefixAffinity,
    }
}

fn evidence(echo: u64, name: &str, epoch: u64, complete: bool) -> Input {
    Input::Evidence(ReplicaEvidence {
        replica: name.to_string(),
        pool: "p".to_string(),
        epoch,
        complete,
        missing: Vec::new(),
        echo_ms: echo,
    })
}

/// Creates the request of a search of its own.
fn request(tenant: &str, entry: &str, blocks: Vec<u64>) -> AcquireRequest {
    static SEARCHES: AtomicU64 = AtomicU64::new(0);
    AcquireRequest {
        pool: "p".to_string(),
        request_id: "r".to_string(),
        entry: entry.to_string(),
        tenant: tenant.to_string(),
        cost_tokens: 10,
        prefix_blocks: blocks,
        wait_ms: 60_000,
        avoid: Vec::new(),
        search: SEARCHES.fetch_add(1, Ordering::Relaxed),
        call: 0,
        returned: Vec::new(),
    }
}

fn acquire(pool: &mut Coordinator, now: u64, ticket: u64, tenant: &str) -> Vec<Output> {
    pool.step(now, Input::Acquire { ticket, request: request(tenant, "e", Vec::new()) })
}

fn grants(outputs: &[Output]) -> Vec<(u64, String, u64)> {
    let granted = outputs.iter().filter_map(|output| match output {
        Output::Granted(ticket, grant) => Some((*ticket, grant.replica.clone(), grant.slot)),
        _ => None,
    });
    granted.collect()
}

fn refusals(outputs: &[Output]) -> Vec<(u64, ResultCode)> {
    let refused = outputs.iter().filter_map(|output| match output {
        Output::Refused(ticket, refusal) => Some((*ticket, refusal.code)),
        _ => None,
    });
    refused.collect()
}

fn returned_slot(slot: u64) -> SlotReturn {
    SlotReturn { pool: "p".to_string(), slot, replica_broken: false }
}

fn slot_return(slot: u64, replica_broken: bool) -> Input {
    Input::Release(SlotReturn { replica_broken, ..returned_slot(slot) })
}

fn open_pool() -> Coordinator {
    let mut pool = Coordinator::default();
    pool.step(1_000, Input::Configure(config(vec![replica("a", 1), replica("b", 1)])));
    pool.step(1_000, evidence(1_000, "a", 1, true));
    pool.step(1_000, evidence(1_000, "b", 1, true));
    pool
}

#[test]
fn nothing_is_granted_without_evidence() {
    let mut pool = Coordinator::default();
    pool.step(0, Input::Configure(config(vec![replica("a", 2)])));
    assert!(grants(&acquire(&mut pool, 0, 1, "top")).is_empty());
    assert!(grants(&pool.step(1, evidence(1, "a", 1, true))).is_empty(), "evidence for an older epoch");
    assert!(grants(&pool.step(2, evidence(2, "a", 2, false))).is_empty(), "a machine is missing");
    assert_eq!(grants(&pool.step(3, evidence(3, "a", 2, true))).len(), 1);
    assert!(
        grants(&acquire(&mut pool, 3 + EVIDENCE_WINDOW_MS, 2, "top")).is_empty(),
        "the evidence is too old"
    );
}

#[test]
fn a_grant_is_valid_no_longer_than_its_evidence() {
    let mut pool = open_pool();
    let outputs = acquire(&mut pool, 1_400, 1, "top");
    let Some(Output::Granted(_, grant)) = outputs.first() else { panic!("{outputs:?}") };
    assert_eq!(u64::from(grant.valid_ms), EVIDENCE_WINDOW_MS - 400);
}

#[test]
fn slots_limit_running_and_the_queue_waiting_requests() {
    let mut pool = open_pool();
    let granted: usize = (0..4).map(|ticket| grants(&acquire(&mut pool, 1_001, ticket, "low")).len()).sum();
    assert_eq!(granted, 4);
    for ticket in 4..8 {
        assert!(acquire(&mut pool, 1_002, ticket, "low").is_empty());
    }
    assert_eq!(refusals(&acquire(&mut pool, 1_003, 8, "low")), [(8, ResultCode::QueueFull)]);
    assert_eq!(
        refusals(&acquire(&mut pool, 1_003, 9, "top")),
        [(7, ResultCode::QueueFull)],
        "the newest request of the lower tier is evicted"
    );
}

#[test]
fn a_returned_slot_goes_to_the_higher_tier() {
    let mut pool = open_pool();
    let slots: Vec<u64> = (0..4)
        .flat_map(|ticket| grants(&acquire(&mut pool, 1_001, ticket, "low")))
        .map(|one| one.2)
        .collect();
    acquire(&mut pool, 1_002, 10, "low");
    acquire(&mut pool, 1_003, 11, "top");
    assert_eq!(grants(&pool.step(1_004, slot_return(slots[0], false)))[0].0, 11);
    assert_eq!(grants(&pool.step(1_005, slot_return(slots[1], false)))[0].0, 10);
    assert!(
        grants(&pool.step(1_006, slot_return(slots[1], false))).is_empty(),
        "a repeated return frees nothing"
    );
}

#[test]
fn a_broken_replica_gets_no_requests_until_new_evidence() {
    let mut pool = open_pool();
    let first = grants(&acquire(&mut pool, 1_001, 1, "top"));
    pool.step(1_002, slot_return(first[0].2, true));
    let broken = first[0].1.clone();
    for ticket in 2..4 {
        assert!(grants(&acquire(&mut pool, 1_003, ticket, "top")).iter().all(|one| one.1 != broken));
    }
    assert!(grants(&acquire(&mut pool, 1_004, 5, "top")).is_empty());
    assert_eq!(grants(&pool.step(1_100, evidence(1_100, &broken, 1, true)))[0].1, broken);
}

/// Guards against a request that had failed on the only serving replica waiting for its whole deadline: it
/// was kept from that replica because another one was declared, although that one could not be formed.
#[test]
fn a_request_avoids_a_replica_only_while_another_one_serves() {
    let forming = PoolReplica { serving: false, ..replica("b", 7) };
    let avoiding = || AcquireRequest { avoid: vec!["a".to_string()], ..request("top", "e", Vec::new()) };
    let mut pool = Coordinator::default();
    pool.step(0, Input::Configure(config(vec![replica("a", 6), forming])));
    pool.step(0, evidence(0, "a", 6, true));
    let alone = pool.step(0, Input::Acquire { ticket: 1, request: avoiding() });
    assert_eq!(grants(&alone).len(), 1, "no other replica is serving");
    pool.step(0, Input::Configure(config(vec![replica("a", 6), replica("b", 7)])));
    let waiting = pool.step(0, Input::Acquire { ticket: 2, request: avoiding() });
    assert_eq!(grants(&waiting), [], "the other replica is serving, but there is no evidence on it yet");
    let other = pool.step(10, evidence(10, "b", 7, true));
    assert_eq!(grants(&other).iter().map(|grant| grant.1.as_str()).collect::<Vec<_>>(), ["b"]);
}

#[test]
fn prefix_affinity_applies_within_the_load_bound() {
    let mut pool = open_pool();
    let with_prefix = |pool: &mut Coordinator, ticket| {
        let outputs =
            pool.step(1_001, Input::Acquire { ticket, request: request("top", "e", vec![7, 8, 9]) });
        grants(&outputs)[0].clone()
    };
    let first = with_prefix(&mut pool, 1);
    pool.step(1_001, slot_return(first.2, false));
    let second = with_prefix(&mut pool, 2);
    assert_eq!(first.1, second.1);
    let third = with_prefix(&mut pool, 3);
    assert_ne!(third.1, second.1, "affinity must not overload one replica while another idles");
}

#[test]
fn slots_that_an_entry_does_not_report_are_freed_after_the_grace_period() {
    let mut pool = open_pool();
    let slots: Vec<(u64, String)> = (0..4)
        .flat_map(|ticket| grants(&acquire(&mut pool, 1_001, ticket, "top")))
        .map(|one| (one.2, one.1))
        .collect();
    acquire(&mut pool, 1_002, 9, "top");
    let held = Input::EntryHolds { entry: "e".to_string(), slots: slots[..3].to_vec() };
    assert!(grants(&pool.step(1_500, held.clone())).is_empty(), "the grant may still be on its way");
    pool.step(5_000, evidence(5_000, "a", 1, true));
    pool.step(5_000, evidence(5_000, "b", 1, true));
    assert_eq!(grants(&pool.step(5_000, held)).len(), 1, "the entry does not report the fourth slot");
}

#[test]
fn a_new_coordinator_adopts_slots_held_by_entries() {
    let mut pool = open_pool();
    let held: Vec<(u64, String)> =
        (1..=4).map(|slot| (slot, if slot < 3 { "a" } else { "b" }.to_string())).collect();
    pool.step(1_001, Input::EntryHolds { entry: "e".to_string(), slots: held });
    assert!(grants(&acquire(&mut pool, 1_002, 1, "top")).is_empty(), "all slots are in use");
    assert_eq!(grants(&pool.step(1_003, slot_return(2, false))).len(), 1);
}

#[test]
fn a_drained_replica_is_reported_once_nothing_is_in_flight() {
    let mut pool = open_pool();
    let first = grants(&acquire(&mut pool, 1_001, 1, "top"));
    let mut draining = replica(&first[0].1, 1);
    (draining.serving, draining.draining) = (false, true);
    let idle = Output::ReplicaIdle { replica: draining.name.clone(), epoch: 1 };
    let outputs = pool.step(1_002, Input::Configure(config(vec![draining])));
    assert!(!outputs.contains(&idle));
    assert!(grants(&acquire(&mut pool, 1_003, 2, "top")).is_empty());
    assert!(pool.step(1_004, slot_return(first[0].2, false)).contains(&idle));
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut pool = open_pool();
    let mut urgent = request("low", "e", Vec::new());
    urgent.wait_ms = 50;
    (0..6).for_each(|ticket| drop(acquire(&mut pool, 1_001, ticket, "top")));
    let outputs = pool.step(1_002, Input::Acquire { ticket: 9, request: urgent });
    assert_eq!(refusals(&outputs), [(9, ResultCode::DeadlineUnreachable)]);
}

#[derive(Clone, Debug)]
enum Step {
    Acquire(bool),
    Release(usize),
    Evidence(bool, bool),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Acquire),
        3 => (0_usize..8).prop_map(Step::Release),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(which, complete)| Step::Evidence(which, complete)),
        1 => (1_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn slots_are_never_exceeded_and_every_call_gets_one_answer(steps in proptest::collection::vec(any_step(), 1..120)) {
        let mut pool = open_pool();
        let (mut now, mut ticket) = (1_000, 0);
        let mut held: Vec<(u64, String)> = Vec::new();
        let mut answered: BTreeMap<u64, u32> = BTreeMap::new();
        for step in steps {
            let outputs = match step {
                Step::Acquire(top) => {
                    ticket += 1;
                    acquire(&mut pool, now, ticket, if top { "top" } else { "low" })
                }
                Step::Release(which) if !held.is_empty() => {
                    let slot = held.remove(which % held.len()).0;
                    pool.step(now, slot_return(slot, false))
                }
                Step::Release(_) => pool.step(now, Input::Tick),
                Step::Evidence(which, complete) => pool.step(now, evidence(now, if which { "a" } else { "b" }, 1, complete)),
                Step::Wait(elapsed) => {
                    now += elapsed;
                    // The entry reports its slots, so none of them is freed.
                    pool.step(now, Input::EntryHolds { entry: "e".to_string(), slots: held.clone() })
                }
            };
            for (ticket, replica, slot) in grants(&outputs) {
                *answered.entry(ticket).or_default() += 1;
                held.push((slot, replica));
            }
            for (ticket, _) in refusals(&outputs) {
                *answered.entry(ticket).or_default() += 1;
            }
            for name in ["a", "b"] {
                prop_assert!(held.iter().filter(|(_, replica)| replica == name).count() <= SLOTS as usize);
            }
            prop_assert!(answered.values().all(|count| *count == 1));
        }
    }
}
