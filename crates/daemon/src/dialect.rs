//! Interface for the protocol of a deployment: names of headers and paths, and the bodies of the calls exchanged with
//! servers, operators and the directory's callers. An implementation only translates: it makes no decisions, has no state
//! and retries nothing.

use crate::pushback::SignalHeaders;
use dockwood_api::ApiError;
use dockwood_api::gateway::{GatewayConfiguration, GroupOrder, InstanceReport, OrderAnswer, PromptPart};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifies a caller's attempt; returned with the response.
    pub attempt: &'static str,
    /// Sent by a server with each successful response; `None` if the protocol has no such header.
    pub signature: Option<&'static str>,
    /// Milliseconds that the caller, or this daemon as the sender, waits for the response.
    pub deadline_ms: &'static str,
    /// Model that the request is for.
    pub model: &'static str,
    /// Number of tokens of the request; see [`Dialect::prompt_tokens`].
    pub token_usage: &'static str,
    /// Parts of the prompt; see [`Dialect::prompt_parts`].
    pub prompt_parts: &'static str,
    /// Id of the last event that the caller received.
    pub last_event: &'static str,
    /// Tenant, sent to servers.
    pub tenant: &'static str,
    /// Instance that the request is intended for.
    pub expected_instance: &'static str,
    /// Instance that responds to a health check.
    pub own_instance: &'static str,
    /// Set if the server did not run the request.
    pub not_run: &'static str,
    /// Rank that a server gives a request.
    pub rank: &'static str,
    /// Pushback signals of servers.
    pub signals: SignalHeaders,
}

/// A call of an operator or a server.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    /// Replace the configuration.
    Configure(Box<GatewayConfiguration>),
    /// Read the newest configuration.
    ReadConfiguration,
    /// A server's report on itself.
    Report(Box<InstanceReport>),
    /// A server deregisters.
    SignOff {
        /// Instance id.
        id: String,
    },
    /// Start or end the evacuation of a zone, whose servers are sent no requests meanwhile.
    SetEvacuation {
        /// Zone.
        zone: String,
        /// Whether it is to be evacuated.
        evacuated: bool,
    },
}

/// A query to the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's zone, if given.
    pub zone: Option<String>,
    /// The caller's region, if given.
    pub region: Option<String>,
}

/// An encoded call to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCall {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// The protocol of a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &str;

    /// Extracts the key from an `Authorization` header.
    fn key<'a>(&self, authorization: &'a str) -> Option<&'a str>;

    /// Parses the number of prompt tokens from the [`HeaderNames::token_usage`] header.
    fn prompt_tokens(&self, usage: &str) -> Option<u64>;

    /// Parses the parts of a prompt, in order, from the [`HeaderNames::prompt_parts`] header. The last one belongs to the
    /// request itself; other requests may share the others.
    fn prompt_parts(&self, parts: &str) -> Vec<PromptPart>;

    /// Parses a query to the directory; `None` if the path is not that of the directory.
    fn directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery>;

    /// Encodes the directory's answer.
    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8>;

    /// Decodes a call of an operator or a server.
    ///
    /// # Errors
    /// `NoSuchPath` for an unknown path or method, `ConfigurationUnreadable` or `BadJson` for a body that can't be
    /// decoded.
    fn operator_call(&self, method: &str, path: &str, body: &[u8]) -> Result<OperatorCall, ApiError>;

    /// Encodes the answer to a server's report; `report_to` is the address for its next reports, if it should change.
    fn report_answer(&self, report_to: Option<SocketAddr>) -> Vec<u8>;

    /// Encodes a group order as a call to a server.
    fn order_call(&self, order: &GroupOrder) -> EncodedCall;

    /// Converts the HTTP status of a server's response to the answer to an order.
    fn order_answer(&self, status: u16) -> OrderAnswer;

    /// Path of a server's report on its state.
    fn report_path(&self) -> &str;

    /// Parses the ratio of a server's actual to its declared processing times from its answer at [`Dialect::report_path`];
    /// `None` if the answer doesn't contain it.
    fn report_slowness(&self, body: &[u8]) -> Option<f64>;
}
