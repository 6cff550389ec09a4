//! Servers that are cold get no more requests a second than their limit, whoever sends them.

mod common;

use common::{LARGE, SERVICE, World, engine, formed};
use dockwood_api::gateway::{ColdStart, EngineProfile, GatewayConfiguration, PlaceReply, PlaceRequest};
use dockwood_grouping::{ColdLimit, ColdPacing, Dispatcher, SendRate};
use dockwood_state::{GatewayCommand, InstanceRow};
use std::collections::BTreeSet;
use std::sync::Arc;
use yare::parameterized;

/// What the limit below allows to arrive in any second.
const ARRIVALS: usize = 44;
const COLD_START: ColdStart = ColdStart { usual_ms: 15_000, requests_per_second: 26.0 };
const LIMIT: ColdLimit = ColdLimit { overshoot_percent: 150, extra: 5 };
/// How much later than its grant a request may arrive: as long as a grant is valid, and the way.
const LATEST_ARRIVAL_MS: u64 = 100;
const ENTRIES: u64 = 76;
const HEAD: &str = "d0-s0";

/// One domain whose service limits what cold servers get, with so many open groups; the head of the first is cold.
fn world(groups: usize) -> World {
    let mut world = World::with_engine(EngineProfile { slots: 48, ..engine() }, 1, 12);
    let mut configuration = GatewayConfiguration::clone(world.tables.configuration.as_ref().expect("one"));
    configuration.version = 2;
    configuration.services[0].cold_start = Some(COLD_START);
    world.apply(GatewayCommand::Configure(Arc::new(configuration)));
    for group in 0..groups {
        let members: Vec<String> = (0..4).map(|member| format!("d0-s{}", group * 4 + member)).collect();
        world.open_group(LARGE, &members.iter().map(String::as_str).collect::<Vec<_>>());
    }
    tell(&mut world, HEAD, 15_000);
    world
}

/// A server tells for how long it is still cold.
fn tell(world: &mut World, id: &str, cold_ms: u64) {
    let mut report = world.report(id, None, &[]);
    report.cold_ms = cold_ms;
    world.apply(GatewayCommand::Register(InstanceRow::from(&report)));
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    dispatcher.limit_cold_heads(LIMIT);
    dispatcher
}

fn ask(world: &World, dispatcher: &mut Dispatcher, number: u64) -> PlaceReply {
    let request = PlaceRequest {
        daemon: format!("entry-{}", number % ENTRIES),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: None,
        most_first_event_ms: None,
        prompt_tokens: 100,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    };
    dispatcher.assign(world.now, &request, &world.tables, &world.observations)
}

/// Every entry asks a dispatcher for a place; returns how many got one at the first group.
fn all_ask(world: &World, dispatcher: &mut Dispatcher) -> usize {
    let replies = (0..ENTRIES).map(|number| ask(world, dispatcher, number));
    replies.filter(|reply| matches!(reply, PlaceReply::Assigned { epoch: 1, .. })).count()
}

/// When requests arrive that were granted then: some at once, some as late as they may.
fn arrivals(grants: &[u64]) -> Vec<u64> {
    let delay = |position: usize| (position as u64 * 37) % (LATEST_ARRIVAL_MS + 1);
    grants.iter().enumerate().map(|(position, grant)| grant + delay(position)).collect()
}

/// The most requests in any second, both ends counted.
fn most_in_a_second(times: &[u64]) -> usize {
    let in_second = |from: &u64| times.iter().filter(|at| (*from..=*from + 1_000).contains(*at)).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

/// The most requests that may arrive within any second: those granted over a second and the longest delay.
fn most_that_may_arrive(grants: &[u64]) -> usize {
    let span = 1_000 + LATEST_ARRIVAL_MS;
    let in_span = |from: &u64| grants.iter().filter(|at| (*from..=*from + span).contains(*at)).count();
    grants.iter().map(in_span).max().unwrap_or(0)
}

/// Lets all entries ask every few milliseconds for three seconds, and returns when the first group was given requests.
fn ask_on(world: &mut World, mut assign: impl FnMut(&World, u64) -> usize) -> Vec<u64> {
    let begun = world.now;
    let mut grants = Vec::new();
    while world.now < begun + 3_000 {
        let given = assign(world, world.now - begun);
        grants.extend(std::iter::repeat_n(world.now, given));
        world.now += 5;
    }
    grants
}

/// Load pattern: a group with a cold head opens while requests wait at all entries.
#[test]
fn a_cold_head_gets_no_more_than_its_limit_however_many_entries_ask() {
    let mut world = world(1);
    let mut dispatcher = dispatcher();
    let grants = ask_on(&mut world, |world, _| all_ask(world, &mut dispatcher));
    assert!(most_that_may_arrive(&grants) <= ARRIVALS / 2, "{grants:?}");
    assert!(most_in_a_second(&arrivals(&grants)) <= ARRIVALS / 2);
    assert!(grants.len() >= 3 * 18, "the cold head serves what it can: {}", grants.len());
}

#[test]
fn a_change_of_dispatcher_keeps_the_limit() {
    for change_at in (0..1_500).step_by(75) {
        let mut world = world(1);
        let (mut first, mut second) = (dispatcher(), dispatcher());
        let grants = ask_on(&mut world, |world, at_ms| {
            all_ask(world, if at_ms < change_at { &mut first } else { &mut second })
        });
        assert!(most_that_may_arrive(&grants) <= ARRIVALS, "changed at {change_at}: {grants:?}");
    }
}

#[test]
fn two_dispatchers_at_once_keep_the_limit() {
    let mut world = world(1);
    let (mut first, mut second) = (dispatcher(), dispatcher());
    let grants = ask_on(&mut world, |world, _| all_ask(world, &mut first) + all_ask(world, &mut second));
    assert!(most_that_may_arrive(&grants) <= ARRIVALS, "{grants:?}");
}

#[test]
fn requests_go_elsewhere_while_a_cold_head_has_had_its_part() {
    let world = world(2);
    let mut dispatcher = dispatcher();
    let replies: Vec<PlaceReply> = (0..10).map(|number| ask(&world, &mut dispatcher, number)).collect();
    let given = |group: u64| {
        let is_given =
            |reply: &&PlaceReply| matches!(reply, PlaceReply::Assigned { epoch, .. } if *epoch == group);
        replies.iter().filter(is_given).count()
    };
    assert_eq!((given(1), given(2)), (1, 9));
}

#[test]
fn a_service_without_a_limit_fills_a_cold_head() {
    let mut world = world(1);
    let mut configuration = GatewayConfiguration::clone(world.tables.configuration.as_ref().expect("one"));
    configuration.version = 3;
    configuration.services[0].cold_start = None;
    world.apply(GatewayCommand::Configure(Arc::new(configuration)));
    assert!(all_ask(&world, &mut dispatcher()) >= 48);
}

/// What a head got while it was warm counts once it is cold.
#[test]
fn a_head_that_becomes_cold_at_any_moment_keeps_the_limit_from_then_on() {
    for cold_at in (0..1_500).step_by(100) {
        let mut world = world(1);
        let mut dispatcher = dispatcher();
        tell(&mut world, HEAD, 0);
        let begun = world.now;
        let mut grants = Vec::new();
        while world.now < begun + 4_000 {
            if world.now == begun + cold_at {
                tell(&mut world, HEAD, 9_000);
            }
            // Some 30 a second are asked for while it is warm.
            if world.now < begun + cold_at && !(world.now - begun).is_multiple_of(35) {
                world.now += 5;
                continue;
            }
            if matches!(ask(&world, &mut dispatcher, world.now), PlaceReply::Assigned { .. }) {
                grants.push(world.now);
            }
            world.now += 5;
        }
        let after = grants.iter().filter(|at| **at >= begun + cold_at);
        for grant in after {
            let lately = grants.iter().filter(|at| **at <= *grant && **at + 1_100 > *grant).count();
            assert!(lately <= ARRIVALS / 2, "cold at {cold_at}: {lately} by {}", grant - begun);
        }
        assert!(most_that_may_arrive(&grants) <= ARRIVALS, "cold at {cold_at}");
    }
}

#[test]
fn a_head_that_says_it_is_warm_is_filled_only_after_a_slow_start() {
    let mut world = world(1);
    let mut dispatcher = dispatcher();
    assert_eq!(all_ask(&world, &mut dispatcher), 1);
    tell(&mut world, HEAD, 0);
    let begun = world.now;
    let grants = ask_on(&mut world, |world, _| all_ask(world, &mut dispatcher));
    let early: Vec<u64> = grants.iter().copied().filter(|at| *at < begun + 2_400).collect();
    assert!(most_that_may_arrive(&early) <= ARRIVALS, "{early:?}");
    assert!(early.len() > 2 * ARRIVALS / 2, "more than while it was cold: {}", early.len());
    let at_end = grants.iter().filter(|at| **at == begun + 2_400).count();
    assert!(at_end > 1, "it takes all that it has places for: {at_end}");
}

#[parameterized(
    declared = { 26.0, 150, 5, 44 },
    as_declared = { 20.0, 100, 0, 20 },
    rounded_down = { 9.9, 100, 0, 9 },
    less_than_one = { 0.5, 100, 0, 0 },
    no_number = { f64::NAN, 100, 0, 0 },
    negative = { -4.0, 100, 0, 0 },
    absurd = { 1e300, 1_000, 1_000, 10_000 },
)]
fn the_limit_follows_from_what_is_declared(
    requests_per_second: f64,
    overshoot_percent: u64,
    extra: u64,
    arrivals: u32,
) {
    let limit = ColdLimit { overshoot_percent, extra };
    assert_eq!(limit.arrivals(&ColdStart { usual_ms: 1_000, requests_per_second }), arrivals);
}

/// A sender that sends whenever it may, once in each millisecond at most.
fn send_on(rate: SendRate) -> Vec<u64> {
    let mut pacing = ColdPacing::default();
    let mut sent = Vec::new();
    for now in 10_000..16_000 {
        pacing.observe(now, &"server", true);
        if pacing.may_give(now, &"server", rate) {
            pacing.give(now, &"server", rate);
            sent.push(now);
        }
    }
    sent
}

#[test]
fn every_limit_is_kept_by_two_senders_and_at_least_one_request_is_sent() {
    for arrivals in 2..120 {
        let sent = send_on(SendRate::of_dispatcher(arrivals));
        assert!(most_that_may_arrive(&sent) * 2 <= arrivals as usize, "{arrivals}: {sent:?}");
        assert!(!sent.is_empty());
    }
    assert!(most_that_may_arrive(&send_on(SendRate::of_dispatcher(1))) == 1);
    assert!(send_on(SendRate::of_dispatcher(0)).is_empty(), "not even one request may arrive");
}

fn entries(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("edge-{number}.entry")).collect()
}

/// What all these entries send to a plain server without a word between them.
fn sent_by_all(arrivals: u32, entries: &[String]) -> Vec<u64> {
    let known: Vec<&str> = entries.iter().map(String::as_str).collect();
    let mut sent: Vec<u64> = known
        .iter()
        .flat_map(|entry| send_on(SendRate::of_entry(arrivals, "server-1", entry, &known)))
        .collect();
    sent.sort_unstable();
    sent
}

#[parameterized(
    many = { 76 },
    more_than_hundreds = { 330 },
    as_many_as_requests = { 22 },
    few = { 5 },
    two = { 2 },
    one = { 1 },
)]
fn entries_share_a_cold_plain_server_without_a_word(count: usize) {
    let sent = sent_by_all(ARRIVALS as u32, &entries(count));
    assert!(most_that_may_arrive(&sent) <= ARRIVALS / 2, "{count} entries");
    assert!(sent.len() >= 5 * 15, "the server's part is used: {} by {count} entries", sent.len());
}

/// Two views of the fleet that differ by entries which have come and gone.
#[test]
fn entries_that_know_different_fleets_keep_the_limit() {
    let all = entries(76);
    let (earlier, later) = (&all[..60], &all[10..]);
    let senders = |known: &[String]| -> BTreeSet<String> {
        let names: Vec<&str> = known.iter().map(String::as_str).collect();
        let sends = |entry: &&String| {
            let rate = SendRate::of_entry(ARRIVALS as u32, "server-1", entry, &names);
            rate.interval_ms().is_some()
        };
        known.iter().filter(sends).cloned().collect()
    };
    let both: BTreeSet<String> = senders(earlier).union(&senders(later)).cloned().collect();
    assert_eq!(senders(earlier).len(), ARRIVALS / 2);
    assert!(both.len() <= ARRIVALS, "{}", both.len());
}

#[test]
fn an_entry_that_the_fleet_does_not_know_sends_nothing_to_a_cold_plain_server() {
    assert_eq!(SendRate::of_entry(44, "server-1", "newcomer", &["a", "b"]).interval_ms(), None);
}

#[test]
fn a_formed_group_has_a_warm_head_where_it_has_a_warm_member() {
    let mut world = World::new(1, 4);
    for id in ["d0-s0", "d0-s1", "d0-s2"] {
        tell(&mut world, id, 15_000);
        world.hear_again(id);
    }
    world.ask_for(4, 0);
    let groups = formed(&world.plan().commands);
    assert!(!groups.is_empty());
    let with_warm = groups.iter().filter(|(_, members)| members.iter().any(|id| id == "d0-s3"));
    assert!(with_warm.clone().all(|(_, members)| members[0] == "d0-s3"), "{groups:?}");
    assert_eq!(with_warm.count(), 1, "{groups:?}");
}
