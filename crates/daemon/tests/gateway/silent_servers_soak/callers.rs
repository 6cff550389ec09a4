//! Callers that send requests one after the other and keep their connections for as long as these live.

use super::records::{Call, CallKind, Outcome, whole_body};
use reqwest::{Client, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// A caller that reaches no entry waits for this time.
const PAUSE_WITHOUT_CONNECTION: Duration = Duration::from_millis(150);
/// Time allowed for a response, longer than several pauses of its server.
const LONG_DEADLINE: Duration = Duration::from_secs(10);
/// Time allowed for a response by some callers.
const SHORT_DEADLINE: Duration = Duration::from_secs(5);
/// Callers wait for this time beyond their deadline.
const WAITS_BEYOND_DEADLINE: Duration = Duration::from_secs(6);

/// A caller.
pub struct Caller {
    pub number: usize,
    pub entry: usize,
    pub entry_url: String,
    pub kind: CallKind,
}

impl Caller {
    /// Sends requests until the run is over, and returns them with their responses.
    pub async fn run(self, is_over: Arc<AtomicBool>) -> Vec<Call> {
        let http = Client::builder().pool_idle_timeout(None).no_proxy().build().unwrap_or_default();
        let mut calls = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let attempt = format!("e{}-{}-{}-{:04}", self.entry, self.kind.route(), self.number, calls.len());
            let deadline = if self.number.is_multiple_of(3) { SHORT_DEADLINE } else { LONG_DEADLINE };
            let sent = Instant::now();
            let received = self.send(&http, &attempt, deadline);
            let received = tokio::time::timeout(deadline + WAITS_BEYOND_DEADLINE, received).await;
            let outcome = received.unwrap_or(Outcome::Late);
            let is_connected = outcome != Outcome::NotConnected;
            let (kind, entry, ended) = (self.kind, self.entry, Instant::now());
            calls.push(Call { attempt, kind, entry, sent, ended, deadline, outcome });
            tokio::time::sleep(if is_connected { PAUSE } else { PAUSE_WITHOUT_CONNECTION }).await;
        }
        calls
    }

    async fn send(&self, http: &Client, attempt: &str, deadline: Duration) -> Outcome {
        let request = http
            .post(format!("{}/{}/{attempt}", self.entry_url, self.kind.route()))
            .header("host", "h.example")
            .header("authorization", "Bearer key-1")
            .header("dockwood-attempt", attempt)
            .header("dockwood-model", "m")
            .header("dockwood-deadline-ms", deadline.as_millis().to_string());
        match request.send().await {
            Ok(response) => self.receive(response, attempt).await,
            Err(error) if error.is_connect() => Outcome::NotConnected,
            Err(error) => Outcome::NoResponse(format!("{error:?}")),
        }
    }

    async fn receive(&self, mut response: Response, attempt: &str) -> Outcome {
        let status = response.status().as_u16();
        let is_own = response.headers().get("dockwood-attempt").is_some_and(|id| id == attempt);
        let mut body = Vec::new();
        let error = loop {
            match response.chunk().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break None,
                Err(error) => break Some(format!("{error:?}")),
            }
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let whole = whole_body(self.kind, attempt);
        match (status, error) {
            (200, None) if is_own && body == whole => Outcome::Whole,
            (200, Some(error)) if is_own && whole.starts_with(&body) => {
                Outcome::Cut(format!("after {} of {} bytes: {error}", body.len(), whole.len()))
            }
            (200, error) => Outcome::Wrong(format!(
                "own id {is_own}, {} of {} bytes, ends with {:?}, {error:?}",
                body.len(),
                whole.len(),
                &body[body.len().saturating_sub(80)..]
            )),
            (status, None) => Outcome::Error { status, text: body },
            (status, Some(error)) => Outcome::Cut(format!("error {status}: {error}")),
        }
    }
}
