//! Directory: the entries that callers should use.

use super::Gateway;
use super::body::ResponseBody;
use super::receive::CallerBody;
use super::regions::region_of;
use super::responses::{empty_response, error_response, json_response};
use crate::dialect::DirectoryQuery;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{Entry, entries_near};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Handles a query.
pub async fn handle(gateway: Arc<Gateway>, request: Request<CallerBody>) -> Response<ResponseBody> {
    let uri = request.uri();
    let query = gateway.dialect.directory_query(uri.path(), uri.query().unwrap_or_default());
    let Some(query) = query else { return empty_response(StatusCode::NOT_FOUND) };
    if !gateway.shared.holds_lease() {
        // Without a lease, the tables may be outdated and list entries that are partitioned or gone.
        return error_response(ResultCode::NoLease, "no configuration lease", None);
    }
    let addresses = select_entries(&gateway, &query);
    if addresses.is_empty() {
        return error_response(ResultCode::NoConfiguration, "no entry is known", None);
    }
    let lifetime = gateway.shared.settings.gateway.as_ref().map(|gateway| gateway.answer_lifetime);
    json_response(gateway.dialect.directory_answer(&addresses, lifetime.unwrap_or_default()))
}

/// Returns live entries near the caller. The regions allowed by routes are not considered, because the query does not say
/// which routes the caller uses.
fn select_entries(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let shared = &gateway.shared;
    let tables = shared.tables();
    let excludes_itself = shared.is_leaving();
    let live: Vec<Entry<'_>> = tables
        .reachable_daemons()
        .map(|daemon| &daemon.record)
        .filter(|record| !(excludes_itself && record.name == shared.settings.name))
        .filter_map(|record| {
            Some(Entry { zone: &record.zone, region: &record.region, address: record.frontend? })
        })
        .collect();
    let region = query.region.as_deref().or_else(|| region_of(shared, query.zone.as_deref()?));
    let mut selected = entries_near(&live, query.zone.as_deref(), region);
    selected.truncate(MAX_ADDRESSES);
    selected
}
