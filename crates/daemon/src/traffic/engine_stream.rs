//! Client of the engine API at the head of a replica, for one request.

use crate::native_dialect::NATIVE_SIGNALS;
use crate::pushback::{SendPermit, signals_of};
use bytes::BytesMut;
use dockwood_api::engine::{
    GenerateEvent, GenerateRequest, HEADER_NOT_RUN, PATH_GENERATE, PATH_REQUESTS, RequestState,
};
use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the response head of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum length of a line in a stream; a longer line is a protocol error.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Why a stream could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The head did not receive the request or refused it: it was not run.
    NotRun,
    /// The head responded that it did not run the request, and remains available.
    Rejected,
    /// The request may have been run.
    MayHaveRun,
}

/// Result of reading from a stream.
#[derive(Debug)]
pub enum StreamRead {
    /// The next event.
    Event(GenerateEvent),
    /// No event arrived within the time limit.
    Stalled,
    /// The connection failed, or the data could not be decoded.
    Broken,
}

/// An open stream of generated tokens.
pub struct EngineStream {
    response: reqwest::Response,
    buffer: BytesMut,
}

impl EngineStream {
    /// Sends the request and opens its stream.
    pub async fn open(
        http: &reqwest::Client,
        head: SocketAddr,
        request: &GenerateRequest,
        mut permit: SendPermit,
    ) -> Result<EngineStream, OpenFailure> {
        let sending = http.post(format!("http://{head}{PATH_GENERATE}")).json(request).send();
        let response = match tokio::time::timeout(RESPONSE_TIMEOUT, sending).await {
            Err(_) => return Err(OpenFailure::MayHaveRun),
            Ok(Err(error)) if error.is_connect() => return Err(OpenFailure::NotRun),
            Ok(Err(_)) => return Err(OpenFailure::MayHaveRun),
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
            _ => Err(OpenFailure::MayHaveRun),
        }
    }

    /// Reads the next event.
    pub async fn next(&mut self, timeout: Duration) -> StreamRead {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line).map_or(StreamRead::Broken, StreamRead::Event);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return StreamRead::Broken;
            }
            match tokio::time::timeout(timeout, self.response.chunk()).await {
                Err(_) => return StreamRead::Stalled,
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Ok(None)) | Ok(Err(_)) => return StreamRead::Broken,
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

/// Returns the state of a request at the head; `None` if the head does not respond.
pub async fn request_state(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let response = http.get(url).timeout(RESPONSE_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

/// Bars a request id that the head has not seen: the head will refuse it. Returns the resulting state of the request;
/// `None` if the head does not respond.
pub async fn bar_request(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}/bar");
    let response = http.post(url).timeout(RESPONSE_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

/// Cancels a request; best effort.
pub async fn cancel_request(http: &reqwest::Client, head: SocketAddr, id: &str) {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let _ = http.delete(url).timeout(RESPONSE_TIMEOUT).send().await;
}
