//! Selects the entries that a caller is told to use.

use std::net::SocketAddr;

/// Number of entries in the caller's own zone that suffices; with fewer, entries in other zones of its region
/// are added.
const MIN_ENTRIES_IN_ZONE: usize = 2;

/// An entry that callers can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Zone of the entry.
    pub zone: &'a str,
    /// Region of the entry.
    pub region: &'a str,
    /// Address that callers connect to.
    pub address: SocketAddr,
}

/// Entries for a caller: those in its zone if there are enough, otherwise those in its region. All entries
/// are returned if that region has none, or if neither a zone nor a region is given.
pub fn entries_near(entries: &[Entry<'_>], zone: Option<&str>, region: Option<&str>) -> Vec<SocketAddr> {
    let addresses = |matches: &dyn Fn(&Entry<'_>) -> bool| -> Vec<SocketAddr> {
        entries.iter().filter(|entry| matches(entry)).map(|entry| entry.address).collect()
    };
    let in_zone = addresses(&|entry| Some(entry.zone) == zone);
    if in_zone.len() >= MIN_ENTRIES_IN_ZONE {
        return in_zone;
    }
    let in_region = addresses(&|entry| Some(entry.region) == region);
    if in_region.is_empty() { addresses(&|_| true) } else { in_region }
}
