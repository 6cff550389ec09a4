//! All daemons of a large fleet restart at once without any state, while the state keeps changing.

mod common;

use common::fleet::{Followers, name, number, state_with_daemons};
use common::leader::{Leader, TICK_MS};
use common::server_report_command;
use dockwood_control::Input;
use dockwood_state::{DaemonRow, Liveness};
use std::sync::Arc;

/// Interval between two changes that are relevant to all daemons, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 60;
/// Maximum time until all daemons hold leases: a fraction of the 18 s after which clients must be served.
const RECOVERY_MS: u64 = 4_000;
/// Maximum number of commands that the leader commits for changes of daemons, however many there are.
const MAX_COMMANDS: u64 = 40;

struct Fleet {
    leader: Leader,
    followers: Followers,
    changes: u64,
}

impl Fleet {
    fn restarted(daemons: usize) -> Fleet {
        let leader = Leader::elected_with_state(state_with_daemons(daemons));
        Fleet { leader, followers: Followers::new(daemons, 2, 0), changes: 0 }
    }

    fn advance(&mut self) {
        let now = self.leader.now;
        for number in 0..self.followers.all.len() {
            if let Some(request) = self.followers.ask(number, now) {
                self.leader.handle_input(Input::Lease(request, name(number)));
            }
        }
        if now.is_multiple_of(CHANGE_INTERVAL_MS) {
            self.changes += 1;
            let command = server_report_command(now, self.changes);
            self.leader.handle_input(Input::Submit(vec![(command, "server".to_string())]));
        }
        self.leader.advance(TICK_MS);
        let now = self.leader.now;
        for (name, answer) in self.leader.take_answers() {
            assert!(
                self.followers.handle_answer(number(&name), now, answer),
                "the leader redirected a daemon"
            );
        }
        self.followers.finish_transfers(now);
    }

    /// Number of commands committed for changes of daemons.
    fn daemon_commands(&self, before: u64) -> u64 {
        self.leader.node.tables().revision - before - self.changes
    }
}

/// Regression (a thousand entries): each restart and each late daemon was a command of its own, which each
/// daemon had to apply before its lease was valid; that delayed them further and caused more commands.
fn assert_recovery(daemons: usize) {
    let mut fleet = Fleet::restarted(daemons);
    let (start, before) = (fleet.leader.now, fleet.leader.node.tables().revision);
    let mut since = None;
    while fleet.leader.now < start + 2 * RECOVERY_MS {
        fleet.advance();
        match fleet.followers.without_lease(fleet.leader.now) {
            0 => {
                since.get_or_insert(fleet.leader.now - start);
            }
            _ => since = None,
        }
    }
    let missing = fleet.followers.without_lease(fleet.leader.now);
    let commands = fleet.daemon_commands(before);
    let bytes = fleet.followers.bytes;
    let figures = format!("{missing} of {daemons} without a lease, {commands} commands, {bytes} bytes");
    assert!(
        since.is_some_and(|since| since <= RECOVERY_MS),
        "all daemons hold leases after {since:?} ms: {figures}"
    );
    assert!(commands <= MAX_COMMANDS, "{figures}");
    let live = |state: &&Arc<DaemonRow>| state.liveness == Liveness::Live;
    assert_eq!(fleet.leader.node.tables().daemons.values().filter(live).count(), daemons, "{figures}");
}

#[test]
fn a_thousand_restarted_daemons_recover_within_seconds() {
    assert_recovery(1_000);
}

#[test]
fn two_thousand_restarted_daemons_recover_within_seconds() {
    assert_recovery(2_000);
}
