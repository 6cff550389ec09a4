//! The coordinator of one pool: manages the queue and the slots, and grants slots to waiting requests.
//!
//! It never handles request data. Its state is soft: a successor rebuilds the slots from what the entries
//! report, and the queue from their repeated calls.

mod protocol;
mod slots;

pub use protocol::{Input, Output, PoolConfig, PoolReplica, PoolSnapshot, ReplicaLoad, TenantShare, Ticket};

use crate::Millis;
use crate::admission::{AdmissionQueue, LimitDecision, QueuedRequest, TenantLimiter};
use crate::choice::{Candidate, choose};
use crate::gate::EvidenceTable;
use crate::prefix::PrefixIndex;
use dockwood_api::ResultCode;
use dockwood_api::peer::{AcquireRequest, Grant, Refusal};
use slots::{GrantedCall, Slot};
use std::collections::BTreeMap;

/// Capacity of a pool's prefix index, in blocks.
const PREFIX_CAPACITY: usize = 65_536;
/// The slots of an entry that has not been heard from for this long are freed.
const ENTRY_TIMEOUT_MS: Millis = 6_000;
/// A slot that its entry does not report is freed only after this time, because the grant may still be on its
/// way to the entry.
const GRANT_DELIVERY_GRACE_MS: Millis = 3_000;
/// Assumed service time before the first measurement.
const INITIAL_SERVICE_MS: Millis = 1_000;
/// Minimum retry-after time in refusals.
const MIN_RETRY_MS: Millis = 100;
/// Bits of a slot number that count the slots of one coordinator term; the term is stored in the bits above.
const SLOT_BITS: u32 = 32;

#[derive(Clone, Debug)]
struct PendingAcquire {
    ticket: Ticket,
    request: AcquireRequest,
}

/// State machine of a pool's coordinator, without I/O.
#[derive(Clone, Debug)]
pub struct Coordinator {
    config: PoolConfig,
    queue: AdmissionQueue<PendingAcquire>,
    limiter: TenantLimiter,
    gate: EvidenceTable,
    prefixes: PrefixIndex,
    slots: BTreeMap<u64, Slot>,
    used: BTreeMap<String, u32>,
    last_granted: BTreeMap<String, u64>,
    entry_last_seen: BTreeMap<String, Millis>,
    next_slot: u64,
    mean_service_ms: Millis,
    outputs: Vec<Output>,
}

impl Default for Coordinator {
    fn default() -> Self {
        Coordinator {
            config: PoolConfig::default(),
            queue: AdmissionQueue::default(),
            limiter: TenantLimiter::default(),
            gate: EvidenceTable::default(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            slots: BTreeMap::new(),
            used: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            entry_last_seen: BTreeMap::new(),
            next_slot: 0,
            mean_service_ms: INITIAL_SERVICE_MS,
            outputs: Vec::new(),
        }
    }
}

impl Coordinator {
    /// Processes one input and returns the resulting outputs.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        match input {
            Input::Configure(config) => self.configure(now, config),
            Input::Evidence(report) => self.gate.record(now, &report),
            Input::Acquire { ticket, request } => self.acquire(now, ticket, request),
            Input::Cancel { ticket } => self.cancel(ticket),
            Input::Release(slot_return) => self.release(now, &slot_return),
            Input::EntryHolds { entry, slots } => self.reconcile_entry(now, &entry, &slots),
            Input::Tick => self.tick(now),
        }
        self.grant_waiting(now);
        std::mem::take(&mut self.outputs)
    }

    /// State for status and metrics.
    pub fn snapshot(&self, now: Millis) -> PoolSnapshot {
        let load = |replica: &PoolReplica| ReplicaLoad {
            replica: replica.name.clone(),
            used: self.used_slots(&replica.name),
            open: replica.serving && self.gate.open_for(now, &replica.name, replica.epoch).is_some(),
        };
        PoolSnapshot {
            waiting: self.queue.lengths_by_tier(),
            replicas: self.config.replicas.iter().map(load).collect(),
        }
    }

    fn configure(&mut self, now: Millis, config: PoolConfig) {
        for replica in &self.config.replicas {
            let unchanged =
                config.replicas.iter().any(|next| next.name == replica.name && next.epoch == replica.epoch);
            if !unchanged {
                self.prefixes.remove_replica(&replica.name);
            }
        }
        for (tenant, share) in &config.tenants {
            self.limiter.configure(now, tenant, share.limits);
        }
        self.config = config;
        let replicas = &self.config.replicas;
        self.gate.retain(|name| replicas.iter().any(|replica| replica.name == name));
        self.report_idle();
    }

    fn acquire(&mut self, now: Millis, ticket: Ticket, request: AcquireRequest) {
        self.entry_last_seen.insert(request.entry.clone(), now);
        self.release_returned(now, &request);
        if self.continue_search(now, ticket, &request) {
            return;
        }
        let Some(share) = self.config.tenants.get(&request.tenant).copied() else {
            self.refuse(ticket, ResultCode::UnknownTenant, 0, "the pool does not know the tenant");
            return;
        };
        if self.config.declared_replicas == 0 {
            self.refuse(
                ticket,
                ResultCode::NoServingReplica,
                MIN_RETRY_MS,
                "the deployment declares no replica",
            );
            return;
        }
        if let Some(wait) = self.wait_beyond_deadline(share.tier, request.wait_ms) {
            self.refuse(
                ticket,
                ResultCode::DeadlineUnreachable,
                wait,
                "the queue is longer than the deadline",
            );
            return;
        }
        if !self.ensure_queue_space(share.tier) {
            let wait = self.expected_wait(share.tier);
            self.refuse(ticket, ResultCode::QueueFull, wait, "the queue is full");
            return;
        }
        if let LimitDecision::RetryAfter(wait) = self.limiter.admit(now, &request.tenant, request.cost_tokens)
        {
            self.refuse(ticket, ResultCode::TenantLimit, wait, "the tenant is over its limit");
            return;
        }
        self.queue.push(QueuedRequest {
            tenant: request.tenant.clone(),
            tier: share.tier,
            weight: share.weight,
            cost_tokens: request.cost_tokens,
            enqueued_at: now,
            deadline: now + Millis::from(request.wait_ms),
            item: PendingAcquire { ticket, request },
        });
    }

    /// Whether a new request fits into the queue; if it is full, the newest request of a lower tier is
    /// evicted.
    fn ensure_queue_space(&mut self, tier: u8) -> bool {
        if self.queue.len() < self.config.queue_limit as usize || self.queue.is_empty() {
            return true;
        }
        let Some(displaced) = self.queue.evict_below(tier) else { return false };
        self.limiter.release(&displaced.tenant);
        let wait = self.expected_wait(displaced.tier);
        self.refuse(
            displaced.item.ticket,
            ResultCode::QueueFull,
            wait,
            "a higher tier took its place in the queue",
        );
        true
    }

    fn refuse(&mut self, ticket: Ticket, code: ResultCode, retry_after: Millis, message: &str) {
        let retry_after_ms = u32::try_from(retry_after.max(MIN_RETRY_MS)).unwrap_or(u32::MAX);
        let refusal = Refusal { code, retry_after_ms, message: message.to_string() };
        self.outputs.push(Output::Refused(ticket, refusal));
    }

    /// Expected wait of a new request in this tier: requests ahead of it divided by the rate at which slots
    /// are freed.
    fn expected_wait(&self, tier: u8) -> Millis {
        let slots = u64::from(self.config.slots_per_replica) * self.config.replicas.len().max(1) as u64;
        self.queue.ahead_of(tier) as u64 * self.mean_service_ms / slots.max(1)
    }

    /// How far the expected wait exceeds the caller's deadline; `None` if the request can be served in time.
    fn wait_beyond_deadline(&self, tier: u8, wait_ms: u32) -> Option<Millis> {
        let expected = self.expected_wait(tier);
        (expected > Millis::from(wait_ms)).then(|| expected - Millis::from(wait_ms))
    }

    fn cancel(&mut self, ticket: Ticket) {
        for waiting in self.queue.remove_where(|waiting| waiting.item.ticket == ticket) {
            self.limiter.withdraw(&waiting.tenant, waiting.cost_tokens);
        }
    }

    fn tick(&mut self, now: Millis) {
        for expired in self.queue.remove_where(|waiting| now >= waiting.deadline) {
            self.limiter.release(&expired.tenant);
            let wait = self.expected_wait(expired.tier);
            self.refuse(
                expired.item.ticket,
                ResultCode::DeadlineUnreachable,
                wait,
                "no slot within the deadline",
            );
        }
        self.queue.promote_aged(now);
        let last_seen = &self.entry_last_seen;
        let has_timed_out =
            |slot: &Slot| last_seen.get(&slot.entry).is_none_or(|at| now >= at + ENTRY_TIMEOUT_MS);
        let orphaned: Vec<u64> =
            self.slots.iter().filter(|(_, slot)| has_timed_out(slot)).map(|(number, _)| *number).collect();
        orphaned.into_iter().for_each(|number| self.free(number));
        self.report_idle();
    }

    fn report_idle(&mut self) {
        for replica in &self.config.replicas {
            if replica.draining && self.used.get(&replica.name).copied().unwrap_or(0) == 0 {
                let idle = Output::ReplicaIdle { replica: replica.name.clone(), epoch: replica.epoch };
                self.outputs.push(idle);
            }
        }
    }

    fn grant_waiting(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        let open: Vec<(PoolReplica, Millis)> = self.open_replicas(now);
        loop {
            let free: Vec<&(PoolReplica, Millis)> =
                open.iter().filter(|(replica, _)| self.has_free_slot(&replica.name)).collect();
            if free.is_empty() {
                return;
            }
            let replicas = &self.config.replicas;
            let accepts =
                |call: &PendingAcquire, replica: &PoolReplica| !is_excluded(call, &replica.name, replicas);
            let Some(waiting) =
                self.queue.pop(|waiting| free.iter().any(|(replica, _)| accepts(&waiting.item, replica)))
            else {
                return;
            };
            let eligible: Vec<&(PoolReplica, Millis)> =
                free.into_iter().filter(|(replica, _)| accepts(&waiting.item, replica)).collect();
            self.grant(now, waiting, &eligible);
        }
    }

    fn open_replicas(&self, now: Millis) -> Vec<(PoolReplica, Millis)> {
        let serving = self.config.replicas.iter().filter(|replica| replica.serving);
        serving
            .filter_map(|replica| {
                let open_for = self.gate.open_for(now, &replica.name, replica.epoch)?;
                Some((replica.clone(), open_for))
            })
            .collect()
    }

    fn has_free_slot(&self, replica: &str) -> bool {
        self.used_slots(replica) < self.config.slots_per_replica
    }

    fn grant(
        &mut self,
        now: Millis,
        waiting: QueuedRequest<PendingAcquire>,
        eligible: &[&(PoolReplica, Millis)],
    ) {
        let PendingAcquire { ticket, request } = waiting.item;
        let matches = self.prefixes.matches(&request.prefix_blocks);
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .map(|(replica, _)| Candidate {
                replica: &replica.name,
                used: self.used_slots(&replica.name),
                slots: self.config.slots_per_replica,
                matched_blocks: matches.get(replica.name.as_str()).copied().unwrap_or(0),
                last_granted: self.last_granted.get(&replica.name).copied().unwrap_or(0),
            })
            .collect();
        let chosen = choose(self.config.policy, &candidates);
        let Some((replica, open_for)) =
            eligible.iter().find(|(replica, _)| Some(replica.name.as_str()) == chosen)
        else {
            return;
        };
        self.next_slot += 1;
        let number = (self.config.term << SLOT_BITS) | self.next_slot;
        self.prefixes.insert(&request.prefix_blocks, &replica.name);
        self.last_granted.insert(replica.name.clone(), self.next_slot);
        let grant = Grant {
            slot: number,
            replica: replica.name.clone(),
            epoch: replica.epoch,
            head: replica.head,
            priority: waiting.tier,
            valid_ms: *open_for as u32,
            queued_ms: now.saturating_sub(waiting.enqueued_at) as u32,
        };
        let call = GrantedCall {
            tenant: waiting.tenant,
            cost_tokens: waiting.cost_tokens,
            search: request.search,
            number: request.call,
            grant: grant.clone(),
        };
        let slot =
            Slot { entry: request.entry, call: Some(call), replica: replica.name.clone(), granted_at: now };
        self.occupy(number, slot);
        self.outputs.push(Output::Granted(ticket, grant));
    }
}

/// Whether the call must not go to this replica because an earlier attempt failed there. If no other replica
/// is serving, the replica is allowed; the gate keeps a broken replica closed until it is complete again.
fn is_excluded(call: &PendingAcquire, replica: &str, replicas: &[PoolReplica]) -> bool {
    let avoided = &call.request.avoid;
    let is_avoided = |name: &str| avoided.iter().any(|avoided| avoided == name);
    is_avoided(replica) && replicas.iter().any(|other| other.serving && !is_avoided(&other.name))
}
