//! A group of machines that serve one replica: continuous batching over a shared KV memory. The head drives
//! the steps; a step runs only while every member works.

use crate::config::EngineModel;
use crate::ledger::{LedgerRecord, LedgerWriter};
use crate::machine::{Machine, Power};
use crate::prefix_cache::{CacheEvent, PrefixCache};
use crate::run::{Progress, Run};
use crate::wall_ms;
use dockwood_api::engine::{GenerateRequest, LoadPlan, RequestPhase, RequestState};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A member that hangs is given up after this long; one that is gone, at once.
const MEMBER_TIMEOUT_MS: u64 = 500;
/// Time between looks while nothing runs.
const IDLE_STEP: Duration = Duration::from_millis(5);
/// Ended requests that a head remembers.
const REMEMBERED_REQUESTS: usize = 50_000;
/// Blocks in the prefix cache for each KV block.
const CACHE_BLOCKS_DIVISOR: u32 = 4;

/// Why a request was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The head serves another replica or epoch.
    WrongEpoch,
    /// The id was barred.
    Barred,
}

#[derive(Debug, Default)]
struct Requests {
    waiting: Vec<Arc<Run>>,
    running: Vec<Arc<Run>>,
    /// All requests that the head remembers; `None` for barred ids.
    known: HashMap<String, Option<Arc<Run>>>,
    order: std::collections::VecDeque<String>,
    blocks_used: u32,
}

/// Load figures of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// KV blocks in use.
    pub blocks_used: u32,
}

/// One group.
#[derive(Debug)]
pub struct Group {
    /// What it serves.
    pub plan: LoadPlan,
    members: Vec<Arc<Machine>>,
    model: EngineModel,
    ledger: Arc<LedgerWriter>,
    requests: Mutex<Requests>,
    cache: Mutex<PrefixCache>,
    reported: Mutex<(u64, GroupLoad)>,
}

impl Group {
    /// A group that is not yet running.
    pub fn new(
        plan: LoadPlan,
        members: Vec<Arc<Machine>>,
        model: EngineModel,
        ledger: Arc<LedgerWriter>,
    ) -> Self {
        let cache = PrefixCache::new((model.kv_blocks / CACHE_BLOCKS_DIVISOR) as usize);
        Group {
            plan,
            members,
            model,
            ledger,
            requests: Mutex::default(),
            cache: Mutex::new(cache),
            reported: Mutex::default(),
        }
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Members that the group can't work without and does not hear of.
    pub fn missing(&self) -> Vec<String> {
        let now = wall_ms();
        let works = |machine: &Arc<Machine>| {
            let (power, since) = machine.power();
            match power {
                Power::Off => false,
                Power::Paused | Power::Cut => now < since + MEMBER_TIMEOUT_MS,
                Power::On => machine.works_for(&self.plan.replica, self.plan.epoch),
            }
        };
        self.members
            .iter()
            .filter(|machine| !works(machine))
            .map(|machine| machine.config.name.clone())
            .collect()
    }

    fn all_work(&self) -> bool {
        self.members.iter().all(|machine| machine.works_for(&self.plan.replica, self.plan.epoch))
    }

    /// Load figures, as old as the model says.
    pub fn reported_load(&self) -> GroupLoad {
        let mut reported = self.reported.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let now = wall_ms();
        if now >= reported.0 + self.model.load_lag_ms {
            let requests = self.requests();
            let load = GroupLoad {
                running: requests.running.len() as u32,
                waiting: requests.waiting.len() as u32,
                blocks_used: requests.blocks_used,
            };
            *reported = (now, load);
        }
        reported.1
    }

    /// Takes a request, or joins the run of the same id if it may not be started twice.
    pub fn submit(&self, request: GenerateRequest) -> Result<Arc<Run>, Refused> {
        if request.replica != self.plan.replica || request.epoch != self.plan.epoch {
            return Err(Refused::WrongEpoch);
        }
        let mut requests = self.requests();
        match requests.known.get(&request.id) {
            Some(None) => return Err(Refused::Barred),
            Some(Some(run)) if !request.repeatable => {
                // Whatever became of it, its tokens can be read again; none is generated anew.
                return Ok(run.clone());
            }
            _ => {}
        }
        self.record_dispatch(&request);
        let run = Arc::new(Run::new(request));
        requests.remember(&run.request.id, Some(run.clone()));
        requests.waiting.push(run.clone());
        // Stable, so that requests of one priority keep their order.
        requests.waiting.sort_by_key(|waiting| waiting.request.priority);
        Ok(run)
    }

    fn record_dispatch(&self, request: &GenerateRequest) {
        let down = |machine: &Arc<Machine>| {
            let (power, since) = machine.power();
            (power != Power::On).then(|| (machine.config.name.clone(), since))
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

    /// What the head knows of a request.
    pub fn state(&self, id: &str) -> RequestState {
        match self.requests().known.get(id) {
            None => RequestState { phase: RequestPhase::Unseen, next_sequence: 0 },
            Some(None) => RequestState { phase: RequestPhase::Barred, next_sequence: 0 },
            Some(Some(run)) => {
                let progress = run.progress();
                RequestState { phase: progress.phase, next_sequence: progress.next_sequence }
            }
        }
    }

    /// Bars an id that was not seen; answers what is known of it.
    pub fn bar(&self, id: &str) -> RequestState {
        let mut requests = self.requests();
        if !requests.known.contains_key(id) {
            requests.remember(id, None);
        }
        drop(requests);
        self.state(id)
    }

    /// Stops a request.
    pub fn cancel(&self, id: &str) {
        let run = self.requests().known.get(id).cloned().flatten();
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
            requests.blocks_used -= self.blocks(run).min(requests.blocks_used);
        }
        drop(requests);
        self.end(run, RequestPhase::Aborted);
    }

    fn end(&self, run: &Run, phase: RequestPhase) {
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

    fn blocks(&self, run: &Run) -> u32 {
        (run.prompt_tokens + run.total_tokens).div_ceil(self.model.block_tokens)
    }

    /// Cache events that are visible by now.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let until = wall_ms().saturating_sub(self.model.cache_event_lag_ms);
        self.cache().events(after, until, self.model.cache_event_gap)
    }

    /// Cached blocks of a prompt.
    pub fn export_cache(&self, prompt: &str) -> Vec<u64> {
        self.cache().export(prompt)
    }

    /// Takes cached blocks from elsewhere.
    pub fn import_cache(&self, blocks: &[u64]) {
        self.cache().import(blocks, wall_ms());
    }

    /// Runs steps until the head no longer heads this group.
    pub async fn run(self: Arc<Self>) {
        let head = self.members[0].clone();
        loop {
            let heads = head.group().is_some_and(|group| Arc::ptr_eq(&group, &self));
            if !heads {
                break;
            }
            head.wait_responsive().await;
            if !self.all_work() {
                if !self.missing().is_empty() {
                    self.abort_all();
                }
                tokio::time::sleep(IDLE_STEP).await;
                continue;
            }
            let step = self.begin_step();
            tokio::time::sleep(step).await;
            // A member that was lost meanwhile has taken the step's result with it.
            if self.all_work() {
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

    /// Fills the batch and returns how long the step takes.
    fn begin_step(&self) -> Duration {
        self.abort_abandoned();
        let mut prefill_tokens = 0;
        let mut requests = self.requests();
        while requests.running.len() < self.model.max_batch {
            let Some(next) = requests.waiting.first().cloned() else { break };
            let blocks = self.blocks(&next);
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
            return IDLE_STEP;
        }
        let micros = self.model.step_micros
            + batch * self.model.per_request_micros
            + prefill_tokens * self.model.prefill_token_micros;
        let slowest = self.members.iter().map(|machine| machine.slow_percent()).max().unwrap_or(100);
        Duration::from_micros(micros * slowest / 100)
    }

    /// A repeatable request that nobody listens to any more is given up, as engines do.
    fn abort_abandoned(&self) {
        let requests = self.requests();
        let abandoned: Vec<Arc<Run>> = requests
            .waiting
            .iter()
            .chain(&requests.running)
            .filter(|run| run.request.repeatable && !run.is_watched())
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
                requests.blocks_used -= self.blocks(&run).min(requests.blocks_used);
                drop(requests);
                self.end(&run, RequestPhase::Finished);
            }
        }
    }
}

impl Requests {
    fn remember(&mut self, id: &str, run: Option<Arc<Run>>) {
        if self.known.insert(id.to_string(), run).is_none() {
            self.order.push_back(id.to_string());
        }
        while self.order.len() > REMEMBERED_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}
