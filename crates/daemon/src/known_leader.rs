//! The control leader as this daemon last heard of it: by a lease, by its own consensus group, or by the leader itself.

use crate::lock::lock;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// How long a daemon that is no voter tells others of a leader, in milliseconds, after it last heard of it: a lease is
/// renewed several times in this span. Later it may name one that is gone, and send others there in vain.
const NAMED_FOR_MS: u64 = 3_000;

/// What is known of the leader.
#[derive(Debug)]
pub struct KnownLeader {
    heard: Mutex<Heard>,
    /// Counts the times that a leader was heard of which nobody here had asked.
    news: watch::Sender<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    /// Whom to ask first: the leader, or a daemon that passes calls on to it.
    ask_first: Option<SocketAddr>,
    leader: Option<Leader>,
    /// The highest term of any leader heard of.
    term: u64,
}

#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    heard_at: u64,
    /// By its own word or its group's; a lease may have been granted through another daemon.
    is_certain: bool,
}

impl Default for KnownLeader {
    fn default() -> Self {
        KnownLeader { heard: Mutex::default(), news: watch::channel(0).0 }
    }
}

impl KnownLeader {
    fn heard(&self) -> MutexGuard<'_, Heard> {
        lock(&self.heard)
    }

    /// Whom to ask first.
    pub fn ask_first(&self) -> Option<SocketAddr> {
        self.heard().ask_first
    }

    /// Notes whom to ask first.
    pub fn set_ask_first(&self, address: SocketAddr) {
        self.heard().ask_first = Some(address);
    }

    /// The leader's own address, if it was ever heard of.
    pub fn address(&self) -> Option<SocketAddr> {
        self.heard().leader.map(|leader| leader.address)
    }

    /// The leader's own address, if it was heard of lately enough to send others there.
    pub fn address_for_others(&self, now: u64) -> Option<SocketAddr> {
        let leader = self.heard().leader?;
        (now < leader.heard_at + NAMED_FOR_MS).then_some(leader.address)
    }

    /// A daemon that was asked as the leader granted a lease.
    pub fn granted(&self, now: u64, address: SocketAddr, term: u64) {
        let mut heard = self.heard();
        heard.ask_first = Some(address);
        if term < heard.term {
            return;
        }
        let certain = heard.leader.filter(|leader| leader.is_certain && term == heard.term);
        let leader = certain.unwrap_or(Leader { address, heard_at: now, is_certain: false });
        heard.leader = Some(Leader { heard_at: now, ..leader });
        heard.term = term;
    }

    /// This daemon's own group elected a leader.
    pub fn elected(&self, now: u64, address: SocketAddr, term: u64) -> bool {
        let mut heard = self.heard();
        if term < heard.term {
            return false;
        }
        heard.term = term;
        heard.ask_first = Some(address);
        heard.leader = Some(Leader { address, heard_at: now, is_certain: true });
        true
    }

    /// A leader told this daemon that it leads. False if a later one is known; nothing changes then.
    pub fn announced(&self, now: u64, address: SocketAddr, term: u64) -> bool {
        let is_news = self.elected(now, address, term);
        if is_news {
            self.tell();
        }
        is_news
    }

    fn tell(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Follows news of a leader.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }
}
