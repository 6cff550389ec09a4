//! Where a daemon asks for its lease: the leader, or another daemon that passes the request on while no member of the
//! control group can be reached.

use crate::clock::monotonic_ms;
use crate::peer::{LeaderSearch, pick_relay};
use crate::shared::Shared;
use std::net::SocketAddr;

/// Time since the last grant after which another daemon is asked, in milliseconds: longer than one request may take, and
/// short enough that the lease is renewed before the leader takes this daemon for silent.
const RELAY_AFTER_MS: u64 = 700;
/// Time between two attempts to reach the leader itself while another daemon passes requests on, in milliseconds.
const DIRECT_EVERY_MS: u64 = 2_000;

/// Time for which a voter that granted nothing is not asked again, in milliseconds, though the leader names it: the path to
/// it may be cut for this daemon alone.
const AVOIDED_FOR_MS: u64 = 5_000;

/// The path to the leader.
pub struct LeasePath {
    targets: LeaderSearch,
    /// The daemon that passed the last request on.
    relay: Option<SocketAddr>,
    granted_at: u64,
    /// When the leader itself is to be asked again.
    direct_at: u64,
    asked_directly: bool,
    /// The member that last granted nothing, and until when it is not asked on another one's word.
    avoided: Option<(SocketAddr, u64)>,
}

impl LeasePath {
    /// A path that begins with the last known leader.
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

    /// Whom to ask next.
    pub fn next(&mut self, shared: &Shared) -> SocketAddr {
        let now = monotonic_ms();
        if let Some(leader) = self.targets.take_announced_leader(shared) {
            self.relay = None;
            self.asked_directly = true;
            return leader;
        }
        let is_cut_off = now >= self.granted_at + RELAY_AFTER_MS;
        let wants_relay = match self.relay {
            Some(_) => now < self.direct_at,
            // In turns: the next leader may be any member.
            None => is_cut_off && self.asked_directly && !shared.settings.is_control_member(),
        };
        let relay = wants_relay.then(|| self.relay.or_else(|| pick_relay(shared))).flatten();
        self.asked_directly = relay.is_none();
        match relay {
            Some(relay) => relay,
            None => {
                self.direct_at = now + DIRECT_EVERY_MS;
                self.targets.next(shared)
            }
        }
    }

    /// The lease was granted by `target`, or through it; `ask_next` is the voter to ask from now on.
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

    /// Whether the last request went to the leader, or to a member as the leader.
    pub fn asked_directly(&self) -> bool {
        self.asked_directly
    }

    /// `target` doesn't lead, and names the leader if it knows it.
    pub fn refused(&mut self, target: SocketAddr, leader: Option<SocketAddr>) {
        if self.asked_directly {
            // Without a leader there is nobody to ask instead: it will grant again once there is one.
            if leader.is_some() {
                self.avoid(target);
            }
            self.targets.record_redirect(target, leader);
        } else {
            self.relay = None;
        }
    }

    /// `target` didn't answer.
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
