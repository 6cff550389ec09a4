//! What daemons are sent that lag behind the leader: no more than they need, and not to all of them at once.

mod common;

use common::leader::{Leader, TICK_MS};
use common::request;
use dockwood_api::gateway::{GatewayConfiguration, TenantKeys};
use dockwood_api::peer::{LeaseContent, LeaseRequest};
use dockwood_control::{ControlNode, GrantedLease, Input, Moment, Output};
use dockwood_state::{Command, CommandBody, GatewayCommand, encode_command};
use std::net::SocketAddr;
use std::sync::Arc;

/// Accepts a configuration with so many tenants, each some 100 bytes.
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

/// A daemon as it is after it took what it was sent: the revision that it has.
fn revision_after(contents: &[LeaseContent]) -> u64 {
    let mut follower: ControlNode<String> = ControlNode::follower("follower");
    for content in contents {
        let lease = GrantedLease { in_force_revision: 0, content: content.clone() };
        let _ = follower.step(Moment::default(), Input::LeaseGranted(lease));
    }
    follower.tables().revision
}

#[test]
fn a_daemon_that_lacks_many_overtaken_configurations_is_sent_the_state_alone() {
    let mut leader = Leader::elected();
    (1..=40).for_each(|version| configure(&mut leader, version, 300));
    leader.ask("new", 0);
    leader.pass(TICK_MS);
    let contents = leader.take_contents();
    let (_, content) = contents.first().expect("it is answered at once");
    assert!(size(content) < 100_000, "{} bytes for a state of some 30,000", size(content));
    assert_eq!(revision_after(std::slice::from_ref(content)), leader.node.tables().revision);
}

#[test]
fn a_daemon_that_lacks_one_large_change_is_sent_the_change_at_once() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 300);
    let before = leader.node.tables().revision;
    configure(&mut leader, 2, 3_000);
    for number in 0..20 {
        leader.ask(&format!("entry-{number}"), before);
    }
    let contents = leader.take_contents();
    assert_eq!(contents.len(), 20, "a change in force everywhere waits for nobody's turn");
    let is_commands =
        |(_, content): &(String, LeaseContent)| matches!(content, LeaseContent::Commands { .. });
    assert!(contents.iter().all(is_commands));
}

/// Found on 66 entries that were restarted together: the leader sent 66 copies of all that had ever been decided,
/// its heartbeats stood behind them, and one leader after the other lost its majority.
#[test]
fn daemons_that_start_together_do_not_fill_the_leaders_link() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 3_000);
    let newest = leader.node.tables().revision;
    let names: Vec<String> = (0..60).map(|number| format!("entry-{number}")).collect();
    for name in &names {
        leader.ask(name, 0);
    }
    let first: usize = leader.take_contents().iter().map(|(_, content)| size(content)).sum();
    assert!(first < 1_500_000, "{first} bytes within one tick");

    let mut caught_up: Vec<String> = Vec::new();
    for _ in 0..500 {
        let waiting: Vec<&String> = names.iter().filter(|name| !caught_up.contains(name)).collect();
        for name in waiting {
            leader.ask(name, 0);
        }
        leader.pass(TICK_MS);
        let contents = leader.take_contents();
        let sent: usize = contents.iter().map(|(_, content)| size(content)).sum();
        assert!(sent < 1_000_000, "{sent} bytes within one tick");
        let whole = |content: &LeaseContent| revision_after(std::slice::from_ref(content)) >= newest;
        caught_up.extend(contents.iter().filter(|(_, content)| whole(content)).map(|(name, _)| name.clone()));
        caught_up.sort();
        caught_up.dedup();
    }
    assert_eq!(caught_up.len(), names.len(), "everybody gets its turn");
}

/// Found on unidos-despacho-large: after a loss of power everywhere, copies were sent only with each gathered change, some
/// ten at a time, and the last of 327 daemons had its lease after eight seconds.
#[test]
fn a_large_fleet_that_starts_together_is_sent_the_state_within_seconds() {
    let mut leader = Leader::elected();
    configure(&mut leader, 1, 1_500);
    let names: Vec<String> = (0..327).map(|number| format!("entry-{number}")).collect();
    let mut waiting = names.clone();
    let begun = leader.now;
    let mut version = 1;
    while !waiting.is_empty() {
        assert!(leader.now < begun + 4_000, "{} still wait", waiting.len());
        if leader.now.is_multiple_of(400) {
            // Each asks again whether or not it was answered; meanwhile the state goes on changing.
            waiting.iter().for_each(|name| leader.ask(name, 0));
            version += 1;
            configure(&mut leader, version, 1_500);
        }
        leader.pass(TICK_MS);
        let contents = leader.take_contents();
        let sent: usize = contents.iter().map(|(_, content)| size(content)).sum();
        assert!(sent < 1_000_000, "{sent} bytes within one tick");
        for (name, _) in contents.iter().filter(|(_, content)| size(content) > 0) {
            waiting.retain(|waiting| waiting != name);
        }
    }
}

/// A configuration whose text hardly gets smaller when it is compressed.
fn configure_large(leader: &mut Leader, version: u64) {
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

/// Daemons that follow a leader, each at an address of its own; copies take them one tick.
struct Followers {
    applied: Vec<u64>,
    named: Vec<(u64, SocketAddr)>,
    sent: usize,
}

impl Followers {
    fn request(&self, number: usize) -> LeaseRequest {
        let mut request = request(&format!("entry-{number}"), self.applied[number]);
        request.daemon.peer =
            SocketAddr::from(([127, 0, 2, (number / 100) as u8], (number % 100) as u16 + 1));
        request
    }

    fn ask(&self, leader: &mut Leader) {
        for number in 0..self.applied.len() {
            let request = self.request(number);
            let name = request.daemon.name.clone();
            leader.step(Input::Lease(request, name));
        }
    }

    /// Takes what the leader has answered; a daemon that is to fetch the state gets what its source has.
    fn take(&mut self, leader: &mut Leader) {
        let now = leader.now;
        let newest = leader.node.tables().revision;
        let before = self.applied.clone();
        for (name, content) in leader.take_contents() {
            let number: usize = name.trim_start_matches("entry-").parse().expect("a number");
            self.sent += size(&content);
            self.applied[number] = match content {
                LeaseContent::Commands { through, .. } => through,
                LeaseContent::Snapshot(_) => newest,
                LeaseContent::Fetch { from } => {
                    self.named.push((now, from));
                    let source = (0..before.len()).find(|number| self.request(*number).daemon.peer == from);
                    before[source.expect("a daemon that follows")]
                }
            };
        }
    }
}

/// Found on unidos-despacho-large, scale-1: a configuration with 1,400 routes, sent by the leader to each of 327 daemons,
/// filled its link for four seconds; followers gave the leader up, and its successor began anew.
#[test]
fn what_is_large_is_passed_on_by_those_that_have_it() {
    let mut leader = Leader::elected();
    let mut followers = Followers { applied: vec![0; 327], named: Vec::new(), sent: 0 };
    for _ in 0..200 {
        followers.ask(&mut leader);
        leader.pass(TICK_MS);
        followers.take(&mut leader);
    }
    assert_eq!(leader.node.tables().daemons.len(), 327);
    followers.sent = 0;
    followers.named.clear();
    configure_large(&mut leader, 1);
    let changed = leader.node.tables().revision;
    let begun = leader.now;
    while followers.applied.iter().any(|applied| *applied < changed) {
        assert!(leader.now < begun + 2_000, "in force everywhere within three seconds");
        followers.ask(&mut leader);
        leader.pass(TICK_MS);
        followers.take(&mut leader);
    }
    let copy = leader.node.state().encode_for_non_voters().len();
    assert!(followers.sent < copy * 60, "the leader itself has sent {} copies", followers.sent / copy);
    for (named_at, source) in &followers.named {
        let soon = |(at, other): &&(u64, SocketAddr)| other == source && at.abs_diff(*named_at) < 200;
        assert!(followers.named.iter().filter(soon).count() <= 2, "a source passes on two copies at a time");
    }
}

#[test]
fn a_daemon_passes_on_what_it_has_itself() {
    let mut leader = Leader::elected();
    configure(&mut leader, 3, 10);
    leader.ask("first", 0);
    leader.pass(TICK_MS);
    let contents = leader.take_contents();
    let mut first: ControlNode<()> = ControlNode::follower("first");
    let asked = first.step(Moment::default(), Input::CopyState(()));
    assert!(asked.iter().any(|output| matches!(output, Output::CopyReply((), None))), "it has nothing yet");
    let lease = GrantedLease { in_force_revision: 0, content: contents[0].1.clone() };
    first.step(Moment::default(), Input::LeaseGranted(lease));
    let copies = first.step(Moment::default(), Input::CopyState(()));
    let copy = copies.into_iter().find_map(|output| match output {
        Output::CopyReply((), copy) => copy,
        _ => None,
    });
    let copy = LeaseContent::Snapshot(copy.expect("a copy"));
    assert_eq!(revision_after(&[copy]), leader.node.tables().revision);
}
