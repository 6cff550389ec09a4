//! Selects the daemon changes that the leader commits: new daemons, and liveness that differs from the
//! leases.
//!
//! All changes found at one time become one command, and a restart that requires no action becomes none: a
//! restart of the whole fleet must not produce one command per daemon that every daemon has to apply.

use crate::Millis;
use crate::leases::{LeaseRow, LeaseTable};
use dockwood_api::peer::DaemonRecord;
use dockwood_state::{CommandBody, DaemonRow, DaemonUpdate, Liveness, Tables};
use std::collections::BTreeMap;

/// Average number of leases scanned per millisecond: bounds the leader's work on unchanged daemons, however
/// many there are.
const LEASES_SCANNED_PER_MS: usize = 10;

/// Interval between two scans of this many leases, in milliseconds.
fn scan_interval_ms(daemons: usize) -> Millis {
    (daemons / LEASES_SCANNED_PER_MS) as Millis
}

/// Daemons that have requested a lease since the last decision: record and incarnation by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseRequesters {
    by_name: BTreeMap<String, (DaemonRecord, u64)>,
    /// When all leases are scanned again.
    next_scan_at: Millis,
}

impl LeaseRequesters {
    /// Records a lease request.
    pub fn record(&mut self, record: &DaemonRecord, incarnation: u64) {
        self.by_name.insert(record.name.clone(), (record.clone(), incarnation));
    }

    /// Takes the daemons that are not in the tables, or have another record there.
    fn take_unregistered(&mut self, tables: &Tables) -> Vec<DaemonUpdate> {
        let is_unregistered = |record: &DaemonRecord| {
            tables.daemons.get(&record.name).is_none_or(|registered| registered.record != *record)
        };
        let requesters = std::mem::take(&mut self.by_name).into_values();
        let unregistered = requesters.filter(|(record, _)| is_unregistered(record));
        unregistered.map(|(record, incarnation)| DaemonUpdate::Joined { record, incarnation }).collect()
    }
}

/// Returns the command that updates the daemons' rows, or `None` if nothing has changed.
pub(crate) fn daemon_changes<R>(
    tables: &Tables,
    leases: &LeaseTable<R>,
    requesters: &mut LeaseRequesters,
    now: Millis,
) -> Option<CommandBody> {
    let mut updates = requesters.take_unregistered(tables);
    if now >= requesters.next_scan_at {
        requesters.next_scan_at = now + scan_interval_ms(tables.daemons.len());
        updates.extend(tables.daemons.values().filter_map(|daemon| liveness_update(daemon, leases, now)));
    }
    (!updates.is_empty()).then_some(CommandBody::UpdateDaemons(updates))
}

/// Returns the update of one daemon. A daemon that restarted and asked again before it was missed is not
/// reported: its record and liveness are unchanged.
fn liveness_update<R>(daemon: &DaemonRow, leases: &LeaseTable<R>, now: Millis) -> Option<DaemonUpdate> {
    let name = &daemon.record.name;
    let liveness = leases.liveness(now, name)?;
    if liveness == daemon.liveness {
        return None;
    }
    let restarted = |row: &&LeaseRow| row.incarnation > daemon.incarnation && liveness != Liveness::Lost;
    let update = match leases.row(name).filter(restarted) {
        Some(row) => DaemonUpdate::Joined { record: daemon.record.clone(), incarnation: row.incarnation },
        None => DaemonUpdate::Liveness { daemon: name.clone(), incarnation: daemon.incarnation, liveness },
    };
    Some(update)
}
