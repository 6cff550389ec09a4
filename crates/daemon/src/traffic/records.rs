//! Records of requests: what became of them, and finished answers, kept for a stated time at two daemons.
//!
//! The keepers of a request are found by rendezvous hash of its key, so that any daemon can ask them.

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

/// How long a record is kept.
pub const RECORD_RETENTION_MS: Millis = 5 * 60 * 1_000;
/// Bytes of answers that one daemon keeps.
const MAX_KEPT_BYTES: usize = 32 << 20;
/// Bytes that a record takes besides its answer, about.
const RECORD_OVERHEAD_BYTES: usize = 300;
/// Daemons that keep a record.
const COPIES: usize = 2;
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

/// A later outcome replaces an earlier one, never the other way round; but the entry that was about to send a request may
/// say that it did not.
fn may_replace(before: &RequestRecord, record: &RequestRecord) -> bool {
    let is_withdrawn = (before.outcome, record.outcome) == (Outcome::Running, Outcome::NotRun);
    let is_own = before.entry == record.entry;
    let is_further = rank(record.outcome) >= rank(before.outcome);
    is_further || before.outcome == Outcome::Unknown || (is_withdrawn && is_own)
}

/// How far an outcome has got.
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
        lock(&self.store)
    }

    /// Keeps a record; answers the one that was there before, without its answer.
    pub fn store(&self, record: RequestRecord) -> Option<RequestRecord> {
        let now = monotonic_ms();
        let mut store = self.store_guard();
        store.forget_old(now);
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

/// The key of a tenant's call of a plain service; an id of its own beside chat requests'.
pub fn service_record_key(tenant: &str, service: &str, request_id: &str) -> String {
    format!("{tenant}/{service}/{request_id}")
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
pub async fn keep(traffic: &Traffic, record: RequestRecord) {
    let keepers = keepers(&traffic.shared.tables(), &record.key);
    let stores = keepers.iter().take(COPIES).map(|keeper| store_at(traffic, keeper, record.clone()));
    futures::future::join_all(stores).await;
}

/// Notes that a request is about to be sent to a back end, and returns the record that stood there before, if any. Returns
/// once another daemon holds the new one, so that the loss of this daemon doesn't hide that the request may have run. With
/// every daemon that is asked for records out of reach it returns all the same: a lookup that misses so many answers counts
/// as uncertain, see [`Lookup::may_hide_a_record`].
pub async fn keep_before_dispatch(traffic: &Arc<Traffic>, record: RequestRecord) -> Option<RequestRecord> {
    let keepers = keepers(&traffic.shared.tables(), &record.key);
    let own_name = &traffic.shared.settings.name;
    let mut stores = tokio::task::JoinSet::new();
    let mut before = None;
    for (position, keeper) in keepers.into_iter().take(ASKED_DAEMONS).enumerate() {
        let is_other = keeper.record.name != *own_name;
        let (traffic, record) = (traffic.clone(), record.clone());
        stores.spawn(async move { (is_other, store_at(&traffic, &keeper, record).await) });
        // Both keepers are told at once, and those after them only while neither has taken it.
        let is_next_keeper = position + 1 < COPIES;
        if !is_next_keeper && is_stored_elsewhere(&mut stores, &mut before).await {
            break;
        }
    }
    stores.detach_all();
    before
}

/// One daemon's answer to a record, and whether that daemon is another one.
type StoreEnd = (bool, Result<Option<RequestRecord>, PeerFailure>);

/// Whether another daemon takes the record. Stores that have not ended by then go on.
async fn is_stored_elsewhere(
    stores: &mut tokio::task::JoinSet<StoreEnd>,
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

/// Stores a record at one daemon; returns the one that stood there before.
async fn store_at(
    traffic: &Traffic,
    keeper: &DaemonRow,
    record: RequestRecord,
) -> Result<Option<RequestRecord>, PeerFailure> {
    let shared = &traffic.shared;
    if keeper.record.name == shared.settings.name {
        return Ok(traffic.records.store(record));
    }
    let call = |client: PeerClient, context| async move { client.record_request(context, record).await };
    let stored = shared.peers.call(keeper.record.peer, KEEPER_TIMEOUT, call).await;
    if stored.is_err() {
        shared.metrics.peer_failures.inc();
    }
    stored
}

/// Whether a back end may have had the request of a record.
pub fn may_have_run(record: &RequestRecord) -> bool {
    record.outcome != Outcome::NotRun
}

/// What the daemons that may hold a record told of it.
#[derive(Debug, Default)]
pub struct Lookup {
    /// The furthest record that any of them holds.
    pub record: Option<RequestRecord>,
    /// Daemons that did not answer.
    pub unanswered: usize,
}

impl Lookup {
    /// Whether a record may stand where nobody answered. It has two copies, so a single silent daemon can't hide it.
    pub fn may_hide_a_record(&self) -> bool {
        self.record.is_none() && self.unanswered >= COPIES
    }

    /// Whether a back end may have had the request.
    pub fn may_have_run(&self) -> bool {
        self.record.as_ref().is_some_and(may_have_run) || self.may_hide_a_record()
    }
}

/// Asks for a record.
pub async fn find(traffic: &Traffic, key: &str) -> Lookup {
    let tables = traffic.shared.tables();
    let keepers = keepers(&tables, key);
    let reads = keepers.iter().take(ASKED_DAEMONS).map(|keeper| read_at(traffic, keeper, key));
    let answers = futures::future::join_all(reads).await;
    let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
    let furthest = answers.into_iter().flatten().flatten().max_by_key(|record| rank(record.outcome));
    Lookup { record: furthest.map(|record| give_up_on_lost_entry(&tables, record)), unanswered }
}

/// Asks one daemon; `None` if it did not answer.
async fn read_at(traffic: &Traffic, keeper: &DaemonRow, key: &str) -> Option<Option<RequestRecord>> {
    if keeper.record.name == traffic.shared.settings.name {
        return Some(traffic.records.read(key));
    }
    let key = key.to_string();
    let call = |client: PeerClient, context| async move { client.read_request(context, key).await };
    traffic.shared.peers.call(keeper.record.peer, KEEPER_TIMEOUT, call).await.ok()
}

/// A request whose entry is gone can't be running any more, as far as anyone can tell.
fn give_up_on_lost_entry(tables: &Tables, record: RequestRecord) -> RequestRecord {
    let entry_lost = tables.daemons.get(&record.entry).is_none_or(|entry| entry.liveness == Liveness::Lost);
    if record.outcome == Outcome::Running && entry_lost {
        return RequestRecord { outcome: Outcome::Unknown, ..record };
    }
    record
}
