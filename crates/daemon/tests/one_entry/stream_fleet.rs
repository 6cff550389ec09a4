//! An entry and model servers that stream events, each the only member of an open group.

use crate::entry::{Entry, EntryOptions, RetryBudget, wait_until};
use crate::stream_caller::{StreamCall, StreamCaller};
use crate::stream_server::StreamServer;
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;

/// A route whose requests are sent to two servers at most.
pub const ROUTE: &str = "resumable";
/// No retries are allowed.
pub const NO_RETRIES: RetryBudget = RetryBudget { ratio: 0.0, extra: 0, window_seconds: 1 };
/// More retries are allowed than a test can use.
pub const MANY_RETRIES: RetryBudget = RetryBudget { ratio: 1.0, extra: 10_000, window_seconds: 1 };
/// An entry with [`MANY_RETRIES`] has earned enough of them after this time.
const BUDGET_EARNED_AFTER: Duration = Duration::from_millis(100);

pub struct StreamFleet {
    pub entry: Arc<Entry>,
    pub servers: Vec<Arc<StreamServer>>,
}

impl StreamFleet {
    /// Starts an entry, and servers whose groups process `slots` requests concurrently.
    pub async fn start(servers: usize, slots: u32, retry_budget: RetryBudget) -> Result<StreamFleet> {
        let options = EntryOptions { retry_budget: Some(retry_budget), slots, ..EntryOptions::default() };
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
        let server = StreamServer::start().await?;
        let id = format!("writer-{}", self.servers.len());
        self.entry.register_with_start(&id, Some(1), "writer", "z", server.address);
        self.entry.open_group(&id);
        self.servers.push(server.clone());
        let open_groups = self.entry.shared.metrics.open_groups.with_label_values(&["writer"]);
        let groups = self.servers.len() as i64;
        wait_until("the entry knows of the group", || open_groups.get() == groups).await;
        Ok(server)
    }

    /// Makes all servers silent for a time.
    pub async fn silence_all(&self, duration: Duration) {
        self.servers.iter().for_each(|server| server.set_silent(true));
        tokio::time::sleep(duration).await;
        self.servers.iter().for_each(|server| server.set_silent(false));
    }

    /// Sends a request.
    pub fn call(&self, call: StreamCall) -> StreamCaller {
        StreamCaller::start(self.entry.frontend, call)
    }

    /// Sends this number of requests, and waits until each caller has received `events`.
    pub async fn callers_in_mid_answer(&self, count: usize, events: usize) -> Vec<StreamCaller> {
        let calls = (1..=count).map(|number| StreamCall::new(ROUTE, format!("a-{number}")));
        let callers: Vec<StreamCaller> = calls.map(|call| self.call(call)).collect();
        wait_until("a stream does not begin", || callers.iter().all(|caller| caller.events() >= events))
            .await;
        callers
    }
}
