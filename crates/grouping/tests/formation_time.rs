//! How fast a fleet is formed of which nothing is formed yet: the commands of its plans, over the pauses between them.

mod common;

use common::World;
use dockwood_grouping::plan_pause_ms;

const SERVERS_OF_A_DOMAIN: usize = 19;
/// Part of the pace with a third of the servers that must be kept, in percent: the last plan is seldom full.
const PACE_KEPT_PERCENT: u64 = 90;

/// Commands planned in a second until no plan holds any more.
fn commands_per_second(servers: usize) -> u64 {
    let mut world = World::new(servers / SERVERS_OF_A_DOMAIN, SERVERS_OF_A_DOMAIN);
    let (mut planned, mut took_ms) = (0, 0);
    loop {
        let commands = world.plan().commands;
        if commands.is_empty() {
            return planned * 1_000 / took_ms;
        }
        planned += commands.len() as u64;
        took_ms += plan_pause_ms(servers);
        world.apply_all(commands);
    }
}

#[test]
fn a_larger_fleet_is_formed_at_the_same_pace() {
    let small = commands_per_second(1_000);
    let large = commands_per_second(3_000);
    let least = small * PACE_KEPT_PERCENT / 100;
    assert!(large >= least, "1,000 servers: {small} commands a second, 3,000: {large}");
}
