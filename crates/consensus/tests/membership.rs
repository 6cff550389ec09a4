//! Membership changes under lost messages, lost disks and elections, run by a small event loop.

use dockwood_consensus::{
    Entry, HardState, Input, Message, Node, Output, Payload, Recovered, RoleName, Settings, Voter,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

fn voter(id: u64) -> Voter {
    Voter { id, address: SocketAddr::from(([127, 0, 0, 1], id as u16)) }
}

fn settings(id: u64, voters: &[u64]) -> Settings {
    Settings {
        id,
        voters: voters.to_vec(),
        election_timeout_ms: 500,
        heartbeat_ms: 100,
        max_message_bytes: 1 << 16,
        seed: id,
    }
}

/// What one node has synced, and which entries it has committed since its start.
#[derive(Default)]
struct Disk {
    hard_state: HardState,
    entries: Vec<Entry>,
    committed: Vec<Entry>,
}

/// Nodes with their disks, and a network that delivers messages immediately or never.
struct Group {
    now: u64,
    nodes: BTreeMap<u64, Node>,
    disks: BTreeMap<u64, Disk>,
    initial_voters: Vec<u64>,
    partitioned: BTreeSet<u64>,
    in_flight: VecDeque<Message>,
}

impl Group {
    fn new(ids: &[u64]) -> Group {
        let mut group = Group {
            now: 0,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            initial_voters: ids.to_vec(),
            partitioned: BTreeSet::new(),
            in_flight: VecDeque::new(),
        };
        ids.iter().for_each(|id| group.start(*id));
        group
    }

    /// Starts a node from its disk. A node that is not an initial voter starts without voters.
    fn start(&mut self, id: u64) {
        let disk = self.disks.entry(id).or_default();
        let recovered =
            Recovered { hard_state: disk.hard_state, entries: disk.entries.clone(), ..Recovered::default() };
        disk.committed.clear();
        let voters = if self.initial_voters.contains(&id) { self.initial_voters.clone() } else { Vec::new() };
        self.nodes.insert(id, Node::new(settings(id, &voters), recovered, self.now));
    }

    fn stop(&mut self, id: u64) {
        self.nodes.remove(&id);
    }

    fn lose_disk(&mut self, id: u64) {
        self.stop(id);
        self.disks.remove(&id);
    }

    fn step(&mut self, id: u64, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else { return };
            for output in node.step(self.now, input) {
                inputs.extend(self.execute(id, output));
            }
        }
    }

    fn execute(&mut self, id: u64, output: Output) -> Option<Input> {
        let disk = self.disks.entry(id).or_default();
        match output {
            Output::Persist { hard_state, entries } => {
                disk.hard_state = hard_state.unwrap_or(disk.hard_state);
                if let Some(first) = entries.first() {
                    disk.entries.retain(|entry| entry.index < first.index);
                }
                let last = entries.last().map(|last| Input::Persisted { index: last.index, term: last.term });
                disk.entries.extend(entries);
                return last;
            }
            Output::Send(message) => self.in_flight.push_back(message),
            Output::Commit(entries) => disk.committed.extend(entries),
            _ => {}
        }
        None
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now += 10;
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            ids.iter().for_each(|id| self.step(*id, Input::Tick));
            while let Some(message) = self.in_flight.pop_front() {
                let is_lost =
                    self.partitioned.contains(&message.from) || self.partitioned.contains(&message.to);
                if !is_lost {
                    self.step(message.to, Input::Receive(message));
                }
            }
            self.check_committed_entries();
        }
    }

    /// Asserts that all nodes agree on the committed entries.
    fn check_committed_entries(&self) {
        let mut log: BTreeMap<u64, &Entry> = BTreeMap::new();
        for entry in self.disks.values().flat_map(|disk| &disk.committed) {
            let known = log.entry(entry.index).or_insert(entry);
            assert_eq!(*known, entry);
        }
    }

    fn leader(&self) -> Option<u64> {
        let is_leader = |node: &Node| node.role() == RoleName::Leader && node.leader_lease_valid(self.now);
        self.nodes.iter().find(|(_, node)| is_leader(node)).map(|(id, _)| *id)
    }

    fn propose(&mut self, command: u8) {
        if let Some(leader) = self.leader() {
            self.step(leader, Input::Propose(vec![vec![command]]));
        }
        self.run(200);
    }

    fn change_voters(&mut self, ids: &[u64]) {
        if let Some(leader) = self.leader() {
            self.step(leader, Input::ChangeVoters(ids.iter().map(|id| voter(*id)).collect()));
        }
        self.run(300);
    }

    fn committed(&self, id: u64) -> Vec<u8> {
        let Some(disk) = self.disks.get(&id) else { return Vec::new() };
        let commands = disk.committed.iter().filter_map(|entry| match &entry.payload {
            Payload::Command(bytes) => bytes.first().copied(),
            _ => None,
        });
        commands.collect()
    }

    fn voters(&self, id: u64) -> Vec<u64> {
        self.nodes.get(&id).map(|node| node.voters().to_vec()).unwrap_or_default()
    }
}

#[test]
fn a_node_without_voters_never_starts_an_election() {
    let mut group = Group::new(&[1, 2, 3]);
    group.start(9);
    group.run(5_000);
    assert_eq!(group.nodes[&9].term(), 0);
    assert!(group.leader().is_some_and(|leader| leader != 9));
}

#[test]
fn an_added_voter_receives_the_whole_log_and_votes() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    group.start(9);
    group.change_voters(&[1, 2, 3, 9]);
    group.propose(2);
    assert_eq!(group.committed(9), [1, 2]);
    assert!([1, 2, 3, 9].iter().all(|id| group.voters(*id) == [1, 2, 3, 9]));
}

#[test]
fn a_voter_with_a_lost_disk_is_replaced_and_the_group_survives_a_second_loss() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    let leader = group.leader().unwrap_or(1);
    let others: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.lose_disk(others[0]);
    group.start(9);
    group.change_voters(&[leader, others[1]]);
    group.change_voters(&[leader, others[1], 9]);
    group.propose(2);
    group.lose_disk(leader);
    group.run(3_000);
    group.propose(3);
    assert_eq!(group.committed(9), [1, 2, 3]);
    assert_eq!(group.committed(others[1]), [1, 2, 3]);
}

#[test]
fn only_one_voter_can_be_changed_at_a_time() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    group.change_voters(&[1, 2, 3, 8, 9]);
    assert_eq!(group.voters(leader), [1, 2, 3]);
    let without_itself: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.change_voters(&without_itself);
    assert_eq!(group.voters(leader), [1, 2, 3]);
}

#[test]
fn a_change_is_ignored_while_the_previous_one_is_uncommitted() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    group.partitioned = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9].map(voter).to_vec()));
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9, 8].map(voter).to_vec()));
    assert_eq!(group.voters(leader), [1, 2, 3, 9]);
}

#[test]
fn an_uncommitted_change_is_reverted_when_its_entry_is_truncated() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    let leader = group.leader().unwrap_or(1);
    group.partitioned = BTreeSet::from([leader]);
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9].map(voter).to_vec()));
    assert_eq!(group.voters(leader), [1, 2, 3, 9]);
    group.run(3_000);
    group.propose(2);
    group.partitioned.clear();
    group.run(2_000);
    assert_eq!(group.voters(leader), [1, 2, 3]);
    assert_eq!(group.committed(leader), [1, 2]);
}

#[test]
fn a_removed_voter_that_reconnects_does_not_disrupt_the_group() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    let removed = if leader == 3 { 2 } else { 3 };
    group.partitioned = BTreeSet::from([removed]);
    let rest: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != removed).collect();
    group.change_voters(&rest);
    group.partitioned.clear();
    let term = group.nodes[&leader].term();
    group.run(5_000);
    group.propose(4);
    assert_eq!((group.leader(), group.nodes[&leader].term()), (Some(leader), term));
    assert_eq!(group.committed(leader), [4]);
}

#[test]
fn voters_survive_a_restart_of_all_nodes() {
    let mut group = Group::new(&[1, 2, 3]);
    group.run(2_000);
    group.start(9);
    group.change_voters(&[1, 2, 3, 9]);
    group.propose(1);
    for id in [1, 2, 3, 9] {
        group.stop(id);
        group.start(id);
    }
    group.run(3_000);
    group.propose(2);
    assert!([1, 2, 3, 9].iter().all(|id| group.voters(*id) == [1, 2, 3, 9]));
    assert_eq!(group.committed(9), [1, 2]);
}
