//! Entry selection: which daemons a caller should send its requests to, best first.

use dockwood_api::digest::rendezvous_weight;

/// A daemon that accepts new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryCandidate<'a> {
    /// Daemon name.
    pub name: &'a str,
    /// Zone of the daemon.
    pub zone: &'a str,
    /// Address that callers connect to.
    pub address: std::net::SocketAddr,
}

/// Orders the candidates for one caller: daemons in its zone first, then by rendezvous hash of the session.
/// Sessions are spread evenly, and each one keeps its entry for as long as that entry is alive.
pub fn entry_order<'a>(
    candidates: &[EntryCandidate<'a>],
    session: &str,
    zone: Option<&str>,
    max_entries: usize,
) -> Vec<EntryCandidate<'a>> {
    let mut ordered = candidates.to_vec();
    ordered.sort_by_key(|candidate| {
        let other_zone = zone.is_some_and(|zone| zone != candidate.zone);
        (other_zone, std::cmp::Reverse(rendezvous_weight(session, candidate.name)))
    });
    let all_in_one_zone =
        |ordered: &[EntryCandidate<'_>]| ordered.iter().all(|one| one.zone == ordered[0].zone);
    let mut selected: Vec<EntryCandidate<'a>> = ordered.iter().take(max_entries).cloned().collect();
    // The last address is in another zone, so that a caller that loses its zone still has a working address.
    if selected.len() > 1
        && all_in_one_zone(&selected)
        && let Some(other) = ordered.iter().find(|candidate| candidate.zone != selected[0].zone)
    {
        selected.pop();
        selected.push(other.clone());
    }
    selected
}
