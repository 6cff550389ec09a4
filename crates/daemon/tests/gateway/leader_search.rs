//! Discovery of the control leader after a restart, regardless of which daemons are the seeds.

use crate::fixture::{Daemon, Fleet, LIMIT, eventually};
use std::time::{Duration, Instant};

const FOURTH_MEMBER_HOST: u8 = 20;
const FIFTH_MEMBER_HOST: u8 = 21;
const STANDBY_HOST: u8 = 22;
const REPLACEMENT_HOST: u8 = 23;
const LEASE_HELD: &str = "dockwood_lease_held";
const VOTERS: &str = "dockwood_voters";

/// Waits until a metric of a daemon has a value.
async fn wait_for(fleet: &Fleet, host: u8, metric: &str, expected: f64) {
    let started = Instant::now();
    loop {
        let value = fleet.metric_at(host, metric).await;
        if value.as_ref().is_ok_and(|value| *value == expected) {
            return;
        }
        assert!(started.elapsed() < LIMIT, "host {host}: {metric} is {value:?}, not {expected}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts two members in addition to the three founders, and waits until there are five voters.
async fn five_voters(fleet: &Fleet) -> Vec<Daemon> {
    let member = |name: &str, host| fleet.daemon(name, host, true, false);
    let mut additional = vec![member("member-3", FOURTH_MEMBER_HOST), member("member-4", FIFTH_MEMBER_HOST)];
    additional.iter_mut().for_each(Daemon::start);
    for host in [0, 1, 2, FOURTH_MEMBER_HOST, FIFTH_MEMBER_HOST] {
        wait_for(fleet, host, VOTERS, 5.0).await;
    }
    additional
}

/// Starts a member that remains a standby, and waits until the leader knows it.
async fn standby(fleet: &Fleet) -> Daemon {
    let mut standby = fleet.daemon("stand-by", STANDBY_HOST, true, false);
    standby.start();
    let is_standby_event = |line: &serde_json::Value| line["subject"] == "daemon/stand-by";
    let is_known = || fleet.members[0].log_lines().iter().any(is_standby_event);
    eventually("the standby member does not join", is_known).await;
    standby
}

fn delete_data(daemon: &Daemon) {
    std::fs::remove_dir_all(&daemon.data_directory).unwrap_or_else(|error| panic!("{error}"));
}

/// No seed knows a leader: one lost its disk, one was never admitted as a voter, and one replaces a lost voter at an
/// address that is not in any table.
#[tokio::test]
async fn a_fleet_recovers_if_no_seed_knows_a_leader() {
    let mut fleet = Fleet::start();
    let mut additional = five_voters(&fleet).await;
    let mut standby = standby(&fleet).await;
    for entry in 0..2 {
        wait_for(&fleet, fleet.entry_host(entry), LEASE_HELD, 1.0).await;
    }
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    additional.iter_mut().for_each(Daemon::kill);
    standby.kill();
    delete_data(&fleet.members[1]);
    additional[1] = fleet.daemon("replacement", REPLACEMENT_HOST, true, false);
    let seeds = [1, STANDBY_HOST, REPLACEMENT_HOST];
    let all = fleet.members.iter().chain(&fleet.entries).chain(&additional).chain([&standby]);
    all.for_each(|daemon| fleet.set_seeds(daemon, &seeds, false));
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    additional.iter_mut().for_each(Daemon::start);
    standby.start();
    for host in [fleet.entry_host(0), fleet.entry_host(1), 0, 2, FOURTH_MEMBER_HOST] {
        wait_for(&fleet, host, LEASE_HELD, 1.0).await;
    }
    for host in [0, 2, FOURTH_MEMBER_HOST] {
        wait_for(&fleet, host, VOTERS, 5.0).await;
    }
    // Three members compete for the places of the two lost voters; any two of them get these.
    let started = Instant::now();
    while count_lease_holders(&fleet, &seeds).await < 2 {
        assert!(started.elapsed() < LIMIT, "the two lost voters are not replaced");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the number of these daemons that hold a lease.
async fn count_lease_holders(fleet: &Fleet, hosts: &[u8]) -> usize {
    let mut holding = 0;
    for host in hosts {
        holding += usize::from(fleet.metric_at(*host, LEASE_HELD).await.is_ok_and(|held| held == 1.0));
    }
    holding
}

/// Only the entry restarts, and its only seed is a standby member, long after the leader has called any daemon.
#[tokio::test]
async fn an_entry_with_changed_seeds_finds_the_leader() {
    let mut fleet = Fleet::start();
    let _additional = five_voters(&fleet).await;
    let _standby = standby(&fleet).await;
    let host = fleet.entry_host(0);
    wait_for(&fleet, host, LEASE_HELD, 1.0).await;
    fleet.entries[0].kill();
    fleet.set_seeds(&fleet.entries[0], &[STANDBY_HOST], false);
    fleet.entries[0].start();
    wait_for(&fleet, host, LEASE_HELD, 1.0).await;
}
