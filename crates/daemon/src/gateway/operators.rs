//! Handles operators' calls and servers' reports. Any daemon accepts them; the control leader decides.

use super::Gateway;
use super::body::ResponseBody;
use super::evacuation::set_evacuation;
use super::receive::{CallerBody, Refusal};
use super::report_forwarding::{forward_report, report_target};
use super::responses::{empty_response, error_response, json_response};
use crate::caller_memory::HeldFor;
use crate::dialect::OperatorCall;
use crate::peer::{read_document, read_revision, submit};
use crate::request_bodies::{BodyLimits, RequestBodyFault};
use crate::shared::Shared;
use dockwood_api::gateway::{GatewayConfiguration, InstanceReport, validate_configuration};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{CommandBody, GatewayCommand, Tables};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum size of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// A call is held as the bytes that were received and as what is decoded from them.
const BODY_COPIES: usize = 2;
/// How long a call waits for memory that others hold: most calls take less time. Their callers try another daemon after one
/// second.
const BODY_PATIENCE: Duration = Duration::from_millis(400);
/// Time limit for a call: callers try another daemon after one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// Handles one call.
pub async fn handle(gateway: Arc<Gateway>, request: Request<CallerBody>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let deadline = Instant::now() + gateway.shared.settings.limits.body_timeout;
    let limits =
        BodyLimits { max_bytes: MAX_BODY_BYTES, deadline, copies: BODY_COPIES, patience: BODY_PATIENCE };
    let body = match gateway.shared.request_bodies.read(body, limits).await {
        Ok(body) => body,
        Err(fault @ (RequestBodyFault::NoMemory | RequestBodyFault::TimedOut)) => {
            return Refusal::of_body(fault).into_response();
        }
        Err(fault) => return error_response(ResultCode::ConfigurationUnreadable, &fault.to_string(), None),
    };
    let call = gateway.dialect.operator_call(parts.method.as_str(), parts.uri.path(), &body);
    let handled = match call {
        Ok(OperatorCall::Configure(configuration)) => configure(&gateway, *configuration).await,
        Ok(OperatorCall::ReadConfiguration) => read_configuration(&gateway).await,
        Ok(OperatorCall::Report(report)) => handle_report(&gateway, *report).await,
        Ok(OperatorCall::SignOff { id }) => deregister(&gateway, id).await,
        Ok(OperatorCall::SetEvacuation { zone, evacuated }) => {
            let set = set_evacuation(&gateway.shared, zone, evacuated, CALL_TIMEOUT).await;
            set.map(|()| json_response(b"{}".to_vec()))
        }
        Err(error) => Err(error),
    };
    handled.unwrap_or_else(|error| {
        gateway.shared.metrics.operator_refusals.with_label_values(&[error.code().name()]).inc();
        error_response(error.code(), error.message(), None)
    })
}

/// Submits a configuration and responds once it is committed. One whose version is not higher than the current one is
/// acknowledged without effect.
async fn configure(
    gateway: &Gateway,
    configuration: GatewayConfiguration,
) -> Result<Response<ResponseBody>, ApiError> {
    let problems = validate_configuration(&configuration);
    if let Some(first) = problems.first() {
        let all: Vec<String> = problems.iter().map(ToString::to_string).collect();
        return Err(ApiError::new(first.code, all.join("; ")));
    }
    let shared = &gateway.shared;
    let held = shared.tables().gateway.configuration.as_ref().map_or(0, |held| held.version);
    if held < configuration.version {
        let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
        submit(shared, body, CALL_TIMEOUT).await?;
    }
    Ok(json_response(b"{}".to_vec()))
}

/// Returns the newest configuration; never one that is older than the last acknowledged one.
async fn read_configuration(gateway: &Gateway) -> Result<Response<ResponseBody>, ApiError> {
    let document = newest_document(&gateway.shared).await?;
    if document.is_empty() {
        return Err(ApiError::new(ResultCode::NoConfiguration, "no configuration was accepted yet"));
    }
    let memory = &gateway.shared.caller_memory;
    let Some(held) = memory.try_hold(HeldFor::Responses, document.len()) else {
        memory.record_refusal(HeldFor::Responses);
        return Err(ApiError::new(ResultCode::MemoryExhausted, "no memory is left for the response"));
    };
    Ok(json_response(held.wrap(document)))
}

/// Returns the document of this daemon's tables at the newest revision, if they contain documents, as those of voters do;
/// otherwise the leader's document.
async fn newest_document(shared: &Shared) -> Result<Vec<u8>, ApiError> {
    let holds_document =
        |tables: &Tables| tables.gateway.configuration.as_ref().is_some_and(|held| !held.document.is_empty());
    if !holds_document(&shared.tables()) {
        return read_document(shared, CALL_TIMEOUT).await;
    }
    let revision = read_revision(shared, CALL_TIMEOUT).await?;
    if !shared.wait_for_revision(revision, CALL_TIMEOUT).await {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the newest revision has not arrived here"));
    }
    let tables = shared.tables();
    let held = tables.gateway.configuration.as_ref();
    Ok(held.map(|held| held.document.clone()).unwrap_or_default())
}

async fn handle_report(
    gateway: &Arc<Gateway>,
    report: InstanceReport,
) -> Result<Response<ResponseBody>, ApiError> {
    let target = report_target(gateway, &report.id, &report.zone);
    forward_report(gateway, report).await?;
    Ok(json_response(gateway.dialect.report_answer(target)))
}

async fn deregister(gateway: &Gateway, id: String) -> Result<Response<ResponseBody>, ApiError> {
    let body = CommandBody::Gateway(GatewayCommand::SignOff { id });
    submit(&gateway.shared, body, CALL_TIMEOUT).await?;
    Ok(empty_response(StatusCode::OK))
}
