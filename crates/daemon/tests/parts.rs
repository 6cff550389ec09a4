//! Small parts of the daemon.

use dockwood_api::ResultCode;
use dockwood_api::caller::Outcome;
use dockwood_api::event::Subject;
use dockwood_api::peer::{KeptAnswer, RequestRecord};
use dockwood_api::resource::{Kind, ResourceKey};
use dockwood_daemon::timeline::{TIMELINE_CAPACITY, Timeline};
use dockwood_daemon::traffic::records::RecordStore;
use dockwood_daemon::watch_hub::{RETAINED_REVISIONS, WatchHub};

fn record(key: &str, outcome: Outcome, bytes: usize) -> RequestRecord {
    let answer = KeptAnswer { status: 200, content_type: String::new(), body: vec![0; bytes] };
    RequestRecord {
        key: key.to_string(),
        content_digest: 1,
        outcome,
        code: None,
        entry: "e".to_string(),
        answer: (bytes > 0).then_some(answer),
    }
}

#[test]
fn a_later_outcome_replaces_an_earlier_one_and_never_back() {
    let store = RecordStore::default();
    store.store(record("k", Outcome::Running, 0));
    store.store(record("k", Outcome::Done, 10));
    let before = store.store(record("k", Outcome::Running, 0));
    assert_eq!(before.map(|record| (record.outcome, record.answer)), Some((Outcome::Done, None)));
    assert_eq!(store.read("k").map(|record| record.outcome), Some(Outcome::Done));
}

#[test]
fn kept_answers_are_bounded_and_the_oldest_go_first() {
    let store = RecordStore::default();
    for number in 0..200 {
        store.store(record(&format!("k{number}"), Outcome::Done, 1 << 20));
    }
    assert!(store.read("k0").is_none());
    assert!(store.read("k199").is_some());
    let kept = (0..200).filter(|number| store.read(&format!("k{number}")).is_some()).count();
    assert!((20..=34).contains(&kept), "{kept} answers of 1 MiB");
}

#[test]
fn a_watch_that_lags_too_far_is_told() {
    let hub = WatchHub::default();
    let key = |revision: u64| ResourceKey::new(Kind::Server, format!("m-{revision}"));
    for revision in 1..=RETAINED_REVISIONS as u64 + 10 {
        hub.push(revision, vec![key(revision)]);
    }
    assert_eq!(hub.touched(5, 20), None);
    let newest = RETAINED_REVISIONS as u64 + 10;
    assert_eq!(
        hub.touched(newest - 2, newest).map(|keys| keys.into_iter().collect()),
        Some(vec![key(newest - 1), key(newest)])
    );
    hub.reset(9_999_999);
    assert_eq!(hub.touched(newest, newest), None);
}

#[test]
fn the_time_line_is_bounded_and_numbered() {
    let timeline = Timeline::new("e1");
    for number in 0..TIMELINE_CAPACITY + 5 {
        timeline.record(Subject::new("replica", "r"), "Formed", &number.to_string(), None, ResultCode::Ok);
    }
    let events = timeline.since(0);
    assert_eq!(events.len(), TIMELINE_CAPACITY);
    assert_eq!(events[0].sequence, 6);
    assert!(events.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
}
