//! The admission queue of one pool: strict priority between tiers with an ageing bound, and deficit round
//! robin by tokens between the tenants of a tier.
//!
//! Deficit round robin: M. Shreedhar and G. Varghese, SIGCOMM 1995.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// A request that has waited this long is moved to the first tier, so that no tier starves.
pub const AGEING_MS: Millis = 30_000;

/// Tokens that a tenant of weight 1 may spend per round.
pub const QUANTUM_TOKENS: i64 = 2_000;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// The request.
    pub item: T,
    /// Tenant resource name.
    pub tenant: String,
    /// Priority tier; 0 is served first.
    pub tier: u8,
    /// Weight of the tenant within the tier.
    pub weight: u32,
    /// Prompt tokens plus expected answer tokens.
    pub cost_tokens: u32,
    /// When the request was queued.
    pub enqueued_at: Millis,
    /// When the request expires unless it has been granted.
    pub deadline: Millis,
}

#[derive(Clone, Debug)]
struct TenantQueue<T> {
    waiting: VecDeque<QueuedRequest<T>>,
    deficit: i64,
}

/// The tenants of one tier. `active` lists those with waiting requests in round-robin order.
#[derive(Clone, Debug)]
struct Tier<T> {
    tenants: BTreeMap<String, TenantQueue<T>>,
    active: VecDeque<String>,
}

impl<T> Default for Tier<T> {
    fn default() -> Self {
        Tier { tenants: BTreeMap::new(), active: VecDeque::new() }
    }
}

impl<T> Tier<T> {
    fn push(&mut self, waiting: QueuedRequest<T>) {
        let tenant = waiting.tenant.clone();
        let queue = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| TenantQueue { waiting: VecDeque::new(), deficit: 0 });
        if queue.waiting.is_empty() {
            self.active.push_back(tenant);
        }
        queue.waiting.push_back(waiting);
    }

    /// Takes the next request by deficit round robin. Terminates because each round increases the deficit of
    /// every waiting tenant and costs are bounded.
    fn pop(&mut self, eligible: &mut dyn FnMut(&QueuedRequest<T>) -> bool) -> Option<QueuedRequest<T>> {
        let mut blocked = 0;
        while blocked < self.active.len() {
            let tenant = self.active.front()?.clone();
            let queue = self.tenants.get_mut(&tenant)?;
            let head = queue.waiting.front()?;
            if !eligible(head) {
                blocked += 1;
                self.active.rotate_left(1);
                continue;
            }
            if queue.deficit < i64::from(head.cost_tokens) {
                queue.deficit += QUANTUM_TOKENS * i64::from(head.weight.max(1));
                self.active.rotate_left(1);
                blocked = 0;
                continue;
            }
            queue.deficit -= i64::from(head.cost_tokens);
            let taken = queue.waiting.pop_front();
            self.remove_if_empty(&tenant);
            return taken;
        }
        None
    }

    fn remove_if_empty(&mut self, tenant: &str) {
        if self.tenants.get(tenant).is_some_and(|queue| queue.waiting.is_empty()) {
            // A tenant without waiting requests keeps no deficit.
            self.tenants.remove(tenant);
            self.active.retain(|name| name != tenant);
        }
    }

    fn remove_where(&mut self, unwanted: &mut dyn FnMut(&QueuedRequest<T>) -> bool) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for queue in self.tenants.values_mut() {
            let (unwanted_requests, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(&mut queue.waiting).into_iter().partition(|waiting| unwanted(waiting));
            queue.waiting = kept;
            removed.extend(unwanted_requests);
        }
        self.tenants.retain(|_, queue| !queue.waiting.is_empty());
        let tenants = &self.tenants;
        self.active.retain(|name| tenants.contains_key(name));
        removed
    }

    fn pop_newest(&mut self) -> Option<QueuedRequest<T>> {
        let (tenant, _) =
            self.tenants.iter().max_by_key(|(_, queue)| queue.waiting.back().map(|last| last.enqueued_at))?;
        let tenant = tenant.clone();
        let taken = self.tenants.get_mut(&tenant)?.waiting.pop_back();
        self.remove_if_empty(&tenant);
        taken
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedRequest<T>> {
        self.tenants.values().flat_map(|queue| queue.waiting.iter())
    }
}

/// The waiting requests of a pool.
#[derive(Clone, Debug)]
pub struct AdmissionQueue<T> {
    tiers: BTreeMap<u8, Tier<T>>,
    length: usize,
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> Self {
        AdmissionQueue { tiers: BTreeMap::new(), length: 0 }
    }
}

impl<T> AdmissionQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Minimum number of requests that would be granted before a new one of this tier.
    pub fn ahead_of(&self, tier: u8) -> usize {
        self.tiers.range(..=tier).map(|(_, tier)| tier.iter().count()).sum()
    }

    /// Number of waiting requests by tier.
    pub fn lengths_by_tier(&self) -> BTreeMap<u8, usize> {
        self.tiers.iter().map(|(number, tier)| (*number, tier.iter().count())).collect()
    }

    /// Appends a request to its tenant's queue.
    pub fn push(&mut self, waiting: QueuedRequest<T>) {
        self.length += 1;
        self.tiers.entry(waiting.tier).or_default().push(waiting);
    }

    /// Takes the next request for which `eligible` returns true.
    pub fn pop(&mut self, mut eligible: impl FnMut(&QueuedRequest<T>) -> bool) -> Option<QueuedRequest<T>> {
        let taken = self.tiers.values_mut().find_map(|tier| tier.pop(&mut eligible))?;
        self.note_removed(1);
        Some(taken)
    }

    /// Takes the newest request of the lowest-priority tier, if that tier ranks below `tier`. Used to make
    /// room for a new request when the queue is full.
    pub fn evict_below(&mut self, tier: u8) -> Option<QueuedRequest<T>> {
        let (number, last) = self.tiers.iter_mut().next_back()?;
        if *number <= tier {
            return None;
        }
        let taken = last.pop_newest()?;
        self.note_removed(1);
        Some(taken)
    }

    /// Returns the first request for which `wanted` returns true. Its place must not be changed.
    pub fn find_mut(
        &mut self,
        mut wanted: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Option<&mut QueuedRequest<T>> {
        let tenants = self.tiers.values_mut().flat_map(|tier| tier.tenants.values_mut());
        tenants.flat_map(|queue| queue.waiting.iter_mut()).find(|waiting| wanted(waiting))
    }

    /// Removes all requests for which `unwanted` returns true.
    pub fn remove_where(
        &mut self,
        mut unwanted: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for tier in self.tiers.values_mut() {
            removed.extend(tier.remove_where(&mut unwanted));
        }
        self.note_removed(removed.len());
        removed
    }

    /// Moves requests that have waited for [`AGEING_MS`] to the first tier that has waiting requests.
    pub fn promote_aged(&mut self, now: Millis) {
        let Some(first) = self.tiers.keys().next().copied() else { return };
        let aged =
            self.remove_where(|waiting| waiting.tier > first && now >= waiting.enqueued_at + AGEING_MS);
        for waiting in aged {
            self.push(QueuedRequest { tier: first, ..waiting });
        }
    }

    fn note_removed(&mut self, count: usize) {
        self.length -= count;
        self.tiers.retain(|_, tier| !tier.tenants.is_empty());
    }
}
