//! Plain services under `/services/{name}/…`: any method, bodies streamed in both directions.

use super::caller::request_headers;
use super::refusal;
use super::request_body::{ExpectedBody, read_body};
use super::stream_or_abort;
use super::{App, auth};
use crate::framed_response::CallFault;
use crate::published::is_allowed;
use crate::shared::InFlight;
use crate::suspects::SuspectGate;
use crate::traffic::chat::Failure;
use crate::traffic::records::service_record_key;
use crate::traffic::service_response::ServiceResponse;
use crate::traffic::services::{ServiceBody, ServiceCall, forward};
use dockwood_api::caller::HEADER_REQUEST_ID;
use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::SuspectAttempt;
use futures::stream;
use poem::http::{HeaderMap, Method, header};
use poem::web::Data;
use poem::{Body, Request, Response, handler};

/// Maximum size of a body that is buffered, so that the call can be sent again.
const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// Headers that apply to one connection only, or that must not reach the service.
const UNFORWARDED_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::AUTHORIZATION,
];

/// Forwards a call to a plain service.
#[handler]
pub async fn call_service(Data(app): Data<&App>, request: &Request, body: Body) -> Response {
    let result = match prepare(app, request, body).await {
        Ok((call, id)) => forward_and_respond(app, call, &id).await,
        Err(error) => Err(refusal::failure_of(&error)),
    };
    let code = result.as_ref().map_or_else(|failure| failure.code, |_| ResultCode::Ok);
    app.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
    result.unwrap_or_else(|failure| refusal::caller_error(app, &failure, ""))
}

async fn prepare(app: &App, request: &Request, body: Body) -> Result<(ServiceCall, String), ApiError> {
    let tenant = auth::authenticate_tenant(app, request)?;
    let headers = request_headers(app, request)?;
    let service = request.raw_path_param("service").unwrap_or("").to_string();
    let published = app.shared.published();
    let spec = published.tables.service(&service).filter(|spec| is_allowed(&tenant, &spec.tenants)).cloned();
    let unknown =
        || ApiError::new(ResultCode::UnknownService, format!("no service '{service}' for this tenant"));
    let spec = spec.ok_or_else(unknown)?;
    let repeatable = headers.repeatable.unwrap_or_else(|| is_idempotent(request.method()));
    let path = path_at_server(request, &service);
    let body = buffer_or_stream(app, request, body, headers.has_idempotency_key).await?;
    let call = ServiceCall {
        suspect_attempt: suspect_attempt(request, &tenant, &headers.id, &service, &body),
        path,
        method: request.method().clone(),
        headers: forwarded_headers(request, &headers.id),
        body,
        record_key: headers.has_idempotency_key.then(|| service_record_key(&tenant, &service, &headers.id)),
        service,
        spec,
        repeatable,
    };
    Ok((call, headers.id))
}

/// Returns what identifies a call when it is sent again, in case it crashes servers. `None` for a call whose body is
/// streamed, because it is sent only once.
fn suspect_attempt(
    request: &Request,
    tenant: &str,
    id: &str,
    service: &str,
    body: &ServiceBody,
) -> Option<SuspectAttempt> {
    let ServiceBody::Buffered(body) = body else { return None };
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let method = request.method().as_str();
    let identity = RequestIdentity { tenant: Some(tenant), method, host: "", path, body };
    Some(SuspectAttempt {
        fingerprint: Fingerprint::of(&identity),
        request: id.to_string(),
        tenant: Some(tenant.to_string()),
        route: service.to_string(),
    })
}

/// Returns whether a method is idempotent by the HTTP specification; used unless the caller specifies it.
fn is_idempotent(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE)
}

fn path_at_server(request: &Request, service: &str) -> String {
    let path = request.uri().path();
    let rest = path.strip_prefix("/services/").and_then(|rest| rest.strip_prefix(service)).unwrap_or("");
    let rest = if rest.is_empty() { "/" } else { rest };
    match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_string(),
    }
}

fn forwarded_headers(request: &Request, id: &str) -> HeaderMap {
    let mut headers = request.headers().clone();
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    if let Ok(value) = id.parse() {
        headers.insert(HEADER_REQUEST_ID, value);
    }
    headers
}

async fn buffer_or_stream(
    app: &App,
    request: &Request,
    body: Body,
    may_have_run: bool,
) -> Result<ServiceBody, ApiError> {
    let length = request.header(header::CONTENT_LENGTH).and_then(|text| text.parse::<usize>().ok());
    let has_body = length.is_some() || request.header(header::TRANSFER_ENCODING).is_some();
    match length {
        Some(length) if length <= MAX_BUFFERED_BODY_BYTES => {
            let expected = ExpectedBody {
                max_bytes: MAX_BUFFERED_BODY_BYTES,
                copies: 1,
                unreadable: ResultCode::BadJson,
                may_have_run,
            };
            Ok(ServiceBody::Buffered(read_body(app, body, expected).await?))
        }
        None if !has_body => Ok(ServiceBody::Buffered(bytes::Bytes::new())),
        _ => Ok(ServiceBody::Streamed(reqwest::Body::wrap_stream(body.into_bytes_stream()))),
    }
}

async fn forward_and_respond(app: &App, call: ServiceCall, id: &str) -> Result<Response, Failure> {
    let in_flight = app.shared.begin_request();
    let service_response = forward(&app.traffic, call).await?;
    let mut builder = Response::builder().status(service_response.status());
    for (name, value) in service_response.headers() {
        if !UNFORWARDED_HEADERS.contains(name) {
            builder = builder.header(name, value);
        }
    }
    // The guards are dropped at the end of the body.
    let body = stream::try_unfold((service_response, in_flight), next_bytes);
    let builder = builder.header(HEADER_REQUEST_ID, id);
    Ok(builder.body(stream_or_abort(body)))
}

/// Reads the next part of a response body. A complete body proves that the call crashed no server.
async fn next_bytes(
    (mut service_response, in_flight): (ServiceResponse, InFlight),
) -> Result<Option<(bytes::Bytes, (ServiceResponse, InFlight))>, CallFault> {
    match service_response.chunk().await? {
        Some(bytes) => Ok(Some((bytes, (service_response, in_flight)))),
        None => {
            if service_response.status().is_success() {
                service_response.gate.iter_mut().for_each(SuspectGate::answered);
            }
            Ok(None)
        }
    }
}
