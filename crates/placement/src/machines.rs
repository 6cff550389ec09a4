//! Choice of machines: in which domain a replica is formed and which spares fill it up.

use crate::fleet::{Fleet, PlacementPolicy};
use dockwood_api::resource::DeploymentSpec;
use std::collections::BTreeMap;

/// Spares of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DomainSpares {
    pub zone: String,
    pub servers: Vec<String>,
}

/// Spares by domain, in order of name. `taken` are machines that an earlier operator of this pass uses.
pub(crate) fn spares_by_domain(fleet: &Fleet<'_>, taken: &[String]) -> BTreeMap<String, DomainSpares> {
    let mut domains: BTreeMap<String, DomainSpares> = BTreeMap::new();
    for (name, server) in fleet.tables.servers() {
        if !fleet.is_spare(name) || taken.iter().any(|other| other == name) {
            continue;
        }
        let domain = domains.entry(server.domain.clone()).or_default();
        domain.zone = server.zone.clone();
        domain.servers.push(name.to_string());
    }
    domains
}

/// The machines of a new replica, or `None` where no domain has enough spares.
///
/// A domain that keeps a spare afterwards comes first, since a repair from a spare loads one machine's share of
/// the weights instead of all; then the zone with the fewest replicas of the deployment; then the domain where
/// the fewest machines are left that can't make a replica of their own; then the domain with the fewest replicas
/// of the deployment, since a domain may be lost whole.
pub(crate) fn choose_members(
    fleet: &Fleet<'_>,
    deployment: &str,
    spec: &DeploymentSpec,
    taken: &[String],
) -> Option<Vec<String>> {
    let wanted = spec.machines_per_replica as usize;
    let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut in_domain: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in fleet.tables.replicas_of(deployment) {
        *in_zone.entry(replica.zone.as_str()).or_default() += 1;
        *in_domain.entry(replica.domain.as_str()).or_default() += 1;
    }
    let domains = spares_by_domain(fleet, taken);
    let mut enough = domains.iter().filter(|(_, domain)| domain.servers.len() >= wanted);
    if fleet.policy == PlacementPolicy::FirstFit {
        return enough.next().map(|(_, domain)| domain.servers[..wanted].to_vec());
    }
    let best = enough.min_by_key(|(name, domain)| {
        let left = domain.servers.len() - wanted;
        let without_spare = left == 0;
        let replicas_in_zone = in_zone.get(domain.zone.as_str()).copied().unwrap_or(0);
        let replicas_in_domain = in_domain.get(name.as_str()).copied().unwrap_or(0);
        (without_spare, replicas_in_zone, left % wanted, replicas_in_domain, (*name).clone())
    });
    best.map(|(_, domain)| domain.servers[..wanted].to_vec())
}

/// Spares of one domain.
pub(crate) fn spares_in(fleet: &Fleet<'_>, domain: &str, taken: &[String]) -> Vec<String> {
    spares_by_domain(fleet, taken).remove(domain).map(|domain| domain.servers).unwrap_or_default()
}
