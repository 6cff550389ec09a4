//! Handling of callers' requests. Runs on its own threads and reads only published copies of the state.

pub mod chat;
pub mod claims;
pub mod engine_stream;
pub mod pools;
pub mod records;
pub mod returns;
pub mod service_response;
pub mod services;
pub mod slots;

use crate::lock::lock;
use crate::shared::Shared;
use chat::Failure;
use dockwood_api::ResultCode;
use dockwood_routing::RetryBudget;
use std::sync::{Arc, Mutex};

/// State of the threads that handle requests.
pub struct Traffic {
    /// State shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// Pools for which this daemon is the coordinator or the standby.
    pub pools: Arc<pools::HostedPools>,
    /// Slots held by this entry.
    pub slots: Arc<slots::SlotClient>,
    /// Request records stored at this daemon.
    pub records: records::RecordStore,
    /// Claims on requests that must run at most once.
    pub claims: claims::ClaimClient,
    /// Server selection for plain services.
    pub services: services::ServiceRouter,
    /// HTTP client for engines and services.
    pub http: reqwest::Client,
    retry_budget: Mutex<RetryBudget>,
}

impl Traffic {
    /// Creates the state and starts its background tasks on the current runtime.
    pub fn start(
        shared: Arc<Shared>,
        reporter: Arc<crate::probe::Reporter>,
        http: reqwest::Client,
    ) -> Arc<Traffic> {
        let pools = Arc::new(pools::HostedPools::new(shared.clone(), reporter));
        tokio::spawn(pools.clone().follow_configuration());
        tokio::spawn(pools.clone().tick());
        let slots = Arc::new(slots::SlotClient::new(shared.clone(), pools.clone()));
        tokio::spawn(slots.clone().report_held_slots());
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

    /// Returns why this daemon accepts no new requests; `None` if it accepts them. `may_serve` is whether its
    /// configuration is certain to be in force.
    fn new_request_failure(&self, may_serve: bool) -> Option<Failure> {
        if self.shared.is_leaving() {
            return Some(Failure::new(ResultCode::DaemonLeaving, "this daemon is leaving"));
        }
        let no_lease = || Failure::new(ResultCode::NoLease, "this daemon holds no configuration lease");
        (!may_serve).then(no_lease)
    }

    fn count_request(&self) {
        lock(&self.retry_budget).record_request();
    }

    /// Returns whether the budget allows a retry now, without taking it.
    fn may_retry(&self) -> bool {
        lock(&self.retry_budget).allows_retry()
    }

    /// Takes a retry from the budget; returns whether the budget allowed it.
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
