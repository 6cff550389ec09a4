//! Changes to daemons' rows, and the assignment of coordinators and watchers.

use crate::command::DaemonUpdate;
use crate::machine::Applied;
use crate::tables::{DaemonRow, Liveness, PoolRow, ReplicaRow, Tables};
use dockwood_api::ResultCode;
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::{Kind, ResourceKey};
use std::sync::Arc;

impl Tables {
    pub(crate) fn join_daemon(&mut self, record: &DaemonRecord, incarnation: u64) -> Applied {
        if let Some(current) = self.daemons.get(&record.name)
            && current.incarnation > incarnation
        {
            let message = format!("daemon '{}' has joined since with a later incarnation", record.name);
            return Applied::refused(ResultCode::EpochStale, message);
        }
        let row = DaemonRow {
            record: record.clone(),
            incarnation,
            liveness: Liveness::Live,
            revision: self.revision,
            since_ms: self.now_ms,
        };
        self.daemons.insert(record.name.clone(), Arc::new(row));
        Applied::with_changes(vec![daemon_key(&record.name)])
    }

    pub(crate) fn set_liveness(&mut self, daemon: &str, incarnation: u64, liveness: Liveness) -> Applied {
        let Some(current) = self.daemons.get(daemon) else {
            return Applied::refused(ResultCode::NotFound, format!("there is no daemon '{daemon}'"));
        };
        if current.incarnation != incarnation {
            let message = format!("daemon '{daemon}' is at incarnation {}", current.incarnation);
            return Applied::refused(ResultCode::EpochStale, message);
        }
        let row = DaemonRow {
            liveness,
            revision: self.revision,
            since_ms: self.now_ms,
            ..DaemonRow::clone(current)
        };
        self.daemons.insert(daemon.to_string(), Arc::new(row));
        Applied::with_changes(vec![daemon_key(daemon)])
    }

    /// Applies each update that is still valid; an outdated one changes nothing.
    pub(crate) fn update_daemons(&mut self, updates: &[DaemonUpdate]) -> Applied {
        let mut changed_keys = Vec::with_capacity(updates.len());
        for update in updates {
            let applied = match update {
                DaemonUpdate::Joined { record, incarnation } => self.join_daemon(record, *incarnation),
                DaemonUpdate::Liveness { daemon, incarnation, liveness } => {
                    self.set_liveness(daemon, *incarnation, *liveness)
                }
            };
            changed_keys.extend(applied.changed_keys);
        }
        Applied::with_changes(changed_keys)
    }

    pub(crate) fn assign_pool(
        &mut self,
        pool: &str,
        coordinator: Option<&str>,
        standby: Option<&str>,
    ) -> Applied {
        if self.deployment(pool).is_none() {
            self.pools.remove(pool);
            return Applied::with_changes(Vec::new());
        }
        let row: &mut PoolRow = self.pools.entry(pool.to_string()).or_default();
        if row.coordinator.as_deref() != coordinator {
            row.term += 1;
        }
        row.coordinator = coordinator.map(str::to_string);
        row.standby = standby.map(str::to_string);
        Applied::with_changes(vec![ResourceKey::new(Kind::Deployment, pool)])
    }

    pub(crate) fn assign_watcher(&mut self, replica: &str, watcher: Option<&str>) -> Applied {
        let Some(current) = self.replicas.get(replica) else {
            return Applied::refused(ResultCode::NotFound, format!("there is no replica '{replica}'"));
        };
        let row = ReplicaRow {
            watcher: watcher.map(str::to_string),
            revision: self.revision,
            ..ReplicaRow::clone(current)
        };
        self.replicas.insert(replica.to_string(), Arc::new(row));
        Applied::with_changes(vec![ResourceKey::new(Kind::Replica, replica)])
    }
}

fn daemon_key(name: &str) -> ResourceKey {
    ResourceKey::new(Kind::Daemon, name)
}
