//! A group of machines that serves one replica, with continuous batching over a shared KV cache. The head
//! runs the steps; a step only runs while all members work.

use crate::config::EngineModel;
use crate::ledger::{LedgerRecord, LedgerWriter};
use crate::machine::{Machine, MachineStatus};
use crate::prefix_cache::{CacheEvent, PrefixCache};
use crate::run::{Progress, Run, SubscribedRun};
use crate::wall_ms;
use dockwood_api::engine::{GenerateRequest, LoadPlan, RequestPhase, RequestState};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A member that hangs counts as missing after this time; one that is down, immediately.
const MEMBER_TIMEOUT_MS: u64 = 500;
/// Polling interval while nothing runs.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of requests that a head keeps a record of.
const MAX_RECORDED_REQUESTS: usize = 50_000;
/// KV blocks per block of the prefix cache.
const KV_BLOCKS_PER_CACHE_BLOCK: u32 = 4;

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The head serves another replica or epoch.
    WrongEpoch,
    /// The request id was barred.
    Barred,
}

#[derive(Debug, Default)]
struct Requests {
    waiting: Vec<Arc<Run>>,
    running: Vec<Arc<Run>>,
    /// All recorded requests by id; `None` for barred ids.
    by_id: HashMap<String, Option<Arc<Run>>>,
    /// Ids of the recorded requests, oldest first.
    id_order: std::collections::VecDeque<String>,
    blocks_used: u32,
}

/// Load of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// KV blocks in use.
    pub blocks_used: u32,
}

/// A group of machines that serves one replica.
#[derive(Debug)]
pub struct Group {
    /// The plan that the group was loaded with.
    pub plan: LoadPlan,
    members: Vec<Arc<Machine>>,
    model: EngineModel,
    ledger: Arc<LedgerWriter>,
    requests: Mutex<Requests>,
    cache: Mutex<PrefixCache>,
    load_sample: Mutex<(u64, GroupLoad)>,
}

impl Group {
    /// Creates a group that is not running yet.
    pub fn new(
        plan: LoadPlan,
        members: Vec<Arc<Machine>>,
        model: EngineModel,
        ledger: Arc<LedgerWriter>,
    ) -> Self {
        let cache = PrefixCache::new((model.kv_blocks / KV_BLOCKS_PER_CACHE_BLOCK) as usize);
        Group {
            plan,
            members,
            model,
            ledger,
            requests: Mutex::default(),
            cache: Mutex::new(cache),
            load_sample: Mutex::default(),
        }
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the members that are down, do not respond or are not loaded for this group. The group can't
    /// run a step without them.
    pub fn missing_members(&self) -> Vec<String> {
        let now = wall_ms();
        let is_working = |machine: &Arc<Machine>| {
            let (status, since) = machine.status();
            match status {
                MachineStatus::Stopped => false,
                MachineStatus::Paused | MachineStatus::Disconnected => now < since + MEMBER_TIMEOUT_MS,
                MachineStatus::Running => machine.works_for(&self.plan.replica, self.plan.epoch),
            }
        };
        self.members
            .iter()
            .filter(|machine| !is_working(machine))
            .map(|machine| machine.config.name.clone())
            .collect()
    }

    fn all_members_work(&self) -> bool {
        self.members.iter().all(|machine| machine.works_for(&self.plan.replica, self.plan.epoch))
    }

    /// Returns the load, which is up to `load_lag_ms` old.
    pub fn reported_load(&self) -> GroupLoad {
        let mut load_sample = self.load_sample.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let now = wall_ms();
        if now >= load_sample.0 + self.model.load_lag_ms {
            let requests = self.requests();
            let load = GroupLoad {
                running: requests.running.len() as u32,
                waiting: requests.waiting.len() as u32,
                blocks_used: requests.blocks_used,
            };
            *load_sample = (now, load);
        }
        load_sample.1
    }

    /// Accepts a request, or returns the existing run of the same id if the request must not be started
    /// twice. The run is subscribed to before a step can find it abandoned.
    pub fn submit(&self, request: GenerateRequest) -> Result<SubscribedRun, SubmitError> {
        if request.replica != self.plan.replica || request.epoch != self.plan.epoch {
            return Err(SubmitError::WrongEpoch);
        }
        let mut requests = self.requests();
        match requests.by_id.get(&request.id) {
            Some(None) => return Err(SubmitError::Barred),
            Some(Some(run)) if !request.repeatable => {
                // The tokens that it generated can be read again, but none are generated again, whatever its
                // result.
                return Ok(SubscribedRun::new(run.clone()));
            }
            _ => {}
        }
        self.record_dispatch(&request);
        let run = Arc::new(Run::new(request));
        let subscribed = SubscribedRun::new(run.clone());
        requests.record(&run.request.id, Some(run.clone()));
        requests.waiting.push(run);
        // A stable sort, which keeps the order of requests with equal priority.
        requests.waiting.sort_by_key(|waiting| waiting.request.priority);
        Ok(subscribed)
    }

    fn record_dispatch(&self, request: &GenerateRequest) {
        let down = |machine: &Arc<Machine>| {
            let (status, since) = machine.status();
            (status != MachineStatus::Running).then(|| (machine.config.name.clone(), since))
        };
        let leaving = |machine: &Arc<Machine>| {
            machine.leaving_since().map(|since| (machine.config.name.clone(), since))
        };
        self.ledger.append(&LedgerRecord::Dispatched {
            at_ms: wall_ms(),
            request: request.id.clone(),
            replica: self.plan.replica.clone(),
            epoch: self.plan.epoch,
            resume_from: request.resume_from,
            repeatable: request.repeatable,
            missing: self.members.iter().filter_map(down).collect(),
            leaving: self.members.iter().filter_map(leaving).collect(),
        });
    }

    /// Returns the state of a request.
    pub fn state(&self, id: &str) -> RequestState {
        match self.requests().by_id.get(id) {
            None => RequestState { phase: RequestPhase::Unseen, next_sequence: 0 },
            Some(None) => RequestState { phase: RequestPhase::Barred, next_sequence: 0 },
            Some(Some(run)) => {
                let progress = run.progress();
                RequestState { phase: progress.phase, next_sequence: progress.next_sequence }
            }
        }
    }

    /// Bars a request id unless it was seen before, and returns the state of the request.
    pub fn bar(&self, id: &str) -> RequestState {
        let mut requests = self.requests();
        if !requests.by_id.contains_key(id) {
            requests.record(id, None);
        }
        drop(requests);
        self.state(id)
    }

    /// Cancels a request.
    pub fn cancel(&self, id: &str) {
        let run = self.requests().by_id.get(id).cloned().flatten();
        if let Some(run) = run {
            self.abort(&run);
        }
    }

    fn abort(&self, run: &Arc<Run>) {
        let mut requests = self.requests();
        let queued = requests.waiting.iter().chain(&requests.running).any(|other| Arc::ptr_eq(other, run));
        if !queued {
            return;
        }
        let was_running = requests.running.iter().any(|other| Arc::ptr_eq(other, run));
        requests.waiting.retain(|other| !Arc::ptr_eq(other, run));
        requests.running.retain(|other| !Arc::ptr_eq(other, run));
        if was_running {
            requests.blocks_used -= self.kv_blocks(run).min(requests.blocks_used);
        }
        drop(requests);
        self.finish(run, RequestPhase::Aborted);
    }

    fn finish(&self, run: &Run, phase: RequestPhase) {
        let next_sequence = run.progress().next_sequence;
        self.ledger.append(&LedgerRecord::Ended {
            at_ms: wall_ms(),
            request: run.request.id.clone(),
            replica: self.plan.replica.clone(),
            epoch: self.plan.epoch,
            from: run.request.resume_from,
            to: next_sequence,
            finished: phase == RequestPhase::Finished,
        });
        run.set_progress(Progress { phase, next_sequence });
    }

    fn kv_blocks(&self, run: &Run) -> u32 {
        (run.prompt_tokens + run.total_tokens).div_ceil(self.model.block_tokens)
    }

    /// Returns the cache events after `after` that are published by now.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let until = wall_ms().saturating_sub(self.model.cache_event_lag_ms);
        self.cache().events(after, until, self.model.cache_event_gap)
    }

    /// Returns the cached blocks of a prompt.
    pub fn export_cache(&self, prompt: &str) -> Vec<u64> {
        self.cache().export(prompt)
    }

    /// Adds cached blocks of another group.
    pub fn import_cache(&self, blocks: &[u64]) {
        self.cache().import(blocks, wall_ms());
    }

    /// Runs steps until the head leaves this group.
    pub async fn run(self: Arc<Self>) {
        let head = self.members[0].clone();
        loop {
            let is_head = head.group().is_some_and(|group| Arc::ptr_eq(&group, &self));
            if !is_head {
                break;
            }
            head.wait_until_responsive().await;
            if !self.all_members_work() {
                if !self.missing_members().is_empty() {
                    self.abort_all();
                }
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            let step = self.begin_step();
            tokio::time::sleep(step).await;
            // If a member failed during the step, its result is lost.
            if self.all_members_work() {
                self.finish_step();
            }
        }
        self.abort_all();
    }

    fn abort_all(&self) {
        let requests = self.requests();
        let all: Vec<Arc<Run>> = requests.waiting.iter().chain(&requests.running).cloned().collect();
        drop(requests);
        all.iter().for_each(|run| self.abort(run));
    }

    /// Fills the batch and returns the duration of the step.
    fn begin_step(&self) -> Duration {
        self.abort_abandoned();
        let mut prefill_tokens = 0;
        let mut requests = self.requests();
        while requests.running.len() < self.model.max_batch {
            let Some(next) = requests.waiting.first().cloned() else { break };
            let blocks = self.kv_blocks(&next);
            if requests.blocks_used + blocks > self.model.kv_blocks && !requests.running.is_empty() {
                break;
            }
            requests.waiting.remove(0);
            requests.blocks_used += blocks;
            let cached = self.cache().use_prompt(&next.request.prompt, wall_ms()).min(next.prompt_tokens);
            next.set_cached_tokens(cached);
            prefill_tokens += u64::from(next.prompt_tokens - cached);
            requests.running.push(next);
        }
        let batch = requests.running.len() as u64;
        drop(requests);
        if batch == 0 {
            return IDLE_POLL_INTERVAL;
        }
        let micros = self.model.step_micros
            + batch * self.model.per_request_micros
            + prefill_tokens * self.model.prefill_token_micros;
        let slowest = self.members.iter().map(|machine| machine.step_percent()).max().unwrap_or(100);
        Duration::from_micros(micros * slowest / 100)
    }

    /// Aborts repeatable requests that no caller reads any more, as real engines do.
    fn abort_abandoned(&self) {
        let requests = self.requests();
        let abandoned: Vec<Arc<Run>> = requests
            .waiting
            .iter()
            .chain(&requests.running)
            .filter(|run| run.request.repeatable && !run.is_subscribed())
            .cloned()
            .collect();
        drop(requests);
        abandoned.iter().for_each(|run| self.abort(run));
    }

    fn finish_step(&self) {
        let running = self.requests().running.clone();
        for run in running {
            let sequence = run.progress().next_sequence;
            if sequence == run.request.resume_from {
                self.ledger.append(&LedgerRecord::Started {
                    at_ms: wall_ms(),
                    request: run.request.id.clone(),
                    replica: self.plan.replica.clone(),
                    epoch: self.plan.epoch,
                    from: sequence,
                });
            }
            let next_sequence = (sequence + 1).min(run.total_tokens);
            run.set_progress(Progress { phase: RequestPhase::Running, next_sequence });
            if next_sequence >= run.total_tokens {
                let mut requests = self.requests();
                requests.running.retain(|other| !Arc::ptr_eq(other, &run));
                requests.blocks_used -= self.kv_blocks(&run).min(requests.blocks_used);
                drop(requests);
                self.finish(&run, RequestPhase::Finished);
            }
        }
    }
}

impl Requests {
    fn record(&mut self, id: &str, run: Option<Arc<Run>>) {
        if self.by_id.insert(id.to_string(), run).is_none() {
            self.id_order.push_back(id.to_string());
        }
        while self.id_order.len() > MAX_RECORDED_REQUESTS
            && let Some(oldest) = self.id_order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}
