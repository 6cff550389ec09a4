//! Decides by which path a daemon connects to a server: directly, or by a tunnel through another daemon while
//! the direct path is cut.
//!
//! The cases are told apart by what the other daemons find: if another daemon reaches a server that this one
//! does not, the path is cut, and otherwise the server is gone. A daemon that in this way has found several
//! servers behind a cut, and no server that it reaches, is cut off from all of them.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval at which a cut path is checked while the server is in use: the daemon returns to it within a
/// second.
const CHECK_INTERVAL_MS: Millis = 400;
/// Number of servers behind a cut from which on a daemon that reaches no other server considers itself cut off
/// from all.
const CUT_OFF_SERVERS: usize = 2;
/// How long no tunnel to a server is tried after other daemons have not reached it either.
const UNREACHABLE_MS: Millis = 500;
/// A daemon that has connected to any server within this time is not cut off from all.
const CONNECTED_WITHIN_MS: Millis = 1_000;
/// A server that was not used for this long is removed.
const RETENTION_MS: Millis = 60_000;

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathPlan {
    /// Directly, and by a tunnel if that fails.
    Direct,
    /// By a tunnel, and directly if no other daemon reaches the server.
    Tunnel {
        /// Whether the direct path is to be checked meanwhile.
        check_direct: bool,
    },
}

/// Change of whether this daemon considers itself cut off from all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffChange {
    /// It is cut off now.
    CutOff,
    /// It reaches a server again.
    Restored,
}

/// What is known of the path to one server.
#[derive(Clone, Copy, Debug, Default)]
struct KnownPath {
    is_cut: bool,
    /// When a direct connection was last established, if that ended a cut.
    connected_at: Option<Millis>,
    next_check_at: Millis,
    unreachable_until: Millis,
    used_at: Millis,
}

/// What one daemon knows of its paths to servers.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    paths: BTreeMap<SocketAddr, KnownPath>,
    /// When a direct connection was last established to any server.
    connected_at: Option<Millis>,
    is_cut_off: bool,
    next_check_at: Millis,
}

impl ServerPaths {
    /// How to connect to a server now. If the plan contains a check, the caller must make it.
    pub fn plan(&mut self, now: Millis, server: SocketAddr) -> PathPlan {
        let is_cut_off = self.is_cut_off;
        let known = self.paths.get_mut(&server).filter(|known| known.is_cut);
        let next_check_at = match known {
            Some(known) => {
                known.used_at = now;
                &mut known.next_check_at
            }
            None if is_cut_off => &mut self.next_check_at,
            None => return PathPlan::Direct,
        };
        let check_direct = now >= *next_check_at;
        if check_direct {
            *next_check_at = now + CHECK_INTERVAL_MS;
        }
        PathPlan::Tunnel { check_direct }
    }

    /// Whether the direct path to a server is known to be cut.
    pub fn is_cut(&self, server: SocketAddr) -> bool {
        self.is_cut_off || self.paths.get(&server).is_some_and(|known| known.is_cut)
    }

    /// Whether this daemon considers itself cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether this daemon has recently reached any server directly.
    pub fn reaches_servers(&self, now: Millis) -> bool {
        self.connected_at.is_some_and(|at| now < at + CONNECTED_WITHIN_MS)
    }

    /// Whether a tunnel to a server may be tried.
    pub fn may_tunnel(&self, now: Millis, server: SocketAddr) -> bool {
        self.paths.get(&server).is_none_or(|known| now >= known.unreachable_until)
    }

    /// Records that a direct connection to a server was established.
    pub fn connected(&mut self, now: Millis, server: SocketAddr) -> Option<CutOffChange> {
        self.connected_at = Some(now);
        let was_cut_off = std::mem::take(&mut self.is_cut_off);
        if self.paths.contains_key(&server) || was_cut_off {
            let known = KnownPath { connected_at: Some(now), used_at: now, ..KnownPath::default() };
            self.paths.insert(server, known);
        }
        if !was_cut_off {
            return None;
        }
        // The other paths are probably restored, too.
        self.paths.values_mut().for_each(|known| known.next_check_at = now);
        Some(CutOffChange::Restored)
    }

    /// Records that another daemon reached a server that this one did not reach. `begun_at` is when that daemon was
    /// asked; it says nothing about the direct path if a connection over that was established since.
    pub fn tunnelled(&mut self, now: Millis, begun_at: Millis, server: SocketAddr) -> Option<CutOffChange> {
        self.paths.retain(|_, known| now < known.used_at + RETENTION_MS);
        let known = self.paths.entry(server).or_default();
        if known.connected_at.is_some_and(|connected_at| begun_at <= connected_at) {
            return None;
        }
        if !known.is_cut {
            known.next_check_at = now + CHECK_INTERVAL_MS;
        }
        *known = KnownPath { is_cut: true, unreachable_until: 0, used_at: now, ..*known };
        let cut_servers = self.paths.values().filter(|known| known.is_cut).count();
        if self.is_cut_off || cut_servers < CUT_OFF_SERVERS || self.reaches_servers(now) {
            return None;
        }
        self.is_cut_off = true;
        self.next_check_at = now + CHECK_INTERVAL_MS;
        Some(CutOffChange::CutOff)
    }

    /// Records that neither this daemon nor another one reached a server.
    pub fn unreachable(&mut self, now: Millis, server: SocketAddr) {
        self.paths.retain(|_, known| now < known.used_at + RETENTION_MS);
        let known = self.paths.entry(server).or_default();
        *known = KnownPath { is_cut: false, unreachable_until: now + UNREACHABLE_MS, used_at: now, ..*known };
    }
}
