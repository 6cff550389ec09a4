//! Request records: the outcomes of requests and their complete answers, stored for a limited time at two daemons.
//!
//! The daemons that store a record, its holders, are selected by rendezvous hashing of its key, so that any daemon can
//! find them.

use super::Traffic;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::peer::PeerFailure;
use dockwood_api::caller::Outcome;
use dockwood_api::digest::rendezvous_weight;
use dockwood_api::peer::{PeerClient, RequestRecord};
use dockwood_routing::Millis;
use dockwood_state::{DaemonRow, Liveness, Tables};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Retention time of records, in milliseconds.
pub const RECORD_RETENTION_MS: Millis = 5 * 60 * 1_000;
/// Maximum total size of the records stored at one daemon, in bytes.
const MAX_STORED_BYTES: usize = 32 << 20;
/// Approximate size of a record without its answer.
const RECORD_OVERHEAD_BYTES: usize = 300;
/// Number of daemons that store a record.
const RECORD_COPIES: usize = 2;
/// Number of daemons queried for a record: its holders, and daemons that were holders until a few daemons were lost.
const LOOKUP_DAEMONS: usize = 4;
/// Time limit for a call to a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Default)]
struct RecordTable {
    records: HashMap<String, RequestRecord>,
    by_age: VecDeque<(Millis, String)>,
    bytes: usize,
}

/// Records stored at this daemon.
#[derive(Default)]
pub struct RecordStore {
    store: Mutex<RecordTable>,
}

fn record_bytes(record: &RequestRecord) -> usize {
    RECORD_OVERHEAD_BYTES + record.answer.as_ref().map_or(0, |answer| answer.body.len())
}

/// Returns whether `record` may replace `before`: an outcome may only be replaced by one that has progressed as far or
/// further. Exceptions: an unknown outcome may be replaced by any other, and the entry that recorded a request as
/// running before dispatch may record that it was not sent.
fn may_replace(before: &RequestRecord, record: &RequestRecord) -> bool {
    let is_withdrawn = (before.outcome, record.outcome) == (Outcome::Running, Outcome::NotRun);
    let is_same_entry = before.entry == record.entry;
    let has_progressed = outcome_progress(record.outcome) >= outcome_progress(before.outcome);
    has_progressed || before.outcome == Outcome::Unknown || (is_withdrawn && is_same_entry)
}

/// Progress of an outcome, to compare two outcomes.
fn outcome_progress(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::NotRun => 0,
        Outcome::Running => 1,
        Outcome::Unknown => 2,
        Outcome::Done => 3,
    }
}

impl RecordStore {
    fn lock_table(&self) -> MutexGuard<'_, RecordTable> {
        lock(&self.store)
    }

    /// Stores a record unless the stored one takes precedence. Returns the record stored before, without its answer.
    pub fn store(&self, record: RequestRecord) -> Option<RequestRecord> {
        let now = monotonic_ms();
        let mut store = self.lock_table();
        store.evict_old(now);
        let before = store.records.get(&record.key).cloned();
        if let Some(before) = &before
            && !may_replace(before, &record)
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

    /// Returns the record of a key.
    pub fn read(&self, key: &str) -> Option<RequestRecord> {
        self.lock_table().records.get(key).cloned()
    }
}

impl RecordTable {
    fn evict_old(&mut self, now: Millis) {
        while let Some((at, _)) = self.by_age.front()
            && (*at + RECORD_RETENTION_MS <= now || self.bytes > MAX_STORED_BYTES)
        {
            if let Some((_, key)) = self.by_age.pop_front()
                && let Some(record) = self.records.remove(&key)
            {
                self.bytes -= record_bytes(&record);
            }
        }
    }
}

/// Returns the key of a tenant's request.
pub fn record_key(tenant: &str, request_id: &str) -> String {
    format!("{tenant}/{request_id}")
}

/// Returns the key of a tenant's call to a plain service. The service name separates its ids from those of chat
/// requests.
pub fn service_record_key(tenant: &str, service: &str, request_id: &str) -> String {
    format!("{tenant}/{service}/{request_id}")
}

/// Returns the daemons by descending weight for a key. The first two are its holders, in different zones if there is
/// more than one zone.
fn holders(tables: &Tables, key: &str) -> Vec<Arc<DaemonRow>> {
    let mut daemons: Vec<Arc<DaemonRow>> =
        tables.daemons.values().filter(|daemon| daemon.liveness != Liveness::Lost).cloned().collect();
    daemons.sort_by_key(|daemon| std::cmp::Reverse(rendezvous_weight(key, &daemon.record.name)));
    let other_zone = daemons.iter().position(|daemon| daemon.record.zone != daemons[0].record.zone);
    if let Some(position) = other_zone {
        let second = daemons.remove(position);
        daemons.insert(1, second);
    }
    daemons
}

/// Stores a record at its two holders. Returns once both have responded or timed out.
pub async fn store_at_holders(traffic: &Traffic, record: RequestRecord) {
    let holders = holders(&traffic.shared.tables(), &record.key);
    let stores = holders.iter().take(RECORD_COPIES).map(|holder| store_at(traffic, holder, record.clone()));
    futures::future::join_all(stores).await;
}

/// Records that a request is about to be sent to a back end, and returns the previous record, if any. Returns once
/// another daemon has stored the new record, so that the loss of this daemon does not hide that the request may have
/// run. If all daemons that are queried for records are unreachable, it returns nevertheless: a lookup without their
/// responses counts as uncertain, see [`RecordLookup::may_have_missed_record`].
pub async fn store_before_dispatch(traffic: &Arc<Traffic>, record: RequestRecord) -> Option<RequestRecord> {
    let holders = holders(&traffic.shared.tables(), &record.key);
    let own_name = &traffic.shared.settings.name;
    let mut stores = tokio::task::JoinSet::new();
    let mut before = None;
    for (position, holder) in holders.into_iter().take(LOOKUP_DAEMONS).enumerate() {
        let is_other = holder.record.name != *own_name;
        let (traffic, record) = (traffic.clone(), record.clone());
        stores.spawn(async move { (is_other, store_at(&traffic, &holder, record).await) });
        // Both holders are called concurrently, further daemons one by one until another daemon has stored the record.
        let is_next_holder = position + 1 < RECORD_COPIES;
        if !is_next_holder && is_stored_elsewhere(&mut stores, &mut before).await {
            break;
        }
    }
    stores.detach_all();
    before
}

/// Whether the daemon is another one, and its response to a record.
type StoreResponse = (bool, Result<Option<RequestRecord>, PeerFailure>);

/// Waits until another daemon has stored the record or all pending calls have ended; returns whether one has stored it.
/// Calls that are still pending continue.
async fn is_stored_elsewhere(
    stores: &mut tokio::task::JoinSet<StoreResponse>,
    before: &mut Option<RequestRecord>,
) -> bool {
    while let Some(ended) = stores.join_next().await {
        let Ok((is_other, Ok(found))) = ended else { continue };
        *before = before.take().or(found);
        if is_other {
            return true;
        }
    }
    false
}

/// Stores a record at one daemon; returns the record stored there before.
async fn store_at(
    traffic: &Traffic,
    holder: &DaemonRow,
    record: RequestRecord,
) -> Result<Option<RequestRecord>, PeerFailure> {
    let shared = &traffic.shared;
    if holder.record.name == shared.settings.name {
        return Ok(traffic.records.store(record));
    }
    let call = |client: PeerClient, context| async move { client.record_request(context, record).await };
    let stored = shared.peers.call(holder.record.peer, HOLDER_TIMEOUT, call).await;
    if stored.is_err() {
        shared.metrics.peer_failures.inc();
    }
    stored
}

/// Returns whether the request of a record may have been run.
pub fn may_have_run(record: &RequestRecord) -> bool {
    record.outcome != Outcome::NotRun
}

/// Result of querying the daemons that may store a record.
#[derive(Debug, Default)]
pub struct RecordLookup {
    /// The record with the most progressed outcome.
    pub record: Option<RequestRecord>,
    /// Number of daemons that did not respond.
    pub unanswered: usize,
}

impl RecordLookup {
    /// Returns whether the record may exist at daemons that did not respond. It has two copies, so that a single daemon
    /// without a response can't hide it.
    pub fn may_have_missed_record(&self) -> bool {
        self.record.is_none() && self.unanswered >= RECORD_COPIES
    }

    /// Returns whether the request may have been run.
    pub fn may_have_run(&self) -> bool {
        self.record.as_ref().is_some_and(may_have_run) || self.may_have_missed_record()
    }
}

/// Queries the daemons that may store a record.
pub async fn find_record(traffic: &Traffic, key: &str) -> RecordLookup {
    let tables = traffic.shared.tables();
    let holders = holders(&tables, key);
    let reads = holders.iter().take(LOOKUP_DAEMONS).map(|holder| read_at(traffic, holder, key));
    let answers = futures::future::join_all(reads).await;
    let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
    let most_progressed =
        answers.into_iter().flatten().flatten().max_by_key(|record| outcome_progress(record.outcome));
    RecordLookup {
        record: most_progressed.map(|record| mark_unknown_if_entry_lost(&tables, record)),
        unanswered,
    }
}

/// Queries one daemon; `None` if it did not respond.
async fn read_at(traffic: &Traffic, holder: &DaemonRow, key: &str) -> Option<Option<RequestRecord>> {
    if holder.record.name == traffic.shared.settings.name {
        return Some(traffic.records.read(key));
    }
    let key = key.to_string();
    let call = |client: PeerClient, context| async move { client.read_request(context, key).await };
    traffic.shared.peers.call(holder.record.peer, HOLDER_TIMEOUT, call).await.ok()
}

/// Changes the outcome of a running request to unknown if its entry is lost, because no daemon can tell whether it
/// still runs.
fn mark_unknown_if_entry_lost(tables: &Tables, record: RequestRecord) -> RequestRecord {
    let entry_lost = tables.daemons.get(&record.entry).is_none_or(|entry| entry.liveness == Liveness::Lost);
    if record.outcome == Outcome::Running && entry_lost {
        return RequestRecord { outcome: Outcome::Unknown, ..record };
    }
    record
}
