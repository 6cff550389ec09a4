//! Turns that this daemon used for a server without the daemon that allocates the server's rate: granted by a stand-in
//! for it, or by this daemon itself. They are reported to the allocating daemon, which then grants as many fewer, so that
//! the total rate is kept although it could not be reached for a moment.

use super::turns::COUNT_WINDOW_MS;
use crate::Millis;
use dockwood_api::gateway::{ServerStart, TurnsElsewhere};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of servers in the table.
const MAX_SERVERS: usize = 4_096;

/// A turn that has not been reported yet.
#[derive(Clone, Copy, Debug)]
struct UsedTurn {
    number: u64,
    /// The daemon that granted it; `None` if it was this one, as no other responded.
    granted_by: Option<SocketAddr>,
    used_at: Millis,
}

/// Turns used for one server, oldest first.
#[derive(Clone, Debug)]
struct ServerTurns {
    started_ms: Option<u64>,
    last_number: u64,
    unreported: VecDeque<UsedTurn>,
}

impl ServerTurns {
    /// Removes turns that share no window with those that are granted now.
    fn remove_old(&mut self, now: Millis) {
        while self.unreported.front().is_some_and(|turn| now >= turn.used_at + COUNT_WINDOW_MS) {
            self.unreported.pop_front();
        }
    }
}

/// Turns that were not granted by the daemon that allocates the rate of their server, by server id.
#[derive(Clone, Debug)]
pub struct StandInTurns {
    /// Identifies this run of the daemon.
    sender: u64,
    servers: BTreeMap<String, ServerTurns>,
    /// The highest number given to a turn for any server. Numbers are not reused for a server that was removed.
    last_number: u64,
}

impl StandInTurns {
    /// Creates an empty table; `sender` identifies this run of the daemon among all others.
    pub fn new(sender: u64) -> Self {
        StandInTurns { sender, servers: BTreeMap::new(), last_number: 0 }
    }

    /// Records that a turn was used that `granted_by`, or this daemon itself, granted.
    pub fn record(&mut self, now: Millis, server: &ServerStart, granted_by: Option<SocketAddr>) {
        if !self.servers.contains_key(&server.id) && self.servers.len() >= MAX_SERVERS {
            self.servers.pop_first();
        }
        let first = self.last_number;
        let new =
            || ServerTurns { started_ms: server.started_ms, last_number: first, unreported: VecDeque::new() };
        let turns = self.servers.entry(server.id.clone()).or_insert_with(new);
        if turns.started_ms != server.started_ms {
            *turns = new();
        }
        turns.remove_old(now);
        turns.last_number += 1;
        self.last_number = self.last_number.max(turns.last_number);
        turns.unreported.push_back(UsedTurn { number: turns.last_number, granted_by, used_at: now });
    }

    /// The turns to report to the daemon that allocates the server's rate, other than those that it granted itself.
    pub fn report(
        &mut self,
        now: Millis,
        server: &ServerStart,
        allocator: SocketAddr,
    ) -> Option<TurnsElsewhere> {
        let turns = self.servers.get_mut(&server.id).filter(|turns| turns.started_ms == server.started_ms)?;
        turns.remove_old(now);
        let mut others = turns.unreported.iter().filter(|turn| turn.granted_by != Some(allocator));
        let first = others.next()?.number;
        let last = others.next_back().map_or(first, |turn| turn.number);
        Some(TurnsElsewhere { sender: self.sender, after: first - 1, through: last })
    }

    /// Removes turns whose report was answered.
    pub fn acknowledge(&mut self, server: &ServerStart, reported: &TurnsElsewhere) {
        if let Some(turns) = self.servers.get_mut(&server.id) {
            turns.unreported.retain(|turn| turn.number > reported.through);
        }
    }

    /// Removes servers without recent turns.
    pub fn forget_old(&mut self, now: Millis) {
        self.servers.retain(|_, turns| {
            turns.remove_old(now);
            !turns.unreported.is_empty()
        });
    }
}
