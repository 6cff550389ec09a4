//! Which headers cross the gateway, in either direction.

use crate::dialect::HeaderNames;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
const MORE_CONNECTION_HEADERS: [&str; 4] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"];

/// What the gateway itself tells a server of a request.
#[derive(Clone, Debug)]
pub struct ServerHeaders<'a> {
    /// Milliseconds left.
    pub deadline_ms: u64,
    /// The instance that is meant.
    pub instance: &'a str,
    /// The tenant, if the request has one.
    pub tenant: Option<&'a str>,
    /// The rank for the server's queue.
    pub rank: Option<u32>,
    /// The last event that the caller has by now.
    pub last_event: Option<u64>,
}

/// Headers without those that concern the connection they came on.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for (name, value) in headers {
        let concerns_connection = CONNECTION_HEADERS.contains(name)
            || MORE_CONNECTION_HEADERS.contains(&name.as_str())
            || named.iter().any(|other| other == name.as_str());
        if !concerns_connection {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Headers of a caller's request, as every send starts from them: without the key, and without what only the
/// gateway may say.
pub fn from_caller(headers: &HeaderMap, names: &HeaderNames, drop_key: bool) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(CONTENT_LENGTH);
    if drop_key {
        kept.remove(AUTHORIZATION);
    }
    for name in [names.tenant, names.expected_instance, names.deadline_ms, names.rank] {
        kept.remove(name);
    }
    kept
}

/// Adds what the gateway tells a server.
pub fn add_for_server(headers: &mut HeaderMap, names: &HeaderNames, told: &ServerHeaders<'_>) {
    set(headers, names.deadline_ms, &told.deadline_ms.to_string());
    set(headers, names.expected_instance, told.instance);
    if let Some(tenant) = told.tenant {
        set(headers, names.tenant, tenant);
    }
    if let Some(rank) = told.rank {
        set(headers, names.rank, &rank.to_string());
    }
    if let Some(last_event) = told.last_event {
        set(headers, names.last_event, &last_event.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
