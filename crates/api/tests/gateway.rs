//! Validation of gateway configurations, and comparison of instance reports.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{
    ColdStart, GatewayConfiguration, InstanceReport, InstanceState, Route, RouteKind, ServiceProfile,
    TenantKeys, WeightedService, validate_configuration,
};
use yare::parameterized;

fn route(name: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "host.example".to_string(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Repeatable,
        services: vec![WeightedService { service: "s".to_string(), weight: 1 }],
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        max_attempts: 2,
        priority: 1,
        anonymous: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}

fn valid_configuration() -> GatewayConfiguration {
    let service = ServiceProfile {
        name: "s".to_string(),
        health_path: "/h".to_string(),
        max_connections: 9,
        cold_start: None,
        engine: None,
    };
    let tenant = |name: &str| TenantKeys {
        name: name.to_string(),
        keys: vec![format!("key-{name}")],
        priority: None,
        allowed_regions: Vec::new(),
    };
    GatewayConfiguration {
        version: 1,
        routes: vec![route("a"), route("b")],
        services: vec![service],
        tenants: vec![tenant("x"), tenant("y")],
        ..GatewayConfiguration::default()
    }
}

fn fault_codes(configuration: &GatewayConfiguration) -> Vec<ResultCode> {
    validate_configuration(configuration).iter().map(|fault| fault.code).collect()
}

#[test]
fn valid_configuration_has_no_faults() {
    assert_eq!(fault_codes(&valid_configuration()), []);
}

#[parameterized(
    no_leading_slash = { |route: &mut Route| route.path_prefix = "b/".to_string(), ResultCode::RouteInvalid },
    no_trailing_slash = { |route: &mut Route| route.path_prefix = "/b".to_string(), ResultCode::RouteInvalid },
    zero_timeout = { |route: &mut Route| route.timeout_ms = 0, ResultCode::RouteInvalid },
    zero_weight = { |route: &mut Route| route.services[0].weight = 0, ResultCode::RouteInvalid },
    no_services = { |route: &mut Route| route.services.clear(), ResultCode::RouteInvalid },
    unknown_service = {
        |route: &mut Route| route.services[0].service = "t".to_string(), ResultCode::RouteUnknownService
    },
    duplicate_host_and_prefix = {
        |route: &mut Route| route.path_prefix = "/a/".to_string(), ResultCode::RouteDuplicate
    },
    duplicate_host_in_different_case = {
        |route: &mut Route| {
            route.path_prefix = "/a/".to_string();
            route.host = "HOST.example".to_string();
        },
        ResultCode::RouteDuplicate
    },
)]
fn fault_names_the_route(make_invalid: fn(&mut Route), code: ResultCode) {
    let mut configuration = valid_configuration();
    make_invalid(&mut configuration.routes[1]);
    let found = validate_configuration(&configuration);
    assert_eq!(fault_codes(&configuration), [code]);
    assert_eq!(found[0].location, "route b");
}

#[test]
fn tenants_may_not_share_a_key_but_one_tenant_may_repeat_its_own() {
    let mut configuration = valid_configuration();
    configuration.tenants[1].keys.push("key-y".to_string());
    assert_eq!(fault_codes(&configuration), []);
    configuration.tenants[1].keys.push("key-x".to_string());
    assert_eq!(fault_codes(&configuration), [ResultCode::TenantKeyShared]);
}

#[test]
fn all_faults_are_reported() {
    let mut configuration = valid_configuration();
    configuration.routes[0].timeout_ms = 0;
    configuration.routes[1].services[0].service = "t".to_string();
    assert_eq!(fault_codes(&configuration), [ResultCode::RouteInvalid, ResultCode::RouteUnknownService]);
}

#[parameterized(
    zero = { 0.0, &[ResultCode::ServiceInvalid] },
    negative = { -20.0, &[ResultCode::ServiceInvalid] },
    not_a_number = { f64::NAN, &[ResultCode::ServiceInvalid] },
    infinite = { f64::INFINITY, &[ResultCode::ServiceInvalid] },
    positive = { 0.5, &[] },
)]
fn cold_rate_must_be_positive_and_finite(requests_per_second: f64, expected: &[ResultCode]) {
    let mut configuration = valid_configuration();
    configuration.services[0].cold_start = Some(ColdStart { usual_ms: 1_000, requests_per_second });
    assert_eq!(fault_codes(&configuration), expected);
}

fn report(sequence: u64, cold_ms: u64) -> InstanceReport {
    InstanceReport {
        started_ms: None,
        id: "a".to_string(),
        service: "s".to_string(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z".to_string(),
        slots: 4,
        state: InstanceState::Ready,
        cold_ms,
        sequence,
        domain: None,
        staged: Vec::new(),
        membership: None,
    }
}

#[parameterized(
    still_warm = { 0, 0, true },
    still_cold = { 9_000, 7_800, true },
    still_cold_at_maximum = { u64::MAX, u64::MAX - 1, true },
    became_warm = { 300, 0, false },
    became_cold = { 0, 9_000, false },
)]
fn report_is_unchanged_unless_server_became_cold_or_warm(before: u64, now: u64, expected: bool) {
    assert_eq!(report(2, now).is_unchanged_since(&report(1, before)), expected);
    let draining = InstanceReport { state: InstanceState::Draining, ..report(2, now) };
    assert!(!draining.is_unchanged_since(&report(1, before)));
}
