//! Selects the daemons to call in the search for the control leader.

use crate::shared::Shared;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Number of consecutive redirects to daemons that are not the leader, after which the members are called in turn
/// again: otherwise two daemons with outdated information could redirect to each other forever.
const MAX_CONSECUTIVE_REDIRECTS: u32 = 3;

/// Search for the leader: selects a newly announced leader, else the last known leader, else the members in turn.
pub struct LeaderSearch {
    hint: Option<SocketAddr>,
    position: usize,
    redirects: u32,
    announcements: watch::Receiver<u64>,
}

impl LeaderSearch {
    /// Begins with the last known leader.
    pub fn new(shared: &Shared) -> Self {
        LeaderSearch {
            hint: shared.leader(),
            position: shared.incarnation as usize,
            redirects: 0,
            announcements: shared.known_leader.watch(),
        }
    }

    /// Returns the daemon to call next.
    pub fn next(&mut self, shared: &Shared) -> SocketAddr {
        if let Some(leader) = self.take_announced_leader(shared) {
            return leader;
        }
        if let Some(hint) = self.hint.take() {
            return hint;
        }
        self.redirects = 0;
        let addresses = shared.control_addresses();
        let peers = &addresses.peers;
        self.position += 1;
        peers.get(self.position % peers.len().max(1)).copied().unwrap_or(shared.settings.peer)
    }

    /// Returns the leader if one was announced since the last call.
    pub fn take_announced_leader(&mut self, shared: &Shared) -> Option<SocketAddr> {
        let has_announcement = self.announcements.has_changed().unwrap_or(false);
        if !has_announcement {
            return None;
        }
        self.announcements.mark_unchanged();
        self.redirects = 0;
        shared.leader()
    }

    /// Records that a daemon responded as the leader.
    pub fn record_leader(&mut self, leader: SocketAddr) {
        self.redirects = 0;
        self.hint = Some(leader);
    }

    /// Records that `asked` is not the leader, and which daemon it named as the leader.
    pub fn record_redirect(&mut self, asked: SocketAddr, named: Option<SocketAddr>) {
        let named = named.filter(|named| *named != asked && self.redirects < MAX_CONSECUTIVE_REDIRECTS);
        self.redirects += u32::from(named.is_some());
        self.hint = named;
    }

    /// Records that the daemon did not respond.
    pub fn record_failure(&mut self) {
        self.hint = None;
    }

    /// Returns whether a likely leader is known, so that the next call needs no pause.
    pub fn has_hint(&self) -> bool {
        self.hint.is_some() || self.announcements.has_changed().unwrap_or(false)
    }
}
