//! Headers that the gateway forwards, in both directions.

use crate::dialect::HeaderNames;
use crate::header_list::list_items;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
const MORE_HOP_BY_HOP_HEADERS: [&str; 4] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"];

/// Headers that the gateway itself adds to a request for a server.
#[derive(Clone, Debug)]
pub struct ServerHeaders<'a> {
    /// Remaining time, in milliseconds.
    pub deadline_ms: u64,
    /// Instance that the request is addressed to.
    pub instance: &'a str,
    /// Tenant of the request, if any.
    pub tenant: Option<&'a str>,
    /// Rank in the server's queue.
    pub rank: Option<u32>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Returns the headers without hop-by-hop headers.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let named: Vec<&str> = list_items(headers, CONNECTION).collect();
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || MORE_HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the headers of a caller's request that are forwarded with every send: without the API key if `drop_key` is
/// set, and without those that only the gateway may set.
pub fn forwarded_headers(headers: &HeaderMap, names: &HeaderNames, drop_key: bool) -> HeaderMap {
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

/// Adds the gateway's own headers for a server.
pub fn add_server_headers(headers: &mut HeaderMap, names: &HeaderNames, values: &ServerHeaders<'_>) {
    set(headers, names.deadline_ms, &values.deadline_ms.to_string());
    set(headers, names.expected_instance, values.instance);
    if let Some(tenant) = values.tenant {
        set(headers, names.tenant, tenant);
    }
    if let Some(rank) = values.rank {
        set(headers, names.rank, &rank.to_string());
    }
    if let Some(last_event) = values.last_event {
        set(headers, names.last_event, &last_event.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
