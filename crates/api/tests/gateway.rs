//! Faults of a gateway configuration.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{
    ColdStart, GatewayConfiguration, InstanceReport, InstanceState, Route, RouteKind, ServiceProfile,
    TenantKeys, WeightedService, faults,
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

fn sound() -> GatewayConfiguration {
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

fn codes(configuration: &GatewayConfiguration) -> Vec<ResultCode> {
    faults(configuration).iter().map(|fault| fault.code).collect()
}

#[test]
fn a_sound_configuration_has_no_fault() {
    assert_eq!(codes(&sound()), []);
}

#[parameterized(
    no_slash_at_the_start = { |route: &mut Route| route.path_prefix = "b/".to_string(), ResultCode::RouteInvalid },
    no_slash_at_the_end = { |route: &mut Route| route.path_prefix = "/b".to_string(), ResultCode::RouteInvalid },
    no_time = { |route: &mut Route| route.timeout_ms = 0, ResultCode::RouteInvalid },
    no_weight = { |route: &mut Route| route.services[0].weight = 0, ResultCode::RouteInvalid },
    no_service = { |route: &mut Route| route.services.clear(), ResultCode::RouteInvalid },
    unknown_service = {
        |route: &mut Route| route.services[0].service = "t".to_string(), ResultCode::RouteUnknownService
    },
    the_place_of_another = {
        |route: &mut Route| route.path_prefix = "/a/".to_string(), ResultCode::RouteDuplicate
    },
    the_place_of_another_in_other_case = {
        |route: &mut Route| {
            route.path_prefix = "/a/".to_string();
            route.host = "HOST.example".to_string();
        },
        ResultCode::RouteDuplicate
    },
)]
fn a_faulty_route_is_named(spoil: fn(&mut Route), code: ResultCode) {
    let mut configuration = sound();
    spoil(&mut configuration.routes[1]);
    let found = faults(&configuration);
    assert_eq!(codes(&configuration), [code]);
    assert_eq!(found[0].place, "route b");
}

#[test]
fn two_tenants_share_no_key_but_one_may_name_its_own_twice() {
    let mut configuration = sound();
    configuration.tenants[1].keys.push("key-y".to_string());
    assert_eq!(codes(&configuration), []);
    configuration.tenants[1].keys.push("key-x".to_string());
    assert_eq!(codes(&configuration), [ResultCode::TenantKeyShared]);
}

#[test]
fn every_fault_is_told() {
    let mut configuration = sound();
    configuration.routes[0].timeout_ms = 0;
    configuration.routes[1].services[0].service = "t".to_string();
    assert_eq!(codes(&configuration), [ResultCode::RouteInvalid, ResultCode::RouteUnknownService]);
}

#[parameterized(
    none = { 0.0, &[ResultCode::ServiceInvalid] },
    negative = { -20.0, &[ResultCode::ServiceInvalid] },
    no_number = { f64::NAN, &[ResultCode::ServiceInvalid] },
    endless = { f64::INFINITY, &[ResultCode::ServiceInvalid] },
    some = { 0.5, &[] },
)]
fn a_rate_of_cold_servers_that_can_not_be_kept_is_a_fault(requests_per_second: f64, expected: &[ResultCode]) {
    let mut configuration = sound();
    configuration.services[0].cold_start = Some(ColdStart { usual_ms: 1_000, requests_per_second });
    assert_eq!(codes(&configuration), expected);
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
    warm = { 0, 0, true },
    less_cold = { 9_000, 7_800, true },
    absurdly_cold = { u64::MAX, u64::MAX - 1, true },
    warm_now = { 300, 0, false },
    cold_again = { 0, 9_000, false },
)]
fn a_report_repeats_another_as_long_as_the_server_is_as_cold(before: u64, now: u64, expected: bool) {
    assert_eq!(report(2, now).repeats(&report(1, before)), expected);
    let drains = InstanceReport { state: InstanceState::Draining, ..report(2, now) };
    assert!(!drains.repeats(&report(1, before)));
}
