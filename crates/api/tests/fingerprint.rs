//! What makes two tries the same request, and what does not.

use dockwood_api::gateway::{Fingerprint, NoFingerprint, RequestIdentity};

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    tenant: Some("tenant"),
    method: "POST",
    host: "h.example",
    path: "/stream/1?part=2",
    body: b"a body",
};

#[yare::parameterized(
    another_tenant = { RequestIdentity { tenant: Some("other"), ..REQUEST } },
    no_tenant = { RequestIdentity { tenant: None, ..REQUEST } },
    another_method = { RequestIdentity { method: "PUT", ..REQUEST } },
    another_host = { RequestIdentity { host: "i.example", ..REQUEST } },
    another_query = { RequestIdentity { path: "/stream/1?part=3", ..REQUEST } },
    another_body = { RequestIdentity { body: b"another body", ..REQUEST } },
    an_empty_body = { RequestIdentity { body: b"", ..REQUEST } },
    parts_that_run_together = { RequestIdentity { path: "/stream/1?part=2a", body: b" body", ..REQUEST } },
)]
fn another_request_has_another_fingerprint(other: RequestIdentity<'static>) {
    assert_ne!(Fingerprint::of(&REQUEST), Fingerprint::of(&other));
}

#[test]
fn a_request_without_a_tenant_is_not_one_of_a_tenant_without_a_name() {
    let nameless = RequestIdentity { tenant: Some(""), ..REQUEST };
    let anonymous = RequestIdentity { tenant: None, ..REQUEST };
    assert_ne!(Fingerprint::of(&nameless), Fingerprint::of(&anonymous));
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(fingerprint.to_string().len(), 32);
}

#[yare::parameterized(
    empty = { "" },
    short = { "00ff" },
    no_digits = { "zz000000000000000000000000000000" },
    no_ascii = { "é00000000000000000000000000000" },
)]
fn other_texts_are_no_fingerprints(text: &str) {
    assert_eq!(text.parse::<Fingerprint>(), Err(NoFingerprint));
}
