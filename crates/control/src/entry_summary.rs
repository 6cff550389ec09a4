//! Which daemons are gateway entries, and which of them can report on servers that the control group can't
//! reach.

use dockwood_state::{DaemonRow, Tables};
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

/// A value derived from the daemons' rows, computed again only when one of them changes: it is needed for
/// every report and every request.
#[derive(Clone, Debug, Default)]
pub struct DaemonDerived<T> {
    daemons: OrdMap<String, Arc<DaemonRow>>,
    value: T,
}

impl<T> DaemonDerived<T> {
    /// Returns the value for these tables. `T::default()` must be the value for an empty table.
    pub fn get(&mut self, tables: &Tables, compute: impl FnOnce(&Tables) -> T) -> &mut T {
        if !self.daemons.ptr_eq(&tables.daemons) {
            self.value = compute(tables);
            self.daemons = tables.daemons.clone();
        }
        &mut self.value
    }
}

/// Entries (daemons with a gateway frontend).
#[derive(Clone, Debug, Default)]
pub struct EntrySummary {
    /// Number of entries, whether or not they were heard from recently.
    pub entries: u32,
    /// Number of entries that clients may be sent to.
    pub reachable_entries: u32,
    control_hosts: BTreeSet<IpAddr>,
}

impl EntrySummary {
    /// Computes the summary of these tables.
    pub fn of(tables: &Tables) -> EntrySummary {
        let is_entry = |daemon: &&Arc<DaemonRow>| daemon.record.frontend.is_some();
        let members = tables.daemons.values().filter(|daemon| daemon.record.operators.is_some());
        EntrySummary {
            entries: tables.daemons.values().filter(is_entry).count() as u32,
            reachable_entries: tables.reachable_daemons().filter(is_entry).count() as u32,
            control_hosts: members.map(|member| member.record.peer.ip()).collect(),
        }
    }

    /// Whether an entry runs on another host than all members of the control group, and thus reaches the
    /// servers over another network path.
    pub fn is_witness(&self, tables: &Tables, daemon: &str) -> bool {
        tables.daemons.get(daemon).is_some_and(|entry| self.is_on_separate_host(entry))
    }

    /// Whether a daemon runs on a host without a member of the control group.
    pub fn is_on_separate_host(&self, daemon: &DaemonRow) -> bool {
        !self.control_hosts.contains(&daemon.record.peer.ip())
    }
}
