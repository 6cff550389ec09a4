//! Fingerprints: which parts of a request they depend on, and how they are parsed and formatted.

use dockwood_api::gateway::{Fingerprint, ParseFingerprintError, RequestIdentity};

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    tenant: Some("tenant"),
    method: "POST",
    host: "h.example",
    path: "/stream/1?part=2",
    body: b"a body",
};

#[yare::parameterized(
    different_tenant = { RequestIdentity { tenant: Some("other"), ..REQUEST } },
    no_tenant = { RequestIdentity { tenant: None, ..REQUEST } },
    different_method = { RequestIdentity { method: "PUT", ..REQUEST } },
    different_host = { RequestIdentity { host: "i.example", ..REQUEST } },
    different_query = { RequestIdentity { path: "/stream/1?part=3", ..REQUEST } },
    different_body = { RequestIdentity { body: b"another body", ..REQUEST } },
    empty_body = { RequestIdentity { body: b"", ..REQUEST } },
    shifted_boundary_between_parts = { RequestIdentity { path: "/stream/1?part=2a", body: b" body", ..REQUEST } },
)]
fn different_requests_have_different_fingerprints(other: RequestIdentity<'static>) {
    assert_ne!(Fingerprint::of(&REQUEST), Fingerprint::of(&other));
}

#[test]
fn anonymous_request_differs_from_request_of_tenant_with_empty_name() {
    let empty_name = RequestIdentity { tenant: Some(""), ..REQUEST };
    let anonymous = RequestIdentity { tenant: None, ..REQUEST };
    assert_ne!(Fingerprint::of(&empty_name), Fingerprint::of(&anonymous));
}

#[test]
fn formatted_fingerprint_can_be_parsed() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(fingerprint.to_string().len(), 32);
}

#[yare::parameterized(
    empty = { "" },
    too_short = { "00ff" },
    not_hexadecimal = { "zz000000000000000000000000000000" },
    not_ascii = { "é00000000000000000000000000000" },
)]
fn invalid_fingerprint_is_rejected(text: &str) {
    assert_eq!(text.parse::<Fingerprint>(), Err(ParseFingerprintError));
}
