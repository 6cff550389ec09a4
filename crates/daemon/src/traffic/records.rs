//! Records of requests: what became of them, and finished answers, kept for a stated time at two daemons.
//!
//! The keepers of a request are found by rendezvous hash of its key, so that any daemon can ask them.

use crate::clock::monotonic_ms;
use crate::shared::Shared;
use dockwood_api::caller::Outcome;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{PeerClient, RequestRecord};
use dockwood_routing::Millis;
use dockwood_state::{DaemonRow, Liveness, Tables};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long a record is kept.
pub const RECORD_RETENTION_MS: Millis = 5 * 60 * 1_000;
/// Bytes of answers that one daemon keeps.
const MAX_KEPT_BYTES: usize = 32 << 20;
/// Bytes that a record takes besides its answer, about.
const RECORD_OVERHEAD_BYTES: usize = 300;
/// Daemons asked for a record: its keepers, and those that were keepers before a few daemons were lost.
const ASKED_DAEMONS: usize = 4;
/// How long a keeper may take.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Store {
    records: HashMap<String, RequestRecord>,
    by_age: VecDeque<(Millis, String)>,
    bytes: usize,
}

/// Records kept at this daemon.
#[derive(Default)]
pub struct RecordStore {
    store: Mutex<Store>,
}

fn record_bytes(record: &RequestRecord) -> usize {
    RECORD_OVERHEAD_BYTES + record.answer.as_ref().map_or(0, |answer| answer.body.len())
}

/// A later outcome replaces an earlier one, never the other way round.
fn rank(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::NotRun => 0,
        Outcome::Running => 1,
        Outcome::Unknown => 2,
        Outcome::Done => 3,
    }
}

impl RecordStore {
    fn store_guard(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Keeps a record; answers the one that was there before, without its answer.
    pub fn store(&self, record: RequestRecord) -> Option<RequestRecord> {
        let now = monotonic_ms();
        let mut store = self.store_guard();
        store.forget_old(now);
        let before = store.records.get(&record.key).cloned();
        if let Some(before) = &before
            && rank(before.outcome) > rank(record.outcome)
            && before.outcome != Outcome::Unknown
        {
            return Some(RequestRecord { answer: None, ..before.clone() });
        }
        store.bytes += record_bytes(&record);
        if let Some(before) = &before {
            store.bytes -= record_bytes(before);
        } else {
            store.by_age.push_back((now, record.key.clone()));
        }
        store.records.insert(record.key.clone(), record);
        before.map(|before| RequestRecord { answer: None, ..before })
    }

    /// The record of a key.
    pub fn read(&self, key: &str) -> Option<RequestRecord> {
        self.store_guard().records.get(key).cloned()
    }
}

impl Store {
    fn forget_old(&mut self, now: Millis) {
        while let Some((at, _)) = self.by_age.front()
            && (*at + RECORD_RETENTION_MS <= now || self.bytes > MAX_KEPT_BYTES)
        {
            if let Some((_, key)) = self.by_age.pop_front()
                && let Some(record) = self.records.remove(&key)
            {
                self.bytes -= record_bytes(&record);
            }
        }
    }
}

/// The key of a tenant's request.
pub fn record_key(tenant: &str, request_id: &str) -> String {
    format!("{tenant}/{request_id}")
}

/// Daemons by weight for a key; the first two, of different zones where there are several, keep its record.
fn keepers(tables: &Tables, key: &str) -> Vec<Arc<DaemonRow>> {
    let mut daemons: Vec<Arc<DaemonRow>> =
        tables.daemons.values().filter(|daemon| daemon.liveness != Liveness::Lost).cloned().collect();
    daemons.sort_by_key(|daemon| std::cmp::Reverse(rendezvous_weight(key, &daemon.record.name)));
    let elsewhere = daemons.iter().position(|daemon| daemon.record.zone != daemons[0].record.zone);
    if let Some(position) = elsewhere {
        let second = daemons.remove(position);
        daemons.insert(1, second);
    }
    daemons
}

/// Stores a record at its two keepers; returns once both have answered or taken too long.
pub async fn keep(shared: &Shared, records: &RecordStore, record: RequestRecord) {
    let tables = shared.tables();
    let keepers = keepers(&tables, &record.key);
    let stores = keepers.iter().take(2).map(|keeper| {
        let record = record.clone();
        async move {
            if keeper.record.name == shared.settings.name {
                records.store(record);
                return;
            }
            let call =
                |client: PeerClient, context| async move { client.record_request(context, record).await };
            if shared.peers.call(keeper.record.peer, KEEPER_TIMEOUT, call).await.is_err() {
                shared.metrics.peer_failures.inc();
            }
        }
    });
    futures::future::join_all(stores).await;
}

/// The furthest record that any of the asked daemons holds.
pub async fn find(shared: &Shared, records: &RecordStore, key: &str) -> Option<RequestRecord> {
    let tables = shared.tables();
    let keepers = keepers(&tables, key);
    let reads = keepers.iter().take(ASKED_DAEMONS).map(|keeper| {
        let key = key.to_string();
        async move {
            if keeper.record.name == shared.settings.name {
                return records.read(&key);
            }
            let call = |client: PeerClient, context| async move { client.read_request(context, key).await };
            shared.peers.call(keeper.record.peer, KEEPER_TIMEOUT, call).await.ok().flatten()
        }
    });
    let found = futures::future::join_all(reads).await.into_iter().flatten();
    let best = found.max_by_key(|record| rank(record.outcome))?;
    Some(give_up_on_lost_entry(&tables, best))
}

/// A request whose entry is gone can't be running any more, as far as anyone can tell.
fn give_up_on_lost_entry(tables: &Tables, record: RequestRecord) -> RequestRecord {
    let entry_lost = tables.daemons.get(&record.entry).is_none_or(|entry| entry.liveness == Liveness::Lost);
    if record.outcome == Outcome::Running && entry_lost {
        return RequestRecord { outcome: Outcome::Unknown, ..record };
    }
    record
}
