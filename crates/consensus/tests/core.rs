//! Unit tests of the consensus core on single messages. The `simulation` crate tests whole groups under faults.

use dockwood_consensus::{
    Body, Entry, Input, Message, Node, Output, Payload, Recovered, RoleName, Settings, Voter,
};

const ELECTION_TIMEOUT_MS: u64 = 500;

fn settings(id: u64, voters: &[u64]) -> Settings {
    Settings {
        id,
        voters: voters.to_vec(),
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        heartbeat_ms: 100,
        max_message_bytes: 1 << 16,
        seed: 1,
    }
}

fn node(id: u64) -> Node {
    Node::new(settings(id, &[1, 2, 3]), Recovered::default(), 0)
}

fn message(from: u64, to: u64, term: u64, body: Body) -> Input {
    Input::Receive(Message { from, to, term, body })
}

fn entries(term: u64, indices: std::ops::RangeInclusive<u64>) -> Vec<Entry> {
    indices.map(|index| Entry { index, term, payload: Payload::Command(vec![index as u8]) }).collect()
}

fn append(term: u64, previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> Input {
    let (previous_index, previous_term) = previous;
    let probe = Default::default();
    message(1, 2, term, Body::Append { previous_index, previous_term, entries, commit, probe })
}

fn sent(outputs: &[Output]) -> Vec<&Body> {
    let bodies = outputs.iter().filter_map(|output| match output {
        Output::Send(message) => Some(&message.body),
        _ => None,
    });
    bodies.collect()
}

#[test]
fn a_single_voter_elects_itself_and_commits_only_after_its_sync() {
    let mut node = Node::new(settings(1, &[1]), Recovered::default(), 0);
    let outputs = node.step(0, Input::Tick);
    assert_eq!(node.role(), RoleName::Leader);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Commit(_))), "the entry is not synced yet");
    let outputs = node.step(1, Input::Persisted { index: 1, term: 1 });
    assert!(outputs.iter().any(|output| matches!(output, Output::Commit(entries) if entries.len() == 1)));
}

#[test]
fn a_pre_vote_does_not_change_the_term() {
    let mut node = node(2);
    node.step(ELECTION_TIMEOUT_MS * 3, Input::Tick);
    assert_eq!((node.role(), node.term()), (RoleName::Candidate, 0));
    let request = Body::VoteRequest { binding: false, last_index: 0, last_term: 0 };
    let mut other = self::node(3);
    let outputs = other.step(ELECTION_TIMEOUT_MS * 3, message(2, 3, 1, request));
    assert!(matches!(sent(&outputs)[..], [Body::VoteReply { granted: true, .. }]));
    assert_eq!(other.term(), 0);
}

/// The persistent state of a voter that has been running before.
fn recovered_with_entries() -> Recovered {
    Recovered { entries: entries(1, 1..=3), ..Recovered::default() }
}

/// Milliseconds from the restart of the last voter until a leader is elected, with all voters restarting at these times.
fn leaderless_after_restart(start_times: [u64; 3], seed: u64) -> u64 {
    let mut nodes: Vec<Option<Node>> = vec![None, None, None];
    let last = start_times.iter().copied().max().unwrap_or(0);
    for now in 0..last + 10 * ELECTION_TIMEOUT_MS {
        let mut messages = Vec::new();
        for id in 1..=3_u64 {
            let index = id as usize - 1;
            if start_times[index] == now {
                let settings = Settings { seed: seed + id, ..settings(id, &[1, 2, 3]) };
                nodes[index] = Some(Node::new(settings, recovered_with_entries(), now));
            }
            let outputs = nodes[index].as_mut().map(|node| node.step(now, Input::Tick));
            messages.extend(outputs.into_iter().flatten());
        }
        while let Some(output) = messages.pop() {
            let Output::Send(message) = output else { continue };
            let receiver = nodes[message.to as usize - 1].as_mut();
            messages.extend(
                receiver.into_iter().flat_map(|node| node.step(now, Input::Receive(message.clone()))),
            );
        }
        if nodes.iter().flatten().any(|node| node.role() == RoleName::Leader) {
            return now.saturating_sub(last);
        }
    }
    panic!("no leader was elected");
}

/// Guards against a long outage after all voters restart (incident inc-e5a2 on norrstrom-klubb): one requested pre-votes
/// while the others still withheld theirs, was silently ignored, and waited a whole election timeout before retrying.
#[test]
fn after_a_full_restart_a_leader_is_elected_soon_after_votes_are_no_longer_withheld() {
    for seed in 0..200 {
        let leaderless = leaderless_after_restart([0, 150, 300], seed);
        assert!(
            leaderless >= ELECTION_TIMEOUT_MS - 300,
            "votes are withheld for one election timeout: {leaderless} ms, seed {seed}"
        );
        assert!(leaderless <= ELECTION_TIMEOUT_MS + 200, "{leaderless} ms, seed {seed}");
    }
}

#[test]
fn a_vote_is_granted_once_per_term_and_only_to_an_up_to_date_log() {
    let mut node = node(3);
    let request = |from, term, last_index| {
        message(from, 3, term, Body::VoteRequest { binding: true, last_index, last_term: 0 })
    };
    let granted = |outputs: &[Output]| matches!(sent(outputs)[..], [Body::VoteReply { granted: true, .. }]);
    assert!(granted(&node.step(9_000, request(1, 5, 0))));
    assert!(!granted(&node.step(9_001, request(2, 5, 0))));
    assert!(granted(&node.step(9_002, request(1, 5, 0))), "a repeated request gets the same reply");
    let mut ahead = self::node(2);
    ahead.step(0, append(1, (0, 0), entries(1, 1..=3), 0));
    let request = Body::VoteRequest { binding: true, last_index: 2, last_term: 1 };
    assert!(!granted(&ahead.step(9_000, message(3, 2, 2, request))));
}

#[test]
fn votes_are_withheld_while_a_leader_is_live() {
    let mut node = node(2);
    node.step(1_000, append(1, (0, 0), Vec::new(), 0));
    let request = Body::VoteRequest { binding: true, last_index: 9, last_term: 9 };
    assert!(node.step(1_000 + ELECTION_TIMEOUT_MS - 1, message(3, 2, 9, request.clone())).is_empty());
    assert!(!node.step(1_000 + ELECTION_TIMEOUT_MS, message(3, 2, 9, request)).is_empty());
}

#[test]
fn a_delayed_shorter_append_truncates_nothing() {
    let mut node = node(2);
    node.step(0, append(1, (0, 0), entries(1, 1..=5), 0));
    node.step(1, append(1, (0, 0), entries(1, 1..=2), 0));
    assert_eq!(node.last_index(), 5);
}

#[test]
fn a_conflicting_entry_truncates_the_rest_of_the_log() {
    let mut node = node(2);
    node.step(0, append(1, (0, 0), entries(1, 1..=5), 1));
    node.step(1, append(2, (2, 1), entries(2, 3..=3), 1));
    assert_eq!((node.last_index(), node.term_at(3), node.commit_index()), (3, Some(2), 1));
}

/// Guards against losing acknowledged entries (found by the simulator with a lossy network): a snapshot that arrived after
/// later entries had been acknowledged made the follower discard them, while the leader still counted them.
#[test]
fn a_delayed_snapshot_discards_no_acknowledged_entries() {
    let mut node = node(2);
    node.step(0, append(1, (0, 0), entries(1, 1..=5), 1));
    let snapshot = Body::Snapshot { index: 3, term: 1, data: vec![9], probe: Default::default() };
    let outputs = node.step(1, message(1, 2, 1, snapshot));
    assert_eq!((node.last_index(), node.commit_index()), (5, 3));
    assert!(!outputs.iter().any(|output| matches!(output, Output::Restore { .. })));
}

#[test]
fn a_snapshot_beyond_the_end_of_the_log_replaces_it() {
    let mut node = node(2);
    node.step(0, append(1, (0, 0), entries(1, 1..=2), 1));
    let snapshot = Body::Snapshot { index: 8, term: 1, data: vec![9], probe: Default::default() };
    let outputs = node.step(1, message(1, 2, 1, snapshot));
    assert!(outputs.iter().any(|output| matches!(output, Output::Restore { index: 8, .. })));
    assert_eq!((node.last_index(), node.commit_index()), (8, 8));
}

/// Otherwise a group in which a majority was sent snapshots elects no leader after the loss of the one that it has.
#[test]
fn a_founder_stands_for_election_after_a_snapshot_of_a_group_whose_membership_never_changed() {
    let mut node = node(2);
    let snapshot = Body::Snapshot { index: 8, term: 1, data: vec![9], probe: Default::default() };
    node.step(1, message(1, 2, 1, snapshot));
    node.restore_voters(&[]);
    assert_eq!(node.voters(), [1, 2, 3]);
    node.step(ELECTION_TIMEOUT_MS * 3, Input::Tick);
    assert_eq!(node.role(), RoleName::Candidate);
}

#[test]
fn the_voters_of_a_snapshot_replace_the_founders() {
    let mut node = node(2);
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    node.restore_voters(&[2, 4, 5].map(|id| Voter { id, address }));
    assert_eq!(node.voters(), [2, 4, 5]);
}

#[test]
fn votes_of_non_voters_are_not_counted() {
    let mut node = node(2);
    node.step(9_000, Input::Tick);
    assert_eq!(node.role(), RoleName::Candidate);
    for non_voter in [7, 8, 9] {
        let vote = Body::VoteReply { binding: false, granted: true };
        assert!(node.step(9_001, message(non_voter, 2, 1, vote)).is_empty());
    }
    assert_eq!((node.role(), node.term()), (RoleName::Candidate, 0));
}

#[test]
fn messages_for_other_nodes_are_ignored() {
    let mut node = node(2);
    let request = Body::VoteRequest { binding: true, last_index: 0, last_term: 0 };
    assert!(node.step(9_000, message(1, 3, 5, request)).is_empty());
    assert_eq!(node.term(), 0);
}

/// A node may lack the entry that made the candidate a voter; ignoring the candidate could make a majority impossible.
#[test]
fn a_vote_for_an_unknown_candidate_depends_on_its_log() {
    let mut node = node(2);
    node.step(0, append(1, (0, 0), entries(1, 1..=3), 3));
    let request = |last_index| Body::VoteRequest { binding: true, last_index, last_term: 1 };
    let granted = |outputs: Vec<Output>| {
        outputs.iter().any(|output| {
            matches!(output, Output::Send(Message { body: Body::VoteReply { granted: true, .. }, .. }))
        })
    };
    assert!(!granted(node.step(9_000, message(7, 2, 5, request(2)))));
    assert!(granted(node.step(19_000, message(7, 2, 6, request(3)))));
}

/// A leader of three voters with ten proposed entries, none of which the followers have acknowledged.
fn leader_with_entries() -> Node {
    let mut leader = node(1);
    leader.step(ELECTION_TIMEOUT_MS * 3, Input::Tick);
    let vote = |binding| Body::VoteReply { binding, granted: true };
    leader.step(ELECTION_TIMEOUT_MS * 3, message(2, 1, 1, vote(false)));
    leader.step(ELECTION_TIMEOUT_MS * 3, message(2, 1, 1, vote(true)));
    assert_eq!(leader.role(), RoleName::Leader);
    let commands = (0..10).map(|number| vec![number; 100]).collect();
    leader.step(ELECTION_TIMEOUT_MS * 3, Input::Propose(commands));
    leader
}

/// The probes of the appends to voter 3, and the number of entries in each.
fn appends_to_voter_3(outputs: &[Output]) -> Vec<(dockwood_consensus::Probe, usize)> {
    let appends = outputs.iter().filter_map(|output| match output {
        Output::Send(Message { to: 3, body: Body::Append { entries, probe, .. }, .. }) => {
            Some((*probe, entries.len()))
        }
        _ => None,
    });
    appends.collect()
}

/// Guards against the leader running out of memory (found on unidos-despacho-grown): after a network partition a follower
/// rejected the fifty messages that were queued for it, and the leader retransmitted all missing entries for each.
#[test]
fn missing_entries_are_retransmitted_once_however_many_messages_are_rejected() {
    let mut leader = leader_with_entries();
    let mut queued = Vec::new();
    let mut now = ELECTION_TIMEOUT_MS * 3;
    for _ in 0..40 {
        now += 100;
        queued.extend(appends_to_voter_3(&leader.step(now, Input::Tick)));
        let (probe, _) = queued[queued.len() - 1];
        leader.step(now, message(2, 1, 1, Body::AppendReply { matched: true, index: 11, probe }));
    }
    assert!(queued.len() >= 40);
    let reject = |probe| message(3, 1, 1, Body::AppendReply { matched: false, index: 0, probe });
    let retransmitted: Vec<usize> = queued
        .iter()
        .flat_map(|(probe, _)| appends_to_voter_3(&leader.step(now, reject(*probe))))
        .map(|(_, entries)| entries)
        .collect();
    assert_eq!(retransmitted.iter().filter(|entries| **entries > 0).count(), 1, "{retransmitted:?}");
    // If the retransmission is lost too, the rejection of the next heartbeat triggers another one.
    now += 100;
    let heartbeat = appends_to_voter_3(&leader.step(now, Input::Tick));
    let second_retransmission = appends_to_voter_3(&leader.step(now, reject(heartbeat[0].0)));
    assert_eq!(second_retransmission.iter().map(|(_, entries)| *entries).max(), Some(11));
}
