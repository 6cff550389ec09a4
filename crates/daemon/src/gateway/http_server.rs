//! Serves one of the gateway's small HTTP interfaces, whose requests and responses are not streamed.

use super::Gateway;
use super::body::ResponseBody;
use super::receive::CallerBody;
use crate::client_stream::ClientStream;
use crate::connection_slots::{ConnectionSlots, RequestGuard};
use crate::guarded_body::GuardedBody;
use crate::http_connection::{ConnectionLimits, accept, serve_connection};
use crate::unread_body::DiscardingBody;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections indefinitely and handles each request with `handle`.
pub async fn serve<F, Handling>(
    listener: TcpListener,
    slots: Arc<ConnectionSlots>,
    gateway: Arc<Gateway>,
    handle: F,
) where
    F: Fn(Arc<Gateway>, Request<CallerBody>) -> Handling + Clone + Send + Sync + 'static,
    Handling: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let limits = gateway.shared.settings.limits;
    let connection = ConnectionLimits { head_bytes: limits.head_bytes, idle_timeout: IDLE_TIMEOUT };
    // These interfaces are served until the process ends.
    let (_never_stops, stopping) = watch::channel(false);
    accept(listener, slots, stopping.clone(), |stream, slot| {
        let stream = ClientStream::new(stream, slot.clone(), limits.head_timeout);
        let (gateway, handle) = (gateway.clone(), handle.clone());
        let handle = move |request: Request<Incoming>, guard: RequestGuard| {
            let request =
                request.map(|body| DiscardingBody::new(GuardedBody::new(body, guard.receive_body())));
            handle(gateway.clone(), request)
        };
        let serving = serve_connection(stream, slot, connection, stopping.clone(), handle);
        async move {
            // The end of a connection affects only its client.
            let _ = serving.await;
        }
    })
    .await;
}
