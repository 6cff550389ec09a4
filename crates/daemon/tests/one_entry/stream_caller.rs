//! A caller of a streaming route, which records what it receives.

use crate::entry::TEST_TIMEOUT;
use crate::stream_server::whole_stream;
use dockwood_daemon::lock::lock;
use futures::future::join_all;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// A request to a streaming route.
#[derive(Clone, Debug)]
pub struct StreamCall {
    pub route: &'static str,
    /// Attempt id, which also makes the path of the request unique.
    pub attempt: String,
    pub model: &'static str,
    /// Id of the last event that the caller has from an earlier request; 0 if it has none.
    pub last_event: u64,
    /// Time allowed for the response; `None` for the timeout of the route.
    pub deadline: Option<Duration>,
}

impl StreamCall {
    pub fn new(route: &'static str, attempt: impl Into<String>) -> StreamCall {
        StreamCall { route, attempt: attempt.into(), model: "m", last_event: 0, deadline: None }
    }
}

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It was complete.
    Complete,
    /// It was cut: its connection was closed before its end.
    Cut(String),
    /// There was none: the connection was closed before the head of a response.
    None(String),
    /// It did not end in the time that the test allows.
    Late,
}

/// What a caller has received.
#[derive(Clone, Debug)]
pub struct StreamResponse {
    pub attempt: String,
    /// The event after which the response begins; 0 for the whole stream.
    pub last_event: u64,
    pub status: Option<u16>,
    pub body: String,
    /// `None` while it is being received.
    pub end: Option<ResponseEnd>,
    pub took: Duration,
}

impl StreamResponse {
    /// Returns the number of events that were received.
    pub fn events(&self) -> usize {
        self.body.matches("\n\n").count()
    }

    /// Returns whether it is the whole stream, with each event once and in order.
    pub fn is_whole(&self) -> bool {
        self.status == Some(200)
            && self.end == Some(ResponseEnd::Complete)
            && self.body == whole_stream(&self.attempt, self.last_event)
    }

    /// Returns whether it contains events in order, without a gap, and nothing else; it may be cut after any of them.
    pub fn is_in_order(&self) -> bool {
        whole_stream(&self.attempt, self.last_event).starts_with(&self.body)
            && (self.body.is_empty() || self.body.ends_with("\n\n"))
    }

    /// Returns whether it is a complete error response with a result code.
    pub fn is_final_error(&self) -> bool {
        self.status.is_some_and(|status| status >= 400)
            && self.end == Some(ResponseEnd::Complete)
            && self.body.starts_with(r#"{"error":{"code":"#)
    }

    pub fn assert_whole(&self) {
        assert!(self.is_whole(), "not the whole answer: {self:?}");
    }
}

/// Waits for the responses of all callers, and asserts that each is the whole stream.
pub async fn assert_all_whole(callers: Vec<StreamCaller>) {
    let responses = join_all(callers.into_iter().map(StreamCaller::finish)).await;
    let total = responses.len();
    let others: Vec<StreamResponse> = responses.into_iter().filter(|response| !response.is_whole()).collect();
    assert!(
        others.is_empty(),
        "{} of {total} callers did not receive the whole answer: {others:#?}",
        others.len()
    );
}

/// A caller whose response is being received.
pub struct StreamCaller {
    pub attempt: String,
    response: Arc<Mutex<StreamResponse>>,
    task: JoinHandle<()>,
}

impl StreamCaller {
    /// Sends a request to an entry.
    pub fn start(frontend: SocketAddr, call: StreamCall) -> StreamCaller {
        let response = StreamResponse {
            attempt: call.attempt.clone(),
            last_event: call.last_event,
            status: None,
            body: String::new(),
            end: None,
            took: Duration::ZERO,
        };
        let (attempt, response) = (call.attempt.clone(), Arc::new(Mutex::new(response)));
        let receiving = response.clone();
        let task = tokio::spawn(async move {
            let started = Instant::now();
            let received = tokio::time::timeout(TEST_TIMEOUT, receive(frontend, call, &receiving)).await;
            let mut response = lock(&receiving);
            response.end = Some(received.unwrap_or(ResponseEnd::Late));
            response.took = started.elapsed();
        });
        StreamCaller { attempt, response, task }
    }

    /// Returns the number of events that were received so far.
    pub fn events(&self) -> usize {
        lock(&self.response).events()
    }

    /// Closes the connection.
    pub fn leave(self) {
        self.task.abort();
    }

    /// Waits for the end of the response.
    pub async fn finish(self) -> StreamResponse {
        self.task.await.unwrap_or_else(|error| panic!("{error}"));
        lock(&self.response).clone()
    }
}

async fn receive(frontend: SocketAddr, call: StreamCall, received: &Mutex<StreamResponse>) -> ResponseEnd {
    let url = format!("http://{frontend}/{}/{}", call.route, call.attempt);
    let request = reqwest::Client::new().post(url).header("host", "h").header("dockwood-model", call.model);
    let mut request = request.header("dockwood-attempt", &call.attempt);
    if call.last_event > 0 {
        request = request.header("last-event-id", call.last_event.to_string());
    }
    if let Some(deadline) = call.deadline {
        request = request.header("dockwood-deadline-ms", deadline.as_millis().to_string());
    }
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(error) => return ResponseEnd::None(format!("{error:?}")),
    };
    lock(received).status = Some(response.status().as_u16());
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => lock(received).body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return ResponseEnd::Complete,
            Err(error) => return ResponseEnd::Cut(format!("{error:?}")),
        }
    }
}
