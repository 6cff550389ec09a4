//! Serves one of the gateway's small HTTP interfaces: whole bodies in, whole bodies out.

use super::Gateway;
use super::body::AnswerBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a connection may rest.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted, for descriptors to become free.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts for ever, and answers each request by `answer`.
pub async fn serve<F, Answering>(listener: TcpListener, gateway: Arc<Gateway>, answer: F)
where
    F: Fn(Arc<Gateway>, Request<Incoming>) -> Answering + Clone + Send + 'static,
    Answering: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (gateway, answer) = (gateway.clone(), answer.clone());
        let service = service_fn(move |request| {
            let answering = answer(gateway.clone(), request);
            async move { Ok::<_, Infallible>(answering.await) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A caller that breaks off concerns nobody else.
            let _ = serving.await;
        });
    }
}
