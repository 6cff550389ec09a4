//! Admission on the entry side: acquires slots from coordinators, holds them, and reports the held slots.

use super::pools::HostedPools;
use super::returns::UnacknowledgedReturns;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::peer::{AcquireReply, AcquireRequest, Grant, PeerClient, Refusal, SlotReturn};
use dockwood_routing::Millis;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// Interval between reports of held slots. A report that fails also reveals a crashed or suspended coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for a report. A coordinator that does not respond within it counts as unresponsive.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// For how long an unresponsive coordinator is skipped in favour of its standby, in milliseconds.
const UNRESPONSIVE_MS: Millis = 2_000;
/// Pause between attempts while a pool has no coordinator.
const NO_COORDINATOR_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Added to the requested wait to obtain the time limit of a call.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct PoolSlots {
    held: HashMap<u64, String>,
    waiting: usize,
    returned: UnacknowledgedReturns,
}

impl PoolSlots {
    /// Whether there is nothing left to report to the coordinator.
    fn is_unused(&self) -> bool {
        self.waiting == 0 && self.held.is_empty() && self.returned.is_empty()
    }
}

/// Slots held by this entry, by pool.
pub struct SlotClient {
    shared: Arc<Shared>,
    hosted_pools: Arc<HostedPools>,
    pools: Mutex<BTreeMap<String, PoolSlots>>,
    unresponsive_until: watch::Sender<HashMap<String, Millis>>,
}

/// A held slot, returned to the coordinator on drop.
pub struct HeldSlot {
    client: Arc<SlotClient>,
    pool: String,
    tenant: String,
    granted_by: String,
    received_at: Millis,
    /// The coordinator's grant.
    pub grant: Grant,
    /// Whether the replica failed, reported to the coordinator when the slot is returned.
    pub replica_broken: bool,
}

impl HeldSlot {
    /// Returns whether the evidence on which the grant is based is still valid. Checked immediately before writing,
    /// because the process may have been suspended since the grant.
    pub fn is_grant_valid(&self) -> bool {
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
        self.client.return_slot(&self.granted_by, &self.tenant, slot_return);
    }
}

/// Counts a call as waiting until dropped.
struct WaitingGuard {
    client: Arc<SlotClient>,
    pool: String,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        if let Some(slots) = self.client.pools().get_mut(&self.pool) {
            slots.waiting -= 1;
        }
    }
}

impl SlotClient {
    /// Creates the client, without slots.
    pub fn new(shared: Arc<Shared>, hosted_pools: Arc<HostedPools>) -> Self {
        SlotClient {
            shared,
            hosted_pools,
            pools: Mutex::default(),
            unresponsive_until: watch::channel(HashMap::new()).0,
        }
    }

    fn pools(&self) -> MutexGuard<'_, BTreeMap<String, PoolSlots>> {
        lock(&self.pools)
    }

    /// Waits for a slot until the deadline. Falls back to the standby if the coordinator does not respond.
    pub async fn acquire(
        self: &Arc<Self>,
        request: AcquireRequest,
        deadline: Millis,
    ) -> Result<HeldSlot, Refusal> {
        self.pools().entry(request.pool.clone()).or_default().waiting += 1;
        let _waiting = WaitingGuard { client: self.clone(), pool: request.pool.clone() };
        let mut calls = 0;
        loop {
            let now = monotonic_ms();
            let left_ms = deadline.saturating_sub(now);
            if left_ms == 0 {
                return Err(refusal(ResultCode::DeadlineUnreachable, "no slot within the deadline"));
            }
            let Some(daemon) = self.coordinator_of(&request.pool) else {
                tokio::time::sleep(NO_COORDINATOR_RETRY_PAUSE).await;
                continue;
            };
            let returned = self.unacknowledged_returns(&daemon, &request);
            let wait_ms = left_ms.min(Millis::from(u32::MAX)) as u32;
            let call = AcquireRequest { wait_ms, returned: returned.clone(), call: calls, ..request.clone() };
            calls += 1;
            let reply = self.acquire_from(&daemon, call, left_ms).await;
            if matches!(reply, Some(AcquireReply::Granted(_) | AcquireReply::Refused(_))) {
                self.acknowledge_returns(&request.pool, &daemon, &returned);
            }
            match reply {
                Some(AcquireReply::Granted(grant)) => {
                    return Ok(self.add_held_slot(&request, daemon, grant));
                }
                Some(AcquireReply::Refused(refusal)) => return Err(refusal),
                Some(AcquireReply::NotCoordinator) => tokio::time::sleep(NO_COORDINATOR_RETRY_PAUSE).await,
                None => self.record_no_response(&daemon, &request.pool).await,
            }
        }
    }

    /// Returns the coordinator, or its standby while the coordinator counts as unresponsive.
    fn coordinator_of(&self, pool: &str) -> Option<String> {
        let tables = self.shared.tables();
        let row = tables.pools.get(pool)?;
        let is_unresponsive = |daemon: &String| {
            let now = monotonic_ms();
            self.unresponsive_until.borrow().get(daemon).is_some_and(|until| now < *until)
        };
        let candidates = [row.coordinator.as_ref(), row.standby.as_ref()];
        let responsive = candidates.into_iter().flatten().find(|daemon| !is_unresponsive(daemon));
        responsive.or(row.coordinator.as_ref()).cloned()
    }

    fn mark_unresponsive(&self, daemon: &str) {
        let until = monotonic_ms() + UNRESPONSIVE_MS;
        let mut is_new = false;
        self.unresponsive_until
            .send_modify(|unresponsive| is_new = unresponsive.insert(daemon.to_string(), until).is_none());
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

    /// Makes one call; `None` if the daemon did not respond, or another one is to be asked instead.
    async fn acquire_from(
        &self,
        daemon: &str,
        request: AcquireRequest,
        left_ms: Millis,
    ) -> Option<AcquireReply> {
        if daemon == self.shared.settings.name {
            return Some(self.hosted_pools.acquire(request).await);
        }
        let address = self.shared.peer_address(daemon)?;
        let limit = Duration::from_millis(left_ms) + CALL_TIMEOUT_MARGIN;
        let replaced = self.wait_until_replaced(daemon, request.pool.clone());
        let call = |client: PeerClient, context| async move { client.acquire(context, request).await };
        tokio::select! {
            answer = self.shared.peers.call(address, limit, call) => answer.ok(),
            () = replaced => None,
        }
    }

    /// Waits until a daemon is unresponsive and another one is to be asked for slots of the pool. Without another one, the
    /// request keeps its place in the queue.
    async fn wait_until_replaced(&self, daemon: &str, pool: String) {
        let mut unresponsive_until = self.unresponsive_until.subscribe();
        let marked_unresponsive = unresponsive_until.wait_for(|unresponsive_until| {
            let now = monotonic_ms();
            unresponsive_until.get(daemon).is_some_and(|until| now < *until)
        });
        // Fails only without the sender, which lives as long as this client.
        let _ = marked_unresponsive.await;
        while self.coordinator_of(&pool).as_deref() == Some(daemon) {
            tokio::time::sleep(NO_COORDINATOR_RETRY_PAUSE).await;
        }
    }

    /// Marks a daemon that did not respond, and pauses if no other one is to be asked instead.
    async fn record_no_response(&self, daemon: &str, pool: &str) {
        self.mark_unresponsive(daemon);
        if self.coordinator_of(pool).as_deref() == Some(daemon) {
            tokio::time::sleep(NO_COORDINATOR_RETRY_PAUSE).await;
        }
    }

    /// Returns the slots of the request's tenant whose return to this coordinator is not acknowledged.
    fn unacknowledged_returns(&self, granted_by: &str, request: &AcquireRequest) -> Vec<SlotReturn> {
        let pools = self.pools();
        let Some(slots) = pools.get(&request.pool) else { return Vec::new() };
        slots.returned.of_tenant(monotonic_ms(), granted_by, &request.tenant)
    }

    fn acknowledge_returns(&self, pool: &str, granted_by: &str, returned: &[SlotReturn]) {
        if let Some(slots) = self.pools().get_mut(pool) {
            slots.returned.acknowledge(granted_by, returned);
        }
    }

    fn add_held_slot(
        self: &Arc<Self>,
        request: &AcquireRequest,
        granted_by: String,
        grant: Grant,
    ) -> HeldSlot {
        let mut pools = self.pools();
        let slots = pools.entry(request.pool.clone()).or_default();
        slots.held.insert(grant.slot, grant.replica.clone());
        // A coordinator that has restarted uses the numbers again.
        slots.returned.forget(&granted_by, grant.slot);
        HeldSlot {
            client: self.clone(),
            pool: request.pool.clone(),
            tenant: request.tenant.clone(),
            granted_by,
            received_at: monotonic_ms(),
            grant,
            replica_broken: false,
        }
    }

    fn return_slot(self: &Arc<Self>, granted_by: &str, tenant: &str, slot_return: SlotReturn) {
        let mut pools = self.pools();
        let slots = pools.entry(slot_return.pool.clone()).or_default();
        slots.held.remove(&slot_return.slot);
        if granted_by != self.shared.settings.name {
            slots.returned.add(monotonic_ms(), granted_by, tenant, slot_return.clone());
        }
        drop(pools);
        // If the coordinator has changed since the grant, the new one has adopted the slot.
        let current = self.coordinator_of(&slot_return.pool).unwrap_or_else(|| granted_by.to_string());
        let mut recipients = vec![current];
        if recipients[0] != granted_by {
            recipients.push(granted_by.to_string());
        }
        for daemon in recipients {
            if daemon == self.shared.settings.name {
                self.hosted_pools.release(slot_return.clone());
                continue;
            }
            let Some(address) = self.shared.peer_address(&daemon) else { continue };
            tokio::spawn(self.clone().release_at(daemon, address, slot_return.clone()));
        }
    }

    async fn release_at(self: Arc<Self>, daemon: String, address: SocketAddr, slot_return: SlotReturn) {
        let released = slot_return.clone();
        let call = |client: PeerClient, context| async move { client.release(context, released).await };
        // If the call fails, the next request for a slot or report of held slots makes up for it.
        if self.shared.peers.call(address, REPORT_TIMEOUT, call).await.is_ok() {
            self.acknowledge_returns(&slot_return.pool, &daemon, std::slice::from_ref(&slot_return));
        }
    }

    /// Reports held slots to the coordinators of all pools in use, until the process ends.
    pub async fn report_held_slots(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let held_by_pool: Vec<(String, Vec<(u64, String)>)> = {
                let mut pools = self.pools();
                let held_by_pool = pools
                    .iter()
                    .map(|(pool, slots)| {
                        let held =
                            slots.held.iter().map(|(slot, replica)| (*slot, replica.clone())).collect();
                        (pool.clone(), held)
                    })
                    .collect();
                // A pool that is no longer in use is reported once more, without slots, and then dropped.
                pools.values_mut().for_each(|slots| slots.returned.expire(monotonic_ms()));
                pools.retain(|_, slots| !slots.is_unused());
                held_by_pool
            };
            let reports = held_by_pool.into_iter().map(|(pool, held)| self.report(pool, held));
            futures::future::join_all(reports).await;
        }
    }

    async fn report(&self, pool: String, held: Vec<(u64, String)>) {
        let Some(daemon) = self.coordinator_of(&pool) else { return };
        let entry = self.shared.settings.name.clone();
        if daemon == entry {
            self.hosted_pools.record_held_slots(&entry, &pool, held);
            return;
        }
        let Some(address) = self.shared.peer_address(&daemon) else { return };
        let call =
            |client: PeerClient, context| async move { client.held_slots(context, entry, pool, held).await };
        if self.shared.peers.call(address, REPORT_TIMEOUT, call).await.is_err() {
            self.mark_unresponsive(&daemon);
        }
    }
}

fn refusal(code: ResultCode, message: &str) -> Refusal {
    const RETRY_AFTER_MS: u32 = 500;
    Refusal { code, retry_after_ms: RETRY_AFTER_MS, message: message.to_string() }
}
