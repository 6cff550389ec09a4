//! Plain services: every call is recorded in the ledger and echoed.

use super::server::{listen, serve_until};
use crate::config::{ServiceConfig, ServiceServerConfig};
use crate::fleet::Fleet;
use crate::ledger::LedgerRecord;
use crate::manner::RequestManner;
use crate::wall_ms;
use dockwood_api::caller::HEADER_REQUEST_ID;
use poem::http::Method;
use poem::web::Data;
use poem::{Body, EndpointExt, Request, Response, Route, handler};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

#[derive(Clone)]
struct ServiceHost {
    fleet: Arc<Fleet>,
    service: String,
    server: String,
    call_time: Duration,
    manner: Arc<RequestManner>,
}

/// Serves one server of a plain service for ever.
pub async fn serve_service(
    fleet: Arc<Fleet>,
    service: &ServiceConfig,
    server: &ServiceServerConfig,
) -> std::io::Result<JoinHandle<()>> {
    let acceptor = listen(server.address).await?;
    let host = ServiceHost {
        manner: fleet.plain_servers.get(&server.name).cloned().unwrap_or_default(),
        fleet,
        service: service.name.clone(),
        server: server.name.clone(),
        call_time: Duration::from_millis(service.call_ms),
    };
    let routes = Route::new().at("/*path", call).data(host);
    Ok(tokio::spawn(serve_until(acceptor, routes, std::future::pending())))
}

#[handler]
async fn call(Data(host): Data<&ServiceHost>, request: &Request, body: Body) -> Response {
    if let Some(rejection) = host.manner.rejection() {
        let server = host.server.clone();
        host.fleet.ledger.append(&LedgerRecord::RequestRejected { at_ms: wall_ms(), server });
        return rejection;
    }
    let id = request.header(HEADER_REQUEST_ID).unwrap_or("").to_string();
    host.fleet.ledger.append(&LedgerRecord::ServiceCalled {
        at_ms: wall_ms(),
        request: id,
        service: host.service.clone(),
        server: host.server.clone(),
        method: request.method().to_string(),
    });
    tokio::time::sleep(host.call_time).await;
    let path = request.uri().path_and_query().map(|path| path.to_string()).unwrap_or_default();
    let echo = Response::builder()
        .header("x-served-by", &host.server)
        .header("x-path", path)
        .content_type(request.content_type().unwrap_or("application/octet-stream"));
    if request.method() == Method::HEAD {
        return host.manner.mark(echo.finish());
    }
    // Echoed as it arrives, so that streaming in both directions can be seen.
    host.manner.mark(echo.body(body))
}
