//! An entry and model servers that stream events, each the only member of an open group.

use crate::entry::{Entry, EntryOptions, RetryBudget, wait_until};
use crate::stream_caller::{StreamCall, StreamCaller};
use crate::stream_server::{RequestRecord, Silence, StreamServer};
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

/// A route whose requests are sent to two servers at most.
pub const ROUTE: &str = "resumable";
/// A route whose requests are sent to three servers at most.
pub const ROUTE_WITH_THREE_ATTEMPTS: &str = "resumable-thrice";
/// No retries are allowed.
pub const NO_RETRIES: RetryBudget = RetryBudget { ratio: 0.0, extra: 0, window_seconds: 1 };
/// More retries are allowed than a test can use.
pub const MANY_RETRIES: RetryBudget = RetryBudget { ratio: 1.0, extra: 10_000, window_seconds: 1 };
/// An entry with [`MANY_RETRIES`] has earned enough of them after this time.
const BUDGET_EARNED_AFTER: Duration = Duration::from_millis(100);

/// Number of events that callers have received before servers are silent in mid-answer.
const EVENTS_BEFORE_SILENCE: usize = 3;

/// Stage of a response when its server falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The server has the request, and has written nothing.
    BeforeHead,
    /// The server has written the head of the response, and no event.
    BeforeFirstEvent,
    /// The caller has received some events.
    MidAnswer,
    /// The same, and the server has written the beginning of the next event.
    WithinEvent,
}

impl Stage {
    /// Returns what servers do not write before a response has reached this stage, so that it goes no further.
    fn silence_before(self) -> Silence {
        match self {
            Stage::BeforeHead => Silence::Everything,
            Stage::BeforeFirstEvent => Silence::Events,
            Stage::MidAnswer | Stage::WithinEvent => Silence::None,
        }
    }

    /// Returns what a server does not write once a response has reached this stage.
    pub fn silence(self) -> Silence {
        match self {
            Stage::BeforeHead | Stage::MidAnswer => Silence::Everything,
            Stage::BeforeFirstEvent => Silence::Events,
            Stage::WithinEvent => Silence::WithinEvent,
        }
    }

    /// Returns whether the caller has received events.
    pub fn has_events(self) -> bool {
        matches!(self, Stage::MidAnswer | Stage::WithinEvent)
    }
}

/// A request whose source is silent.
pub struct StalledCall {
    pub caller: StreamCaller,
    pub source: Arc<StreamServer>,
    /// All other servers.
    pub others: Vec<Arc<StreamServer>>,
}

/// Instance id of a server, by its number.
pub fn server_id(number: usize) -> String {
    format!("writer-{number}")
}

pub struct StreamFleet {
    pub entry: Arc<Entry>,
    pub servers: Vec<Arc<StreamServer>>,
}

impl StreamFleet {
    /// Starts an entry, and servers whose groups process `slots` requests concurrently.
    pub async fn start(servers: usize, slots: u32, retry_budget: RetryBudget) -> Result<StreamFleet> {
        let options = EntryOptions { retry_budget: Some(retry_budget), slots, ..EntryOptions::default() };
        StreamFleet::start_with(servers, options).await
    }

    /// Starts an entry with these options, and servers.
    pub async fn start_with(servers: usize, options: EntryOptions) -> Result<StreamFleet> {
        let entry = Entry::start_with(options)?;
        entry.renew_lease_continuously();
        // The fixed number of retries is divided among the entries that are known.
        entry.add_daemon(entry.shared.record());
        let mut fleet = StreamFleet { entry, servers: Vec::new() };
        for _ in 0..servers {
            fleet.add_server().await?;
        }
        tokio::time::sleep(BUDGET_EARNED_AFTER).await;
        Ok(fleet)
    }

    /// Adds a server in a group of its own, and waits until the entry knows of it.
    pub async fn add_server(&mut self) -> Result<Arc<StreamServer>> {
        self.add_server_of_model("m").await
    }

    /// The same for a model.
    pub async fn add_server_of_model(&mut self, model: &str) -> Result<Arc<StreamServer>> {
        let server = StreamServer::start().await?;
        let id = server_id(self.servers.len());
        self.entry.register_with_start(&id, Some(1), "writer", "z", server.address);
        self.entry.open_group_of_model(&id, model);
        self.servers.push(server.clone());
        let open_groups = self.entry.shared.metrics.open_groups.with_label_values(&["writer"]);
        let groups = self.servers.len() as i64;
        wait_until("the entry knows of the group", || open_groups.get() == groups).await;
        Ok(server)
    }

    /// Sets what no server writes from now on.
    pub fn set_silence(&self, silence: Silence) {
        self.servers.iter().for_each(|server| server.set_silence(silence));
    }

    /// Sends a request.
    pub fn call(&self, call: StreamCall) -> StreamCaller {
        StreamCaller::start(self.entry.frontend, call)
    }

    /// Sends this number of requests, and waits until all servers are silent at the given stage of each.
    pub async fn stalled_callers(&self, count: usize, stage: Stage) -> Vec<StreamCaller> {
        let calls = (1..=count).map(|number| StreamCall::new(ROUTE, format!("a-{number}")));
        self.stalled_calls(calls, stage).await
    }

    /// Sends requests, and waits until all servers are silent at the given stage of each.
    pub async fn stalled_calls(
        &self,
        calls: impl IntoIterator<Item = StreamCall>,
        stage: Stage,
    ) -> Vec<StreamCaller> {
        self.set_silence(stage.silence_before());
        let callers: Vec<StreamCaller> = calls.into_iter().map(|call| self.call(call)).collect();
        let is_reached = |caller: &StreamCaller| match stage.has_events() {
            true => caller.events() >= EVENTS_BEFORE_SILENCE,
            false => !self.records_of(&caller.attempt).is_empty(),
        };
        wait_until("a request does not reach its stage", || callers.iter().all(is_reached)).await;
        self.set_silence(stage.silence());
        callers
    }

    /// Sends a request, and waits until its server is silent at the given stage. The others are not silent.
    pub async fn stalled_call(&self, call: StreamCall, stage: Stage) -> StalledCall {
        let attempt = call.attempt.clone();
        let mut callers = self.stalled_calls([call], stage).await;
        let has_received = |server: &&Arc<StreamServer>| !server.records_of(&attempt).is_empty();
        let (sources, others): (Vec<_>, Vec<_>) = self.servers.iter().partition(has_received);
        others.iter().for_each(|server| server.set_silence(Silence::None));
        StalledCall {
            caller: callers.remove(0),
            source: sources[0].clone(),
            others: others.into_iter().cloned().collect(),
        }
    }

    /// Returns what all servers have recorded, in the order of receipt.
    pub fn records(&self) -> Vec<RequestRecord> {
        let mut records: Vec<RequestRecord> =
            self.servers.iter().flat_map(|server| server.records()).collect();
        records.sort_by_key(|record| record.received_at);
        records
    }

    /// Returns what all servers have recorded of an attempt, in the order of receipt.
    pub fn records_of(&self, attempt: &str) -> Vec<RequestRecord> {
        self.records().into_iter().filter(|record| record.attempt == attempt).collect()
    }
}
