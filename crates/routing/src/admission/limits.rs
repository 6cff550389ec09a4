//! Limits of tenants: requests a second, tokens a second, and requests at once.

use crate::Millis;
use dockwood_api::resource::TenantLimits;
use std::collections::BTreeMap;

/// A tenant may use this much of its rate in advance.
const BURST_MS: Millis = 1_000;

/// Whether a tenant may add a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It may.
    Within,
    /// Not now; try again after this many milliseconds.
    Over(Millis),
}

/// A token bucket counted in thousandths, so that slow rates lose nothing to rounding.
#[derive(Clone, Debug)]
struct Bucket {
    rate: u64,
    level: u64,
    filled_at: Millis,
}

impl Bucket {
    fn new(rate: u32, now: Millis) -> Self {
        let mut bucket = Bucket { rate: u64::from(rate), level: 0, filled_at: now };
        bucket.level = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> u64 {
        self.rate * BURST_MS
    }

    fn fill(&mut self, now: Millis) {
        let gained = self.rate * now.saturating_sub(self.filled_at);
        self.level = (self.level + gained).min(self.capacity());
        self.filled_at = now;
    }

    /// How long until `amount` could be taken; an amount above the burst waits for a full bucket.
    fn wait_for(&self, amount: u32) -> Millis {
        if self.rate == 0 {
            return 0;
        }
        let needed = (u64::from(amount) * 1000).min(self.capacity());
        needed.saturating_sub(self.level).div_ceil(self.rate)
    }

    fn take(&mut self, amount: u32) {
        self.level = self.level.saturating_sub(u64::from(amount) * 1000);
    }
}

#[derive(Clone, Debug)]
struct TenantUse {
    limits: TenantLimits,
    requests: Bucket,
    tokens: Bucket,
    concurrent: u32,
}

/// What each tenant uses of a pool.
#[derive(Clone, Debug, Default)]
pub struct TenantLimiter {
    tenants: BTreeMap<String, TenantUse>,
}

impl TenantLimiter {
    /// Sets a tenant's limits; what it uses now stays counted.
    pub fn configure(&mut self, now: Millis, tenant: &str, limits: TenantLimits) {
        if self.tenants.get(tenant).is_some_and(|known| known.limits == limits) {
            return;
        }
        let concurrent = self.tenants.get(tenant).map_or(0, |known| known.concurrent);
        let fresh = TenantUse {
            limits,
            requests: Bucket::new(limits.requests_per_second, now),
            tokens: Bucket::new(limits.tokens_per_second, now),
            concurrent,
        };
        self.tenants.insert(tenant.to_string(), fresh);
    }

    /// Counts a request in, unless that would pass a limit. Tenants that were never configured have none.
    pub fn admit(&mut self, now: Millis, tenant: &str, cost_tokens: u32) -> LimitVerdict {
        let Some(used) = self.tenants.get_mut(tenant) else { return LimitVerdict::Within };
        used.requests.fill(now);
        used.tokens.fill(now);
        let wait = used.requests.wait_for(1).max(used.tokens.wait_for(cost_tokens));
        if wait > 0 {
            return LimitVerdict::Over(wait);
        }
        if used.limits.concurrency > 0 && used.concurrent >= used.limits.concurrency {
            return LimitVerdict::Over(BURST_MS);
        }
        used.requests.take(1);
        used.tokens.take(cost_tokens);
        used.concurrent += 1;
        LimitVerdict::Within
    }

    /// Counts a request out.
    pub fn leave(&mut self, tenant: &str) {
        if let Some(used) = self.tenants.get_mut(tenant) {
            used.concurrent = used.concurrent.saturating_sub(1);
        }
    }

    /// Counts in a request that was granted by an earlier coordinator.
    pub fn adopt(&mut self, tenant: &str) {
        if let Some(used) = self.tenants.get_mut(tenant) {
            used.concurrent += 1;
        }
    }
}
