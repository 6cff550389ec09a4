//! Which daemons take the gateway's callers, and which of them can tell of servers that the control group can't reach.
//! Counted anew only when a daemon's row has changed: every report of an entry asks for it.

use dockwood_state::{DaemonRow, Tables};
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

/// The entries among the daemons.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryCensus {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    reachable_entries: u32,
    control_hosts: BTreeSet<IpAddr>,
}

impl EntryCensus {
    /// Entries that callers may be sent to.
    pub fn reachable_entries(&mut self, tables: &Tables) -> u32 {
        self.refresh(tables);
        self.reachable_entries
    }

    /// Whether an entry sees the servers by another machine's network than members of the control group do.
    pub fn is_witness(&mut self, tables: &Tables, daemon: &str) -> bool {
        self.refresh(tables);
        let Some(entry) = tables.daemons.get(daemon) else { return false };
        !self.control_hosts.contains(&entry.record.peer.ip())
    }

    fn refresh(&mut self, tables: &Tables) {
        if self.daemons.ptr_eq(&tables.daemons) {
            return;
        }
        self.daemons = tables.daemons.clone();
        let entries = tables.reachable_daemons().filter(|daemon| daemon.record.frontend.is_some());
        self.reachable_entries = entries.count() as u32;
        let members = tables.daemons.values().filter(|daemon| daemon.record.operators.is_some());
        self.control_hosts = members.map(|member| member.record.peer.ip()).collect();
    }
}
