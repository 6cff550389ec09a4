//! Client of the engine API at the head of a replica, for one request.

use crate::bounded_response::{MAX_ANSWER_BYTES, read_json};
use crate::framed_response::{CallFault, FramedResponse, send_request};
use crate::native_dialect::NATIVE_SIGNALS;
use crate::pushback::{SendPermit, signals_of};
use bytes::BytesMut;
use dockwood_api::engine::{
    GenerateEvent, GenerateRequest, HEADER_NOT_RUN, PATH_GENERATE, PATH_REQUESTS, RequestState,
};
use futures::future::BoxFuture;
use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a call about a request.
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
    /// The stream could not be opened.
    NotOpened(OpenFailure),
}

/// A stream of generated tokens. A head that has not responded yet is no different from one that pauses later: reading from
/// the stream stalls.
pub struct EngineStream {
    connection: Connection,
    buffer: BytesMut,
}

enum Connection {
    /// The response head has not arrived.
    Opening(Box<Opening>),
    Open(FramedResponse),
}

/// A request of which the response head has not arrived.
struct Opening {
    request: String,
    permit: SendPermit,
    response: BoxFuture<'static, Result<FramedResponse, CallFault>>,
}

impl EngineStream {
    /// Creates the stream of a request, which is sent as soon as the stream is read.
    pub fn new(
        http: &reqwest::Client,
        head: SocketAddr,
        request: &GenerateRequest,
        permit: SendPermit,
    ) -> EngineStream {
        let response =
            Box::pin(send_request(http.post(format!("http://{head}{PATH_GENERATE}")).json(request)));
        let opening = Opening { request: request.id.clone(), permit, response };
        EngineStream { connection: Connection::Opening(Box::new(opening)), buffer: BytesMut::new() }
    }

    /// Returns whether the head has accepted the request.
    pub fn is_open(&self) -> bool {
        matches!(self.connection, Connection::Open(_))
    }

    /// Reads the next event. No data is lost if the returned future is dropped.
    pub async fn next(&mut self, timeout: Duration) -> StreamRead {
        let until = Instant::now() + timeout;
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line).map_or(StreamRead::Broken, StreamRead::Event);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return StreamRead::Broken;
            }
            match tokio::time::timeout_at(until, self.receive()).await {
                Err(_) => return StreamRead::Stalled,
                Ok(Ok(())) => {}
                Ok(Err(failed)) => return failed,
            }
        }
    }

    /// Receives the response head or the next part of the body; `Err` if there is none.
    async fn receive(&mut self) -> Result<(), StreamRead> {
        match &mut self.connection {
            Connection::Opening(opening) => {
                let response = opening.response.as_mut().await;
                let response = opening.accept(response).map_err(StreamRead::NotOpened)?;
                self.connection = Connection::Open(response);
            }
            Connection::Open(response) => {
                let bytes = response.chunk().await.ok().flatten().ok_or(StreamRead::Broken)?;
                self.buffer.extend_from_slice(&bytes);
            }
        }
        Ok(())
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }
}

impl Opening {
    /// Records the signals of the response head, and returns the response of a head that accepted the request.
    fn accept(&mut self, response: Result<FramedResponse, CallFault>) -> Result<FramedResponse, OpenFailure> {
        let response = response.map_err(|fault| match fault.is_connect() {
            true => OpenFailure::NotRun,
            false => OpenFailure::MayHaveRun,
        })?;
        let signals = signals_of(response.status(), response.headers(), &NATIVE_SIGNALS);
        self.permit.record_response(&signals, &self.request);
        match response.status() {
            _ if response.headers().contains_key(HEADER_NOT_RUN) => Err(OpenFailure::Rejected),
            StatusCode::OK => Ok(response),
            StatusCode::CONFLICT | StatusCode::GONE => Err(OpenFailure::NotRun),
            _ => Err(OpenFailure::MayHaveRun),
        }
    }
}

/// Returns the state of a request at the head; `None` if the head does not respond.
pub async fn request_state(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let response = send_request(http.get(url).timeout(RESPONSE_TIMEOUT)).await.ok()?;
    read_json(response.success()?, MAX_ANSWER_BYTES).await.ok()
}

/// Bars a request id that the head has not seen: the head will refuse it. Returns the resulting state of the request;
/// `None` if the head does not respond.
pub async fn bar_request(http: &reqwest::Client, head: SocketAddr, id: &str) -> Option<RequestState> {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}/bar");
    let response = send_request(http.post(url).timeout(RESPONSE_TIMEOUT)).await.ok()?;
    read_json(response.success()?, MAX_ANSWER_BYTES).await.ok()
}

/// Cancels a request; best effort.
pub async fn cancel_request(http: &reqwest::Client, head: SocketAddr, id: &str) {
    let url = format!("http://{head}{PATH_REQUESTS}/{id}");
    let _ = send_request(http.delete(url).timeout(RESPONSE_TIMEOUT)).await;
}
