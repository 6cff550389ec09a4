//! JSON representation of resources: `apiVersion`, `kind`, `metadata`, `spec` and `status`.

use super::{API_VERSION, Kind, Metadata, Resource, Spec, Status, is_valid_name};
use crate::{ApiError, ResultCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A resource in requests and responses of the API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ResourceView {
    /// [`API_VERSION`].
    #[serde(default = "api_version")]
    pub api_version: String,
    /// Kind of the resource.
    pub kind: Kind,
    /// Metadata.
    pub metadata: Metadata,
    /// Declared spec; null for read-only kinds.
    #[serde(default)]
    pub spec: Value,
    /// Reported status; ignored in requests.
    #[serde(default)]
    pub status: Status,
}

fn api_version() -> String {
    API_VERSION.to_string()
}

/// Returns the representation of a resource with its status.
pub fn view_of(resource: &Resource, status: Status) -> ResourceView {
    ResourceView {
        api_version: api_version(),
        kind: resource.spec.kind(),
        metadata: resource.metadata.clone(),
        spec: spec_to_json(&resource.spec),
        status,
    }
}

fn spec_to_json(spec: &Spec) -> Value {
    let written = match spec {
        Spec::Model(spec) => serde_json::to_value(spec),
        Spec::Adapter(spec) => serde_json::to_value(spec),
        Spec::Deployment(spec) => serde_json::to_value(spec),
        Spec::Tenant(spec) => serde_json::to_value(spec),
        Spec::Server(spec) => serde_json::to_value(spec),
        Spec::Service(spec) => serde_json::to_value(spec),
    };
    written.unwrap_or(Value::Null)
}

/// Parses and validates the spec of a resource of this kind. Unknown fields and values out of range are rejected.
pub fn spec_from_json(kind: Kind, value: Value) -> Result<Spec, ApiError> {
    fn read<T: DeserializeOwned>(value: Value) -> Result<T, ApiError> {
        serde_json::from_value(value)
            .map_err(|error| ApiError::new(ResultCode::BadResource, format!("spec: {error}")))
    }
    let spec = match kind {
        Kind::Model => Spec::Model(read(value)?),
        Kind::Adapter => Spec::Adapter(read(value)?),
        Kind::Deployment => Spec::Deployment(read(value)?),
        Kind::Tenant => Spec::Tenant(read(value)?),
        Kind::Server => Spec::Server(read(value)?),
        Kind::Service => Spec::Service(read(value)?),
        read_only => {
            let message = format!("{read_only} is written by dockwood alone");
            return Err(ApiError::new(ResultCode::ReadOnlyKind, message));
        }
    };
    spec.check().map_err(|message| ApiError::new(ResultCode::ValidationFailed, message))?;
    Ok(spec)
}

/// Parses and validates the resource in the body of a request.
pub fn parse_resource(body: &[u8]) -> Result<Resource, ApiError> {
    let view: ResourceView = serde_json::from_slice(body)
        .map_err(|error| ApiError::new(ResultCode::BadResource, error.to_string()))?;
    if view.api_version != API_VERSION {
        let message = format!("apiVersion '{}' is not {API_VERSION}", view.api_version);
        return Err(ApiError::new(ResultCode::BadResource, message));
    }
    if !is_valid_name(&view.metadata.name) {
        let message = format!("metadata.name '{}' is not a valid name", view.metadata.name);
        return Err(ApiError::new(ResultCode::ValidationFailed, message));
    }
    Ok(Resource { metadata: view.metadata, spec: spec_from_json(view.kind, view.spec)? })
}
