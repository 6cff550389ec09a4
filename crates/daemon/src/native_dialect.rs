//! The native gateway protocol of dockwood: headers with the prefix `dockwood-`, and the JSON representation of the API
//! types.

use crate::dialect::{Dialect, DirectoryQuery, EncodedCall, HeaderNames, OperatorCall};
use crate::pushback::SignalHeaders;
use dockwood_api::engine::{HEADER_LEAVING, HEADER_LIMIT, HEADER_NOT_RUN};
use dockwood_api::gateway::{GatewayConfiguration, GroupOrder, InstanceReport, OrderAnswer, PromptPart};
use dockwood_api::{ApiError, ResultCode};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Headers of pushback signals in the native protocol.
pub const NATIVE_SIGNALS: SignalHeaders = SignalHeaders { leaving: HEADER_LEAVING, limit: HEADER_LIMIT };
const HEADERS: HeaderNames = HeaderNames {
    attempt: "dockwood-attempt",
    signature: None,
    deadline_ms: "dockwood-deadline-ms",
    model: "dockwood-model",
    token_usage: "dockwood-prompt-tokens",
    prompt_parts: "dockwood-prompt-parts",
    last_event: "last-event-id",
    tenant: "dockwood-tenant",
    expected_instance: "dockwood-instance",
    own_instance: "dockwood-own-instance",
    not_run: HEADER_NOT_RUN,
    rank: "dockwood-rank",
    signals: NATIVE_SIGNALS,
};
const READINESS: &str = "/readyz";
const DIRECTORY: &str = "/v1/entries";
const CONFIGURATION: &str = "/v1/gateway/configuration";
const INSTANCES: &str = "/v1/gateway/instances/";
const EVACUATIONS: &str = "/v1/gateway/evacuations/";
const ORDERS: &str = "/group/orders";
const REPORT: &str = "/group/report";

/// The native protocol of dockwood.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

fn read<T: DeserializeOwned>(body: &[u8], code: ResultCode) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| ApiError::new(code, error.to_string()))
}

fn no_such_path() -> ApiError {
    ApiError::new(ResultCode::NoSuchPath, "there is no such path or method")
}

impl Dialect for NativeDialect {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn readiness_path(&self) -> &str {
        READINESS
    }

    fn key<'a>(&self, authorization: &'a str) -> Option<&'a str> {
        authorization.strip_prefix("Bearer ")
    }

    fn prompt_tokens(&self, usage: &str) -> Option<u64> {
        usage.trim().parse().ok()
    }

    /// The header contains the ids of the parts, separated by commas.
    fn prompt_parts(&self, parts: &str) -> Vec<PromptPart> {
        parts.split(',').map(|id| PromptPart::from_id(id.trim())).collect()
    }

    fn directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery> {
        let value =
            |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)).map(str::to_string);
        (path == DIRECTORY).then(|| DirectoryQuery { zone: value("zone="), region: value("region=") })
    }

    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8> {
        let answer = json!({ "addresses": addresses, "lifetimeMs": lifetime.as_millis() as u64 });
        answer.to_string().into_bytes()
    }

    fn operator_call(&self, method: &str, path: &str, body: &[u8]) -> Result<OperatorCall, ApiError> {
        match (method, path) {
            ("PUT", CONFIGURATION) => {
                let mut configuration: GatewayConfiguration =
                    read(body, ResultCode::ConfigurationUnreadable)?;
                configuration.document = body.to_vec();
                Ok(OperatorCall::Configure(Box::new(configuration)))
            }
            ("GET", CONFIGURATION) => Ok(OperatorCall::ReadConfiguration),
            ("PUT", _) if path.starts_with(INSTANCES) => {
                let report: InstanceReport = read(body, ResultCode::BadJson)?;
                Ok(OperatorCall::Report(Box::new(report)))
            }
            ("POST" | "DELETE", _) if path.starts_with(EVACUATIONS) => {
                let zone = path[EVACUATIONS.len()..].to_string();
                Ok(OperatorCall::SetEvacuation { zone, evacuated: method == "POST" })
            }
            ("DELETE", _) => {
                let id = path.strip_prefix(INSTANCES).ok_or_else(no_such_path)?;
                Ok(OperatorCall::SignOff { id: id.to_string() })
            }
            _ => Err(no_such_path()),
        }
    }

    fn report_answer(&self, report_to: Option<SocketAddr>) -> Vec<u8> {
        json!({ "reportTo": report_to }).to_string().into_bytes()
    }

    fn order_call(&self, order: &GroupOrder) -> EncodedCall {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let headers = vec![("content-type", "application/json".to_string())];
        EncodedCall { path: ORDERS.to_string(), headers, body }
    }

    fn order_answer(&self, status: u16) -> OrderAnswer {
        match status {
            202 => OrderAnswer::Begun,
            200 => OrderAnswer::Holds,
            409 => OrderAnswer::Unfit,
            412 => OrderAnswer::Fenced,
            500..=599 => OrderAnswer::Silent,
            _ => OrderAnswer::Refused,
        }
    }

    fn report_path(&self) -> &str {
        REPORT
    }

    fn report_slowness(&self, body: &[u8]) -> Option<f64> {
        let report: serde_json::Value = serde_json::from_slice(body).ok()?;
        report.get("slowness")?.as_f64()
    }
}
