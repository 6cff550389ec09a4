//! Authentication of operators by token and of callers by tenant key. Neither secret appears in a log, an event or a
//! response.

use super::App;
use crate::settings::OperatorRole;
use dockwood_api::digest::presented_digest;
use dockwood_api::{ApiError, ResultCode};
use poem::Request;
use poem::http::header::AUTHORIZATION;

/// Returns the bearer token of a request.
pub fn bearer_token(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ").map(str::trim)
}

/// Checks that the operator's token is valid and has at least the role `needed`.
pub fn authorize_operator(app: &App, request: &Request, needed: OperatorRole) -> Result<(), ApiError> {
    let Some(token) = bearer_token(request) else {
        return Err(ApiError::new(ResultCode::TokenMissing, "send Authorization: Bearer TOKEN"));
    };
    let digest = presented_digest(token);
    let known = app.shared.settings.tokens.iter().find(|known| known.digest == digest);
    let Some(known) = known else {
        return Err(ApiError::new(ResultCode::TokenWrong, "the operator token is not known"));
    };
    if known.role < needed {
        let message = format!("token '{}' may read only", known.name);
        return Err(ApiError::new(ResultCode::RoleInsufficient, message));
    }
    Ok(())
}

/// Returns the tenant that the request's key belongs to.
pub fn authenticate_tenant(app: &App, request: &Request) -> Result<String, ApiError> {
    let key = bearer_token(request);
    let published = app.shared.published();
    let tenant = key.and_then(|key| published.routing.tenant_of(key));
    let message =
        if key.is_none() { "send Authorization: Bearer KEY" } else { "the key belongs to no tenant" };
    tenant.map(str::to_string).ok_or_else(|| ApiError::new(ResultCode::UnknownTenant, message))
}
