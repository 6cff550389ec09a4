//! All daemons of a large fleet start again at once and know nothing, while the state goes on changing.

mod common;

use common::fleet::{Followers, fleet_of, name, number};
use common::leader::{Leader, TICK_MS};
use common::plain_server_changes;
use dockwood_control::Input;
use dockwood_state::{DaemonRow, Liveness};
use std::sync::Arc;

/// Time between two changes of the state that all daemons need, in milliseconds.
const CHANGE_EVERY_MS: u64 = 60;
/// Within this time all daemons must hold their leases: a fraction of the 18 seconds after which callers must be served.
const RETURN_MS: u64 = 4_000;
/// Commands that the leader may commit on account of the daemons, however many there are.
const MOST_COMMANDS: u64 = 40;

struct Fleet {
    leader: Leader,
    followers: Followers,
    changes: u64,
}

impl Fleet {
    fn started_again(daemons: usize) -> Fleet {
        let leader = Leader::elected_over(fleet_of(daemons));
        Fleet { leader, followers: Followers::new(daemons, 2, 0), changes: 0 }
    }

    fn pass(&mut self) {
        let now = self.leader.now;
        for number in 0..self.followers.all.len() {
            if let Some(request) = self.followers.ask(number, now) {
                self.leader.take(Input::Lease(request, name(number)));
            }
        }
        if now.is_multiple_of(CHANGE_EVERY_MS) {
            self.changes += 1;
            let command = plain_server_changes(now, self.changes);
            self.leader.take(Input::Submit(vec![(command, "server".to_string())]));
        }
        self.leader.pass(TICK_MS);
        let now = self.leader.now;
        for (name, answer) in self.leader.take_answers() {
            assert!(self.followers.take_answer(number(&name), now, answer), "it leads");
        }
        self.followers.take_copies(now);
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
        match fleet.followers.without_lease(fleet.leader.now) {
            0 => {
                since.get_or_insert(fleet.leader.now - begun);
            }
            _ => since = None,
        }
    }
    let missing = fleet.followers.without_lease(fleet.leader.now);
    let commands = fleet.daemon_commands(before);
    let bytes = fleet.followers.bytes;
    let figures = format!("{missing} of {daemons} without a lease, {commands} commands, {bytes} bytes");
    assert!(since.is_some_and(|since| since <= RETURN_MS), "all hold leases since {since:?}: {figures}");
    assert!(commands <= MOST_COMMANDS, "{figures}");
    let live = |state: &&Arc<DaemonRow>| state.liveness == Liveness::Live;
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
