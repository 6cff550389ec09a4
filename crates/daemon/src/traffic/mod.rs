//! Traffic: what happens to callers' requests. Runs on its own threads and reads only published copies.

pub mod chat;
pub mod claims;
pub mod engine_stream;
pub mod pools;
pub mod records;
pub mod services;
pub mod slots;

use crate::lock::lock;
use crate::shared::Shared;
use chat::Failure;
use dockwood_api::ResultCode;
use dockwood_routing::RetryBudget;
use std::sync::{Arc, Mutex};

/// Everything that traffic threads use.
pub struct Traffic {
    /// Shared state.
    pub shared: Arc<Shared>,
    /// Pools that this daemon coordinates or stands by for.
    pub pools: Arc<pools::PoolHosts>,
    /// Slots that this entry holds.
    pub slots: Arc<slots::SlotClient>,
    /// Records of requests kept here.
    pub records: records::RecordStore,
    /// Claims on requests that must not run twice.
    pub claims: claims::ClaimClient,
    /// Plain services.
    pub services: services::ServiceRouter,
    /// HTTP client for engines and services.
    pub http: reqwest::Client,
    retry_budget: Mutex<RetryBudget>,
}

impl Traffic {
    /// Traffic state at the start of the process; starts its background tasks on the current runtime.
    pub fn start(
        shared: Arc<Shared>,
        reporter: Arc<crate::probe::Reporter>,
        http: reqwest::Client,
    ) -> Arc<Traffic> {
        let pools = Arc::new(pools::PoolHosts::new(shared.clone(), reporter));
        tokio::spawn(pools.clone().follow_configuration());
        tokio::spawn(pools.clone().tick());
        let slots = Arc::new(slots::SlotClient::new(shared.clone(), pools.clone()));
        tokio::spawn(slots.clone().show_held_slots());
        Arc::new(Traffic {
            claims: claims::ClaimClient::start(shared.clone()),
            records: records::RecordStore::default(),
            services: services::ServiceRouter::default(),
            retry_budget: Mutex::default(),
            pools,
            slots,
            shared,
            http,
        })
    }

    /// Why this daemon takes no new work at all, if so. `may_serve` tells whether its configuration is sure to be in force.
    fn closed(&self, may_serve: bool) -> Option<Failure> {
        if self.shared.is_leaving() {
            return Some(Failure::new(ResultCode::DaemonLeaving, "this daemon is leaving"));
        }
        let lacks_lease = || Failure::new(ResultCode::NoLease, "this daemon holds no configuration lease");
        (!may_serve).then(lacks_lease)
    }

    fn count_request(&self) {
        lock(&self.retry_budget).record_request();
    }

    /// Counts a retry, if the budget allows one.
    fn try_retry(&self, reason: &str) -> bool {
        let allowed = lock(&self.retry_budget).try_retry();
        if allowed {
            self.shared.metrics.retries.with_label_values(&[reason]).inc();
        } else {
            self.shared.metrics.retries_refused.inc();
        }
        allowed
    }
}
