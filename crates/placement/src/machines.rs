//! Machine selection: the domain in which a replica is formed, and the spares that replace lost machines.

use crate::fleet::{Fleet, PlacementPolicy};
use dockwood_api::resource::DeploymentSpec;
use std::collections::BTreeMap;

/// Spare machines of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DomainSpares {
    pub zone: String,
    pub servers: Vec<String>,
}

/// Spare machines by domain, ordered by name. `reserved` are the machines used by earlier operators of the
/// same plan.
pub(crate) fn spares_by_domain(fleet: &Fleet<'_>, reserved: &[String]) -> BTreeMap<String, DomainSpares> {
    let mut domains: BTreeMap<String, DomainSpares> = BTreeMap::new();
    for (name, server) in fleet.tables.servers() {
        if !fleet.is_spare(name) || reserved.iter().any(|other| other == name) {
            continue;
        }
        let domain = domains.entry(server.domain.clone()).or_default();
        domain.zone = server.zone.clone();
        domain.servers.push(name.to_string());
    }
    domains
}

/// Selects the machines of a new replica; `None` if no domain has enough spares.
///
/// Domains are ranked by these criteria, in order: one that still has a spare afterwards, because a repair
/// with a spare loads only one machine's share of the weights; the zone with the fewest replicas of the
/// deployment; the fewest remaining machines that cannot form another replica; the fewest replicas of the
/// deployment in the domain, because a domain may fail as a whole.
pub(crate) fn choose_members(
    fleet: &Fleet<'_>,
    deployment: &str,
    spec: &DeploymentSpec,
    reserved: &[String],
) -> Option<Vec<String>> {
    let wanted = spec.machines_per_replica as usize;
    let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let mut in_domain: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in fleet.tables.replicas_of(deployment) {
        *in_zone.entry(replica.zone.as_str()).or_default() += 1;
        *in_domain.entry(replica.domain.as_str()).or_default() += 1;
    }
    let domains = spares_by_domain(fleet, reserved);
    let mut sufficient = domains.iter().filter(|(_, domain)| domain.servers.len() >= wanted);
    if fleet.policy == PlacementPolicy::FirstFit {
        return sufficient.next().map(|(_, domain)| domain.servers[..wanted].to_vec());
    }
    let best = sufficient.min_by_key(|(name, domain)| {
        let remaining = domain.servers.len() - wanted;
        let without_spare = remaining == 0;
        let replicas_in_zone = in_zone.get(domain.zone.as_str()).copied().unwrap_or(0);
        let replicas_in_domain = in_domain.get(name.as_str()).copied().unwrap_or(0);
        (without_spare, replicas_in_zone, remaining % wanted, replicas_in_domain, (*name).clone())
    });
    best.map(|(_, domain)| domain.servers[..wanted].to_vec())
}

/// Spare machines of one domain.
pub(crate) fn spares_in(fleet: &Fleet<'_>, domain: &str, reserved: &[String]) -> Vec<String> {
    spares_by_domain(fleet, reserved).remove(domain).map(|domain| domain.servers).unwrap_or_default()
}
