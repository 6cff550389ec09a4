//! Where a deployment's own protocol plugs in: the names of headers and paths, and the bodies of the calls with
//! servers, operators and the directory's callers. An implementation translates and does nothing else: it decides
//! nothing, keeps nothing and repeats nothing.

use crate::pushback::SignalHeaders;
use dockwood_api::ApiError;
use dockwood_api::gateway::{GatewayConfiguration, GroupOrder, InstanceReport, OrderAnswer};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifies a caller's attempt; comes back with the answer.
    pub attempt: &'static str,
    /// Milliseconds that the caller, or this daemon, will wait.
    pub deadline_ms: &'static str,
    /// The model that a request is for.
    pub model: &'static str,
    /// Tokens of a request; see [`Dialect::prompt_tokens`].
    pub token_usage: &'static str,
    /// The last event that a caller has.
    pub last_event: &'static str,
    /// The tenant, as told to a server.
    pub tenant: &'static str,
    /// The instance that a request is meant for.
    pub expected_instance: &'static str,
    /// The instance that answers a health check.
    pub own_instance: &'static str,
    /// Shows that a server did not run the request.
    pub not_run: &'static str,
    /// A server's rank of a request.
    pub rank: &'static str,
    /// By which servers ask for something.
    pub signals: SignalHeaders,
}

/// A call of an operator or a server.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    /// Take a configuration.
    Configure(Box<GatewayConfiguration>),
    /// Show the newest configuration.
    ReadConfiguration,
    /// A server's report on itself.
    Report(Box<InstanceReport>),
    /// A server signs off.
    SignOff {
        /// Instance id.
        id: String,
    },
    /// Keep requests away from a zone's servers, or let them have requests again.
    SetEvacuation {
        /// Zone.
        zone: String,
        /// Whether it is to be evacuated.
        evacuated: bool,
    },
}

/// Who asks the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's zone, if told.
    pub zone: Option<String>,
    /// The caller's region, if told.
    pub region: Option<String>,
}

/// A call to be made at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCall {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// One deployment's protocol.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Path at which readiness is asked for.
    fn readiness_path(&self) -> &str;

    /// The key within an `Authorization` header.
    fn key<'a>(&self, authorization: &'a str) -> Option<&'a str>;

    /// Tokens of a request's prompt, from the header that tells its tokens.
    fn prompt_tokens(&self, usage: &str) -> Option<u64>;

    /// A query to the directory; `None` if the path is not its own.
    fn directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery>;

    /// The directory's answer.
    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8>;

    /// A call of an operator or a server, read whole.
    ///
    /// # Errors
    /// `NoSuchPath` for a path or method that is not known, `ConfigurationUnreadable` or `BadJson` for a body that
    /// can't be read.
    fn operator_call(&self, method: &str, path: &str, body: &[u8]) -> Result<OperatorCall, ApiError>;

    /// The answer to a server's report: where it should report from now on, if it matters.
    fn report_answer(&self, report_to: Option<SocketAddr>) -> Vec<u8>;

    /// A group order as a server takes it.
    fn order_call(&self, order: &GroupOrder) -> EncodedCall;

    /// What a server's status says of an order.
    fn order_answer(&self, status: u16) -> OrderAnswer;

    /// Path at a server that tells its state.
    fn report_path(&self) -> &str;

    /// How many times its declared times a server takes, from its answer at [`Dialect::report_path`]; `None` if it
    /// doesn't tell.
    fn report_slowness(&self, body: &[u8]) -> Option<f64>;
}
