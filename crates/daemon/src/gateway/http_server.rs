//! Serves one of the gateway's small HTTP interfaces, whose requests and responses are not streamed.

use super::Gateway;
use super::body::ResponseBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, during which file descriptors may become free.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections indefinitely and handles each request with `handle`.
pub async fn serve<F, Handling>(listener: TcpListener, gateway: Arc<Gateway>, handle: F)
where
    F: Fn(Arc<Gateway>, Request<Incoming>) -> Handling + Clone + Send + 'static,
    Handling: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (gateway, handle) = (gateway.clone(), handle.clone());
        let service = service_fn(move |request| {
            let handling = handle(gateway.clone(), request);
            async move { Ok::<_, Infallible>(handling.await) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The error of a closed connection affects only its caller.
            let _ = serving.await;
        });
    }
}
