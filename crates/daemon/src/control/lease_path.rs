//! Selects the daemon that a lease request is sent to: the leader, or another daemon that relays the request while no
//! member of the control group can be reached.

use crate::clock::monotonic_ms;
use crate::peer::{LeaderSearch, pick_relay};
use crate::shared::Shared;
use std::net::SocketAddr;

/// Time since the last grant after which a relay is used, in milliseconds: longer than the time limit of one request, and
/// short enough to renew the lease before the leader considers this daemon silent.
const RELAY_AFTER_MS: u64 = 700;
/// Time between two attempts to reach the leader directly while a relay is in use, in milliseconds.
const DIRECT_INTERVAL_MS: u64 = 2_000;

/// Time for which a voter that failed to grant the lease is avoided, in milliseconds, even if the leader recommends it: a
/// network partition may separate it from this daemon only.
const AVOIDED_FOR_MS: u64 = 5_000;

/// The current path to the leader.
pub struct LeasePath {
    targets: LeaderSearch,
    /// The daemon that relayed the last granted request.
    relay: Option<SocketAddr>,
    granted_at: u64,
    /// Time of the next attempt to reach the leader directly.
    direct_at: u64,
    asked_directly: bool,
    /// The member that last failed to grant the lease, and until when recommendations of it are ignored.
    avoided: Option<(SocketAddr, u64)>,
}

impl LeasePath {
    /// Creates a path that starts with the last known leader.
    pub fn new(shared: &Shared) -> Self {
        let now = monotonic_ms();
        LeasePath {
            targets: LeaderSearch::new(shared),
            relay: None,
            granted_at: now,
            direct_at: now,
            asked_directly: true,
            avoided: None,
        }
    }

    /// Returns the target of the next request.
    pub fn next(&mut self, shared: &Shared) -> SocketAddr {
        let now = monotonic_ms();
        if let Some(leader) = self.targets.take_announced_leader(shared) {
            self.relay = None;
            self.asked_directly = true;
            return leader;
        }
        let is_overdue = now >= self.granted_at + RELAY_AFTER_MS;
        let wants_relay = match self.relay {
            Some(_) => now < self.direct_at,
            // Alternates between a relay and the members, as any member may be the next leader.
            None => is_overdue && self.asked_directly && !shared.settings.is_control_member(),
        };
        let relay = wants_relay.then(|| self.relay.or_else(|| pick_relay(shared))).flatten();
        self.asked_directly = relay.is_none();
        match relay {
            Some(relay) => relay,
            None => {
                self.direct_at = now + DIRECT_INTERVAL_MS;
                self.targets.next(shared)
            }
        }
    }

    /// Records that the lease was granted by `target` or relayed by it; `ask_next` is the voter that the leader recommends
    /// for the next requests.
    pub fn granted(&mut self, target: SocketAddr, ask_next: Option<SocketAddr>) {
        let now = monotonic_ms();
        self.granted_at = now;
        if self.asked_directly {
            self.relay = None;
            let is_avoided = |voter: &SocketAddr| {
                self.avoided.is_some_and(|(avoided, until)| avoided == *voter && now < until)
            };
            self.targets.record_leader(ask_next.filter(|voter| !is_avoided(voter)).unwrap_or(target));
        } else {
            self.relay = Some(target);
        }
    }

    /// Returns whether the last request was sent directly to the presumed leader and not to a relay.
    pub fn asked_directly(&self) -> bool {
        self.asked_directly
    }

    /// Records that `target` does not lead, and the leader that it named, if any.
    pub fn refused(&mut self, target: SocketAddr, leader: Option<SocketAddr>) {
        if self.asked_directly {
            // If there is no leader, `target` is not avoided: it can grant the lease again once one is elected.
            if leader.is_some() {
                self.avoid(target);
            }
            self.targets.record_redirect(target, leader);
        } else {
            self.relay = None;
        }
    }

    /// Records that `target` did not answer.
    pub fn failed(&mut self, target: SocketAddr) {
        if self.asked_directly {
            self.avoid(target);
            self.targets.record_failure();
        } else {
            self.relay = None;
        }
    }

    fn avoid(&mut self, member: SocketAddr) {
        self.avoided = Some((member, monotonic_ms() + AVOIDED_FOR_MS));
    }
}
