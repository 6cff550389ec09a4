//! Compressed content and the handling of damaged pieces: nothing is applied in part.

mod common;

use common::record;
use dockwood_api::ResultCode;
use dockwood_api::peer::{LeaseContent, RevisedCommand};
use dockwood_control::{ControlNode, GrantedLease, Input, Moment, Output, compress, decompress};
use dockwood_state::{Command, CommandBody, State, encode_command};

fn join(name: &str) -> Command {
    Command { at_ms: 1, body: CommandBody::JoinDaemon { record: record(name), incarnation: 1 } }
}

fn revised(revision: u64, command: Vec<u8>) -> RevisedCommand {
    RevisedCommand { revision, command }
}

/// Passes lease content to a daemon; returns the result codes of the recorded events.
fn apply_content(daemon: &mut ControlNode<()>, content: LeaseContent) -> Vec<ResultCode> {
    let lease = GrantedLease { in_force_revision: 0, content };
    let outputs = daemon.step(Moment::default(), Input::LeaseGranted(lease));
    let recorded = outputs.into_iter().filter_map(|output| match output {
        Output::Record { event, .. } => Some(event.code),
        _ => None,
    });
    recorded.collect()
}

#[test]
fn repeated_names_compress_to_a_third_or_less() {
    let mut state = State::default();
    for number in 0..327 {
        state.apply(&join(&format!("edge-sanjose-{number}.entry")));
    }
    let encoded = state.encode_for_non_voters();
    let compressed = compress(&encoded);
    assert!(compressed.len() * 3 <= encoded.len(), "{} of {} bytes", compressed.len(), encoded.len());
    assert_eq!(decompress(&compressed), Ok(encoded));
}

#[test]
fn truncated_data_and_wrong_lengths_are_rejected() {
    let compressed = compress(&[7; 1_000]);
    let mut too_long = compressed.clone();
    too_long[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    for damaged in [&compressed[..compressed.len() - 1], &compressed[..3], &[], &too_long] {
        let refused = decompress(damaged).map_err(|error| error.code());
        assert_eq!(refused, Err(ResultCode::FormatUnknown), "{damaged:?}");
    }
}

#[test]
fn a_damaged_command_stops_a_daemon_at_the_revision_before_it() {
    let mut daemon: ControlNode<()> = ControlNode::follower("follower");
    let command = |name: &str| compress(&encode_command(&join(name)));
    let damaged = command("b")[..10].to_vec();
    let commands = vec![revised(1, command("a")), revised(2, damaged), revised(3, command("c"))];
    let recorded = apply_content(&mut daemon, LeaseContent::Commands { commands, through: 3 });
    assert_eq!(recorded, [ResultCode::FormatUnknown]);
    assert_eq!(daemon.tables().revision, 1);
    let commands = vec![revised(2, command("b")), revised(3, command("c"))];
    assert!(apply_content(&mut daemon, LeaseContent::Commands { commands, through: 5 }).is_empty());
    assert_eq!(daemon.tables().daemons.keys().cloned().collect::<Vec<String>>(), ["a", "b", "c"]);
    assert_eq!(daemon.tables().revision, 5, "irrelevant revisions advance the revision too");
}

#[test]
fn a_damaged_snapshot_changes_nothing() {
    let mut daemon: ControlNode<()> = ControlNode::follower("follower");
    let mut state = State::default();
    state.apply(&join("a"));
    let copy = compress(&state.encode_for_non_voters());
    let damaged = LeaseContent::Snapshot(copy[..copy.len() - 2].to_vec());
    assert_eq!(apply_content(&mut daemon, damaged), [ResultCode::FormatUnknown]);
    assert_eq!(daemon.tables().revision, 0);
    assert!(apply_content(&mut daemon, LeaseContent::Snapshot(copy)).is_empty());
    assert_eq!(daemon.tables().revision, 1);
}

#[test]
fn content_that_a_daemon_already_has_changes_nothing() {
    let mut daemon: ControlNode<()> = ControlNode::follower("follower");
    let commands = vec![revised(4, compress(&encode_command(&join("a"))))];
    apply_content(&mut daemon, LeaseContent::Commands { commands: commands.clone(), through: 6 });
    apply_content(&mut daemon, LeaseContent::Commands { commands, through: 4 });
    assert_eq!(daemon.tables().revision, 6);
}
