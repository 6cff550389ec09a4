//! All daemons of a large fleet start again at once and know nothing, while the state goes on changing.

mod common;

use common::leader::{Leader, TICK_MS};
use common::record;
use dockwood_api::gateway::InstanceState;
use dockwood_api::peer::{DaemonRecord, LeaseAnswer, LeaseContent, LeaseRequest};
use dockwood_control::{Input, LEASE_MS, decompress};
use dockwood_state::{Command, CommandBody, GatewayCommand, InstanceRow, Liveness, State, encode_command};
use std::net::SocketAddr;

/// Time that a copy takes from one daemon to another, in milliseconds.
const COPY_MS: u64 = 120;
/// Time between two changes of the state that all daemons need, in milliseconds.
const CHANGE_EVERY_MS: u64 = 60;
/// Within this time all daemons must hold their leases: a fraction of the 18 seconds after which callers must be served.
const RETURN_MS: u64 = 4_000;
/// Commands that the leader may commit on account of the daemons, however many there are.
const MOST_COMMANDS: u64 = 40;

fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number / 200) as u8, (number % 200) as u8 + 1], 7_340))
}

fn daemon(number: usize) -> DaemonRecord {
    DaemonRecord { peer: peer(number), ..record(&format!("entry-{number:04}")) }
}

fn fleet_of(daemons: usize) -> State {
    let mut state = State::default();
    for number in 0..daemons {
        let body = CommandBody::JoinDaemon { record: daemon(number), incarnation: 1 };
        state.apply(&Command { at_ms: 1, body });
    }
    state
}

/// A copy that is on its way from another daemon.
struct Copy {
    from: usize,
    arrives_at: u64,
}

#[derive(Default)]
struct Follower {
    applied: u64,
    lease_until: u64,
    asked_at: Option<u64>,
    /// The revision that the last answer named.
    wanted: u64,
    copy: Option<Copy>,
}

struct Fleet {
    leader: Leader,
    followers: Vec<Follower>,
    changes: u64,
    bytes: usize,
    /// The copy that was last decoded, and its revision: many daemons are sent the same one.
    decoded: (Vec<u8>, u64),
}

impl Fleet {
    fn started_again(daemons: usize) -> Fleet {
        let leader = Leader::elected_over(fleet_of(daemons));
        let followers = (0..daemons).map(|_| Follower::default()).collect();
        Fleet { leader, followers, changes: 0, bytes: 0, decoded: (Vec::new(), 0) }
    }

    fn pass(&mut self) {
        let now = self.leader.now;
        for number in 0..self.followers.len() {
            self.ask(number, now);
        }
        if now.is_multiple_of(CHANGE_EVERY_MS) {
            self.change();
        }
        self.leader.pass(TICK_MS);
        self.take_answers();
        self.take_copies();
    }

    fn ask(&mut self, number: usize, now: u64) {
        let follower = &mut self.followers[number];
        if follower.asked_at.is_some() {
            return;
        }
        follower.asked_at = Some(now);
        let daemon = daemon(number);
        let name = daemon.name.clone();
        let request = LeaseRequest {
            daemon,
            incarnation: 2,
            applied_revision: follower.applied,
            in_force_revision: 0,
            wants_commands: true,
            leaving: false,
            at_once: now >= follower.lease_until,
            in_flight: 0,
            stamp: Default::default(),
        };
        self.leader.take(Input::Lease(request, name));
    }

    /// A plain server reports something new.
    fn change(&mut self) {
        self.changes += 1;
        let row = InstanceRow {
            id: "plain".to_string(),
            started_ms: None,
            service: "s".to_string(),
            address: SocketAddr::from(([127, 0, 0, 9], 1)),
            zone: "z".to_string(),
            slots: 1 + (self.changes % 2) as u32,
            state: InstanceState::Ready,
            is_cold: false,
            domain: None,
        };
        let body = CommandBody::Gateway(GatewayCommand::Register(row));
        let command = encode_command(&Command { at_ms: self.leader.now, body });
        self.leader.take(Input::Submit(vec![(command, "server".to_string())]));
    }

    fn take_answers(&mut self) {
        let now = self.leader.now;
        for (name, answer) in self.leader.take_answers() {
            let LeaseAnswer::Granted { revision, content, .. } = answer else { panic!("it leads") };
            let number: usize = name.trim_start_matches("entry-").parse().expect("a number");
            self.followers[number].wanted = revision;
            match content {
                LeaseContent::Commands { commands, through } => {
                    self.bytes += commands.iter().map(|kept| kept.command.len()).sum::<usize>();
                    self.applied(number, through);
                }
                LeaseContent::Snapshot(state) => {
                    self.bytes += state.len();
                    let revision = self.revision_of(state);
                    self.applied(number, revision);
                }
                LeaseContent::Fetch { from } => {
                    let from = (0..self.followers.len()).find(|number| peer(*number) == from);
                    let copy = Copy { from: from.expect("a daemon"), arrives_at: now + COPY_MS };
                    self.followers[number].copy = Some(copy);
                }
            }
        }
    }

    fn revision_of(&mut self, state: Vec<u8>) -> u64 {
        if self.decoded.0 != state {
            let decoded = State::decode(&decompress(&state).expect("compressed")).expect("a state");
            self.decoded = (state, decoded.tables.revision);
        }
        self.decoded.1
    }

    fn take_copies(&mut self) {
        let now = self.leader.now;
        for number in 0..self.followers.len() {
            let arrived = self.followers[number].copy.take_if(|copy| now >= copy.arrives_at);
            if let Some(copy) = arrived {
                self.applied(number, self.followers[copy.from].applied);
            }
        }
    }

    /// A lease holds only with a state that is as new as the answer.
    fn applied(&mut self, number: usize, revision: u64) {
        let follower = &mut self.followers[number];
        follower.applied = follower.applied.max(revision);
        let asked_at = follower.asked_at.take().expect("it has asked");
        if follower.applied >= follower.wanted {
            follower.lease_until = asked_at + LEASE_MS;
        }
    }

    fn without_lease(&self) -> usize {
        let now = self.leader.now;
        self.followers.iter().filter(|follower| now >= follower.lease_until).count()
    }

    /// Commands that were committed for the daemons' sake.
    fn daemon_commands(&self, before: u64) -> u64 {
        self.leader.node.tables().revision - before - self.changes
    }
}

/// Found with a thousand entries: each restart and each late daemon was a command of its own, which each of the daemons
/// had to apply before its lease counted; they got later by that, which made further commands.
fn returns(daemons: usize) {
    let mut fleet = Fleet::started_again(daemons);
    let (begun, before) = (fleet.leader.now, fleet.leader.node.tables().revision);
    let mut since = None;
    while fleet.leader.now < begun + 2 * RETURN_MS {
        fleet.pass();
        match fleet.without_lease() {
            0 => {
                since.get_or_insert(fleet.leader.now - begun);
            }
            _ => since = None,
        }
    }
    let missing = fleet.without_lease();
    let commands = fleet.daemon_commands(before);
    let figures =
        format!("{missing} of {daemons} without a lease, {commands} commands, {} bytes", fleet.bytes);
    assert!(since.is_some_and(|since| since <= RETURN_MS), "all hold leases since {since:?}: {figures}");
    assert!(commands <= MOST_COMMANDS, "{figures}");
    let live = |state: &&std::sync::Arc<dockwood_state::DaemonRow>| state.liveness == Liveness::Live;
    assert_eq!(fleet.leader.node.tables().daemons.values().filter(live).count(), daemons, "{figures}");
}

#[test]
fn a_thousand_daemons_return_within_seconds() {
    returns(1_000);
}

#[test]
fn two_thousand_daemons_return_within_seconds() {
    returns(2_000);
}
