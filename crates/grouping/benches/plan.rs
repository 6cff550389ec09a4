//! Cost of one plan for 60 to 1,300 servers: for an empty fleet, and for one in steady state with a few free
//! servers.
//!
//! `cargo bench -p dockwood-grouping`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{LARGE, SMALL, TestCluster};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;

/// Servers per domain, as in the large deployment.
const SERVERS_PER_DOMAIN: usize = 19;
/// Numbers of domains: 57, 171, 760 and 1,292 servers.
const DOMAINS: [usize; 4] = [3, 9, 40, 68];
/// Requests per model and domain in 100 ms.
const REQUESTS_PER_DOMAIN: u32 = 2;

/// A fleet whose domains have two large groups, five small ones, and one free server.
fn steady(domains: usize) -> TestCluster {
    let mut cluster = TestCluster::new(domains, SERVERS_PER_DOMAIN);
    for domain in 0..domains {
        let mut next = 0;
        for (model, size) in
            [(LARGE, 4), (LARGE, 4), (SMALL, 2), (SMALL, 2), (SMALL, 2), (SMALL, 2), (SMALL, 2)]
        {
            let members: Vec<String> =
                (next..next + size).map(|server| format!("d{domain}-s{server}")).collect();
            cluster.open_group(model, &members.iter().map(String::as_str).collect::<Vec<_>>());
            next += size;
        }
    }
    cluster.mark_requests_seen();
    send_requests(&mut cluster, domains);
    cluster
}

/// A fleet without groups.
fn empty(domains: usize) -> TestCluster {
    let mut cluster = TestCluster::new(domains, SERVERS_PER_DOMAIN);
    send_requests(&mut cluster, domains);
    cluster
}

fn send_requests(cluster: &mut TestCluster, domains: usize) {
    let requests = REQUESTS_PER_DOMAIN * domains as u32;
    cluster.send_requests(requests, requests);
}

fn plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for (name, make) in [("steady", steady as fn(usize) -> TestCluster), ("empty", empty)] {
        for domains in DOMAINS {
            let cluster = make(domains);
            let id = BenchmarkId::new(name, domains * SERVERS_PER_DOMAIN);
            group.bench_with_input(id, &cluster, |bencher, cluster| {
                bencher.iter(|| black_box(cluster.plan()))
            });
        }
    }
    group.finish();
}

criterion_group!(benches, plans);
criterion_main!(benches);
