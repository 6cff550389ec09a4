//! How fast the groups of a new fleet are formed: the commands of its plans per time, given the interval
//! between plans.

mod common;

use common::TestCluster;
use dockwood_grouping::plan_interval_ms;

const SERVERS_PER_DOMAIN: usize = 19;
/// Minimum rate in percent of that with a third of the servers: the last plan is rarely full.
const MIN_RATE_PERCENT: u64 = 90;

/// Planned commands per second until a plan contains none.
fn commands_per_second(servers: usize) -> u64 {
    let mut cluster = TestCluster::new(servers / SERVERS_PER_DOMAIN, SERVERS_PER_DOMAIN);
    let (mut planned, mut elapsed_ms) = (0, 0);
    loop {
        let commands = cluster.plan().commands;
        if commands.is_empty() {
            return planned * 1_000 / elapsed_ms;
        }
        planned += commands.len() as u64;
        elapsed_ms += plan_interval_ms(servers);
        cluster.apply_all(commands);
    }
}

#[test]
fn a_larger_fleet_is_formed_at_the_same_rate() {
    let small = commands_per_second(1_000);
    let large = commands_per_second(3_000);
    let min_rate = small * MIN_RATE_PERCENT / 100;
    assert!(large >= min_rate, "1,000 servers: {small} commands a second, 3,000: {large}");
}
