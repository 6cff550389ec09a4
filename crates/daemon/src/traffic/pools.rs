//! Pools that this daemon coordinates, or stands by for: the pure coordinator with its callers attached.
//!
//! A standby is configured and receives evidence like the coordinator, so that it can grant the moment an
//! entry turns to it.

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

/// Time between ticks of the coordinators.
const TICK_EVERY: Duration = Duration::from_millis(50);

#[derive(Default)]
struct HostState {
    coordinator: Coordinator,
    config: PoolConfig,
    calls: HashMap<Ticket, oneshot::Sender<AcquireReply>>,
    next_ticket: Ticket,
}

/// One pool.
struct PoolHost {
    state: Mutex<HostState>,
}

/// All pools of this daemon.
pub struct PoolHosts {
    shared: Arc<Shared>,
    reporter: Arc<Reporter>,
    hosts: Mutex<BTreeMap<String, Arc<PoolHost>>>,
}

/// Takes a waiting call back if its caller goes away.
struct WaitingCall {
    hosts: Arc<PoolHosts>,
    host: Arc<PoolHost>,
    ticket: Ticket,
    answered: bool,
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        if !self.answered {
            self.hosts.step(&self.host, Input::Cancel { ticket: self.ticket });
        }
    }
}

impl PoolHost {
    fn state(&self) -> MutexGuard<'_, HostState> {
        lock(&self.state)
    }
}

impl PoolHosts {
    /// No pools yet.
    pub fn new(shared: Arc<Shared>, reporter: Arc<Reporter>) -> Self {
        PoolHosts { shared, reporter, hosts: Mutex::default() }
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<String, Arc<PoolHost>>> {
        lock(&self.hosts)
    }

    fn host(&self, pool: &str) -> Option<Arc<PoolHost>> {
        self.hosts().get(pool).cloned()
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Arc<Self>, request: AcquireRequest) -> AcquireReply {
        let Some(host) = self.host(&request.pool) else { return AcquireReply::NotCoordinator };
        let (reply, answer) = oneshot::channel();
        let ticket = {
            let mut state = host.state();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            state.calls.insert(ticket, reply);
            ticket
        };
        let mut waiting = WaitingCall { hosts: self.clone(), host: host.clone(), ticket, answered: false };
        self.step(&host, Input::Acquire { ticket, request });
        let answer = answer.await.unwrap_or(AcquireReply::NotCoordinator);
        waiting.answered = true;
        answer
    }

    /// Takes a slot back.
    pub fn release(&self, slot_return: SlotReturn) {
        if let Some(host) = self.host(&slot_return.pool) {
            self.step(&host, Input::Release(slot_return));
        }
    }

    /// Takes a watcher's evidence.
    pub fn evidence(&self, reports: Vec<ReplicaEvidence>) {
        for report in reports {
            if let Some(host) = self.host(&report.pool) {
                self.step(&host, Input::Evidence(report));
            }
        }
    }

    /// Takes an entry's word on the slots it holds.
    pub fn entry_holds(&self, entry: &str, pool: &str, slots: Vec<(u64, String)>) {
        if let Some(host) = self.host(pool) {
            self.step(&host, Input::EntryHolds { entry: entry.to_string(), slots });
        }
    }

    /// Gives a coordinator an input and answers the calls that it decides on.
    fn step(&self, host: &PoolHost, input: Input) {
        let now = monotonic_ms();
        let mut state = host.state();
        if let Input::Cancel { ticket } = &input {
            state.calls.remove(ticket);
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in state.coordinator.step(now, input) {
                if let Some(follow_up) = self.carry_out(&mut state, output) {
                    inputs.push(follow_up);
                }
            }
        }
    }

    fn carry_out(&self, state: &mut HostState, output: Output) -> Option<Input> {
        match output {
            Output::Granted(ticket, grant) => {
                let slot = grant.slot;
                let reply = state.calls.remove(&ticket);
                let taken = reply.is_some_and(|reply| reply.send(AcquireReply::Granted(grant)).is_ok());
                if taken {
                    return None;
                }
                // Whoever asked is gone: the slot was never used.
                let pool = String::new();
                let unused = SlotReturn { pool, slot, replica_broken: false };
                Some(Input::Release(unused))
            }
            Output::Refused(ticket, refusal) => {
                if let Some(reply) = state.calls.remove(&ticket) {
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

    /// Keeps the set of pools and their configuration in step with what is published.
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
        let own = Some(&self.shared.settings.name);
        let mut wanted = BTreeMap::new();
        for (pool, row) in &published.tables.pools {
            let mine = row.coordinator.as_ref() == own || row.standby.as_ref() == own;
            if let Some(spec) = published.tables.deployment(pool).filter(|_| mine) {
                wanted.insert(pool.clone(), published.pool_config(pool, spec));
            }
        }
        self.hosts().retain(|pool, host| {
            let kept = wanted.contains_key(pool);
            if !kept {
                // Dropping the waiting calls sends their entries to the new coordinator.
                host.state().calls.clear();
            }
            kept
        });
        for (pool, config) in wanted {
            let fresh = || Arc::new(PoolHost { state: Mutex::default() });
            let host = self.hosts().entry(pool).or_insert_with(fresh).clone();
            let changed = host.state().config != config;
            if changed {
                host.state().config = config.clone();
                self.step(&host, Input::Configure(config));
            }
        }
    }

    /// Lets time pass for all pools, for ever.
    pub async fn tick(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let hosts: Vec<(String, Arc<PoolHost>)> =
                self.hosts().iter().map(|(pool, host)| (pool.clone(), host.clone())).collect();
            for (pool, host) in hosts {
                self.step(&host, Input::Tick);
                self.show(&pool, &host);
            }
        }
    }

    fn show(&self, pool: &str, host: &PoolHost) {
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
