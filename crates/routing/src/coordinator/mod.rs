//! The coordinator of one pool: holds the queue and the slots, and grants.
//!
//! It never touches a request's data. Its state is soft: a successor rebuilds the slots from what the entries
//! hold, and the queue from their repeated calls.

mod protocol;

pub use protocol::{Input, Output, PoolConfig, PoolReplica, PoolSnapshot, ReplicaLoad, TenantShare, Ticket};

use crate::Millis;
use crate::admission::{AdmissionQueue, LimitVerdict, TenantLimiter, Waiting};
use crate::choice::{Candidate, choose};
use crate::gate::EvidenceTable;
use crate::prefix::PrefixIndex;
use dockwood_api::ResultCode;
use dockwood_api::peer::{AcquireRequest, Grant, Refusal, SlotReturn};
use std::collections::BTreeMap;

/// Blocks in the prefix index of a pool.
const PREFIX_CAPACITY: usize = 65_536;
/// An entry that is not heard of for this long has lost its slots.
const ENTRY_SILENCE_MS: Millis = 6_000;
/// A slot that its entry does not name is freed only if it is older than this: the grant may be on its way.
const GRANT_IN_FLIGHT_MS: Millis = 3_000;
/// Service times are averaged over about this many requests.
const SERVICE_TIME_SAMPLES: u64 = 32;
/// Assumed time in a slot before any was measured.
const INITIAL_SERVICE_MS: Millis = 1_000;
/// A retry time is never below this.
const MIN_RETRY_MS: Millis = 100;
/// Slot numbers of one coordinator's term; the term stands above them.
const SLOT_BITS: u32 = 32;

#[derive(Clone, Debug)]
struct Slot {
    entry: String,
    tenant: Option<String>,
    replica: String,
    granted_at: Millis,
}

#[derive(Clone, Debug)]
struct Call {
    ticket: Ticket,
    request: AcquireRequest,
}

/// The pure core of a pool's coordinator.
#[derive(Clone, Debug)]
pub struct Coordinator {
    config: PoolConfig,
    queue: AdmissionQueue<Call>,
    limiter: TenantLimiter,
    gate: EvidenceTable,
    prefixes: PrefixIndex,
    slots: BTreeMap<u64, Slot>,
    used: BTreeMap<String, u32>,
    last_granted: BTreeMap<String, u64>,
    entries_heard: BTreeMap<String, Millis>,
    next_slot: u64,
    service_ms: Millis,
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
            entries_heard: BTreeMap::new(),
            next_slot: 0,
            service_ms: INITIAL_SERVICE_MS,
            outputs: Vec::new(),
        }
    }
}

impl Coordinator {
    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        match input {
            Input::Configure(config) => self.configure(now, config),
            Input::Evidence(report) => self.gate.record(now, &report),
            Input::Acquire { ticket, request } => self.acquire(now, ticket, request),
            Input::Cancel { ticket } => self.cancel(ticket),
            Input::Release(slot_return) => self.release(now, &slot_return),
            Input::EntryHolds { entry, slots } => self.entry_holds(now, &entry, &slots),
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
            waiting: self.queue.lengths(),
            replicas: self.config.replicas.iter().map(load).collect(),
        }
    }

    fn configure(&mut self, now: Millis, config: PoolConfig) {
        for replica in &self.config.replicas {
            let same =
                config.replicas.iter().any(|next| next.name == replica.name && next.epoch == replica.epoch);
            if !same {
                self.prefixes.forget(&replica.name);
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
        self.entries_heard.insert(request.entry.clone(), now);
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
        if let Some(wait) = self.hopeless_wait(share.tier, request.wait_ms) {
            self.refuse(
                ticket,
                ResultCode::DeadlineUnreachable,
                wait,
                "the queue is longer than the deadline",
            );
            return;
        }
        if !self.make_room(share.tier) {
            let wait = self.expected_wait(share.tier);
            self.refuse(ticket, ResultCode::QueueFull, wait, "the queue is full");
            return;
        }
        if let LimitVerdict::Over(wait) = self.limiter.admit(now, &request.tenant, request.cost_tokens) {
            self.refuse(ticket, ResultCode::TenantLimit, wait, "the tenant is over its limit");
            return;
        }
        self.queue.push(Waiting {
            tenant: request.tenant.clone(),
            tier: share.tier,
            weight: share.weight,
            cost_tokens: request.cost_tokens,
            since: now,
            until: now + Millis::from(request.wait_ms),
            item: Call { ticket, request },
        });
    }

    /// Whether there is room for a newcomer; a lower tier's newest request gives way.
    fn make_room(&mut self, tier: u8) -> bool {
        if self.queue.len() < self.config.queue_limit as usize || self.queue.is_empty() {
            return true;
        }
        let Some(displaced) = self.queue.pop_below(tier) else { return false };
        self.limiter.leave(&displaced.tenant);
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

    /// The wait expected for a newcomer of this tier: requests ahead over the rate at which slots come free.
    fn expected_wait(&self, tier: u8) -> Millis {
        let slots = u64::from(self.config.slots_per_replica) * self.config.replicas.len().max(1) as u64;
        self.queue.ahead_of(tier) as u64 * self.service_ms / slots.max(1)
    }

    /// The expected wait, if it is certain enough to pass the deadline that waiting is no use.
    fn hopeless_wait(&self, tier: u8, wait_ms: u32) -> Option<Millis> {
        let expected = self.expected_wait(tier);
        (expected > Millis::from(wait_ms)).then(|| expected - Millis::from(wait_ms))
    }

    fn cancel(&mut self, ticket: Ticket) {
        for waiting in self.queue.remove_where(|waiting| waiting.item.ticket == ticket) {
            self.limiter.leave(&waiting.tenant);
        }
    }

    fn release(&mut self, now: Millis, slot_return: &SlotReturn) {
        let Some(slot) = self.slots.get(&slot_return.slot) else { return };
        if slot_return.replica_broken {
            let replica = slot.replica.clone();
            self.gate.close(now, &replica);
        }
        let held_ms = now.saturating_sub(slot.granted_at);
        let sum = self.service_ms * (SERVICE_TIME_SAMPLES - 1) + held_ms;
        self.service_ms = sum / SERVICE_TIME_SAMPLES;
        self.free(slot_return.slot);
        self.report_idle();
    }

    fn free(&mut self, number: u64) {
        let Some(slot) = self.slots.remove(&number) else { return };
        if let Some(used) = self.used.get_mut(&slot.replica) {
            *used = used.saturating_sub(1);
        }
        if let Some(tenant) = &slot.tenant {
            self.limiter.leave(tenant);
        }
    }

    fn occupy(&mut self, number: u64, slot: Slot) {
        *self.used.entry(slot.replica.clone()).or_insert(0) += 1;
        self.slots.insert(number, slot);
    }

    fn used_slots(&self, replica: &str) -> u32 {
        self.used.get(replica).copied().unwrap_or(0)
    }

    /// Slots that the entry holds and this coordinator does not know were granted by a predecessor.
    fn entry_holds(&mut self, now: Millis, entry: &str, held: &[(u64, String)]) {
        self.entries_heard.insert(entry.to_string(), now);
        for (number, replica) in held {
            if !self.slots.contains_key(number) {
                let slot = Slot {
                    entry: entry.to_string(),
                    tenant: None,
                    replica: replica.clone(),
                    granted_at: now,
                };
                self.occupy(*number, slot);
            }
        }
        let is_held = |number: &u64| held.iter().any(|(held, _)| held == number);
        let lost: Vec<u64> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.entry == entry && now >= slot.granted_at + GRANT_IN_FLIGHT_MS)
            .map(|(number, _)| *number)
            .filter(|number| !is_held(number))
            .collect();
        lost.into_iter().for_each(|number| self.free(number));
        self.report_idle();
    }

    fn tick(&mut self, now: Millis) {
        for expired in self.queue.remove_where(|waiting| now >= waiting.until) {
            self.limiter.leave(&expired.tenant);
            let wait = self.expected_wait(expired.tier);
            self.refuse(
                expired.item.ticket,
                ResultCode::DeadlineUnreachable,
                wait,
                "no slot within the deadline",
            );
        }
        self.queue.age(now);
        let heard = &self.entries_heard;
        let is_silent = |slot: &Slot| heard.get(&slot.entry).is_none_or(|at| now >= at + ENTRY_SILENCE_MS);
        let lost: Vec<u64> =
            self.slots.iter().filter(|(_, slot)| is_silent(slot)).map(|(number, _)| *number).collect();
        lost.into_iter().for_each(|number| self.free(number));
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
            let takes = |call: &Call, replica: &PoolReplica| !avoids(call, &replica.name, replicas);
            let Some(waiting) =
                self.queue.pop(|waiting| free.iter().any(|(replica, _)| takes(&waiting.item, replica)))
            else {
                return;
            };
            let fitting: Vec<&(PoolReplica, Millis)> =
                free.into_iter().filter(|(replica, _)| takes(&waiting.item, replica)).collect();
            self.grant(now, waiting, &fitting);
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

    fn grant(&mut self, now: Millis, waiting: Waiting<Call>, fitting: &[&(PoolReplica, Millis)]) {
        let Call { ticket, request } = waiting.item;
        let matches = self.prefixes.matches(&request.prefix_blocks);
        let candidates: Vec<Candidate<'_>> = fitting
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
            fitting.iter().find(|(replica, _)| Some(replica.name.as_str()) == chosen)
        else {
            return;
        };
        self.next_slot += 1;
        let number = (self.config.term << SLOT_BITS) | self.next_slot;
        self.prefixes.insert(&request.prefix_blocks, &replica.name);
        self.last_granted.insert(replica.name.clone(), self.next_slot);
        let slot = Slot {
            entry: request.entry,
            tenant: Some(waiting.tenant),
            replica: replica.name.clone(),
            granted_at: now,
        };
        self.occupy(number, slot);
        let grant = Grant {
            slot: number,
            replica: replica.name.clone(),
            epoch: replica.epoch,
            head: replica.head,
            priority: waiting.tier,
            valid_ms: *open_for as u32,
            queued_ms: now.saturating_sub(waiting.since) as u32,
        };
        self.outputs.push(Output::Granted(ticket, grant));
    }
}

/// Whether a call is kept from a replica that has failed it. With no other replica serving there is nowhere else to go;
/// a replica that broke is closed by the gate until it is whole again.
fn avoids(call: &Call, replica: &str, replicas: &[PoolReplica]) -> bool {
    let avoided = &call.request.avoid;
    let is_avoided = |name: &str| avoided.iter().any(|avoided| avoided == name);
    is_avoided(replica) && replicas.iter().any(|other| other.serving && !is_avoided(&other.name))
}
