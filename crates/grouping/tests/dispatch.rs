//! Which group a request is assigned to.

mod common;

use common::{LARGE, SERVICE, World};
use dockwood_api::gateway::{Fingerprint, LimitedGroup, PlaceReply, PlaceRequest, RequestIdentity};
use dockwood_grouping::Dispatcher;
use dockwood_state::{CrashReport, GatewayCommand, SuspectAttempt, TrialRequest};

/// Eight slots, and one that waits.
const PLACES: u32 = 9;

fn request(entry: &str, prompt_tokens: u64) -> PlaceRequest {
    PlaceRequest {
        daemon: entry.to_string(),
        zone: "z".to_string(),
        service: SERVICE.to_string(),
        model: LARGE.to_string(),
        group_zone: None,
        allowed_zones: None,
        most_first_event_ms: None,
        prompt_tokens,
        prefers_idle: false,
        excluded: Vec::new(),
        limited: Vec::new(),
    }
}

/// Three open groups of the larger model.
fn three_groups() -> World {
    let mut world = World::new(1, 12);
    world.open_group(LARGE, &["d0-s0", "d0-s1", "d0-s2", "d0-s3"]);
    world.open_group(LARGE, &["d0-s4", "d0-s5", "d0-s6", "d0-s7"]);
    world.open_group(LARGE, &["d0-s8", "d0-s9", "d0-s10", "d0-s11"]);
    world
}

fn assign(world: &World, dispatcher: &mut Dispatcher, request: &PlaceRequest) -> PlaceReply {
    dispatcher.assign(world.now, request, &world.tables, &world.observations)
}

fn epoch_of(reply: PlaceReply) -> Option<u64> {
    match reply {
        PlaceReply::Assigned { epoch, .. } => Some(epoch),
        PlaceReply::Full | PlaceReply::AtLimit { .. } | PlaceReply::NoGroup => None,
    }
}

/// Found on norrstrom-klubb: entries that chose by figures 60 ms old sent long prompts to the same group at once.
#[test]
fn prompts_that_come_at_once_from_all_entries_are_spread() {
    let world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let mut epochs: Vec<Option<u64>> = ["a", "b", "c"]
        .iter()
        .map(|entry| epoch_of(assign(&world, &mut dispatcher, &request(entry, 4_000))))
        .collect();
    epochs.sort();
    assert_eq!(epochs, [Some(1), Some(2), Some(3)]);
}

#[test]
fn a_short_prompt_does_not_follow_a_long_one() {
    let world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let long = epoch_of(assign(&world, &mut dispatcher, &request("a", 20_000)));
    let short: Vec<Option<u64>> =
        (0..4).map(|_| epoch_of(assign(&world, &mut dispatcher, &request("a", 100)))).collect();
    assert!(short.iter().all(|epoch| epoch.is_some() && *epoch != long), "{long:?} {short:?}");
}

#[test]
fn what_was_read_meanwhile_counts_no_more() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let first = assign(&world, &mut dispatcher, &request("a", 4_000));
    let PlaceReply::Assigned { epoch, first_event_ms } = first else { panic!("{first:?}") };
    // 40,000 tokens a second.
    assert!(first_event_ms >= 100, "{first_event_ms}");
    let excluded: Vec<u64> = [1, 2, 3].into_iter().filter(|other| *other != epoch).collect();
    let mut again = request("b", 4_000);
    again.excluded = excluded;
    let at_once = assign(&world, &mut dispatcher.clone(), &again);
    let PlaceReply::Assigned { first_event_ms: at_once_ms, .. } = at_once else { panic!("{at_once:?}") };
    assert!(at_once_ms >= first_event_ms + 100, "behind the first: {at_once_ms}");
    world.now += 500;
    let later = assign(&world, &mut dispatcher, &again);
    let PlaceReply::Assigned { first_event_ms: later_ms, .. } = later else { panic!("{later:?}") };
    assert!(later_ms < at_once_ms, "{later_ms}");
}

#[test]
fn no_group_gets_more_than_its_places() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    world.load("a", 1, PLACES, false, true, true);
    let given: Vec<Option<u64>> =
        (0..30).map(|_| epoch_of(assign(&world, &mut dispatcher, &request("b", 10)))).collect();
    let count = |epoch: u64| given.iter().filter(|given| **given == Some(epoch)).count() as u32;
    assert_eq!((count(1), count(2), count(3)), (0, PLACES, PLACES));
    assert_eq!(assign(&world, &mut dispatcher, &request("b", 10)), PlaceReply::Full);
}

/// A request that its entry has reported counts there, and not twice.
#[test]
fn what_an_entry_has_reported_is_counted_once() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let mut only_first = request("a", 10);
    only_first.excluded = vec![2, 3];
    for _ in 0..PLACES {
        assert_eq!(epoch_of(assign(&world, &mut dispatcher, &only_first)), Some(1));
    }
    assert_eq!(assign(&world, &mut dispatcher, &only_first), PlaceReply::Full);
    world.now += 100;
    dispatcher.reported(world.now, "a");
    world.load("a", 1, 4, false, true, true);
    assert_eq!(epoch_of(assign(&world, &mut dispatcher, &only_first)), Some(1), "five have ended");
}

#[test]
fn groups_that_stand_still_or_are_not_wanted_get_nothing() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    world.load("a", 1, 3, true, false, true);
    let mut unwanted = request("a", 10);
    unwanted.excluded = vec![2];
    for _ in 0..3 {
        assert_eq!(epoch_of(assign(&world, &mut dispatcher, &unwanted)), Some(3));
    }
    unwanted.excluded = vec![2, 3];
    assert_eq!(assign(&world, &mut dispatcher, &unwanted), PlaceReply::Full);
    unwanted.model = "unknown".to_string();
    assert_eq!(assign(&world, &mut dispatcher, &unwanted), PlaceReply::NoGroup);
}

/// A request that may end the server that runs it goes where it would take the fewest others along.
#[test]
fn a_request_that_prefers_idle_groups_shares_one_with_the_fewest() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    world.load("a", 1, 1, false, true, true);
    world.load("a", 2, 4, false, true, true);
    world.load("a", 3, 5, false, true, true);
    let mut suspect = request("b", 10);
    suspect.prefers_idle = true;
    // A near group with a short queue would be the best for any other request.
    suspect.zone = "far".to_string();
    assert_eq!(epoch_of(assign(&world, &mut dispatcher, &suspect)), Some(1));
}

/// Of the servers that have ended under requests, the third is at hand: nothing else is sent there.
#[test]
fn a_head_at_which_a_strong_suspect_is_tried_gets_nothing_else() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let identity = RequestIdentity { tenant: None, method: "POST", host: "h", path: "/", body: b"suspect" };
    let fingerprint = Fingerprint::of(&identity);
    for (instance, at_ms) in [("a", 0), ("b", 5_000)] {
        let request = format!("try at {instance}");
        let tried = SuspectAttempt { fingerprint, request, tenant: None, route: String::new() };
        let (instance, zone, daemon) = (instance.to_string(), "z".to_string(), "entry".to_string());
        world.apply(GatewayCommand::ServerEnded(CrashReport {
            instance,
            zone,
            at_ms,
            daemon,
            tries: vec![tried],
        }));
    }
    let instance = "d0-s0".to_string();
    let trial = TrialRequest { fingerprint, trial: 1, instance, may_share: false, at_ms: 6_000 };
    world.apply(GatewayCommand::BeginTrial(trial));
    let given: Vec<Option<u64>> =
        (0..6).map(|_| epoch_of(assign(&world, &mut dispatcher, &request("b", 10)))).collect();
    assert!(given.iter().all(|epoch| matches!(epoch, Some(2 | 3))), "{given:?}");
    world.apply(GatewayCommand::EndTrial { fingerprint, trial: 1 });
    let given: Vec<Option<u64>> =
        (0..6).map(|_| epoch_of(assign(&world, &mut dispatcher, &request("b", 10)))).collect();
    assert!(given.contains(&Some(1)), "{given:?}");
}

/// A head that takes few requests has few in flight, and looked the best to each request.
#[test]
fn a_group_whose_head_named_a_limit_is_given_requests_so_far_apart() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let limited = vec![LimitedGroup { epoch: 1, interval_ms: 400 }];
    let begun = world.now;
    let mut given = Vec::new();
    for _ in 0..100 {
        let asked = PlaceRequest { limited: limited.clone(), ..request("a", 100) };
        match epoch_of(assign(&world, &mut dispatcher, &asked)) {
            Some(1) => given.push(world.now - begun),
            Some(_) => {}
            None => panic!("the others have places"),
        }
        dispatcher.reported(world.now + 1_000, "a");
        world.now += 20;
    }
    assert!(given.windows(2).all(|pair| pair[1] >= pair[0] + 400), "{given:?}");
    assert!(given.len() >= 4, "what it takes is not wasted: {given:?}");
}

/// Nobody is kept waiting without knowing for how long.
#[test]
fn a_request_whose_groups_are_all_at_their_limits_is_told_when_the_first_is_free() {
    let mut world = three_groups();
    let mut dispatcher = Dispatcher::default();
    let limited = (1..=3).map(|epoch| LimitedGroup { epoch, interval_ms: 1_000 }).collect();
    let asked = PlaceRequest { limited, ..request("a", 100) };
    for _ in 0..3 {
        assert!(epoch_of(assign(&world, &mut dispatcher, &asked)).is_some());
        world.now += 100;
    }
    assert_eq!(assign(&world, &mut dispatcher, &asked), PlaceReply::AtLimit { free_in_ms: 700 });
    let without_first = PlaceRequest { excluded: vec![1], ..asked };
    assert_eq!(assign(&world, &mut dispatcher, &without_first), PlaceReply::AtLimit { free_in_ms: 800 });
}
