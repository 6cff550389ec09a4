//! What a daemon makes of the leaders that it hears of.

use dockwood_daemon::known_leader::KnownLeader;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn an_announced_leader_is_asked_first_and_named_to_others() {
    let known = KnownLeader::default();
    let news = known.watch();
    assert!(known.announced(0, address(1), 4));
    assert_eq!(known.ask_first(), Some(address(1)));
    assert_eq!(known.address_for_others(100), Some(address(1)));
    assert!(news.has_changed().unwrap_or(false), "whoever waits for an answer elsewhere learns of it");
}

#[test]
fn a_leader_of_a_lower_term_that_calls_late_changes_nothing() {
    let known = KnownLeader::default();
    known.announced(0, address(1), 4);
    let news = known.watch();
    assert!(!known.announced(10, address(2), 3));
    assert_eq!((known.ask_first(), known.address()), (Some(address(1)), Some(address(1))));
    assert!(!news.has_changed().unwrap_or(true));
    known.granted(20, address(3), 5);
    assert!(!known.announced(30, address(1), 4), "a lease of a later term was granted since");
    assert_eq!(known.ask_first(), Some(address(3)));
}

#[test]
fn a_grant_through_another_daemon_hides_no_leader_that_called() {
    let known = KnownLeader::default();
    known.announced(0, address(1), 4);
    known.granted(2_000, address(9), 4);
    assert_eq!(known.ask_first(), Some(address(9)), "that way works");
    assert_eq!(known.address_for_others(4_000), Some(address(1)), "and the leader was heard of by it");
}

#[test]
fn a_leader_that_was_not_heard_of_for_long_is_named_to_nobody() {
    let known = KnownLeader::default();
    known.granted(0, address(1), 4);
    assert_eq!(known.address_for_others(2_900), Some(address(1)));
    assert_eq!(known.address_for_others(3_100), None);
    assert_eq!(known.address(), Some(address(1)), "this daemon itself still asks there in its turn");
}
