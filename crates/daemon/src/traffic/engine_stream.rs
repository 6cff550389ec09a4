//! Talks to the head of a replica about one request.

use crate::native_dialect::NATIVE_SIGNALS;
use crate::pushback::{SendPermit, signals_of};
use bytes::BytesMut;
use dockwood_api::engine::{
    GenerateEvent, GenerateRequest, HEADER_NOT_RUN, PATH_GENERATE, PATH_REQUESTS, RequestState,
};
use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a head may take to answer the first byte of a call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest line of a stream; a longer one means that the stream is broken.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Why a stream did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The head got no byte of it, or refused it: it was not run.
    NotRun,
    /// The head said that it did not run it, and goes on serving.
    Rejected,
    /// It may have begun.
    Unclear,
}

/// What comes next on a stream.
#[derive(Debug)]
pub enum Next {
    /// An event.
    Event(GenerateEvent),
    /// Nothing within the given time.
    Stalled,
    /// The connection broke, or what came makes no sense.
    Broken,
}

/// An open stream.
pub struct EngineStream {
    response: reqwest::Response,
    buffer: BytesMut,
}

impl EngineStream {
    /// Sends the request.
    pub async fn open(
        http: &reqwest::Client,
        head: SocketAddr,
        request: &GenerateRequest,
        mut permit: SendPermit,
    ) -> Result<EngineStream, OpenFailure> {
        let sending = http.post(format!("http://{head}{PATH_GENERATE}")).json(request).send();
        let response = match tokio::time::timeout(ANSWER_TIMEOUT, sending).await {
            Err(_) => return Err(OpenFailure::Unclear),
            Ok(Err(error)) if error.is_connect() => return Err(OpenFailure::NotRun),
            Ok(Err(_)) => return Err(OpenFailure::Unclear),
            Ok(Ok(response)) => response,
        };
        permit.record_response(
            &signals_of(response.status(), response.headers(), &NATIVE_SIGNALS),
            &request.id,
        );
        match response.status() {
            _ if response.headers().contains_key(HEADER_NOT_RUN) => Err(OpenFailure::Rejected),
            StatusCode::OK => Ok(EngineStream { response, buffer: BytesMut::new() }),
            StatusCode::CONFLICT | StatusCode::GONE => Err(OpenFailure::NotRun),
            _ => Err(OpenFailure::Unclear),
        }
    }

    /// The next event, or what happened instead.
    pub async fn next(&mut self, patience: Duration) -> Next {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line).map_or(Next::Broken, Next::Event);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Next::Broken;
            }
            match tokio::time::timeout(patience, self.response.chunk()).await {
                Err(_) => return Next::Stalled,
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Ok(None)) | Ok(Err(_)) => return Next::Broken,
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }
}

/// What the head knows of a request id; `None` if it does not answer.
pub async fn request_state(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let response = http.get(url).timeout(ANSWER_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

/// Has the head refuse a request id that it has not seen; `None` if it does not answer.
pub async fn bar(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}/bar");
    let response = http.post(url).timeout(ANSWER_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

/// Stops a request; best effort.
pub async fn cancel(http: &reqwest::Client, head: SocketAddr, id: &str) {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let _ = http.delete(url).timeout(ANSWER_TIMEOUT).send().await;
}
