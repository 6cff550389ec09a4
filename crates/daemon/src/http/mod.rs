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

use crate::client_stream::ClientStream;
use crate::connection_slots::{ConnectionSlot, RequestGuard};
use crate::guarded_body::GuardedBody;
use crate::http_connection::{ConnectionLimits, accept, serve_connection};
use crate::settings::ResourceLimits;
use crate::shared::Shared;
use crate::traffic::Traffic;
use crate::unread_body::DiscardingBody;
use bytes::Bytes;
use dockwood_api::ResultCode;
use dockwood_api::resource::API_PREFIX;
use hyper::body::Incoming;
use poem::error::{MethodNotAllowedError, NotFoundError};
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, EndpointExt, Request, Response, Route, get, post, put};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch::Receiver;

/// Time limit for open connections to close at shutdown. By then no requests are in flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Body of a request or response.
type BoxBody = http_body_util::combinators::BoxBody<Bytes, std::io::Error>;

/// State of the HTTP handlers.
#[derive(Clone)]
pub struct App {
    /// State shared by all parts of the daemon.
    pub shared: Arc<Shared>,
    /// State for handling requests.
    pub traffic: Arc<Traffic>,
}

/// Serves HTTP until `stop` is set.
pub async fn serve_http(
    app: App,
    listener: std::net::TcpListener,
    stop: Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let slots = app.shared.listener_slots.http.clone();
    let endpoint = Arc::new(routes(app.clone()).map_to_response());
    accept(listener, slots.clone(), stop.clone(), |stream, slot| {
        serve_client(endpoint.clone(), app.shared.settings.limits, stream, slot, stop.clone())
    })
    .await;
    // Connections that are still open then are closed with the process.
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, slots.all_closed()).await;
    Ok(())
}

async fn serve_client(
    endpoint: Arc<impl Endpoint<Output = Response>>,
    limits: ResourceLimits,
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    stop: Receiver<bool>,
) {
    let connection = ConnectionLimits { head_bytes: limits.head_bytes, idle_timeout: IDLE_TIMEOUT };
    let stream = ClientStream::new(stream, slot.clone(), limits.head_timeout);
    let handle = |request: hyper::Request<Incoming>, guard| {
        let endpoint = endpoint.clone();
        let request = Request::from((request, LocalAddr::default(), RemoteAddr::default(), Scheme::HTTP));
        let request = discard_unread_body(request, guard);
        async move { hyper::Response::<BoxBody>::from(endpoint.get_response(request).await) }
    };
    // The end of a connection affects only its client.
    let _ = serve_connection(stream, slot, connection, stop, handle).await;
}

/// Makes a response reach a caller whose request is answered before its body has been read.
fn discard_unread_body(mut request: Request, guard: RequestGuard) -> Request {
    let body = GuardedBody::new(BoxBody::from(request.take_body()), guard);
    request.set_body(BoxBody::new(DiscardingBody::new(body)));
    request
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
        .catch_error(|_: NotFoundError| async {
            refusal::plain_error(ResultCode::NoSuchPath, "there is no such path")
        })
        .catch_error(|_: MethodNotAllowedError| async {
            refusal::plain_error(ResultCode::NoSuchPath, "this path does not take this method")
        })
}
