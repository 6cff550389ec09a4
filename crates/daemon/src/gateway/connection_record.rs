//! Records what a caller's connection still owes its caller, so that the log tells why a request on it got no whole answer.

use super::Gateway;
use crate::clock::monotonic_ms;
use crate::connection_line::{CallerConnectionLine, ConnectionEnd, Unanswered};
use crate::lock::lock;
use crate::log_line::LineBody;
use crate::logging;
use hyper::StatusCode;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Record of one caller's connection. When it is dropped, it writes a line for each request that got no whole answer and
/// whose request line doesn't say so.
pub struct ConnectionRecord {
    gateway: Arc<Gateway>,
    opened_ms: u64,
    progress: Mutex<Progress>,
}

#[derive(Default)]
struct Progress {
    /// Bytes received since the last response was written.
    received_bytes: u64,
    /// Requests whose responses are not written, oldest first: a caller may send requests in advance.
    pending: VecDeque<PendingAnswer>,
    /// Number of requests received.
    requests: u64,
    /// Whether received bytes may be the rest of a request that was answered early.
    ignores_received: bool,
    end: Option<ConnectionEnd>,
}

struct PendingAnswer {
    number: u64,
    attempt: Option<String>,
    status: Option<StatusCode>,
    /// Whether the request had not been read completely when there was a response.
    is_early: bool,
    /// Whether hyper has taken the whole response, which may not be written yet.
    is_taken: bool,
}

impl ConnectionRecord {
    /// Creates the record of a connection that has just been accepted.
    pub fn new(gateway: Arc<Gateway>) -> Arc<ConnectionRecord> {
        Arc::new(ConnectionRecord { gateway, opened_ms: monotonic_ms(), progress: Mutex::default() })
    }

    /// Records that bytes were read from the connection.
    pub fn received(&self, bytes: usize) {
        let mut progress = lock(&self.progress);
        if !progress.ignores_received {
            progress.received_bytes += bytes as u64;
        }
    }

    /// Records that everything that hyper held for the caller was written.
    pub fn flushed(&self) {
        let mut progress = lock(&self.progress);
        while progress.pending.front().is_some_and(|answer| answer.is_taken) {
            progress.ignores_received = progress.pending.pop_front().is_some_and(|answer| answer.is_early);
            progress.received_bytes = 0;
        }
    }

    /// Records how the connection ended; only the first call has an effect.
    pub fn end(&self, end: ConnectionEnd) {
        lock(&self.progress).end.get_or_insert(end);
    }

    /// Records that a request was received.
    pub fn begin_request(self: &Arc<Self>, attempt: Option<String>) -> AnswerRecord {
        let mut progress = lock(&self.progress);
        progress.requests += 1;
        progress.ignores_received = false;
        let number = progress.requests;
        progress.pending.push_back(PendingAnswer {
            number,
            attempt,
            status: None,
            is_early: false,
            is_taken: false,
        });
        AnswerRecord { connection: self.clone(), number }
    }

    fn write_line(&self, line: CallerConnectionLine<'_>) {
        let shared = &self.gateway.shared;
        let labels = [line.unanswered.name(), line.ended_by.name()];
        shared.metrics.unanswered_callers.with_label_values(&labels).inc();
        let budget_code = line.unanswered.budget_code();
        let budget = &self.gateway.connection_line_budget;
        if let Some(held_back) = lock(budget).take(monotonic_ms(), budget_code) {
            let line = CallerConnectionLine { held_back, ..line };
            logging::write(&shared.settings.name, LineBody::CallerConnection(line));
        }
    }
}

impl Drop for ConnectionRecord {
    fn drop(&mut self) {
        let Progress { received_bytes, pending, end, .. } = std::mem::take(&mut *lock(&self.progress));
        let line = CallerConnectionLine {
            request: "",
            unanswered: Unanswered::IncompleteRequest,
            ended_by: end.unwrap_or(ConnectionEnd::ProcessEnded),
            status: None,
            received_bytes,
            open_ms: monotonic_ms().saturating_sub(self.opened_ms),
            held_back: 0,
        };
        // With a pending answer, the bytes are those of its request.
        if pending.is_empty() && received_bytes > 0 {
            self.write_line(line);
            return;
        }
        for answer in &pending {
            self.write_line(CallerConnectionLine {
                request: answer.attempt.as_deref().unwrap_or_default(),
                unanswered: Unanswered::UnwrittenResponse,
                status: answer.status.map(|status| status.as_u16()),
                ..line
            });
        }
    }
}

/// Record of the answer to one request. If it is dropped without a response, the request line tells that there is none.
pub struct AnswerRecord {
    connection: Arc<ConnectionRecord>,
    number: u64,
}

impl AnswerRecord {
    /// Records that there is a response; `is_early` if the request may not have been read completely.
    pub fn respond(&self, status: StatusCode, is_early: bool) {
        self.change(|answer| (answer.status, answer.is_early) = (Some(status), is_early));
    }

    /// Records that hyper has taken the whole response.
    pub fn taken(&self) {
        self.change(|answer| answer.is_taken = true);
    }

    /// Records that the request line tells how the request ended.
    pub fn logged_by_request_line(&self) {
        lock(&self.connection.progress).pending.retain(|answer| answer.number != self.number);
    }

    fn change(&self, change: impl FnOnce(&mut PendingAnswer)) {
        let mut progress = lock(&self.connection.progress);
        progress.pending.iter_mut().find(|answer| answer.number == self.number).map(change);
    }
}

impl Drop for AnswerRecord {
    fn drop(&mut self) {
        let mut progress = lock(&self.connection.progress);
        progress.pending.retain(|answer| answer.number != self.number || answer.status.is_some());
    }
}
