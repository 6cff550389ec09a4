//! Plain services, which record every call in the ledger and echo it.

use super::server::{listen, serve_until};
use crate::config::{ServiceConfig, ServiceServerConfig};
use crate::fleet::Fleet;
use crate::ledger::LedgerRecord;
use crate::pushback::Pushback;
use crate::wall_ms;
use dockwood_api::caller::HEADER_REQUEST_ID;
use poem::http::Method;
use poem::web::Data;
use poem::{Body, EndpointExt, Request, Response, Route, handler};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

#[derive(Clone)]
struct ServiceContext {
    fleet: Arc<Fleet>,
    service: String,
    server: String,
    call_duration: Duration,
    pushback: Arc<Pushback>,
}

/// Serves one server of a plain service. The task never ends.
pub async fn serve_service(
    fleet: Arc<Fleet>,
    service: &ServiceConfig,
    server: &ServiceServerConfig,
) -> std::io::Result<JoinHandle<()>> {
    let acceptor = listen(server.address).await?;
    let context = ServiceContext {
        pushback: fleet.service_pushback.get(&server.name).cloned().unwrap_or_default(),
        fleet,
        service: service.name.clone(),
        server: server.name.clone(),
        call_duration: Duration::from_millis(service.call_ms),
    };
    let routes = Route::new().at("/*path", call).data(context);
    Ok(tokio::spawn(serve_until(acceptor, routes, std::future::pending())))
}

#[handler]
async fn call(Data(context): Data<&ServiceContext>, request: &Request, body: Body) -> Response {
    if let Some(rejection) = context.pushback.rejection() {
        let server = context.server.clone();
        context.fleet.ledger.append(&LedgerRecord::RequestRejected { at_ms: wall_ms(), server });
        return rejection;
    }
    let id = request.header(HEADER_REQUEST_ID).unwrap_or("").to_string();
    context.fleet.ledger.append(&LedgerRecord::ServiceCalled {
        at_ms: wall_ms(),
        request: id,
        service: context.service.clone(),
        server: context.server.clone(),
        method: request.method().to_string(),
    });
    tokio::time::sleep(context.call_duration).await;
    let path = request.uri().path_and_query().map(|path| path.to_string()).unwrap_or_default();
    let echo = Response::builder()
        .header("x-served-by", &context.server)
        .header("x-path", path)
        .content_type(request.content_type().unwrap_or("application/octet-stream"));
    if request.method() == Method::HEAD {
        return context.pushback.add_headers(echo.finish());
    }
    // Echoes the body as it arrives, so that tests can observe streaming in both directions.
    context.pushback.add_headers(echo.body(body))
}
