//! Parsing and validation of resources, digests, and ordering of events.

use dockwood_api::ResultCode;
use dockwood_api::digest::{presented_digest, rendezvous_weight, secret_digest};
use dockwood_api::event::{ClockStamp, Event, Subject, merge_events};
use dockwood_api::resource::{Kind, Status, is_valid_name, parse_resource, view_of};
use proptest::prelude::*;
use std::str::FromStr;
use yare::parameterized;

fn code_of(body: &str) -> Option<ResultCode> {
    parse_resource(body.as_bytes()).err().map(|error| error.code())
}

#[parameterized(
    malformed = { "{", ResultCode::BadResource },
    unknown_field = { r#"{"kind":"Tenant","metadata":{"name":"a"},"spec":{"tier":0,"keys":["12345678"],"x":1}}"#, ResultCode::BadResource },
    other_version = { r#"{"apiVersion":"v9","kind":"Tenant","metadata":{"name":"a"},"spec":{}}"#, ResultCode::BadResource },
    bad_name = { r#"{"kind":"Tenant","metadata":{"name":"A b"},"spec":{}}"#, ResultCode::ValidationFailed },
    too_few_machines = { r#"{"kind":"Deployment","metadata":{"name":"a"},"spec":{"model":"m","version":"v","replicas":1,"machinesPerReplica":3}}"#, ResultCode::ValidationFailed },
    too_many_machines = { r#"{"kind":"Deployment","metadata":{"name":"a"},"spec":{"model":"m","version":"v","replicas":1,"machinesPerReplica":33}}"#, ResultCode::ValidationFailed },
    too_many_replicas = { r#"{"kind":"Deployment","metadata":{"name":"a"},"spec":{"model":"m","version":"v","replicas":17,"machinesPerReplica":4}}"#, ResultCode::ValidationFailed },
    short_key = { r#"{"kind":"Tenant","metadata":{"name":"a"},"spec":{"tier":0,"keys":["1"]}}"#, ResultCode::ValidationFailed },
    bad_address = { r#"{"kind":"Server","metadata":{"name":"a"},"spec":{"address":"x","domain":"d","zone":"z"}}"#, ResultCode::BadResource },
    read_only = { r#"{"kind":"Replica","metadata":{"name":"a"},"spec":{}}"#, ResultCode::ReadOnlyKind },
)]
fn invalid_resource_is_rejected_with_its_code(body: &str, code: ResultCode) {
    assert_eq!(code_of(body), Some(code));
}

#[test]
fn all_invalid_fields_of_a_spec_are_reported() {
    let body = r#"{"kind":"Deployment","metadata":{"name":"a"},"spec":{"model":"","version":"v","replicas":99,"machinesPerReplica":1}}"#;
    let message =
        parse_resource(body.as_bytes()).err().map(|error| error.message().to_string()).unwrap_or_default();
    for field in ["spec.model", "spec.replicas", "spec.machines_per_replica"] {
        assert!(message.contains(field), "{message}");
    }
}

#[test]
fn serialized_resource_can_be_parsed() {
    let body = r#"{"kind":"Server","metadata":{"name":"m-1","labels":{"rack":"7"}},"spec":{"address":"127.0.0.1:80","domain":"d","zone":"z"}}"#;
    let first = parse_resource(body.as_bytes());
    let serialized = first.as_ref().map(|resource| serde_json::to_vec(&view_of(resource, Status::default())));
    let second = serialized.ok().and_then(Result::ok).map(|bytes| parse_resource(&bytes));
    assert_eq!(second, Some(first));
}

#[parameterized(
    plain = { "m-1", true }, dotted = { "a.b", true }, empty = { "", false }, upper = { "A", false },
    leading = { "-a", false }, trailing = { "a-", false }, slash = { "a/b", false },
)]
fn resource_names_are_validated(name: &str, valid: bool) {
    assert_eq!(is_valid_name(name), valid);
}

#[test]
fn kind_is_parsed_from_singular_and_plural_names() {
    for kind in Kind::ALL {
        assert_eq!(Kind::from_str(kind.plural()).ok(), Some(kind));
        assert_eq!(Kind::from_str(kind.name()).ok(), Some(kind));
    }
    assert!(Kind::from_str("pods").is_err());
}

#[test]
fn leaked_digest_is_not_accepted_as_secret() {
    let stored = secret_digest("a-secret-key");
    assert_eq!(presented_digest("a-secret-key"), stored);
    assert_ne!(presented_digest(&stored), stored);
    assert_eq!(secret_digest(&stored), stored);
}

fn event(wall_ms: u64, process: &str, revision: Option<u64>) -> Event {
    Event {
        stamp: ClockStamp { wall_ms, logical: 0 },
        process: process.to_string(),
        sequence: 1,
        subject: Subject::new("replica", "r"),
        reason: "Formed".to_string(),
        message: String::new(),
        cause_revision: revision,
        code: ResultCode::Ok,
    }
}

#[test]
fn replicated_change_occurs_once_in_merged_timeline() {
    let merged = merge_events(vec![
        event(3, "b", Some(7)),
        event(2, "a", Some(7)),
        event(1, "c", None),
        event(4, "c", None),
    ]);
    let order: Vec<&str> = merged.iter().map(|event| event.process.as_str()).collect();
    assert_eq!(order, ["c", "a", "c"]);
}

proptest! {
    #[test]
    fn parsing_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_resource(&bytes);
    }

    #[test]
    fn timestamps_strictly_increase(wall_clocks in proptest::collection::vec(0_u64..50, 1..40)) {
        let mut stamp = ClockStamp::default();
        for wall_ms in wall_clocks {
            let next = stamp.tick(wall_ms);
            prop_assert!(next > stamp);
            let merged = next.merge(ClockStamp { wall_ms: wall_ms + 3, logical: 2 }, wall_ms);
            prop_assert!(merged > next && merged.wall_ms >= wall_ms + 3);
            stamp = merged;
        }
    }

    #[test]
    fn removing_a_candidate_moves_only_its_own_keys(keys in proptest::collection::vec("[a-z]{1,8}", 1..30)) {
        let names = ["a", "b", "c", "d"];
        let owner = |key: &str, names: &[&str]| names.iter().max_by_key(|name| rendezvous_weight(key, name)).map(|name| name.to_string());
        for key in keys {
            let before = owner(&key, &names);
            let after = owner(&key, &names[..3]);
            prop_assert!(before == after || before.as_deref() == Some("d"));
        }
    }
}
