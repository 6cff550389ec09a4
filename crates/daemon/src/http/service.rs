//! Plain services under `/services/{name}/…`: any method, bodies streamed in both directions.

use super::caller::request_headers;
use super::refusal;
use super::whole_or_cut;
use super::{App, auth};
use crate::published::is_allowed;
use crate::shared::InFlight;
use crate::suspects::SuspectGate;
use crate::traffic::chat::Failure;
use crate::traffic::records::service_record_key;
use crate::traffic::services::{Answer, ServiceBody, ServiceCall, forward};
use dockwood_api::caller::HEADER_REQUEST_ID;
use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::SuspectAttempt;
use futures::stream;
use poem::http::{HeaderMap, Method, header};
use poem::web::Data;
use poem::{Body, Request, Response, handler};

/// Bodies up to this size are held, so that a call can be sent again.
const MAX_HELD_BODY: usize = 256 << 10;

/// Headers that belong to one connection, or that are not the service's business.
const NOT_FORWARDED: [header::HeaderName; 8] = [
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
        Ok((call, id)) => proxy(app, call, &id).await,
        Err(error) => Err(Failure::new(error.code(), error.message())),
    };
    let code = result.as_ref().map_or_else(|failure| failure.code, |_| ResultCode::Ok);
    app.shared.metrics.answers.with_label_values(&[&code.number().to_string()]).inc();
    result.unwrap_or_else(|failure| refusal::caller(app, &failure, ""))
}

async fn prepare(app: &App, request: &Request, body: Body) -> Result<(ServiceCall, String), ApiError> {
    let tenant = auth::tenant(app, request)?;
    let headers = request_headers(app, request)?;
    let service = request.raw_path_param("service").unwrap_or("").to_string();
    let published = app.shared.published();
    let spec = published.tables.service(&service).filter(|spec| is_allowed(&tenant, &spec.tenants)).cloned();
    let unknown =
        || ApiError::new(ResultCode::UnknownService, format!("no service '{service}' for this tenant"));
    let spec = spec.ok_or_else(unknown)?;
    let repeatable = headers.repeatable.unwrap_or_else(|| is_repeatable(request.method()));
    let path = path_at_server(request, &service);
    let body = held_or_streamed(request, body).await?;
    let call = ServiceCall {
        tried: suspect_try(request, &tenant, &headers.id, &service, &body),
        path,
        method: request.method().clone(),
        headers: forwarded_headers(request, &headers.id),
        body,
        record_key: headers.keyed.then(|| service_record_key(&tenant, &service, &headers.id)),
        service,
        spec,
        repeatable,
    };
    Ok((call, headers.id))
}

/// What a call is recognised by when it comes again. One whose body is passed on as it arrives is not: it is sent once.
fn suspect_try(
    request: &Request,
    tenant: &str,
    id: &str,
    service: &str,
    body: &ServiceBody,
) -> Option<SuspectAttempt> {
    let ServiceBody::Whole(body) = body else { return None };
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

/// By HTTP's own rules, unless the caller says otherwise.
fn is_repeatable(method: &Method) -> bool {
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
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    if let Ok(value) = id.parse() {
        headers.insert(HEADER_REQUEST_ID, value);
    }
    headers
}

async fn held_or_streamed(request: &Request, body: Body) -> Result<ServiceBody, ApiError> {
    let length = request.header(header::CONTENT_LENGTH).and_then(|text| text.parse::<usize>().ok());
    let has_body = length.is_some() || request.header(header::TRANSFER_ENCODING).is_some();
    match length {
        Some(length) if length <= MAX_HELD_BODY => {
            let bytes = body.into_bytes().await;
            let bytes = bytes.map_err(|error| ApiError::new(ResultCode::BadJson, error.to_string()))?;
            Ok(ServiceBody::Whole(bytes))
        }
        None if !has_body => Ok(ServiceBody::Whole(bytes::Bytes::new())),
        _ => Ok(ServiceBody::Streamed(reqwest::Body::wrap_stream(body.into_bytes_stream()))),
    }
}

async fn proxy(app: &App, call: ServiceCall, id: &str) -> Result<Response, Failure> {
    let in_flight = app.shared.begin_request();
    let answer = forward(&app.traffic, call).await?;
    let mut builder = Response::builder().status(answer.response.status());
    for (name, value) in answer.response.headers() {
        if !NOT_FORWARDED.contains(name) {
            builder = builder.header(name, value);
        }
    }
    // The guards end with the body.
    let body = stream::try_unfold((answer, in_flight), next_bytes);
    let builder = builder.header(HEADER_REQUEST_ID, id);
    Ok(builder.body(whole_or_cut(body)))
}

/// The next part of an answer's body. The end of the whole body shows that the call ended no server.
async fn next_bytes(
    (mut answer, in_flight): (Answer, InFlight),
) -> reqwest::Result<Option<(bytes::Bytes, (Answer, InFlight))>> {
    match answer.response.chunk().await? {
        Some(bytes) => Ok(Some((bytes, (answer, in_flight)))),
        None => {
            let gate = answer.gate.iter_mut().filter(|_| answer.response.status().is_success());
            gate.for_each(SuspectGate::answered);
            Ok(None)
        }
    }
}
