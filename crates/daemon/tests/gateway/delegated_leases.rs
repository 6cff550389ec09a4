//! Leases granted by voters on behalf of the leader, with daemons as processes.

use crate::fixture::{Daemon, Fleet, LIMIT};
use std::time::{Duration, Instant};

const LEASE_HELD: &str = "dockwood_lease_held";
const DELEGATED: &str = "dockwood_delegated_leases_total";
const MEMBERS: u8 = 3;
/// Time for which the entries' leases are observed after the voter was killed: longer than the lease duration.
const OBSERVED_FOR: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);

async fn wait_for_leases(fleet: &Fleet) {
    let started = Instant::now();
    while !all_hold_leases(fleet).await {
        assert!(started.elapsed() < LIMIT, "an entry holds no lease");
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

/// Returns a member that has granted leases on behalf of the leader.
async fn delegating_member(fleet: &Fleet) -> usize {
    let started = Instant::now();
    loop {
        for member in 0..MEMBERS {
            if fleet.metric_at(member, DELEGATED).await.is_ok_and(|granted| granted > 2.0) {
                return usize::from(member);
            }
        }
        assert!(started.elapsed() < LIMIT, "no voter grants leases on behalf of the leader");
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn entries_keep_their_leases_when_the_voter_that_grants_them_is_killed() {
    let mut fleet = Fleet::start();
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter().for_each(|member| fleet.set_control(member, "leaderLeasesUpTo", 1));
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    wait_for_leases(&fleet).await;
    let killed = delegating_member(&fleet).await;
    fleet.members[killed].kill();
    let started = Instant::now();
    while started.elapsed() < OBSERVED_FOR {
        assert!(all_hold_leases(&fleet).await, "an entry lost its lease after {:?}", started.elapsed());
        tokio::time::sleep(PAUSE).await;
    }
}
