//! Compaction of the log by its size, and the bound on commands that wait to be committed.

mod common;

use common::leader::Leader;
use dockwood_api::ResultCode;
use dockwood_api::gateway::GatewayConfiguration;
use dockwood_api::peer::SubmitReply;
use dockwood_consensus::{Node, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use dockwood_state::{Command, CommandBody, GatewayCommand, State, encode_command};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const MIB: usize = 1 << 20;

fn configure_command(version: u64, document_bytes: usize) -> Vec<u8> {
    let document = vec![b'x'; document_bytes];
    let configuration = GatewayConfiguration { version, document, ..GatewayConfiguration::default() };
    let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
    encode_command(&Command { at_ms: 0, body })
}

/// Commands of different kinds of size, and the largest log that may be kept for them.
#[derive(Clone, Copy)]
struct Changes {
    count: u64,
    document_bytes: usize,
    max_log_bytes: usize,
    min_snapshots: usize,
    max_snapshots: usize,
}

/// Commits the changes; returns the number of snapshots. The log in memory never exceeds its limit.
fn commit(changes: Changes) -> usize {
    let mut leader = Leader::elected();
    let mut snapshots = 0;
    let mut before = 0;
    for version in 1..=changes.count {
        let command = configure_command(version, changes.document_bytes);
        leader.step(Input::Submit(vec![(command, "operator".to_string())]));
        let core = leader.node.core().expect("a voter");
        snapshots += usize::from(core.snapshot_index() > before);
        before = core.snapshot_index();
        let log_bytes = core.payload_bytes_after(core.snapshot_index()) as usize;
        assert!(log_bytes <= changes.max_log_bytes, "{log_bytes} bytes in the log");
    }
    snapshots
}

#[yare::parameterized(
    as_large_as_the_floor = { Changes { count: 20, document_bytes: 4 * MIB, max_log_bytes: 13 * MIB, min_snapshots: 6, max_snapshots: 11 } },
    below_the_floor = { Changes { count: 40, document_bytes: MIB, max_log_bytes: 6 * MIB, min_snapshots: 8, max_snapshots: 14 } },
    small = { Changes { count: 100, document_bytes: 1_000, max_log_bytes: MIB, min_snapshots: 0, max_snapshots: 0 } },
)]
fn the_log_stays_within_a_multiple_of_its_snapshot(changes: Changes) {
    let snapshots = commit(changes);
    let allowed = changes.min_snapshots..=changes.max_snapshots;
    assert!(allowed.contains(&snapshots), "{snapshots} snapshots for {} changes", changes.count);
}

/// A member that restarts with a large log from disk compacts it as soon as its entries are committed.
#[test]
fn a_large_log_from_disk_is_compacted_after_the_restart() {
    let mut leader = Leader::elected();
    let mut entries = Vec::new();
    for version in 1..=5 {
        let command = configure_command(version, 3 * MIB / 2);
        for output in
            leader.node.step(Moment::default(), Input::Submit(vec![(command, "operator".to_string())]))
        {
            if let Output::Persist { entries: appended, .. } = output {
                entries.extend(appended);
            }
        }
    }
    let first = entries.first().expect("the changes were appended").index;
    let settings = Settings {
        id: 1,
        voters: vec![1],
        election_timeout_ms: 500,
        heartbeat_ms: 100,
        max_message_bytes: 1 << 20,
        seed: 1,
    };
    let recovered = Recovered { snapshot_index: first - 1, entries, ..Recovered::default() };
    let core = Node::new(settings, recovered, 0);
    let addresses = BTreeMap::from([(1, SocketAddr::from(([127, 0, 0, 1], 1)))]);
    let mut node: ControlNode<u64> = ControlNode::voter("restarted", State::default(), core, addresses);
    let mut snapshots = Vec::new();
    let mut inputs = vec![Input::Tick];
    let mut now = 0;
    while now < 2_000 {
        now += 20;
        let moment = Moment { monotonic: now, wall_ms: now };
        for output in node.step(moment, inputs.pop().unwrap_or(Input::Tick)) {
            match output {
                Output::Persist { entries, .. } => inputs.extend(
                    entries.last().map(|last| Input::Persisted { index: last.index, term: last.term }),
                ),
                Output::StoreSnapshot(snapshot) => snapshots.push(snapshot),
                _ => {}
            }
        }
    }
    let snapshot = snapshots.first().expect("the log is compacted");
    let restored = State::decode(&snapshot.data).expect("a state");
    assert_eq!(restored.tables.gateway.configuration.map(|configuration| configuration.version), Some(5));
    assert!(snapshot.entries.is_empty());
}

#[test]
fn commands_beyond_what_may_wait_to_be_committed_are_to_be_sent_again() {
    let mut leader = Leader::elected();
    let submitted =
        (1..=8).map(|version| (configure_command(version, 3 * MIB), version.to_string())).collect();
    let (mut appended, mut dropped) = (0, Vec::new());
    for output in leader.node.step(leader.moment(), Input::Submit(submitted)) {
        match output {
            Output::Persist { entries, .. } => appended += entries.len(),
            Output::SubmitReply(version, SubmitReply::Failed { code, .. }) => {
                assert_eq!(code, ResultCode::ProposalDropped);
                dropped.push(version);
            }
            _ => {}
        }
    }
    assert_eq!(appended, 2);
    assert_eq!(dropped, ["3", "4", "5", "6", "7", "8"]);
}

#[test]
fn a_single_command_is_accepted_whatever_its_size() {
    let mut leader = Leader::elected();
    let submitted = vec![(configure_command(1, 12 * MIB), "operator".to_string())];
    leader.step(Input::Submit(submitted));
    let configuration = leader.node.tables().gateway.configuration.clone();
    assert_eq!(configuration.map(|configuration| configuration.version), Some(1));
}
