//! Whom to ask for the control leader.

use crate::shared::Shared;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Daemons that were named one after the other, and none of which led, before all members are asked in turn again: two
/// that know an old leader each may name one another for ever.
const FOLLOWED_IN_A_ROW: u32 = 3;

/// Whom to ask: a leader that has made itself known, else the one that was last heard of, else the members in turn.
pub struct Targets {
    hint: Option<SocketAddr>,
    position: usize,
    followed: u32,
    news: watch::Receiver<u64>,
}

impl Targets {
    /// Targets that begin with the leader that was last heard of.
    pub fn new(shared: &Shared) -> Self {
        Targets {
            hint: shared.leader(),
            position: shared.incarnation as usize,
            followed: 0,
            news: shared.known_leader.watch(),
        }
    }

    /// Whom to ask next.
    pub fn next(&mut self, shared: &Shared) -> SocketAddr {
        if let Some(leader) = self.take_news(shared) {
            return leader;
        }
        if let Some(hint) = self.hint.take() {
            return hint;
        }
        self.followed = 0;
        let addresses = shared.control_addresses();
        let peers = &addresses.peers;
        self.position += 1;
        peers.get(self.position % peers.len().max(1)).copied().unwrap_or(shared.settings.peer)
    }

    /// The leader that has been heard of since this was last asked.
    pub fn take_news(&mut self, shared: &Shared) -> Option<SocketAddr> {
        let has_news = self.news.has_changed().unwrap_or(false);
        if !has_news {
            return None;
        }
        self.news.mark_unchanged();
        self.followed = 0;
        shared.leader()
    }

    /// Notes a daemon that answered as the leader.
    pub fn answered(&mut self, leader: SocketAddr) {
        self.followed = 0;
        self.hint = Some(leader);
    }

    /// Notes that `asked` doesn't lead, and whom it named as the leader.
    pub fn refused(&mut self, asked: SocketAddr, named: Option<SocketAddr>) {
        let named = named.filter(|named| *named != asked && self.followed < FOLLOWED_IN_A_ROW);
        self.followed += u32::from(named.is_some());
        self.hint = named;
    }

    /// Notes that nobody answered.
    pub fn failed(&mut self) {
        self.hint = None;
    }

    /// Whether somebody is known to ask, so that there is no need to wait.
    pub fn has_hint(&self) -> bool {
        self.hint.is_some() || self.news.has_changed().unwrap_or(false)
    }
}
