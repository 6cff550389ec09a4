//! Operators' changes: compare-and-set, change ids, references and dependants.

mod common;

use common::{change, deployment, fleet, form, resource, server, store};
use dockwood_api::ResultCode;
use dockwood_api::resource::{Kind, ResourceKey, Spec};
use dockwood_state::{CHANGE_RETENTION, ChangeAction, Outcome, State};
use serde_json::json;

fn code(outcome: &Outcome) -> ResultCode {
    match outcome {
        Outcome::Refused(error) => error.code(),
        Outcome::Conflict(_) => ResultCode::Conflict,
        Outcome::Resent(_) => ResultCode::Resent,
        _ => ResultCode::Ok,
    }
}

#[test]
fn of_two_updates_to_the_same_version_exactly_one_succeeds() {
    let mut state = fleet(4);
    let version = state
        .tables
        .resource(Kind::Deployment, "d")
        .map(|resource| resource.metadata.resource_version)
        .unwrap_or(0);
    let update = |replicas| {
        let mut resource = deployment("d", replicas);
        resource.metadata.resource_version = version;
        resource
    };
    let first = change(&mut state, "a", ChangeAction::Update(update(3)));
    let second = change(&mut state, "b", ChangeAction::Update(update(4)));
    assert!(matches!(first, Outcome::Stored { changed: true, .. }), "{first:?}");
    let Outcome::Conflict(winner) = second else { panic!("{second:?}") };
    assert!(matches!(&winner.spec, Spec::Deployment(spec) if spec.replicas == 3));
    assert!(winner.metadata.resource_version > version);
}

#[test]
fn a_resend_returns_the_recorded_outcome_and_changes_nothing() {
    let mut state = fleet(0);
    let first = change(&mut state, "a", ChangeAction::Apply(deployment("d", 3)));
    store(&mut state, deployment("d", 5));
    let again = change(&mut state, "a", ChangeAction::Apply(deployment("d", 3)));
    assert_eq!(again, Outcome::Resent(Box::new(first)));
    assert_eq!(state.tables.deployment("d").map(|spec| spec.replicas), Some(5));
}

#[test]
fn a_resend_of_a_conflicting_change_returns_the_conflict() {
    let mut state = fleet(0);
    let mut stale = deployment("d", 3);
    stale.metadata.resource_version = 1;
    assert_eq!(code(&change(&mut state, "a", ChangeAction::Update(stale.clone()))), ResultCode::Conflict);
    let Outcome::Resent(first) = change(&mut state, "a", ChangeAction::Update(stale)) else {
        panic!("not resent")
    };
    assert_eq!(code(&first), ResultCode::Conflict);
}

#[test]
fn a_change_id_reused_with_other_content_is_refused() {
    let mut state = fleet(0);
    change(&mut state, "a", ChangeAction::Apply(deployment("d", 3)));
    let other = change(&mut state, "a", ChangeAction::Apply(deployment("d", 4)));
    assert_eq!(code(&other), ResultCode::ChangeIdReused);
}

#[test]
fn change_ids_survive_a_snapshot() {
    let mut state = fleet(2);
    change(&mut state, "a", ChangeAction::Apply(deployment("d", 3)));
    let mut restored = State::decode(&state.encode()).unwrap_or_default();
    assert_eq!(restored, state);
    let again = change(&mut restored, "a", ChangeAction::Apply(deployment("d", 3)));
    assert!(matches!(again, Outcome::Resent(_)), "{again:?}");
}

#[test]
fn retained_change_ids_are_bounded() {
    let mut state = fleet(0);
    for number in 0..CHANGE_RETENTION + 10 {
        change(
            &mut state,
            &format!("id-{number}"),
            ChangeAction::Apply(deployment("d", (number % 3) as u32)),
        );
    }
    let first = change(&mut state, "id-0", ChangeAction::Apply(deployment("d", 0)));
    assert!(!matches!(first, Outcome::Resent(_)), "{first:?}");
}

#[test]
fn referenced_resources_must_exist() {
    let mut state = State::default();
    let missing = change(&mut state, "a", ChangeAction::Create(deployment("d", 1)));
    assert_eq!(code(&missing), ResultCode::ValidationFailed);
    let adapter = resource("Adapter", "ad", json!({ "model": "none", "version": "v1", "sizeMib": 1 }));
    assert_eq!(code(&change(&mut state, "b", ChangeAction::Create(adapter))), ResultCode::ValidationFailed);
}

#[test]
fn resources_in_use_cannot_be_deleted_or_moved() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    let delete =
        |kind, name: &str| ChangeAction::Delete { key: ResourceKey::new(kind, name), resource_version: 0 };
    assert_eq!(code(&change(&mut state, "a", delete(Kind::Model, "model"))), ResultCode::HasDependants);
    assert_eq!(code(&change(&mut state, "b", delete(Kind::Server, "m-0"))), ResultCode::HasDependants);
    assert_eq!(
        code(&change(&mut state, "c", ChangeAction::Apply(server(0, "elsewhere")))),
        ResultCode::ValidationFailed
    );
    assert_eq!(code(&change(&mut state, "d", delete(Kind::Server, "m-5"))), ResultCode::Ok);
    assert_eq!(code(&change(&mut state, "e", delete(Kind::Server, "m-5"))), ResultCode::NotFound);
}

#[test]
fn server_addresses_and_tenant_keys_are_unique() {
    let mut state = fleet(2);
    let mut twin = server(1, "domain-0");
    twin.metadata.name = "twin".to_string();
    assert_eq!(code(&change(&mut state, "a", ChangeAction::Create(twin))), ResultCode::ValidationFailed);
    let tenant = |name: &str| resource("Tenant", name, json!({ "tier": 0, "keys": ["12345678"] }));
    store(&mut state, tenant("one"));
    assert_eq!(
        code(&change(&mut state, "b", ChangeAction::Create(tenant("two")))),
        ResultCode::ValidationFailed
    );
}

#[test]
fn generation_changes_with_the_spec_and_resource_version_with_every_change() {
    let mut state = fleet(0);
    let first = store(&mut state, deployment("e", 1));
    let mut labelled = deployment("e", 1);
    labelled.metadata.labels.insert("team".to_string(), "x".to_string());
    let second = store(&mut state, labelled);
    let third = store(&mut state, deployment("e", 2));
    assert_eq!((first.generation, second.generation, third.generation), (1, 1, 2));
    assert!(
        first.resource_version < second.resource_version && second.resource_version < third.resource_version
    );
    assert_eq!(first.uid, third.uid);
}
