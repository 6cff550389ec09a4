//! Daemons of a large fleet as seen by the control group: their requests, and their state after an answer.

use super::record;
use dockwood_api::peer::{DaemonRecord, LeaseAnswer, LeaseContent, LeaseRequest};
use dockwood_control::{LEASE_MS, decompress};
use dockwood_state::{Command, CommandBody, State};
use std::net::SocketAddr;

/// Time for transferring a snapshot between two daemons, in milliseconds.
const TRANSFER_MS: u64 = 120;

/// The peer address of a daemon.
pub fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number / 200) as u8, (number % 200) as u8 + 1], 7_340))
}

fn daemon(number: usize) -> DaemonRecord {
    DaemonRecord { peer: peer(number), ..record(&name(number)) }
}

/// The name of the daemon with this number.
pub fn name(number: usize) -> String {
    format!("entry-{number:04}")
}

/// The number of the daemon with this name.
pub fn number(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().expect("the name ends with a number")
}

/// A state in which this many daemons have joined.
pub fn state_with_daemons(daemons: usize) -> State {
    let mut state = State::default();
    for number in 0..daemons {
        let body = CommandBody::JoinDaemon { record: daemon(number), incarnation: 1 };
        state.apply(&Command { at_ms: 1, body });
    }
    state
}

/// A snapshot in transfer from another daemon.
struct Transfer {
    from: usize,
    arrives_at: u64,
}

/// One daemon.
#[derive(Default)]
pub struct Follower {
    pub incarnation: u64,
    pub applied: u64,
    pub lease_until: u64,
    /// When it sent its unanswered request.
    pub asked_at: Option<u64>,
    /// The revision named by the latest answer.
    required_revision: u64,
    transfer: Option<Transfer>,
}

/// Daemons, and the number of bytes sent to them.
pub struct Followers {
    pub all: Vec<Follower>,
    pub bytes: usize,
    /// The snapshot that was decoded last, and its revision: many daemons are sent the same one.
    decoded: (Vec<u8>, u64),
}

impl Followers {
    /// Daemons that have applied `applied`, with this incarnation.
    pub fn new(count: usize, incarnation: u64, applied: u64) -> Followers {
        let follower = || Follower { incarnation, applied, ..Follower::default() };
        let all = (0..count).map(|_| follower()).collect();
        Followers { all, bytes: 0, decoded: (Vec::new(), 0) }
    }

    /// The request that a daemon sends now; `None` while one is unanswered.
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

    /// Handles the answer to a daemon's request; false if it was redirected.
    pub fn handle_answer(&mut self, number: usize, now: u64, answer: LeaseAnswer) -> bool {
        let LeaseAnswer::Granted { revision, content, .. } = answer else { return false };
        self.all[number].required_revision = revision;
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
                let from = (0..self.all.len())
                    .find(|number| peer(*number) == from)
                    .expect("the source is a daemon of the fleet");
                self.all[number].transfer = Some(Transfer { from, arrives_at: now + TRANSFER_MS });
            }
        }
        true
    }

    /// Applies the snapshots whose transfer is complete.
    pub fn finish_transfers(&mut self, now: u64) {
        for number in 0..self.all.len() {
            let arrived = self.all[number].transfer.take_if(|transfer| now >= transfer.arrives_at);
            if let Some(transfer) = arrived {
                self.apply(number, self.all[transfer.from].applied);
            }
        }
    }

    /// Number of daemons without a valid lease.
    pub fn without_lease(&self, now: u64) -> usize {
        self.all.iter().filter(|follower| now >= follower.lease_until).count()
    }

    fn revision_of(&mut self, state: Vec<u8>) -> u64 {
        if self.decoded.0 != state {
            let decoded = State::decode(&decompress(&state).expect("the snapshot decompresses"))
                .expect("the snapshot decodes");
            self.decoded = (state, decoded.tables.revision);
        }
        self.decoded.1
    }

    /// A lease is valid only with a state that is at least as new as the answer.
    fn apply(&mut self, number: usize, revision: u64) {
        let follower = &mut self.all[number];
        follower.applied = follower.applied.max(revision);
        let Some(asked_at) = follower.asked_at.take() else { return };
        if follower.applied >= follower.required_revision {
            follower.lease_until = follower.lease_until.max(asked_at + LEASE_MS);
        }
    }
}
