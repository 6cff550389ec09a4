//! Tells callers which entries to use.

use super::Gateway;
use super::body::AnswerBody;
use super::refusal::{bare, json, refuse};
use crate::dialect::DirectoryQuery;
use dockwood_api::ResultCode;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Addresses in an answer, at most.
const MOST_ADDRESSES: usize = 64;
/// Entries of the caller's own zone that are enough for it; fewer are filled up from other zones.
const ENOUGH_IN_ZONE: usize = 2;

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

/// Live entries: those of the caller's zone if there are enough, else all.
fn entries_for(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let shared = &gateway.shared;
    let tables = shared.tables();
    let excludes_itself = shared.is_leaving();
    let live = || {
        tables
            .reachable_daemons()
            .filter(|daemon| !(excludes_itself && daemon.record.name == shared.settings.name))
            .filter_map(|daemon| Some((&daemon.record.zone, daemon.record.frontend?)))
    };
    let near: Vec<SocketAddr> =
        live().filter(|(zone, _)| Some(*zone) == query.zone.as_ref()).map(|(_, address)| address).collect();
    let mut chosen =
        if near.len() >= ENOUGH_IN_ZONE { near } else { live().map(|(_, address)| address).collect() };
    chosen.truncate(MOST_ADDRESSES);
    chosen
}
