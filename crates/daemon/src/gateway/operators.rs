//! Takes operators' calls and servers' reports. Whatever daemon is called, the control leader decides.

use super::Gateway;
use super::body::{AnswerBody, read_whole};
use super::evacuation::set_evacuation;
use super::refusal::{bare, json, refuse};
use super::registration::{pass_on, report_target};
use crate::dialect::OperatorCall;
use crate::peer::{read_document, read_revision, submit};
use crate::shared::Shared;
use dockwood_api::gateway::{GatewayConfiguration, InstanceReport, validate_configuration};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{CommandBody, GatewayCommand, Tables};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Bodies of operators' calls, in bytes.
const MOST_BODY_BYTES: usize = 8 << 20;
/// How long a call may take: callers go to another daemon after a second.
const CALL_LIMIT: Duration = Duration::from_millis(850);

/// Answers one call.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let body = match read_whole(body, MOST_BODY_BYTES).await {
        Ok(body) => body,
        Err(fault) => return refuse(ResultCode::ConfigurationUnreadable, &fault.to_string(), None),
    };
    let call = gateway.dialect.operator_call(parts.method.as_str(), parts.uri.path(), &body);
    let answered = match call {
        Ok(OperatorCall::Configure(configuration)) => configure(&gateway, *configuration).await,
        Ok(OperatorCall::ReadConfiguration) => read_configuration(&gateway).await,
        Ok(OperatorCall::Report(report)) => take_report(&gateway, *report).await,
        Ok(OperatorCall::SignOff { id }) => sign_off(&gateway, id).await,
        Ok(OperatorCall::SetEvacuation { zone, evacuated }) => {
            let set = set_evacuation(&gateway.shared, zone, evacuated, CALL_LIMIT).await;
            set.map(|()| json(b"{}".to_vec()))
        }
        Err(error) => Err(error),
    };
    answered.unwrap_or_else(|error| {
        gateway.shared.metrics.operator_refusals.with_label_values(&[error.code().name()]).inc();
        refuse(error.code(), error.message(), None)
    })
}

/// Accepts a configuration once it is committed; one that is not above the one held is acknowledged and changes
/// nothing.
async fn configure(
    gateway: &Gateway,
    configuration: GatewayConfiguration,
) -> Result<Response<AnswerBody>, ApiError> {
    let found = validate_configuration(&configuration);
    if let Some(first) = found.first() {
        let all: Vec<String> = found.iter().map(ToString::to_string).collect();
        return Err(ApiError::new(first.code, all.join("; ")));
    }
    let shared = &gateway.shared;
    let held = shared.tables().gateway.configuration.as_ref().map_or(0, |held| held.version);
    if held < configuration.version {
        let body = CommandBody::Gateway(GatewayCommand::Configure(Arc::new(configuration)));
        submit(shared, body, CALL_LIMIT).await?;
    }
    Ok(json(b"{}".to_vec()))
}

/// The newest configuration; never one that is older than what was acknowledged.
async fn read_configuration(gateway: &Gateway) -> Result<Response<AnswerBody>, ApiError> {
    let document = newest_document(&gateway.shared).await?;
    if document.is_empty() {
        return Err(ApiError::new(ResultCode::NoConfiguration, "no configuration was accepted yet"));
    }
    Ok(json(document))
}

/// The document that this daemon holds, if it holds the newest revision with its document, as voters do; else the leader's.
async fn newest_document(shared: &Shared) -> Result<Vec<u8>, ApiError> {
    let holds_document =
        |tables: &Tables| tables.gateway.configuration.as_ref().is_some_and(|held| !held.document.is_empty());
    if !holds_document(&shared.tables()) {
        return read_document(shared, CALL_LIMIT).await;
    }
    let revision = read_revision(shared, CALL_LIMIT).await?;
    if !shared.wait_for_revision(revision, CALL_LIMIT).await {
        return Err(ApiError::new(ResultCode::ControlTimeout, "the newest revision has not arrived here"));
    }
    let tables = shared.tables();
    let held = tables.gateway.configuration.as_ref();
    Ok(held.map(|held| held.document.clone()).unwrap_or_default())
}

async fn take_report(
    gateway: &Arc<Gateway>,
    report: InstanceReport,
) -> Result<Response<AnswerBody>, ApiError> {
    let target = report_target(gateway, &report.id, &report.zone);
    pass_on(gateway, report).await?;
    Ok(json(gateway.dialect.report_answer(target)))
}

async fn sign_off(gateway: &Gateway, id: String) -> Result<Response<AnswerBody>, ApiError> {
    let body = CommandBody::Gateway(GatewayCommand::SignOff { id });
    submit(&gateway.shared, body, CALL_LIMIT).await?;
    Ok(bare(StatusCode::OK))
}
