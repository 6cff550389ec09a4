//! The entry answer: which daemons a caller should use, best first.

use dockwood_api::digest::rendezvous_weight;

/// A daemon that takes new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryCandidate<'a> {
    /// Daemon name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Address for callers.
    pub address: std::net::SocketAddr,
}

/// Orders the candidates for one caller: those in its zone first, then by rendezvous hash of its session, so
/// that sessions spread evenly, and each keeps its entry while that entry lives.
pub fn entry_order<'a>(
    candidates: &[EntryCandidate<'a>],
    session: &str,
    zone: Option<&str>,
    at_most: usize,
) -> Vec<EntryCandidate<'a>> {
    let mut ordered = candidates.to_vec();
    ordered.sort_by_key(|candidate| {
        let elsewhere = zone.is_some_and(|zone| zone != candidate.zone);
        (elsewhere, std::cmp::Reverse(rendezvous_weight(session, candidate.name)))
    });
    let all_in_one_zone =
        |ordered: &[EntryCandidate<'_>]| ordered.iter().all(|one| one.zone == ordered[0].zone);
    let mut kept: Vec<EntryCandidate<'a>> = ordered.iter().take(at_most).cloned().collect();
    // The last address lies in another zone, so that a caller that loses a zone still holds one that works.
    if kept.len() > 1
        && all_in_one_zone(&kept)
        && let Some(other) = ordered.iter().find(|candidate| candidate.zone != kept[0].zone)
    {
        kept.pop();
        kept.push(other.clone());
    }
    kept
}
