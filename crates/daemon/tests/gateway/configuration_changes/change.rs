//! The content of changed configurations.

use serde_json::{Value, json};

/// Limits of the number of versions whose own routes a configuration keeps.
const KEPT_VERSIONS: usize = 60;

/// What is different in a new configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Timeouts,
    /// This number of additional routes, which later configurations keep.
    ManyRoutes(usize),
    Keys,
    Priorities,
    Quotas,
    /// The configuration is invalid.
    Invalid(Invalidity),
}

/// Why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalidity {
    SamePrefix,
    UnknownService,
    NoWeight,
    NoTimeout,
    SharedKey,
}

impl Invalidity {
    pub const ALL: [Invalidity; 5] = [
        Invalidity::SamePrefix,
        Invalidity::UnknownService,
        Invalidity::NoWeight,
        Invalidity::NoTimeout,
        Invalidity::SharedKey,
    ];
}

/// Name of the route that a version and all later ones have.
pub fn route_since(version: u64) -> String {
    format!("since-{version}")
}

/// Name of the route that only this version has.
pub fn route_only(version: u64) -> String {
    format!("only-{version}")
}

/// Name of the route that only a second configuration with an accepted version has.
pub fn route_rival(version: u64) -> String {
    format!("rival-{version}")
}

/// The key that only this version has.
pub fn key_only(version: u64) -> String {
    format!("key-of-{version}")
}

fn route(template: &Value, name: &str) -> Value {
    let mut route = template.clone();
    route["path_prefix"] = json!(format!("/{name}/"));
    route["name"] = json!(name);
    route
}

fn push(content: &mut Value, list: &str, items: impl IntoIterator<Item = Value>) {
    if let Some(list) = content[list].as_array_mut() {
        list.extend(items);
    }
}

/// Returns `base` as a new version with routes and a key that show it; `since` are the versions whose routes are kept.
pub fn changed_configuration(
    base: Value,
    version: u64,
    since: &[u64],
    extra_routes: usize,
    change: Change,
) -> Value {
    let mut content = base;
    let template = content["routes"][1].clone();
    content["version"] = json!(version);
    content["tenants"][0]["keys"] = json!(["key-1", key_only(version)]);
    match change {
        Change::Timeouts => set_in_routes(&mut content, "timeout_ms", json!(15_000 + version % 7 * 500)),
        Change::Priorities => set_in_routes(&mut content, "priority", json!(version % 3)),
        Change::ManyRoutes(_) => {}
        Change::Keys => {
            let keys = json!(["key-1", key_only(version), format!("other-key-of-{version}")]);
            content["tenants"][0]["keys"] = keys;
        }
        Change::Quotas => {
            let other = json!({ "name": "other", "keys": [format!("other-{version}")], "priority": 3 });
            push(&mut content, "tenants", [other]);
        }
        Change::Invalid(invalidity) => push_invalid(&mut content, &template, invalidity),
    }
    let extra = (0..extra_routes).map(|number| route(&template, &format!("extra-{number}")));
    push(&mut content, "routes", extra);
    let kept = &since[since.len().saturating_sub(KEPT_VERSIONS)..];
    push(&mut content, "routes", kept.iter().map(|version| route(&template, &route_since(*version))));
    push(&mut content, "routes", [route(&template, &route_only(version))]);
    content
}

/// Returns an accepted configuration with other content under the same version.
pub fn rival_configuration(accepted: &Value) -> Value {
    let mut content = accepted.clone();
    let template = content["routes"][1].clone();
    let version = content["version"].as_u64().unwrap_or(0);
    push(&mut content, "routes", [route(&template, &route_rival(version))]);
    content
}

fn set_in_routes(content: &mut Value, field: &str, value: Value) {
    for route in content["routes"].as_array_mut().into_iter().flatten() {
        route[field] = value.clone();
    }
}

fn push_invalid(content: &mut Value, template: &Value, invalidity: Invalidity) {
    let mut invalid = route(template, "invalid");
    match invalidity {
        Invalidity::SamePrefix => push(content, "routes", [invalid.clone()]),
        Invalidity::UnknownService => invalid["services"][0]["service"] = json!("unknown"),
        Invalidity::NoWeight => invalid["services"][0]["weight"] = json!(0),
        Invalidity::NoTimeout => invalid["timeout_ms"] = json!(0),
        Invalidity::SharedKey => {
            push(content, "tenants", [json!({ "name": "thief", "keys": ["key-1"], "priority": null })]);
        }
    }
    push(content, "routes", [invalid]);
}
