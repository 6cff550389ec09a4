//! What daemons are sent that lag behind the leader: no more than they need, and not to all of them at once.

mod common;

use common::leader::{Leader, TICK_MS};
use dockwood_api::gateway::{GatewayConfiguration, TenantKeys};
use dockwood_api::peer::LeaseContent;
use dockwood_control::{ControlNode, GrantedLease, Input, Moment};
use dockwood_state::{Command, CommandBody, GatewayCommand, encode_command};
use std::sync::Arc;

/// Accepts a configuration with so many tenants, each some 100 bytes.
fn configure(leader: &mut Leader, version: u64, tenants: usize) {
    let tenant = |number: usize| TenantKeys {
        name: format!("tenant-{number}"),
        keys: vec!["k".repeat(80)],
        priority: None,
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
