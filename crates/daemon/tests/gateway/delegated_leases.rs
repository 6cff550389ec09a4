//! Voters grant leases in the leader's name, on real processes.

use crate::fixture::{Daemon, Fleet, LIMIT};
use std::time::{Duration, Instant};

const LEASE_HELD: &str = "dockwood_lease_held";
const DELEGATED: &str = "dockwood_delegated_leases_total";
const MEMBERS: u8 = 3;
/// For how long the entries' leases are watched after a voter is gone: longer than a lease.
const WATCHED: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);

async fn wait_for_leases(fleet: &Fleet) {
    let begun = Instant::now();
    while !all_hold_leases(fleet).await {
        assert!(begun.elapsed() < LIMIT, "an entry holds no lease");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn all_hold_leases(fleet: &Fleet) -> bool {
    for entry in 0..fleet.entries.len() as u8 {
        let held = fleet.metric_at(fleet.entry_host(entry), LEASE_HELD).await;
        if !held.is_ok_and(|held| held == 1.0) {
            return false;
        }
    }
    true
}

/// A member that passed requests for leases to the leader.
async fn delegating_member(fleet: &Fleet) -> usize {
    let begun = Instant::now();
    loop {
        for member in 0..MEMBERS {
            if fleet.metric_at(member, DELEGATED).await.is_ok_and(|passed| passed > 2.0) {
                return usize::from(member);
            }
        }
        assert!(begun.elapsed() < LIMIT, "no voter grants leases in the leader's name");
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn entries_keep_their_leases_when_the_voter_that_grants_them_is_gone() {
    let mut fleet = Fleet::start();
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter().for_each(|member| fleet.set_control(member, "leaderLeasesUpTo", 1));
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    wait_for_leases(&fleet).await;
    let gone = delegating_member(&fleet).await;
    fleet.members[gone].kill();
    let begun = Instant::now();
    while begun.elapsed() < WATCHED {
        assert!(all_hold_leases(&fleet).await, "a lease is lost after {:?}", begun.elapsed());
        tokio::time::sleep(PAUSE).await;
    }
}
