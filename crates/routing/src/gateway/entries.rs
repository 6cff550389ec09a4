//! Which entries a caller is told to use.

use std::net::SocketAddr;

/// Entries of the caller's own zone that are enough for it; fewer are filled up from other zones of its region.
const ENOUGH_IN_ZONE: usize = 2;

/// An entry that callers can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Where it takes callers.
    pub address: SocketAddr,
}

/// Entries for a caller: those of its zone if there are enough, else those of its region. Others are named only while
/// that region has none, or where neither its zone nor its region is told.
pub fn entries_near(entries: &[Entry<'_>], zone: Option<&str>, region: Option<&str>) -> Vec<SocketAddr> {
    let addresses = |suits: &dyn Fn(&Entry<'_>) -> bool| -> Vec<SocketAddr> {
        entries.iter().filter(|entry| suits(entry)).map(|entry| entry.address).collect()
    };
    let in_zone = addresses(&|entry| Some(entry.zone) == zone);
    if in_zone.len() >= ENOUGH_IN_ZONE {
        return in_zone;
    }
    let in_region = addresses(&|entry| Some(entry.region) == region);
    if in_region.is_empty() { addresses(&|_| true) } else { in_region }
}
