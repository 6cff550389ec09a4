//! The entry's side of admission: asks coordinators for slots, holds them, and shows what it holds.

use super::pools::PoolHosts;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::peer::{AcquireReply, AcquireRequest, Grant, PeerClient, Refusal, SlotReturn};
use dockwood_routing::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Time between two showings of held slots, which tell a dead or paused coordinator too.
const SHOW_EVERY: Duration = Duration::from_millis(400);
/// A coordinator that does not take a showing within this time is passed over.
const SHOW_TIMEOUT: Duration = Duration::from_millis(400);
/// For how long a coordinator that failed is passed over in favour of its standby.
const SUSPECT_MS: Millis = 2_000;
/// Pause while no daemon coordinates a pool.
const NO_COORDINATOR_PAUSE: Duration = Duration::from_millis(50);
/// Added to a call's limit beyond the wait that it names.
const CALL_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct PoolSlots {
    held: HashMap<u64, String>,
    waiting: usize,
}

/// Slots of this entry.
pub struct SlotClient {
    shared: Arc<Shared>,
    hosts: Arc<PoolHosts>,
    pools: Mutex<BTreeMap<String, PoolSlots>>,
    suspects: watch::Sender<HashMap<String, Millis>>,
}

/// A slot in hand; it goes back when this is dropped.
pub struct HeldSlot {
    client: Arc<SlotClient>,
    pool: String,
    granted_by: String,
    received_at: Millis,
    /// The grant.
    pub grant: Grant,
    /// What is told when the slot goes back.
    pub replica_broken: bool,
}

impl HeldSlot {
    /// Whether the evidence behind the grant still holds. Checked at the moment of writing, as a process may
    /// have paused since.
    pub fn is_fresh(&self) -> bool {
        monotonic_ms() < self.received_at + Millis::from(self.grant.valid_ms)
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let slot_return = SlotReturn {
            pool: self.pool.clone(),
            slot: self.grant.slot,
            replica_broken: self.replica_broken,
        };
        self.client.give_back(&self.granted_by, slot_return);
    }
}

/// Counts a waiting call for as long as it waits.
struct Waiting {
    client: Arc<SlotClient>,
    pool: String,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(slots) = self.client.pools().get_mut(&self.pool) {
            slots.waiting -= 1;
        }
    }
}

impl SlotClient {
    /// No slots yet.
    pub fn new(shared: Arc<Shared>, hosts: Arc<PoolHosts>) -> Self {
        SlotClient { shared, hosts, pools: Mutex::default(), suspects: watch::channel(HashMap::new()).0 }
    }

    fn pools(&self) -> MutexGuard<'_, BTreeMap<String, PoolSlots>> {
        lock(&self.pools)
    }

    /// Waits for a slot until the deadline. The coordinator is asked; its standby if it fails to answer.
    pub async fn acquire(
        self: &Arc<Self>,
        request: AcquireRequest,
        deadline: Millis,
    ) -> Result<HeldSlot, Refusal> {
        self.pools().entry(request.pool.clone()).or_default().waiting += 1;
        let _waiting = Waiting { client: self.clone(), pool: request.pool.clone() };
        loop {
            let now = monotonic_ms();
            let left = deadline.saturating_sub(now);
            if left == 0 {
                return Err(refusal(ResultCode::DeadlineUnreachable, "no slot within the deadline"));
            }
            let Some(daemon) = self.coordinator_of(&request.pool) else {
                tokio::time::sleep(NO_COORDINATOR_PAUSE).await;
                continue;
            };
            let attempt =
                AcquireRequest { wait_ms: left.min(Millis::from(u32::MAX)) as u32, ..request.clone() };
            match self.ask(&daemon, attempt, left).await {
                Some(AcquireReply::Granted(grant)) => return Ok(self.take(&request.pool, daemon, grant)),
                Some(AcquireReply::Refused(refusal)) => return Err(refusal),
                Some(AcquireReply::NotCoordinator) => tokio::time::sleep(NO_COORDINATOR_PAUSE).await,
                None => self.suspect(&daemon),
            }
        }
    }

    /// The coordinator, or its standby while the coordinator is passed over.
    fn coordinator_of(&self, pool: &str) -> Option<String> {
        let tables = self.shared.tables();
        let row = tables.pools.get(pool)?;
        let is_suspect = |daemon: &String| {
            let now = monotonic_ms();
            self.suspects.borrow().get(daemon).is_some_and(|until| now < *until)
        };
        let candidates = [row.coordinator.as_ref(), row.standby.as_ref()];
        let well = candidates.into_iter().flatten().find(|daemon| !is_suspect(daemon));
        well.or(row.coordinator.as_ref()).cloned()
    }

    fn suspect(&self, daemon: &str) {
        let until = monotonic_ms() + SUSPECT_MS;
        let mut is_new = false;
        self.suspects.send_modify(|suspects| is_new = suspects.insert(daemon.to_string(), until).is_none());
        if is_new {
            let message = format!("does not answer {}; its standby is asked", self.shared.settings.name);
            let subject = Subject::new("daemon", daemon);
            self.shared.timeline.record(
                subject,
                "CoordinatorSuspected",
                &message,
                None,
                ResultCode::PeerUnreachable,
            );
        }
    }

    /// One call; `None` if the daemon did not answer, or came under suspicion meanwhile.
    async fn ask(&self, daemon: &str, request: AcquireRequest, left: Millis) -> Option<AcquireReply> {
        if daemon == self.shared.settings.name {
            return Some(self.hosts.acquire(request).await);
        }
        let address = self.shared.peer_address(daemon)?;
        let limit = Duration::from_millis(left) + CALL_MARGIN;
        let call = |client: PeerClient, context| async move { client.acquire(context, request).await };
        let mut suspects = self.suspects.subscribe();
        let suspected = suspects.wait_for(|suspects| {
            let now = monotonic_ms();
            suspects.get(daemon).is_some_and(|until| now < *until)
        });
        tokio::select! {
            answer = self.shared.peers.call(address, limit, call) => answer.ok(),
            _ = suspected => None,
        }
    }

    fn take(self: &Arc<Self>, pool: &str, granted_by: String, grant: Grant) -> HeldSlot {
        let mut pools = self.pools();
        pools.entry(pool.to_string()).or_default().held.insert(grant.slot, grant.replica.clone());
        HeldSlot {
            client: self.clone(),
            pool: pool.to_string(),
            granted_by,
            received_at: monotonic_ms(),
            grant,
            replica_broken: false,
        }
    }

    fn give_back(self: &Arc<Self>, granted_by: &str, slot_return: SlotReturn) {
        if let Some(slots) = self.pools().get_mut(&slot_return.pool) {
            slots.held.remove(&slot_return.slot);
        }
        // The coordinator may have changed since; then the new one has adopted the slot.
        let current = self.coordinator_of(&slot_return.pool).unwrap_or_else(|| granted_by.to_string());
        let mut recipients = vec![current];
        if recipients[0] != granted_by {
            recipients.push(granted_by.to_string());
        }
        for daemon in recipients {
            if daemon == self.shared.settings.name {
                self.hosts.release(slot_return.clone());
                continue;
            }
            let Some(address) = self.shared.peer_address(&daemon) else { continue };
            let (shared, slot_return) = (self.shared.clone(), slot_return.clone());
            let call =
                |client: PeerClient, context| async move { client.release(context, slot_return).await };
            // A lost return is made up for by the next showing of held slots.
            tokio::spawn(async move { shared.peers.call(address, SHOW_TIMEOUT, call).await });
        }
    }

    /// Shows held slots to the coordinators of all pools in use, for ever.
    pub async fn show_held_slots(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(SHOW_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let in_use: Vec<(String, Vec<(u64, String)>)> = {
                let mut pools = self.pools();
                let shown = pools
                    .iter()
                    .map(|(pool, slots)| {
                        let held =
                            slots.held.iter().map(|(slot, replica)| (*slot, replica.clone())).collect();
                        (pool.clone(), held)
                    })
                    .collect();
                // A pool that is no longer used is shown empty once more, and then no more.
                pools.retain(|_, slots| slots.waiting > 0 || !slots.held.is_empty());
                shown
            };
            let shows = in_use.into_iter().map(|(pool, held)| self.show(pool, held));
            futures::future::join_all(shows).await;
        }
    }

    async fn show(&self, pool: String, held: Vec<(u64, String)>) {
        let Some(daemon) = self.coordinator_of(&pool) else { return };
        let entry = self.shared.settings.name.clone();
        if daemon == entry {
            self.hosts.entry_holds(&entry, &pool, held);
            return;
        }
        let Some(address) = self.shared.peer_address(&daemon) else { return };
        let call =
            |client: PeerClient, context| async move { client.held_slots(context, entry, pool, held).await };
        if self.shared.peers.call(address, SHOW_TIMEOUT, call).await.is_err() {
            self.suspect(&daemon);
        }
    }
}

fn refusal(code: ResultCode, message: &str) -> Refusal {
    const RETRY_AFTER_MS: u32 = 500;
    Refusal { code, retry_after_ms: RETRY_AFTER_MS, message: message.to_string() }
}
