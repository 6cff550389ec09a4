//! Which daemons take the gateway's callers, and which of them can tell of servers that the control group can't reach.

use dockwood_state::{DaemonRow, Tables};
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

/// What follows from the daemons' rows, made anew only when one of them has changed: it is asked for with every report
/// and every request.
#[derive(Clone, Debug, Default)]
pub struct FromDaemons<T> {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    made: T,
}

impl<T> FromDaemons<T> {
    /// What follows from the rows of these tables. `T::default()` must be what follows from none.
    pub fn get(&mut self, tables: &Tables, make: impl FnOnce(&Tables) -> T) -> &mut T {
        if !self.daemons.ptr_eq(&tables.daemons) {
            self.made = make(tables);
            self.daemons = tables.daemons.clone();
        }
        &mut self.made
    }
}

/// The entries among the daemons.
#[derive(Clone, Debug, Default)]
pub struct EntryCensus {
    /// All entries, whether or not they were heard lately.
    pub entries: u32,
    /// Entries that callers may be sent to.
    pub reachable_entries: u32,
    control_hosts: BTreeSet<IpAddr>,
}

impl EntryCensus {
    /// The census of these tables.
    pub fn of(tables: &Tables) -> EntryCensus {
        let is_entry = |daemon: &&Arc<DaemonRow>| daemon.record.frontend.is_some();
        let members = tables.daemons.values().filter(|daemon| daemon.record.operators.is_some());
        EntryCensus {
            entries: tables.daemons.values().filter(is_entry).count() as u32,
            reachable_entries: tables.reachable_daemons().filter(is_entry).count() as u32,
            control_hosts: members.map(|member| member.record.peer.ip()).collect(),
        }
    }

    /// Whether an entry sees the servers by another machine's network than members of the control group do.
    pub fn is_witness(&self, tables: &Tables, daemon: &str) -> bool {
        tables.daemons.get(daemon).is_some_and(|entry| self.is_apart(entry))
    }

    /// Whether a daemon is on a machine that no member of the control group is on.
    pub fn is_apart(&self, daemon: &DaemonRow) -> bool {
        !self.control_hosts.contains(&daemon.record.peer.ip())
    }
}
