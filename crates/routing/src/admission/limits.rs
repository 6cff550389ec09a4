//! Tenant limits: requests per second, tokens per second, and concurrent requests.

use crate::Millis;
use dockwood_api::resource::TenantLimits;
use std::collections::BTreeMap;

/// Burst size: a tenant may use this much of its rate in advance.
const BURST_MS: Millis = 1_000;

/// Whether a tenant may start a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limits and has been counted.
    Admit,
    /// A limit is exceeded; retry after this many milliseconds.
    RetryAfter(Millis),
}

/// A token bucket counted in thousandths, so that rounding does not distort slow rates.
#[derive(Clone, Debug)]
struct TokenBucket {
    rate: u64,
    level: u64,
    refilled_at: Millis,
}

impl TokenBucket {
    fn new(rate: u32, now: Millis) -> Self {
        let mut bucket = TokenBucket { rate: u64::from(rate), level: 0, refilled_at: now };
        bucket.level = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> u64 {
        self.rate * BURST_MS
    }

    fn refill(&mut self, now: Millis) {
        let gained = self.rate * now.saturating_sub(self.refilled_at);
        self.level = (self.level + gained).min(self.capacity());
        self.refilled_at = now;
    }

    /// Time until `amount` can be taken; an amount above the burst size waits for a full bucket.
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

    fn put_back(&mut self, amount: u32) {
        self.level = (self.level + u64::from(amount) * 1000).min(self.capacity());
    }
}

#[derive(Clone, Debug)]
struct TenantUsage {
    limits: TenantLimits,
    requests: TokenBucket,
    tokens: TokenBucket,
    concurrent: u32,
}

/// Usage of each tenant in one pool.
#[derive(Clone, Debug, Default)]
pub struct TenantLimiter {
    tenants: BTreeMap<String, TenantUsage>,
}

impl TenantLimiter {
    /// Sets a tenant's limits. Its concurrent requests remain counted.
    pub fn configure(&mut self, now: Millis, tenant: &str, limits: TenantLimits) {
        if self.tenants.get(tenant).is_some_and(|current| current.limits == limits) {
            return;
        }
        let concurrent = self.tenants.get(tenant).map_or(0, |current| current.concurrent);
        let fresh = TenantUsage {
            limits,
            requests: TokenBucket::new(limits.requests_per_second, now),
            tokens: TokenBucket::new(limits.tokens_per_second, now),
            concurrent,
        };
        self.tenants.insert(tenant.to_string(), fresh);
    }

    /// Counts a new request, unless it exceeds a limit. Tenants without configured limits are unlimited.
    pub fn admit(&mut self, now: Millis, tenant: &str, cost_tokens: u32) -> LimitDecision {
        let Some(usage) = self.tenants.get_mut(tenant) else { return LimitDecision::Admit };
        usage.requests.refill(now);
        usage.tokens.refill(now);
        let wait = usage.requests.wait_for(1).max(usage.tokens.wait_for(cost_tokens));
        if wait > 0 {
            return LimitDecision::RetryAfter(wait);
        }
        if usage.limits.concurrency > 0 && usage.concurrent >= usage.limits.concurrency {
            return LimitDecision::RetryAfter(BURST_MS);
        }
        usage.requests.take(1);
        usage.tokens.take(cost_tokens);
        usage.concurrent += 1;
        LimitDecision::Admit
    }

    /// Records the end of a request.
    pub fn release(&mut self, tenant: &str) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.concurrent = usage.concurrent.saturating_sub(1);
        }
    }

    /// Records that an admitted request was withdrawn before it was granted, and returns what it took of the rates.
    pub fn withdraw(&mut self, tenant: &str, cost_tokens: u32) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.requests.put_back(1);
            usage.tokens.put_back(cost_tokens);
        }
        self.release(tenant);
    }

    /// Counts a request that was granted by an earlier coordinator.
    pub fn record_granted(&mut self, tenant: &str) {
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.concurrent += 1;
        }
    }
}
