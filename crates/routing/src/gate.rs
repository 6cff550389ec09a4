//! The serving gate: whether there is recent evidence that every machine of a replica is alive.

use crate::Millis;
use dockwood_api::peer::ReplicaEvidence;
use std::collections::BTreeMap;

/// Evidence older than this is ignored.
pub const EVIDENCE_WINDOW_MS: Millis = 1500;

#[derive(Clone, Copy, Debug)]
struct Evidence {
    epoch: u64,
    complete: bool,
    at: Millis,
}

/// The newest evidence about each replica.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    by_replica: BTreeMap<String, Evidence>,
}

impl EvidenceTable {
    /// Records a watcher's report. Reports about an older epoch, or made before the newest known one, are
    /// ignored. Evidence that every machine is alive is dated by the echoed clock, which is no later than the
    /// check itself. Evidence that a machine is missing is dated now, because keeping the gate closed for too
    /// long only costs time.
    pub fn record(&mut self, now: Millis, report: &ReplicaEvidence) {
        let at = if report.complete { report.echo_ms.min(now) } else { now };
        let reported = Evidence { epoch: report.epoch, complete: report.complete, at };
        match self.by_replica.get(&report.replica) {
            Some(current) if (current.epoch, current.at) > (reported.epoch, reported.at) => {}
            _ => {
                self.by_replica.insert(report.replica.clone(), reported);
            }
        }
    }

    /// Closes the gate until new evidence arrives. Called when an entry has seen the replica fail.
    pub fn close(&mut self, now: Millis, replica: &str) {
        if let Some(evidence) = self.by_replica.get_mut(replica) {
            evidence.complete = false;
            evidence.at = now;
        }
    }

    /// How long the evidence for this epoch remains valid; `None` if the gate is closed.
    pub fn open_for(&self, now: Millis, replica: &str, epoch: u64) -> Option<Millis> {
        let evidence = self.by_replica.get(replica)?;
        if evidence.epoch != epoch || !evidence.complete {
            return None;
        }
        let ends = evidence.at + EVIDENCE_WINDOW_MS;
        (now < ends).then(|| ends - now)
    }

    /// Removes the replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_replica.retain(|replica, _| keep(replica));
    }
}
