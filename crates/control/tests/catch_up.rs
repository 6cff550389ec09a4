//! Content sent to daemons that lag behind the leader: only what they need, and not to all of them at once.

mod common;

use common::leader::{Leader, TICK_MS};
use common::request;
use dockwood_api::gateway::{GatewayConfiguration, TenantKeys};
use dockwood_api::peer::{LeaseContent, LeaseRequest};
use dockwood_control::{ControlNode, GrantedLease, Input, Moment, Output};
use dockwood_state::{Command, CommandBody, GatewayCommand, encode_command};
use std::net::SocketAddr;
use std::sync::Arc;

/// Applies a configuration with this many tenants of about 100 bytes each.
fn configure(leader: &mut Leader, version: u64, tenants: usize) {
    let tenant = |number: usize| TenantKeys {
        name: format!("tenant-{number}"),
        keys: vec!["k".repeat(80)],
        priority: None,
        allowed_regions: Vec::new(),
    };
    let configuration = GatewayConfiguration {
        version,
        tenants: (0..tenants).map(tenant).collect(),
        ..GatewayConfiguration::default()
    };
    let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
    let command = encode_command(&Command { at_ms: leader.now, body });
    leader.step(Input::Submit(vec![(command, "operator".to_string())]));
}

fn size(content: &LeaseContent) -> usize {
    match content {
        LeaseContent::Commands { commands, .. } => commands.iter().map(|kept| kept.command.len()).sum(),
        LeaseContent::Snapshot(bytes) => bytes.len(),
        LeaseContent::Fetch { .. } => 0,
    }
}

/// The revision of a daemon after it received these contents.
fn revision_after(contents: &[LeaseContent]) -> u64 {
    let mut follower: ControlNode<String> = ControlNode::follower("follower");
    for content in contents {
        let lease = GrantedLease { in_force_revision: 0, content: content.clone() };
        let _ = follower.step(Moment::default(), Input::LeaseGranted(lease));
    }
    follower.tables().revision
}

#[test]
fn a_daemon_that_lacks_many_superseded_configurations_is_sent_only_a_snapshot() {
    let mut leader = Leader::elected();
    (1..=40).for_each(|version| configure(&mut leader, version, 300));
    leader.request_lease("new", 0);
    leader.advance(TICK_MS);
    let contents = leader.take_contents();
    let (_, content) = contents.first().expect("the request is answered at once");
    assert!(size(content) < 100_000, "{} bytes for a state of about 30,000 bytes", size(content));
    assert_eq!(revision_after(std::slice::from_ref(content)), leader.node.tables().revision);
}

#[test]
fn a_daemon_that_lacks_one_large_change_is_sent_the_change_at_once() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 300);
    let before = leader.node.tables().revision;
    configure(&mut leader, 2, 3_000);
    for number in 0..20 {
        leader.request_lease(&format!("entry-{number}"), before);
    }
    let contents = leader.take_contents();
    assert_eq!(contents.len(), 20, "daemons that follow get a change without waiting for a turn");
    let is_commands =
        |(_, content): &(String, LeaseContent)| matches!(content, LeaseContent::Commands { .. });
    assert!(contents.iter().all(is_commands));
}

/// Regression (66 entries restarted together): the leader sent 66 copies of the whole history, its heartbeats
/// queued behind them, and one leader after the other lost its majority.
#[test]
fn daemons_that_start_together_do_not_saturate_the_leaders_link() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 3_000);
    let newest = leader.node.tables().revision;
    let names: Vec<String> = (0..60).map(|number| format!("entry-{number}")).collect();
    for name in &names {
        leader.request_lease(name, 0);
    }
    let first: usize = leader.take_contents().iter().map(|(_, content)| size(content)).sum();
    assert!(first < 1_500_000, "{first} bytes within one tick");

    let mut caught_up: Vec<String> = Vec::new();
    for _ in 0..500 {
        let waiting: Vec<&String> = names.iter().filter(|name| !caught_up.contains(name)).collect();
        for name in waiting {
            leader.request_lease(name, 0);
        }
        leader.advance(TICK_MS);
        let contents = leader.take_contents();
        let sent: usize = contents.iter().map(|(_, content)| size(content)).sum();
        assert!(sent < 1_000_000, "{sent} bytes within one tick");
        let whole = |content: &LeaseContent| revision_after(std::slice::from_ref(content)) >= newest;
        caught_up.extend(contents.iter().filter(|(_, content)| whole(content)).map(|(name, _)| name.clone()));
        caught_up.sort();
        caught_up.dedup();
    }
    assert_eq!(caught_up.len(), names.len(), "every daemon catches up");
}

/// Regression (unidos-despacho-large): after a power loss of the whole fleet, snapshots were sent only with
/// each batched change, about ten at a time, and the last of 327 daemons got its lease after 8 s.
#[test]
fn a_large_fleet_that_starts_together_is_sent_the_state_within_seconds() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 1_500);
    let names: Vec<String> = (0..327).map(|number| format!("entry-{number}")).collect();
    let mut waiting = names.clone();
    let start = leader.now;
    let mut version = 1;
    while !waiting.is_empty() {
        assert!(leader.now < start + 4_000, "{} daemons have not caught up", waiting.len());
        if leader.now.is_multiple_of(400) {
            // Each daemon asks again whether or not it was answered, while the state keeps changing.
            waiting.iter().for_each(|name| leader.request_lease(name, 0));
            version += 1;
            configure(&mut leader, version, 1_500);
        }
        leader.advance(TICK_MS);
        let contents = leader.take_contents();
        let sent: usize = contents.iter().map(|(_, content)| size(content)).sum();
        assert!(sent < 1_000_000, "{sent} bytes within one tick");
        for (name, _) in contents.iter().filter(|(_, content)| size(content) > 0) {
            waiting.retain(|waiting| waiting != name);
        }
    }
}

/// Applies a configuration that is hardly compressible.
fn configure_incompressible(leader: &mut Leader, version: u64) {
    let noise = |seed: u64| format!("{:016x}", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let tenant = |number: u64| TenantKeys {
        name: noise(number),
        keys: (0..4).map(|key| noise(version * 1_000_000 + number * 10 + key)).collect(),
        priority: None,
        allowed_regions: Vec::new(),
    };
    let configuration = GatewayConfiguration {
        version,
        tenants: (0..3_000).map(tenant).collect(),
        ..GatewayConfiguration::default()
    };
    let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
    let command = encode_command(&Command { at_ms: leader.now, body });
    leader.step(Input::Submit(vec![(command, "operator".to_string())]));
}

/// Daemons that follow a leader, each with its own address; fetching a snapshot takes them one tick.
struct Followers {
    applied: Vec<u64>,
    assignments: Vec<(u64, SocketAddr)>,
    sent: usize,
}

impl Followers {
    fn request(&self, number: usize) -> LeaseRequest {
        let mut request = request(&format!("entry-{number}"), self.applied[number]);
        request.daemon.peer =
            SocketAddr::from(([127, 0, 2, (number / 100) as u8], (number % 100) as u16 + 1));
        request
    }

    fn request_leases(&self, leader: &mut Leader) {
        for number in 0..self.applied.len() {
            let request = self.request(number);
            let name = request.daemon.name.clone();
            leader.step(Input::Lease(request, name));
        }
    }

    /// Handles the leader's answers; a daemon that is referred to a source gets the revision of that source.
    fn handle_answers(&mut self, leader: &mut Leader) {
        let now = leader.now;
        let newest = leader.node.tables().revision;
        let before = self.applied.clone();
        for (name, content) in leader.take_contents() {
            let number: usize =
                name.trim_start_matches("entry-").parse().expect("the name ends with a number");
            self.sent += size(&content);
            self.applied[number] = match content {
                LeaseContent::Commands { through, .. } => through,
                LeaseContent::Snapshot(_) => newest,
                LeaseContent::Fetch { from } => {
                    self.assignments.push((now, from));
                    let source = (0..before.len()).find(|number| self.request(*number).daemon.peer == from);
                    before[source.expect("a following daemon")]
                }
            };
        }
    }
}

/// Regression (unidos-despacho-large, scale-1): the leader sent a configuration with 1,400 routes to each of
/// 327 daemons, which filled its link for 4 s; followers gave it up, and its successor started over.
#[test]
fn large_content_is_passed_on_by_daemons_that_have_it() {
    let mut leader = Leader::elected();
    let mut followers = Followers { applied: vec![0; 327], assignments: Vec::new(), sent: 0 };
    for _ in 0..200 {
        followers.request_leases(&mut leader);
        leader.advance(TICK_MS);
        followers.handle_answers(&mut leader);
    }
    assert_eq!(leader.node.tables().daemons.len(), 327);
    followers.sent = 0;
    followers.assignments.clear();
    configure_incompressible(&mut leader, 1);
    let changed = leader.node.tables().revision;
    let start = leader.now;
    while followers.applied.iter().any(|applied| *applied < changed) {
        assert!(leader.now < start + 2_000, "not applied by all daemons after two seconds");
        followers.request_leases(&mut leader);
        leader.advance(TICK_MS);
        followers.handle_answers(&mut leader);
    }
    let copy = leader.node.state().encode_for_non_voters().len();
    assert!(followers.sent < copy * 60, "the leader itself sent {} snapshots", followers.sent / copy);
    for (assigned_at, source) in &followers.assignments {
        let soon = |(at, other): &&(u64, SocketAddr)| other == source && at.abs_diff(*assigned_at) < 200;
        assert!(
            followers.assignments.iter().filter(soon).count() <= 2,
            "a source serves more than two daemons at a time"
        );
    }
}

#[test]
fn a_daemon_passes_on_its_own_snapshot() {
    let mut leader = Leader::elected();
    configure(&mut leader, 3, 10);
    leader.request_lease("first", 0);
    leader.advance(TICK_MS);
    let contents = leader.take_contents();
    let mut first: ControlNode<()> = ControlNode::follower("first");
    let asked = first.step(Moment::default(), Input::FetchSnapshot(()));
    assert!(
        asked.iter().any(|output| matches!(output, Output::SnapshotReply((), None))),
        "a daemon without state has no snapshot"
    );
    let lease = GrantedLease { in_force_revision: 0, content: contents[0].1.clone() };
    first.step(Moment::default(), Input::LeaseGranted(lease));
    let copies = first.step(Moment::default(), Input::FetchSnapshot(()));
    let copy = copies.into_iter().find_map(|output| match output {
        Output::SnapshotReply((), copy) => copy,
        _ => None,
    });
    let copy = LeaseContent::Snapshot(copy.expect("the daemon has a snapshot"));
    assert_eq!(revision_after(&[copy]), leader.node.tables().revision);
}
