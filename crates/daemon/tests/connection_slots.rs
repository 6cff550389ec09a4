//! Slots of connections: who is closed when all are taken.

use dockwood_daemon::connection_slots::{ConnectionSlot, ConnectionSlots, RequestGuard, SlotMetrics};
use futures::FutureExt;
use prometheus::{IntCounter, IntGauge};
use std::sync::Arc;
use std::time::Duration;

const LIMIT: usize = 3;

fn metrics() -> SlotMetrics {
    let counter = |name: &str| IntCounter::new(name, name).unwrap_or_else(|error| panic!("{name}: {error}"));
    let open = IntGauge::new("open", "open").unwrap_or_else(|error| panic!("{error}"));
    SlotMetrics { open, displaced: counter("displaced"), refused: counter("refused") }
}

fn slots() -> Arc<ConnectionSlots> {
    ConnectionSlots::new(LIMIT, metrics())
}

fn admit(slots: &Arc<ConnectionSlots>) -> Arc<ConnectionSlot> {
    Arc::new(slots.admit().unwrap_or_else(|| panic!("the connection is refused")))
}

fn is_displaced(slot: &ConnectionSlot) -> bool {
    slot.displaced().now_or_never().is_some()
}

#[test]
fn the_oldest_connection_that_never_had_a_request_is_displaced_first() {
    let slots = slots();
    let kept = admit(&slots);
    drop(kept.begin_request());
    let (oldest, newer) = (admit(&slots), admit(&slots));
    let _fourth = admit(&slots);
    assert_eq!((is_displaced(&kept), is_displaced(&oldest), is_displaced(&newer)), (false, true, false));
}

#[test]
fn then_the_connection_that_has_been_idle_for_the_longest_time() {
    let slots = slots();
    let all: Vec<_> = (0..LIMIT).map(|_| admit(&slots)).collect();
    let requests: Vec<_> = all.iter().map(ConnectionSlot::begin_request).collect();
    let mut requests = requests.into_iter();
    let (first, second) = (requests.next(), requests.next());
    drop(second);
    drop(first);
    let fourth = admit(&slots);
    assert_eq!(all.iter().map(|slot| is_displaced(slot)).collect::<Vec<_>>(), [false, true, false]);
    let _request = fourth.begin_request();
    let _fifth = admit(&slots);
    assert_eq!(all.iter().map(|slot| is_displaced(slot)).collect::<Vec<_>>(), [true, false, false]);
}

#[test]
fn a_connection_with_a_request_is_never_displaced() {
    let slots = slots();
    let all: Vec<_> = (0..LIMIT).map(|_| admit(&slots)).collect();
    let requests: Vec<_> = all.iter().map(ConnectionSlot::begin_request).collect();
    assert!(slots.admit().is_none());
    assert!(all.iter().all(|slot| slot.has_request() && !is_displaced(slot)));
    drop(requests);
    drop(all);
    drop(admit(&slots));
}

#[test]
fn a_connection_has_a_request_until_the_last_one_has_ended() {
    let slots = slots();
    let slot = admit(&slots);
    let first = slot.begin_request();
    let second = slot.begin_request();
    drop(first);
    assert!(slot.has_request());
    drop(second);
    assert_eq!((slot.received_requests(), slot.has_request()), (2, false));
}

/// Longer than a request may be incomplete before its connection may be displaced.
const INCOMPLETE: Duration = Duration::from_millis(600);

#[test]
fn a_connection_whose_request_stays_incomplete_is_displaced_last() {
    let slots = slots();
    let all: Vec<_> = (0..LIMIT).map(|_| admit(&slots)).collect();
    let requests: Vec<_> = all.iter().map(ConnectionSlot::begin_request).collect();
    let bodies: Vec<_> = requests.iter().take(2).map(RequestGuard::receive_body).collect();
    assert!(slots.admit().is_none(), "a request that has just begun is displaced");
    std::thread::sleep(INCOMPLETE);
    let idle = requests.into_iter().next_back();
    drop(idle);
    let _fourth = admit(&slots).begin_request();
    assert_eq!(all.iter().map(|slot| is_displaced(slot)).collect::<Vec<_>>(), [false, false, true]);
    let _fifth = admit(&slots).begin_request();
    assert_eq!(all.iter().map(|slot| is_displaced(slot)).collect::<Vec<_>>(), [true, false, false]);
    drop(bodies);
}

#[test]
fn a_connection_whose_request_is_complete_is_not_displaced() {
    let slots = slots();
    let all: Vec<_> = (0..LIMIT).map(|_| admit(&slots)).collect();
    let requests: Vec<_> = all.iter().map(ConnectionSlot::begin_request).collect();
    requests.iter().for_each(|request| drop(request.receive_body()));
    std::thread::sleep(INCOMPLETE);
    assert!(all.iter().all(|slot| slot.has_request() && !slot.is_receiving()));
    assert!(slots.admit().is_none());
}

#[test]
fn a_request_lasts_as_long_as_any_part_of_it() {
    let slots = slots();
    let slot = admit(&slots);
    let response = slot.begin_request();
    let (handling, body) = (response.clone(), response.receive_body());
    drop((response, handling));
    assert!(slot.has_request());
    drop(body);
    assert_eq!((slot.received_requests(), slot.has_request()), (1, false));
}

#[tokio::test]
async fn all_are_closed_when_the_last_slot_is_dropped() {
    let slots = slots();
    let (first, second) = (admit(&slots), admit(&slots));
    drop(first);
    assert!(slots.all_closed().now_or_never().is_none());
    drop(second);
    slots.all_closed().await;
}

#[test]
fn a_displaced_connection_that_gets_a_request_meanwhile_takes_no_slot() {
    let slots = slots();
    let all: Vec<_> = (0..LIMIT).map(|_| admit(&slots)).collect();
    let _fourth = admit(&slots);
    assert!(is_displaced(&all[0]));
    drop(all[0].begin_request());
    let requests: Vec<_> = all[1..].iter().map(ConnectionSlot::begin_request).collect();
    // Only the fourth is left without a request.
    let _fifth = admit(&slots);
    assert!(requests.len() == 2 && !is_displaced(&all[1]) && !is_displaced(&all[2]));
}
