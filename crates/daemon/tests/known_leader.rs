//! What a daemon records about the control leader, from announcements and granted leases.

use dockwood_daemon::known_leader::KnownLeader;
use std::net::SocketAddr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn an_announced_leader_is_called_first_and_referred_to() {
    let known = KnownLeader::default();
    let announcements = known.watch();
    assert!(known.announced(0, address(1), 4));
    assert_eq!(known.ask_first(), Some(address(1)));
    assert_eq!(known.address_for_others(100), Some(address(1)));
    assert!(announcements.has_changed().unwrap_or(false), "subscribers were not notified");
}

#[test]
fn a_late_announcement_of_a_lower_term_is_ignored() {
    let known = KnownLeader::default();
    known.announced(0, address(1), 4);
    let announcements = known.watch();
    assert!(!known.announced(10, address(2), 3));
    assert_eq!((known.ask_first(), known.address()), (Some(address(1)), Some(address(1))));
    assert!(!announcements.has_changed().unwrap_or(true));
    known.granted(20, address(3), 5);
    assert!(!known.announced(30, address(1), 4), "a lease of a later term was granted before");
    assert_eq!(known.ask_first(), Some(address(3)));
}

#[test]
fn a_grant_through_a_relay_does_not_replace_an_announced_leader() {
    let known = KnownLeader::default();
    known.announced(0, address(1), 4);
    known.granted(2_000, address(9), 4);
    assert_eq!(known.ask_first(), Some(address(9)), "the relay that granted the lease is not called first");
    assert_eq!(
        known.address_for_others(4_000),
        Some(address(1)),
        "the grant did not count as contact with the leader"
    );
}

#[test]
fn no_daemon_is_referred_to_a_leader_without_recent_contact() {
    let known = KnownLeader::default();
    known.granted(0, address(1), 4);
    assert_eq!(known.address_for_others(2_900), Some(address(1)));
    assert_eq!(known.address_for_others(3_100), None);
    assert_eq!(known.address(), Some(address(1)), "the leader is no longer a candidate for calls");
}
