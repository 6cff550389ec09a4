//! Regions allowed by routes and tenants, and the entries that a caller is told to use.

use dockwood_api::gateway::{GatewayConfiguration, Route, RouteKind, TenantKeys, WeightedService};
use dockwood_routing::gateway::{AllowedRegions, Entry, KeyVerdict, RouteTable, entries_near};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yare::parameterized;

fn named(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| region.to_string()).collect()
}

fn zone_regions() -> BTreeMap<String, String> {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    zones.map(|(zone, region)| (zone.to_string(), region.to_string())).into()
}

#[parameterized(
    neither_names_any = { &[], &[], &["a1", "a2", "b1", "unknown"] },
    route_alone = { &["a"], &[], &["a1", "a2"] },
    tenant_alone = { &[], &["b"], &["b1"] },
    intersection = { &["a", "b"], &["b", "c"], &["b1"] },
    disjoint = { &["a"], &["b"], &[] },
    no_zone_in_region = { &["c"], &[], &[] },
)]
fn zones_are_allowed_by_route_and_tenant(route: &[&str], tenant: &[&str], allowed: &[&str]) {
    let regions = AllowedRegions::named(&named(route)).and(&AllowedRegions::named(&named(tenant)));
    let zones = regions.zones(&zone_regions());
    let contained: Vec<&str> =
        ["a1", "a2", "b1", "unknown"].into_iter().filter(|zone| zones.contains(zone)).collect();
    assert_eq!(contained, allowed);
    assert_eq!(zones.are_none(), allowed.is_empty());
    assert_eq!(zones.are_restricted(), !(route.is_empty() && tenant.is_empty()));
}

#[test]
fn tenant_regions_apply_on_anonymous_routes_too() {
    let route = Route {
        name: "r".to_string(),
        host: "h".to_string(),
        path_prefix: "/r/".to_string(),
        kind: RouteKind::Repeatable,
        services: vec![WeightedService { service: "s".to_string(), weight: 1 }],
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        max_attempts: 1,
        priority: 0,
        anonymous: true,
        resumable: false,
        allowed_regions: Vec::new(),
    };
    let tenant = TenantKeys {
        name: "t".to_string(),
        keys: vec!["k".to_string()],
        priority: None,
        allowed_regions: named(&["a"]),
    };
    let configuration = GatewayConfiguration {
        version: 1,
        routes: vec![route.clone()],
        tenants: vec![tenant],
        ..GatewayConfiguration::default()
    };
    let table = RouteTable::compile(&configuration);
    let regions = |key| match table.check_key(&route, key) {
        KeyVerdict::Passes { allowed_regions, .. } => Some(allowed_regions),
        KeyVerdict::Refused => None,
    };
    assert_eq!(regions(Some("k")), Some(AllowedRegions::named(&named(&["a"]))));
    assert_eq!(regions(None), Some(AllowedRegions::All));
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 80))
}

#[parameterized(
    enough_in_the_zone = { Some("a1"), Some("a"), &[1, 2] },
    too_few_in_the_zone = { Some("a2"), Some("a"), &[1, 2, 3] },
    one_in_the_region = { Some("b1"), Some("b"), &[4] },
    none_in_the_zone = { Some("b2"), Some("b"), &[4] },
    region_only = { None, Some("a"), &[1, 2, 3] },
    none_in_the_region = { Some("c1"), Some("c"), &[1, 2, 3, 4] },
    neither_given = { None, None, &[1, 2, 3, 4] },
)]
fn callers_get_entries_near_them(zone: Option<&str>, region: Option<&str>, expected: &[u8]) {
    let entry = |zone, region, number| Entry { zone, region, address: address(number) };
    let entries = [entry("a1", "a", 1), entry("a1", "a", 2), entry("a2", "a", 3), entry("b1", "b", 4)];
    let expected: Vec<SocketAddr> = expected.iter().copied().map(address).collect();
    assert_eq!(entries_near(&entries, zone, region), expected);
}
