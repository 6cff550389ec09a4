//! Daemons of a large fleet as the control group sees them: what they ask, and what they have after an answer.

use super::record;
use dockwood_api::peer::{DaemonRecord, LeaseAnswer, LeaseContent, LeaseRequest};
use dockwood_control::{LEASE_MS, decompress};
use dockwood_state::{Command, CommandBody, State};
use std::net::SocketAddr;

/// Time that a copy takes from one daemon to another, in milliseconds.
const COPY_MS: u64 = 120;

/// The peer address of a daemon.
pub fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number / 200) as u8, (number % 200) as u8 + 1], 7_340))
}

fn daemon(number: usize) -> DaemonRecord {
    DaemonRecord { peer: peer(number), ..record(&name(number)) }
}

/// The name of a daemon.
pub fn name(number: usize) -> String {
    format!("entry-{number:04}")
}

/// The daemon with this name.
pub fn number(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().expect("a number")
}

/// A state in which so many daemons have joined.
pub fn fleet_of(daemons: usize) -> State {
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

/// One daemon.
#[derive(Default)]
pub struct Follower {
    pub incarnation: u64,
    pub applied: u64,
    pub lease_until: u64,
    /// When it sent the request that waits for an answer.
    pub asked_at: Option<u64>,
    /// The revision that the last answer named.
    wanted: u64,
    copy: Option<Copy>,
}

/// Daemons, and what they were sent.
pub struct Followers {
    pub all: Vec<Follower>,
    pub bytes: usize,
    /// The copy that was last decoded, and its revision: many daemons are sent the same one.
    decoded: (Vec<u8>, u64),
}

impl Followers {
    /// Daemons that have applied `revision`, with this incarnation.
    pub fn new(count: usize, incarnation: u64, applied: u64) -> Followers {
        let follower = || Follower { incarnation, applied, ..Follower::default() };
        let all = (0..count).map(|_| follower()).collect();
        Followers { all, bytes: 0, decoded: (Vec::new(), 0) }
    }

    /// The request that a daemon sends now; `None` while it waits for an answer.
    pub fn ask(&mut self, number: usize, now: u64) -> Option<LeaseRequest> {
        let follower = &mut self.all[number];
        if follower.asked_at.is_some() {
            return None;
        }
        follower.asked_at = Some(now);
        Some(LeaseRequest {
            daemon: daemon(number),
            incarnation: follower.incarnation,
            applied_revision: follower.applied,
            in_force_revision: 0,
            wants_commands: true,
            leaving: false,
            at_once: now >= follower.lease_until,
            in_flight: 0,
            stamp: Default::default(),
        })
    }

    /// Takes the answer to a daemon's request; false if it was sent elsewhere.
    pub fn take_answer(&mut self, number: usize, now: u64, answer: LeaseAnswer) -> bool {
        let LeaseAnswer::Granted { revision, content, .. } = answer else { return false };
        self.all[number].wanted = revision;
        match content {
            LeaseContent::Commands { commands, through } => {
                self.bytes += commands.iter().map(|kept| kept.command.len()).sum::<usize>();
                self.apply(number, through);
            }
            LeaseContent::Snapshot(state) => {
                self.bytes += state.len();
                let revision = self.revision_of(state);
                self.apply(number, revision);
            }
            LeaseContent::Fetch { from } => {
                let from = (0..self.all.len()).find(|number| peer(*number) == from).expect("a daemon");
                self.all[number].copy = Some(Copy { from, arrives_at: now + COPY_MS });
            }
        }
        true
    }

    /// Copies from other daemons that have arrived by now.
    pub fn take_copies(&mut self, now: u64) {
        for number in 0..self.all.len() {
            let arrived = self.all[number].copy.take_if(|copy| now >= copy.arrives_at);
            if let Some(copy) = arrived {
                self.apply(number, self.all[copy.from].applied);
            }
        }
    }

    /// Daemons that hold no lease.
    pub fn without_lease(&self, now: u64) -> usize {
        self.all.iter().filter(|follower| now >= follower.lease_until).count()
    }

    fn revision_of(&mut self, state: Vec<u8>) -> u64 {
        if self.decoded.0 != state {
            let decoded = State::decode(&decompress(&state).expect("compressed")).expect("a state");
            self.decoded = (state, decoded.tables.revision);
        }
        self.decoded.1
    }

    /// A lease holds only with a state that is as new as the answer.
    fn apply(&mut self, number: usize, revision: u64) {
        let follower = &mut self.all[number];
        follower.applied = follower.applied.max(revision);
        let Some(asked_at) = follower.asked_at.take() else { return };
        if follower.applied >= follower.wanted {
            follower.lease_until = follower.lease_until.max(asked_at + LEASE_MS);
        }
    }
}
