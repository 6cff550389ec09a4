//! Selects the daemons that pass snapshots on to others. Large content for hundreds of daemons, such as a new
//! configuration with a thousand routes, would saturate the leader's link for seconds. So the leader sends it
//! to a few daemons and refers the others to these, and the number of sources grows exponentially.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::leases::LeaseTable;
use dockwood_state::Liveness;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Number of daemons that one source serves at a time.
const DAEMONS_PER_SOURCE: usize = 2;
/// Time in which a source serves these: two snapshots of 150 KB over a 20 Mbit/s link take 120 ms.
const SOURCE_BUSY_MS: Millis = 200;

/// When each source was last assigned.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotSources {
    assigned_at: HashMap<SocketAddr, Millis>,
}

/// Sources that can be assigned now; each is listed once per daemon that it can serve.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourcePool {
    by_zone: BTreeMap<String, Vec<SocketAddr>>,
}

impl SnapshotSources {
    /// Returns the live daemons that are not serving a snapshot already and whose missing commands, if any,
    /// are cheap to send. The newest revision is not required: while the state changes, hardly any daemon has
    /// it.
    pub fn pool<R>(&mut self, now: Millis, board: &Blackboard, leases: &LeaseTable<R>) -> SourcePool {
        self.assigned_at.retain(|_, assigned_at| now < *assigned_at + SOURCE_BUSY_MS);
        let mut pool = SourcePool::default();
        let revision = board.commands().cheap_after();
        for (name, daemon) in &board.tables().daemons {
            let holds_state = leases.holds(now, name, revision);
            let peer = daemon.record.peer;
            if !holds_state || daemon.liveness != Liveness::Live || self.assigned_at.contains_key(&peer) {
                continue;
            }
            let sources = pool.by_zone.entry(daemon.record.zone.clone()).or_default();
            sources.extend([peer; DAEMONS_PER_SOURCE]);
        }
        pool
    }

    /// Assigns a source to a daemon, preferably one in its zone.
    pub fn assign(&mut self, now: Millis, pool: &mut SourcePool, zone: &str) -> Option<SocketAddr> {
        let near = pool.by_zone.get_mut(zone).and_then(Vec::pop);
        let source = near.or_else(|| pool.by_zone.values_mut().find_map(Vec::pop))?;
        self.assigned_at.insert(source, now);
        Some(source)
    }
}
