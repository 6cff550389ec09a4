//! What one plan costs, from 60 to 1,300 servers: of an empty fleet, and of one in steady state with a few free servers.
//!
//! `cargo bench -p dockwood-grouping`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{LARGE, SMALL, World};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;

/// Servers of one domain, as in the large deployment.
const SERVERS_PER_DOMAIN: usize = 19;
/// Domains: 57, 171, 760 and 1,292 servers.
const DOMAINS: [usize; 4] = [3, 9, 40, 68];
/// Requests of each model in 100 ms for each domain.
const ASKED_PER_DOMAIN: u32 = 2;

/// A fleet whose domains have two large groups, five small ones, and one server left.
fn steady(domains: usize) -> World {
    let mut world = World::new(domains, SERVERS_PER_DOMAIN);
    for domain in 0..domains {
        let mut next = 0;
        for (model, size) in
            [(LARGE, 4), (LARGE, 4), (SMALL, 2), (SMALL, 2), (SMALL, 2), (SMALL, 2), (SMALL, 2)]
        {
            let members: Vec<String> =
                (next..next + size).map(|server| format!("d{domain}-s{server}")).collect();
            world.open_group(model, &members.iter().map(String::as_str).collect::<Vec<_>>());
            next += size;
        }
    }
    world.note_requests();
    ask(&mut world, domains);
    world
}

/// A fleet in which nothing is formed yet.
fn empty(domains: usize) -> World {
    let mut world = World::new(domains, SERVERS_PER_DOMAIN);
    ask(&mut world, domains);
    world
}

fn ask(world: &mut World, domains: usize) {
    let asked = ASKED_PER_DOMAIN * domains as u32;
    world.ask_for(asked, asked);
}

fn plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for (name, make) in [("steady", steady as fn(usize) -> World), ("empty", empty)] {
        for domains in DOMAINS {
            let world = make(domains);
            let id = BenchmarkId::new(name, domains * SERVERS_PER_DOMAIN);
            group.bench_with_input(id, &world, |bencher, world| bencher.iter(|| black_box(world.plan())));
        }
    }
    group.finish();
}

criterion_group!(benches, plans);
criterion_main!(benches);
