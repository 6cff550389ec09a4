//! After all processes were gone, the fleet finds the control leader again, whatever its seeds are.

use crate::fixture::{Daemon, Fleet, LIMIT, eventually};
use std::time::{Duration, Instant};

const HOST_OF_FOURTH: u8 = 20;
const HOST_OF_FIFTH: u8 = 21;
const HOST_OF_STAND_BY: u8 = 22;
const HOST_OF_REPLACEMENT: u8 = 23;
const LEASE_HELD: &str = "dockwood_lease_held";
const VOTERS: &str = "dockwood_voters";

/// Waits until a daemon shows a figure.
async fn wait_for(fleet: &Fleet, host: u8, metric: &str, expected: f64) {
    let begun = Instant::now();
    loop {
        let shown = fleet.metric_at(host, metric).await;
        if shown.as_ref().is_ok_and(|shown| *shown == expected) {
            return;
        }
        assert!(begun.elapsed() < LIMIT, "host {host}: {metric} is {shown:?}, not {expected}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Two more members beside the three founders: five voters.
async fn five_voters(fleet: &Fleet) -> Vec<Daemon> {
    let member = |name: &str, host| fleet.daemon(name, host, true, false);
    let mut more = vec![member("member-3", HOST_OF_FOURTH), member("member-4", HOST_OF_FIFTH)];
    more.iter_mut().for_each(Daemon::start);
    for host in [0, 1, 2, HOST_OF_FOURTH, HOST_OF_FIFTH] {
        wait_for(fleet, host, VOTERS, 5.0).await;
    }
    more
}

/// One more member, which stands by, once the leader knows it.
async fn stand_by(fleet: &Fleet) -> Daemon {
    let mut stand_by = fleet.daemon("stand-by", HOST_OF_STAND_BY, true, false);
    stand_by.start();
    let is_its_row = |line: &serde_json::Value| line["subject"] == "daemon/stand-by";
    let is_known = || fleet.members[0].log_lines().iter().any(is_its_row);
    eventually("the member that stands by never joins", is_known).await;
    stand_by
}

fn wipe(daemon: &Daemon) {
    std::fs::remove_dir_all(&daemon.data_folder).unwrap_or_else(|error| panic!("{error}"));
}

/// No seed knows a leader: one lost its disk, one was never admitted, and one came in place of a voter that is gone, at
/// an address that no table holds.
#[tokio::test]
async fn a_fleet_whose_seeds_know_no_leader_comes_back() {
    let mut fleet = Fleet::start();
    let mut more = five_voters(&fleet).await;
    let mut stand_by = stand_by(&fleet).await;
    for entry in 0..2 {
        wait_for(&fleet, fleet.entry_host(entry), LEASE_HELD, 1.0).await;
    }
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    more.iter_mut().for_each(Daemon::kill);
    stand_by.kill();
    wipe(&fleet.members[1]);
    more[1] = fleet.daemon("replacement", HOST_OF_REPLACEMENT, true, false);
    let seeds = [1, HOST_OF_STAND_BY, HOST_OF_REPLACEMENT];
    let all = fleet.members.iter().chain(&fleet.entries).chain(&more).chain([&stand_by]);
    all.for_each(|daemon| fleet.set_seeds(daemon, &seeds, false));
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    more.iter_mut().for_each(Daemon::start);
    stand_by.start();
    for host in [fleet.entry_host(0), fleet.entry_host(1), 0, 2, HOST_OF_FOURTH] {
        wait_for(&fleet, host, LEASE_HELD, 1.0).await;
    }
    for host in [0, 2, HOST_OF_FOURTH] {
        wait_for(&fleet, host, VOTERS, 5.0).await;
    }
    // Three ask for the places of the two that are gone, and any two of them get these.
    let begun = Instant::now();
    while holding_leases(&fleet, &seeds).await < 2 {
        assert!(begun.elapsed() < LIMIT, "the places of the two voters that are gone are not filled");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// How many of these daemons hold a lease.
async fn holding_leases(fleet: &Fleet, hosts: &[u8]) -> usize {
    let mut holding = 0;
    for host in hosts {
        holding += usize::from(fleet.metric_at(*host, LEASE_HELD).await.is_ok_and(|held| held == 1.0));
    }
    holding
}

/// An entry alone comes back with a seed that waits to be admitted, long after the leader called anybody.
#[tokio::test]
async fn an_entry_whose_seeds_changed_finds_the_leader() {
    let mut fleet = Fleet::start();
    let _more = five_voters(&fleet).await;
    let _stand_by = stand_by(&fleet).await;
    let host = fleet.entry_host(0);
    wait_for(&fleet, host, LEASE_HELD, 1.0).await;
    fleet.entries[0].kill();
    fleet.set_seeds(&fleet.entries[0], &[HOST_OF_STAND_BY], false);
    fleet.entries[0].start();
    wait_for(&fleet, host, LEASE_HELD, 1.0).await;
}
