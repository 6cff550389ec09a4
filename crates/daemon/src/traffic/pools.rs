//! Pools for which this daemon is the coordinator or the standby: runs the coordinator state machines and answers the
//! calls of entries.
//!
//! A standby is configured and receives evidence like the coordinator, so that it can grant slots as soon as an entry
//! fails over to it.

use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::probe::Reporter;
use crate::shared::Shared;
use dockwood_api::peer::{AcquireReply, AcquireRequest, ReplicaEvidence, SlotReturn};
use dockwood_routing::{Coordinator, Input, Output, PoolConfig, Ticket};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between ticks of the coordinators.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct PoolState {
    coordinator: Coordinator,
    config: PoolConfig,
    waiting_calls: HashMap<Ticket, oneshot::Sender<AcquireReply>>,
    next_ticket: Ticket,
}

/// A pool and its coordinator.
struct HostedPool {
    state: Mutex<PoolState>,
}

/// All pools hosted by this daemon.
pub struct HostedPools {
    shared: Arc<Shared>,
    reporter: Arc<Reporter>,
    hosts: Mutex<BTreeMap<String, Arc<HostedPool>>>,
}

/// Cancels a waiting call if its caller disconnects.
struct WaitingAcquire {
    hosts: Arc<HostedPools>,
    host: Arc<HostedPool>,
    ticket: Ticket,
    answered: bool,
}

impl Drop for WaitingAcquire {
    fn drop(&mut self) {
        if !self.answered {
            self.hosts.step(&self.host, Input::Cancel { ticket: self.ticket });
        }
    }
}

impl HostedPool {
    fn state(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }
}

impl HostedPools {
    /// Creates the state, without pools.
    pub fn new(shared: Arc<Shared>, reporter: Arc<Reporter>) -> Self {
        HostedPools { shared, reporter, hosts: Mutex::default() }
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<String, Arc<HostedPool>>> {
        lock(&self.hosts)
    }

    fn host(&self, pool: &str) -> Option<Arc<HostedPool>> {
        self.hosts().get(pool).cloned()
    }

    /// Acquires a slot; waits until the coordinator grants or refuses it.
    pub async fn acquire(self: &Arc<Self>, request: AcquireRequest) -> AcquireReply {
        let Some(host) = self.host(&request.pool) else { return AcquireReply::NotCoordinator };
        let (reply, answer) = oneshot::channel();
        let ticket = {
            let mut state = host.state();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            state.waiting_calls.insert(ticket, reply);
            ticket
        };
        let mut waiting = WaitingAcquire { hosts: self.clone(), host: host.clone(), ticket, answered: false };
        self.step(&host, Input::Acquire { ticket, request });
        let answer = answer.await.unwrap_or(AcquireReply::NotCoordinator);
        waiting.answered = true;
        answer
    }

    /// Releases a slot.
    pub fn release(&self, slot_return: SlotReturn) {
        if let Some(host) = self.host(&slot_return.pool) {
            self.step(&host, Input::Release(slot_return));
        }
    }

    /// Passes a watcher's evidence to the coordinators.
    pub fn record_evidence(&self, reports: Vec<ReplicaEvidence>) {
        for report in reports {
            if let Some(host) = self.host(&report.pool) {
                self.step(&host, Input::Evidence(report));
            }
        }
    }

    /// Passes an entry's report of the slots that it holds to the coordinator.
    pub fn record_held_slots(&self, entry: &str, pool: &str, slots: Vec<(u64, String)>) {
        if let Some(host) = self.host(pool) {
            self.step(&host, Input::EntryHolds { entry: entry.to_string(), slots });
        }
    }

    /// Passes an input to a coordinator and answers the calls that it decides.
    fn step(&self, host: &HostedPool, input: Input) {
        let now = monotonic_ms();
        let mut state = host.state();
        if let Input::Cancel { ticket } = &input {
            state.waiting_calls.remove(ticket);
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in state.coordinator.step(now, input) {
                if let Some(follow_up) = self.apply_output(&mut state, output) {
                    inputs.push(follow_up);
                }
            }
        }
    }

    fn apply_output(&self, state: &mut PoolState, output: Output) -> Option<Input> {
        match output {
            Output::Granted(ticket, grant) => {
                let slot = grant.slot;
                let reply = state.waiting_calls.remove(&ticket);
                let is_delivered =
                    reply.is_some_and(|reply| reply.send(AcquireReply::Granted(grant)).is_ok());
                if is_delivered {
                    return None;
                }
                // The caller has disconnected: the slot was never used.
                let pool = String::new();
                let unused = SlotReturn { pool, slot, replica_broken: false };
                Some(Input::Release(unused))
            }
            Output::Refused(ticket, refusal) => {
                if let Some(reply) = state.waiting_calls.remove(&ticket) {
                    let _ = reply.send(AcquireReply::Refused(refusal));
                }
                None
            }
            Output::ReplicaIdle { replica, epoch } => {
                self.reporter.replica_idle(&replica, epoch);
                None
            }
        }
    }

    /// Updates the set of pools and their configuration after each publication, until the process ends.
    pub async fn follow_configuration(self: Arc<Self>) {
        let mut publications = self.shared.watch_publications();
        loop {
            self.configure();
            if publications.changed().await.is_err() {
                return;
            }
        }
    }

    fn configure(&self) {
        let published = self.shared.published();
        let own_name = Some(&self.shared.settings.name);
        let mut wanted = BTreeMap::new();
        for (pool, row) in &published.tables.pools {
            let is_hosted = row.coordinator.as_ref() == own_name || row.standby.as_ref() == own_name;
            if let Some(spec) = published.tables.deployment(pool).filter(|_| is_hosted) {
                wanted.insert(pool.clone(), published.pool_config(pool, spec));
            }
        }
        self.hosts().retain(|pool, host| {
            let is_wanted = wanted.contains_key(pool);
            if !is_wanted {
                // Dropping the waiting calls answers them with `NotCoordinator`, so that their entries ask the new
                // coordinator.
                host.state().waiting_calls.clear();
            }
            is_wanted
        });
        for (pool, config) in wanted {
            let new_host = || Arc::new(HostedPool { state: Mutex::default() });
            let host = self.hosts().entry(pool).or_insert_with(new_host).clone();
            let changed = host.state().config != config;
            if changed {
                host.state().config = config.clone();
                self.step(&host, Input::Configure(config));
            }
        }
    }

    /// Sends ticks to all coordinators and updates their metrics, until the process ends.
    pub async fn tick(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let hosts: Vec<(String, Arc<HostedPool>)> =
                self.hosts().iter().map(|(pool, host)| (pool.clone(), host.clone())).collect();
            for (pool, host) in hosts {
                self.step(&host, Input::Tick);
                self.update_metrics(&pool, &host);
            }
        }
    }

    fn update_metrics(&self, pool: &str, host: &HostedPool) {
        let snapshot = host.state().coordinator.snapshot(monotonic_ms());
        let metrics = &self.shared.metrics;
        for tier in 0..8_u8 {
            let waiting = snapshot.waiting.get(&tier).copied().unwrap_or(0);
            metrics.pool_waiting.with_label_values(&[pool, &tier.to_string()]).set(waiting as i64);
        }
        for load in snapshot.replicas {
            metrics.replica_slots_used.with_label_values(&[load.replica.as_str()]).set(i64::from(load.used));
        }
    }
}
