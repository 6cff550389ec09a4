//! Tells callers which entries to use.

use super::Gateway;
use super::body::AnswerBody;
use super::refusal::{bare, json, refuse};
use super::regions::region_of;
use crate::dialect::DirectoryQuery;
use dockwood_api::ResultCode;
use dockwood_routing::gateway::{Entry, entries_near};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Addresses in an answer, at most.
const MOST_ADDRESSES: usize = 64;

/// Answers a query.
pub async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let uri = request.uri();
    let query = gateway.dialect.directory_query(uri.path(), uri.query().unwrap_or_default());
    let Some(query) = query else { return bare(StatusCode::NOT_FOUND) };
    if !gateway.shared.holds_lease() {
        // What is known here may be long past: it would send callers to entries that are cut off or gone.
        return refuse(ResultCode::NoLease, "no configuration lease", None);
    }
    let addresses = entries_for(&gateway, &query);
    if addresses.is_empty() {
        return refuse(ResultCode::NoConfiguration, "no entry is known", None);
    }
    let lifetime = gateway.shared.settings.gateway.as_ref().map(|gateway| gateway.answer_lifetime);
    json(gateway.dialect.directory_answer(&addresses, lifetime.unwrap_or_default()))
}

/// Live entries near the caller. What regions a route allows is not asked: which routes a caller uses is not told.
fn entries_for(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
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
    let mut chosen = entries_near(&live, query.zone.as_deref(), region);
    chosen.truncate(MOST_ADDRESSES);
    chosen
}
