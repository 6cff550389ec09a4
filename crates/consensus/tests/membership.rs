//! Groups whose voters change, with lost messages, lost disks and elections, driven by a small pump.

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

/// What one node has synced, and what it has been told is committed.
#[derive(Default)]
struct Disk {
    hard_state: HardState,
    entries: Vec<Entry>,
    committed: Vec<Entry>,
}

/// Nodes with their disks, and messages that arrive at once or never.
struct Group {
    now: u64,
    nodes: BTreeMap<u64, Node>,
    disks: BTreeMap<u64, Disk>,
    founders: Vec<u64>,
    cut_off: BTreeSet<u64>,
    in_flight: VecDeque<Message>,
}

impl Group {
    fn founded(ids: &[u64]) -> Group {
        let mut group = Group {
            now: 0,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            founders: ids.to_vec(),
            cut_off: BTreeSet::new(),
            in_flight: VecDeque::new(),
        };
        ids.iter().for_each(|id| group.start(*id));
        group
    }

    /// Starts a node from what its disk holds. One that is no founder begins without voters.
    fn start(&mut self, id: u64) {
        let disk = self.disks.entry(id).or_default();
        let recovered =
            Recovered { hard_state: disk.hard_state, entries: disk.entries.clone(), ..Recovered::default() };
        disk.committed.clear();
        let voters = if self.founders.contains(&id) { self.founders.clone() } else { Vec::new() };
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
                inputs.extend(self.carry_out(id, output));
            }
        }
    }

    fn carry_out(&mut self, id: u64, output: Output) -> Option<Input> {
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
                let is_cut = self.cut_off.contains(&message.from) || self.cut_off.contains(&message.to);
                if !is_cut {
                    self.step(message.to, Input::Receive(message));
                }
            }
            self.check();
        }
    }

    /// Whatever two nodes call committed is the same.
    fn check(&self) {
        let mut log: BTreeMap<u64, &Entry> = BTreeMap::new();
        for entry in self.disks.values().flat_map(|disk| &disk.committed) {
            let known = log.entry(entry.index).or_insert(entry);
            assert_eq!(*known, entry);
        }
    }

    fn leader(&self) -> Option<u64> {
        let leads = |node: &Node| node.role() == RoleName::Leader && node.leader_lease_valid(self.now);
        self.nodes.iter().find(|(_, node)| leads(node)).map(|(id, _)| *id)
    }

    fn propose(&mut self, command: u8) {
        if let Some(leader) = self.leader() {
            self.step(leader, Input::Propose(vec![vec![command]]));
        }
        self.run(200);
    }

    fn change(&mut self, ids: &[u64]) {
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
fn a_node_without_voters_never_campaigns() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.start(9);
    group.run(5_000);
    assert_eq!(group.nodes[&9].term(), 0);
    assert!(group.leader().is_some_and(|leader| leader != 9));
}

#[test]
fn a_newcomer_gets_the_whole_log_and_then_counts() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    group.start(9);
    group.change(&[1, 2, 3, 9]);
    group.propose(2);
    assert_eq!(group.committed(9), [1, 2]);
    assert!([1, 2, 3, 9].iter().all(|id| group.voters(*id) == [1, 2, 3, 9]));
}

#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_right_after_is_survived() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    let leader = group.leader().unwrap_or(1);
    let others: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.lose_disk(others[0]);
    group.start(9);
    group.change(&[leader, others[1]]);
    group.change(&[leader, others[1], 9]);
    group.propose(2);
    group.lose_disk(leader);
    group.run(3_000);
    group.propose(3);
    assert_eq!(group.committed(9), [1, 2, 3]);
    assert_eq!(group.committed(others[1]), [1, 2, 3]);
}

#[test]
fn only_one_voter_changes_at_a_time() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    group.change(&[1, 2, 3, 8, 9]);
    assert_eq!(group.voters(leader), [1, 2, 3]);
    let without_itself: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.change(&without_itself);
    assert_eq!(group.voters(leader), [1, 2, 3]);
}

#[test]
fn a_change_waits_for_the_one_before() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    group.cut_off = [1, 2, 3].into_iter().filter(|id| *id != leader).collect();
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9].map(voter).to_vec()));
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9, 8].map(voter).to_vec()));
    assert_eq!(group.voters(leader), [1, 2, 3, 9]);
}

#[test]
fn a_change_that_was_never_committed_is_taken_back_with_its_entry() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    group.propose(1);
    let leader = group.leader().unwrap_or(1);
    group.cut_off = BTreeSet::from([leader]);
    group.step(leader, Input::ChangeVoters([1, 2, 3, 9].map(voter).to_vec()));
    assert_eq!(group.voters(leader), [1, 2, 3, 9]);
    group.run(3_000);
    group.propose(2);
    group.cut_off.clear();
    group.run(2_000);
    assert_eq!(group.voters(leader), [1, 2, 3]);
    assert_eq!(group.committed(leader), [1, 2]);
}

#[test]
fn a_removed_voter_that_returns_disturbs_nobody() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    let leader = group.leader().unwrap_or(1);
    let removed = if leader == 3 { 2 } else { 3 };
    group.cut_off = BTreeSet::from([removed]);
    let rest: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != removed).collect();
    group.change(&rest);
    group.cut_off.clear();
    let term = group.nodes[&leader].term();
    group.run(5_000);
    group.propose(4);
    assert_eq!((group.leader(), group.nodes[&leader].term()), (Some(leader), term));
    assert_eq!(group.committed(leader), [4]);
}

#[test]
fn voters_survive_a_restart_of_all() {
    let mut group = Group::founded(&[1, 2, 3]);
    group.run(2_000);
    group.start(9);
    group.change(&[1, 2, 3, 9]);
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
