//! The order in which a daemon asks other daemons for the control leader.

use dockwood_daemon::control::ControlHandle;
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::peer::LeaderSearch;
use dockwood_daemon::settings::Settings;
use dockwood_daemon::shared::Shared;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const SEEDS: [u8; 3] = [1, 2, 3];

fn member(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, number], 7_100))
}

/// Creates the state of an entry that has just started and knows only its seeds.
fn entry() -> Shared {
    let seeds: Vec<String> = SEEDS.iter().map(|seed| format!("\"127.0.9.{seed}:7200\"")).collect();
    let text = format!(
        "name: entry\nregion: r\nzone: z\nlisten: {{ http: \"127.0.9.9:1\", peer: \"127.0.9.9:2\" }}\n\
         control: {{ seeds: [{}], seedPeerPort: 7100, founding: false, member: false }}\n\
         gateway: {{ frontend: \"127.0.9.9:3\", readiness: \"127.0.9.9:4\", directory: \"127.0.9.9:5\" }}\n",
        seeds.join(", ")
    );
    let directory = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let path = directory.path().join("entry.yaml");
    std::fs::write(&path, text).unwrap_or_else(|error| panic!("{error}"));
    let settings = Settings::read(&path).unwrap_or_else(|problems| panic!("{problems:?}"));
    let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
    Shared::new(settings, 1, metrics, ControlHandle::new().0)
}

#[test]
fn members_that_name_each_other_as_leader_do_not_hide_a_third_one() {
    let shared = entry();
    let mut targets = LeaderSearch::new(&shared);
    let mut asked = BTreeSet::new();
    for _ in 0..20 {
        let target = targets.next(&shared);
        asked.insert(target);
        let other = if target == member(1) { member(2) } else { member(1) };
        targets.record_redirect(target, Some(other).filter(|_| target != member(3)));
    }
    assert!(asked.contains(&member(3)), "only {asked:?} were asked");
}

#[test]
fn a_named_leader_is_asked_next_and_only_once() {
    let shared = entry();
    let mut targets = LeaderSearch::new(&shared);
    let first = targets.next(&shared);
    targets.record_redirect(first, Some(member(7)));
    assert_eq!(targets.next(&shared), member(7));
    targets.record_failure();
    assert_ne!(targets.next(&shared), member(7));
}

#[test]
fn an_announced_leader_is_asked_next_and_stays_a_candidate() {
    let shared = entry();
    let mut targets = LeaderSearch::new(&shared);
    targets.record_redirect(member(1), Some(member(2)));
    assert!(shared.known_leader.announced(0, member(8), 3));
    assert_eq!(targets.next(&shared), member(8));
    targets.record_failure();
    let candidates: BTreeSet<SocketAddr> = (0..8).map(|_| targets.next(&shared)).collect();
    assert_eq!(candidates, BTreeSet::from([member(1), member(2), member(3), member(8)]));
}

#[test]
fn daemons_that_asked_for_a_lease_are_remembered_up_to_a_limit() {
    let shared = entry();
    assert_eq!(shared.next_lease_requester(), None);
    (0..100).for_each(|number| shared.record_lease_requester(member(100 + number)));
    let askers: BTreeSet<SocketAddr> = (0..200).filter_map(|_| shared.next_lease_requester()).collect();
    assert_eq!(askers.len(), 32);
    assert!(askers.contains(&member(199)), "the most recent daemon is missing");
}
