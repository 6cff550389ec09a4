//! The control leader as last known to this daemon: from a lease, from its own consensus group, or from an announcement.

use crate::lock::lock;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// Time after the last contact for which a daemon that is not a voter refers others to the leader, in milliseconds. A lease
/// is renewed several times within it; later, the leader may have been replaced, and the referral would be useless.
const REFERRAL_LIMIT_MS: u64 = 3_000;

/// Tracks what this daemon knows about the control leader.
#[derive(Debug)]
pub struct KnownLeader {
    state: Mutex<State>,
    /// Number of unsolicited announcements of a leader.
    announcements: watch::Sender<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Target of the next call to the leader: the leader itself, or a daemon that relays calls to it.
    ask_first: Option<SocketAddr>,
    leader: Option<Leader>,
    /// The highest known term of a leader.
    term: u64,
}

#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    last_contact: u64,
    /// Whether the address comes from the leader itself or from its group. A lease may have been granted through another
    /// daemon.
    is_certain: bool,
}

impl Default for KnownLeader {
    fn default() -> Self {
        KnownLeader { state: Mutex::default(), announcements: watch::channel(0).0 }
    }
}

impl KnownLeader {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the target of the next call to the leader.
    pub fn ask_first(&self) -> Option<SocketAddr> {
        self.state().ask_first
    }

    /// Sets the target of the next call to the leader.
    pub fn set_ask_first(&self, address: SocketAddr) {
        self.state().ask_first = Some(address);
    }

    /// Returns the leader's own address, if it was ever known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.state().leader.map(|leader| leader.address)
    }

    /// Returns the leader's own address, if the last contact is recent enough to refer others to it.
    pub fn address_for_others(&self, now: u64) -> Option<SocketAddr> {
        let leader = self.state().leader?;
        (now < leader.last_contact + REFERRAL_LIMIT_MS).then_some(leader.address)
    }

    /// Records that `address`, called as the leader, granted a lease.
    pub fn granted(&self, now: u64, address: SocketAddr, term: u64) {
        let mut state = self.state();
        state.ask_first = Some(address);
        if term < state.term {
            return;
        }
        let certain = state.leader.filter(|leader| leader.is_certain && term == state.term);
        let leader = certain.unwrap_or(Leader { address, last_contact: now, is_certain: false });
        state.leader = Some(Leader { last_contact: now, ..leader });
        state.term = term;
    }

    /// Records the leader elected by this daemon's own group. Returns false, without any change, if a leader of a later term
    /// is known.
    pub fn elected(&self, now: u64, address: SocketAddr, term: u64) -> bool {
        let mut state = self.state();
        if term < state.term {
            return false;
        }
        state.term = term;
        state.ask_first = Some(address);
        state.leader = Some(Leader { address, last_contact: now, is_certain: true });
        true
    }

    /// Records a leader that announced itself. Returns false, without any change, if a leader of a later term is known.
    pub fn announced(&self, now: u64, address: SocketAddr, term: u64) -> bool {
        let is_accepted = self.elected(now, address, term);
        if is_accepted {
            self.notify();
        }
        is_accepted
    }

    fn notify(&self) {
        self.announcements.send_modify(|count| *count += 1);
    }

    /// Subscribes to announcements of a leader.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }
}
