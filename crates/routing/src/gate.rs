//! The serving gate: whether there is fresh evidence that every machine of a replica is alive.

use crate::Millis;
use dockwood_api::peer::ReplicaEvidence;
use std::collections::BTreeMap;

/// Evidence older than this counts as none.
pub const EVIDENCE_WINDOW_MS: Millis = 1500;

#[derive(Clone, Copy, Debug)]
struct Evidence {
    epoch: u64,
    complete: bool,
    at: Millis,
}

/// The newest evidence on each replica.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    rows: BTreeMap<String, Evidence>,
}

impl EvidenceTable {
    /// Takes a watcher's report. A report on an older epoch, or one made before the newest, is passed over. That
    /// every machine is alive counts from the echoed clock, which is no later than the look itself; that one is
    /// missing counts from now, as closing too long costs only time.
    pub fn record(&mut self, now: Millis, report: &ReplicaEvidence) {
        let at = if report.complete { report.echo_ms.min(now) } else { now };
        let fresh = Evidence { epoch: report.epoch, complete: report.complete, at };
        match self.rows.get(&report.replica) {
            Some(known) if (known.epoch, known.at) > (fresh.epoch, fresh.at) => {}
            _ => {
                self.rows.insert(report.replica.clone(), fresh);
            }
        }
    }

    /// Closes the gate until new evidence arrives: an entry saw the replica break.
    pub fn close(&mut self, now: Millis, replica: &str) {
        if let Some(evidence) = self.rows.get_mut(replica) {
            evidence.complete = false;
            evidence.at = now;
        }
    }

    /// For how long the evidence on this epoch still holds; `None` if the gate is closed.
    pub fn open_for(&self, now: Millis, replica: &str, epoch: u64) -> Option<Millis> {
        let evidence = self.rows.get(replica)?;
        if evidence.epoch != epoch || !evidence.complete {
            return None;
        }
        let ends = evidence.at + EVIDENCE_WINDOW_MS;
        (now < ends).then(|| ends - now)
    }

    /// Forgets replicas that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.rows.retain(|replica, _| keep(replica));
    }
}
