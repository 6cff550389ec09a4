//! HTTP server for callers and operators, on one address.

mod auth;
mod caller;
mod completion;
mod health;
mod list_query;
mod operator;
mod quarantine;
mod refusal;
mod request_body;
mod service;
mod streamed;
mod watch;

pub use streamed::stream_or_abort;

use crate::shared::Shared;
use crate::traffic::Traffic;
use crate::unread_body::DiscardingBody;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::resource::API_PREFIX;
use dockwood_listen::NoDelayAcceptor;
use poem::error::{MethodNotAllowedError, NotFoundError};
use poem::{EndpointExt, Request, Route, Server, get, post, put};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for open connections to close at shutdown. By then no requests are in flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of a request.
type BoxBody = http_body_util::combinators::BoxBody<Bytes, std::io::Error>;

/// State of the HTTP handlers.
#[derive(Clone)]
pub struct App {
    /// State shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// State for handling requests.
    pub traffic: Arc<Traffic>,
}

/// Serves HTTP until `stop` completes.
pub async fn serve_http(
    app: App,
    listener: std::net::TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let acceptor = NoDelayAcceptor::new(tokio::net::TcpListener::from_std(listener)?);
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes(app), stop, Some(SHUTDOWN_TIMEOUT))
        .await
}

/// Makes a response reach a caller whose request is answered before its body has been read.
async fn discard_unread_body(mut request: Request) -> poem::Result<Request> {
    let body = DiscardingBody::new(BoxBody::from(request.take_body()));
    request.set_body(BoxBody::new(body));
    Ok(request)
}

fn routes(app: App) -> impl poem::Endpoint + 'static {
    let api = |path: &str| format!("{API_PREFIX}{path}");
    Route::new()
        .at("/healthz", get(health::alive))
        .at("/readyz", get(health::ready))
        .at("/metrics", get(health::metrics))
        .at(api("/status"), get(operator::read_status))
        .at(api("/events"), get(operator::list_events))
        .at(api("/evacuations/:zone"), put(operator::evacuate_zone).delete(operator::withdraw_evacuation))
        .at(api("/quarantine"), get(quarantine::list_quarantine))
        .at(api("/quarantine/parts/:part"), get(quarantine::explain_part).delete(quarantine::release_part))
        .at(
            api("/quarantine/:fingerprint"),
            get(quarantine::explain_request).delete(quarantine::release_request),
        )
        .at(api("/:kind"), get(operator::list_resources).post(operator::create_resource))
        .at(
            api("/:kind/:name"),
            get(operator::read_resource).put(operator::replace_resource).delete(operator::delete_resource),
        )
        .at("/v1/entry", get(caller::entry_addresses))
        .at("/v1/models", get(caller::list_models))
        .at("/v1/chat/completions", post(caller::chat_completions))
        .at("/v1/requests/:id", get(caller::request_outcome))
        .at("/v1/requests/:id/answer", get(caller::request_answer))
        .at("/services/:service", service::call_service)
        .at("/services/:service/*path", service::call_service)
        .data(app)
        .before(discard_unread_body)
        .catch_error(|_: NotFoundError| async {
            refusal::plain_error(ResultCode::NoSuchPath, "there is no such path")
        })
        .catch_error(|_: MethodNotAllowedError| async {
            refusal::plain_error(ResultCode::NoSuchPath, "this path does not take this method")
        })
}
