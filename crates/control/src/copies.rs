//! Which daemons pass copies of the state on to others. What is large and goes to hundreds of daemons, such as a new
//! configuration with a thousand routes, would fill the leader's link for seconds: the leader sends it to a few, and names
//! these to the others, so that the number of those that have it multiplies.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::leases::LeaseTable;
use dockwood_state::Liveness;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Daemons that a source is named to at a time.
const COPIES_AT_A_TIME: usize = 2;
/// Time in which a source has passed these on: two copies of 150 KB over a link of 20 Mbit/s take 120 ms.
const COPY_MS: Millis = 200;

/// When each source was last named.
#[derive(Clone, Debug, Default)]
pub(crate) struct CopySources {
    named_at: HashMap<SocketAddr, Millis>,
}

/// Sources that may be named now: each stands as often as it may be named.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourcePool {
    by_zone: BTreeMap<String, Vec<SocketAddr>>,
}

impl CopySources {
    /// Daemons whose copy lacks no more than what is cheap to send, that are live, and that are not passing copies on
    /// already. The newest revision is not asked for: while the state changes, hardly any daemon would have it.
    pub fn pool<R>(&mut self, now: Millis, board: &Blackboard, leases: &LeaseTable<R>) -> SourcePool {
        self.named_at.retain(|_, named_at| now < *named_at + COPY_MS);
        let mut pool = SourcePool::default();
        let revision = board.commands().cheap_after();
        for (name, daemon) in &board.tables().daemons {
            let holds = leases.holds(now, name, revision);
            let peer = daemon.record.peer;
            if !holds || daemon.liveness != Liveness::Live || self.named_at.contains_key(&peer) {
                continue;
            }
            let sources = pool.by_zone.entry(daemon.record.zone.clone()).or_default();
            sources.extend([peer; COPIES_AT_A_TIME]);
        }
        pool
    }

    /// Names a source to a daemon of a zone, one of that zone if there is any.
    pub fn name(&mut self, now: Millis, pool: &mut SourcePool, zone: &str) -> Option<SocketAddr> {
        let near = pool.by_zone.get_mut(zone).and_then(Vec::pop);
        let source = near.or_else(|| pool.by_zone.values_mut().find_map(Vec::pop))?;
        self.named_at.insert(source, now);
        Some(source)
    }
}
