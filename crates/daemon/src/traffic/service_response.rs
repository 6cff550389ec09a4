//! Responses of plain services, which are read while they are forwarded.

use super::Traffic;
use crate::clock::monotonic_ms;
use crate::framed_response::{CallFault, FramedResponse};
use crate::response_framing::ResponseFraming;
use crate::suspects::{SuspectGate, server_survives};
use crate::unannounced_chunks::has_unannounced_chunks;
use bytes::Bytes;
use dockwood_routing::CallResult;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Counts a call as in flight until its response body ends.
pub struct CallGuard {
    /// State of callers' traffic.
    pub(super) traffic: Arc<Traffic>,
    /// Service.
    pub(super) service: String,
    /// Server.
    pub(super) server: String,
    /// Its address.
    pub(super) address: SocketAddr,
    /// Number of servers of the service.
    pub(super) servers: usize,
    /// Result of the call; `None` while no call has been sent to the server.
    pub(super) result: Option<CallResult>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let now = monotonic_ms();
        let mut pickers = self.traffic.services.pickers();
        if let Some(picker) = pickers.get_mut(&self.service) {
            // A server that received no call has not failed one.
            picker.finished(now, &self.server, self.result.unwrap_or(CallResult::Answered), self.servers);
        }
        let Some(result) = self.result else { return };
        let result = if result == CallResult::Answered { "answered" } else { "failed" };
        self.traffic.shared.metrics.service_calls.with_label_values(&[&self.service, result]).inc();
    }
}

/// A response, with the guards that must live until the end of its body.
pub struct ServiceResponse {
    response: FramedResponse,
    /// Receives the evidence that the call crashed no server, once the response is complete.
    pub gate: Option<SuspectGate>,
    guard: CallGuard,
    /// Whether a part of the body has been read.
    has_begun: bool,
}

impl ServiceResponse {
    /// Creates a response of which only the head has been read.
    pub(super) fn new(
        response: FramedResponse,
        gate: Option<SuspectGate>,
        guard: CallGuard,
    ) -> ServiceResponse {
        ServiceResponse { response, gate, guard, has_begun: false }
    }

    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Reads the next part of the body; `None` once it is complete.
    ///
    /// # Errors
    /// The body ended early.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallFault> {
        let chunk = self.response.chunk().await?;
        let is_usable = match &chunk {
            Some(part) => self.has_begun || !has_unannounced_chunks(self.response.framing(), part),
            None => self.is_complete_at_end().await,
        };
        self.has_begun = true;
        if is_usable { Ok(chunk) } else { Err(CallFault::BrokenBody) }
    }

    /// Returns whether a body that has ended without an error is complete.
    async fn is_complete_at_end(&self) -> bool {
        let CallGuard { traffic, address, .. } = &self.guard;
        self.response.framing() != ResponseFraming::UntilClose
            || server_survives(&traffic.shared, *address).await
    }
}
