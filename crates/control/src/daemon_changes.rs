//! Which changes of daemons the leader commits: who joins, and whose liveness differs from what its lease says.
//!
//! All that changes at one time becomes one command, and a restart that nobody has to act on becomes none: the cost of a
//! restart of the whole fleet must not be a command for each daemon that each daemon has to apply.

use crate::Millis;
use crate::leases::{LeaseRow, LeaseTable};
use dockwood_api::peer::DaemonRecord;
use dockwood_state::{CommandBody, DaemonRow, DaemonUpdate, Liveness, Tables};
use std::collections::BTreeMap;

/// Daemons whose leases are looked at in a millisecond, over time: the leader's work on those to which nothing happens stays
/// the same however many they are.
const DAEMONS_LOOKED_AT_PER_MS: usize = 10;

/// Time between two looks at the leases of so many daemons, in milliseconds.
fn look_pause_ms(daemons: usize) -> Millis {
    (daemons / DAEMONS_LOOKED_AT_PER_MS) as Millis
}

/// What is to be looked at: daemons that have asked for a lease since the last decision, with record and incarnation by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Askers {
    by_name: BTreeMap<String, (DaemonRecord, u64)>,
    /// When all leases are looked at again.
    look_at: Millis,
}

impl Askers {
    /// Notes a daemon that asked.
    pub fn note(&mut self, record: &DaemonRecord, incarnation: u64) {
        self.by_name.insert(record.name.clone(), (record.clone(), incarnation));
    }

    /// Daemons that are not in the tables, or with another record.
    fn take_new(&mut self, tables: &Tables) -> Vec<DaemonUpdate> {
        let is_new = |record: &DaemonRecord| {
            tables.daemons.get(&record.name).is_none_or(|known| known.record != *record)
        };
        let asked = std::mem::take(&mut self.by_name).into_values();
        let new = asked.filter(|(record, _)| is_new(record));
        new.map(|(record, incarnation)| DaemonUpdate::Joined { record, incarnation }).collect()
    }
}

/// The command that brings the daemons' rows up to date, if any of them has changed.
pub(crate) fn daemon_changes<R>(
    tables: &Tables,
    leases: &LeaseTable<R>,
    askers: &mut Askers,
    now: Millis,
) -> Option<CommandBody> {
    let mut updates = askers.take_new(tables);
    if now >= askers.look_at {
        askers.look_at = now + look_pause_ms(tables.daemons.len());
        updates.extend(tables.daemons.values().filter_map(|daemon| liveness_update(daemon, leases, now)));
    }
    (!updates.is_empty()).then_some(CommandBody::UpdateDaemons(updates))
}

/// What has become of a daemon in the tables. One that restarted and asks again before anybody missed it is not reported:
/// its record is the same, and it is as live as before.
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
