//! The waiting requests of one pool: tiers in strict order with an ageing bound, and deficit round robin by
//! tokens between the tenants of a tier.
//!
//! Source of deficit round robin: M. Shreedhar and G. Varghese, SIGCOMM 1995.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// A request that has waited this long counts as of the first tier, so that no tier starves for ever.
pub const AGEING_MS: Millis = 30_000;

/// Tokens that a tenant of weight 1 may spend in one round.
pub const QUANTUM_TOKENS: i64 = 2_000;

/// One waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// The request.
    pub item: T,
    /// Tenant resource name.
    pub tenant: String,
    /// Its tier; 0 first.
    pub tier: u8,
    /// Its share within the tier.
    pub weight: u32,
    /// Prompt and expected answer tokens.
    pub cost_tokens: u32,
    /// When it arrived.
    pub since: Millis,
    /// When it must have been granted.
    pub until: Millis,
}

#[derive(Clone, Debug)]
struct TenantQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    deficit: i64,
}

/// Tenants of one tier. `ring` holds those that wait, in turn.
#[derive(Clone, Debug)]
struct Tier<T> {
    tenants: BTreeMap<String, TenantQueue<T>>,
    ring: VecDeque<String>,
}

impl<T> Default for Tier<T> {
    fn default() -> Self {
        Tier { tenants: BTreeMap::new(), ring: VecDeque::new() }
    }
}

impl<T> Tier<T> {
    fn push(&mut self, waiting: Waiting<T>) {
        let tenant = waiting.tenant.clone();
        let queue = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| TenantQueue { waiting: VecDeque::new(), deficit: 0 });
        if queue.waiting.is_empty() {
            self.ring.push_back(tenant);
        }
        queue.waiting.push_back(waiting);
    }

    /// Takes the next request in deficit round robin. Ends because each round adds to every waiting tenant's
    /// deficit and costs are bounded.
    fn pop(&mut self, eligible: &mut dyn FnMut(&Waiting<T>) -> bool) -> Option<Waiting<T>> {
        let mut blocked = 0;
        while blocked < self.ring.len() {
            let tenant = self.ring.front()?.clone();
            let queue = self.tenants.get_mut(&tenant)?;
            let head = queue.waiting.front()?;
            if !eligible(head) {
                blocked += 1;
                self.ring.rotate_left(1);
                continue;
            }
            if queue.deficit < i64::from(head.cost_tokens) {
                queue.deficit += QUANTUM_TOKENS * i64::from(head.weight.max(1));
                self.ring.rotate_left(1);
                blocked = 0;
                continue;
            }
            queue.deficit -= i64::from(head.cost_tokens);
            let taken = queue.waiting.pop_front();
            self.drop_if_idle(&tenant);
            return taken;
        }
        None
    }

    fn drop_if_idle(&mut self, tenant: &str) {
        if self.tenants.get(tenant).is_some_and(|queue| queue.waiting.is_empty()) {
            // An idle tenant keeps no credit: deficit is for tenants that wait.
            self.tenants.remove(tenant);
            self.ring.retain(|name| name != tenant);
        }
    }

    fn remove_where(&mut self, unwanted: &mut dyn FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for queue in self.tenants.values_mut() {
            let (gone, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(&mut queue.waiting).into_iter().partition(|waiting| unwanted(waiting));
            queue.waiting = kept;
            removed.extend(gone);
        }
        self.tenants.retain(|_, queue| !queue.waiting.is_empty());
        let tenants = &self.tenants;
        self.ring.retain(|name| tenants.contains_key(name));
        removed
    }

    fn pop_newest(&mut self) -> Option<Waiting<T>> {
        let (tenant, _) =
            self.tenants.iter().max_by_key(|(_, queue)| queue.waiting.back().map(|last| last.since))?;
        let tenant = tenant.clone();
        let taken = self.tenants.get_mut(&tenant)?.waiting.pop_back();
        self.drop_if_idle(&tenant);
        taken
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting<T>> {
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
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Requests that would be granted before a newcomer of this tier, at the least.
    pub fn ahead_of(&self, tier: u8) -> usize {
        self.tiers.range(..=tier).map(|(_, tier)| tier.iter().count()).sum()
    }

    /// Waiting requests by tier.
    pub fn lengths(&self) -> BTreeMap<u8, usize> {
        self.tiers.iter().map(|(number, tier)| (*number, tier.iter().count())).collect()
    }

    /// Adds a request at the end of its tenant's line.
    pub fn push(&mut self, waiting: Waiting<T>) {
        self.length += 1;
        self.tiers.entry(waiting.tier).or_default().push(waiting);
    }

    /// Takes the next request that `eligible` lets pass.
    pub fn pop(&mut self, mut eligible: impl FnMut(&Waiting<T>) -> bool) -> Option<Waiting<T>> {
        let taken = self.tiers.values_mut().find_map(|tier| tier.pop(&mut eligible))?;
        self.removed(1);
        Some(taken)
    }

    /// Takes the newest request of the last tier, if that tier is below `tier`: it gives way to a newcomer
    /// when the queue is full.
    pub fn pop_below(&mut self, tier: u8) -> Option<Waiting<T>> {
        let (number, last) = self.tiers.iter_mut().next_back()?;
        if *number <= tier {
            return None;
        }
        let taken = last.pop_newest()?;
        self.removed(1);
        Some(taken)
    }

    /// Takes out all requests that `unwanted` names.
    pub fn remove_where(&mut self, mut unwanted: impl FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for tier in self.tiers.values_mut() {
            removed.extend(tier.remove_where(&mut unwanted));
        }
        self.removed(removed.len());
        removed
    }

    /// Moves requests that have waited for [`AGEING_MS`] to the first tier that waits.
    pub fn age(&mut self, now: Millis) {
        let Some(first) = self.tiers.keys().next().copied() else { return };
        let aged = self.remove_where(|waiting| waiting.tier > first && now >= waiting.since + AGEING_MS);
        for waiting in aged {
            self.push(Waiting { tier: first, ..waiting });
        }
    }

    fn removed(&mut self, count: usize) {
        self.length -= count;
        self.tiers.retain(|_, tier| !tier.tenants.is_empty());
    }
}
