//! Checks the requests that a server received against the limits that it announced, by the server's own records.

use crate::servers::Arrival;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Windows are checked from this time after the server first announced a limit.
const CHECKED_AFTER: Duration = Duration::from_secs(3);
/// Requests of an entry count from this time after a response first announced a limit to it.
const INFORMED_AFTER: Duration = Duration::from_millis(500);
/// Tolerance for requests of informed entries: a factor on what the limit allows within a window, and a number of requests
/// in addition.
const INFORMED_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Tolerance for requests of all entries, informed or not. This is the design goal; the informed entries' one is the bound.
const FLEET_TOLERANCE: (f64, f64) = (1.0, 4.0);
/// Requests of all entries are checked from this time after the first announcement: by then all entries know the limit.
const FLEET_INFORMED_AFTER: Duration = Duration::from_secs(1);

/// A window with more requests than the limit allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// The entries whose requests were counted.
    pub from: &'static str,
    /// Time from the first announcement to the end of the window.
    pub after: Duration,
    pub requests: usize,
    pub allowed: f64,
}

/// Returns the entry that sent a request: attempt ids start with it.
fn entry_of(arrival: &Arrival) -> &str {
    arrival.attempt.split('-').next().unwrap_or_default()
}

/// A period in which an entry's requests do not count, because of a fault of the entry.
#[derive(Clone, Debug)]
pub struct Exemption {
    /// Prefix of the entry's attempt ids.
    pub entry: String,
    pub from: Instant,
    pub until: Instant,
}

/// Returns the first window with more requests than the announced limits allow; `None` if there is none. `arrivals` are in
/// order of arrival.
pub fn first_excess(arrivals: &[Arrival]) -> Option<Excess> {
    find_first_excess(arrivals, |_| false, true)
}

/// The same for runs with faults: requests within exemptions do not count, and requests of all entries are not checked.
pub fn first_excess_with_exemptions(arrivals: &[Arrival], exemptions: &[Exemption]) -> Option<Excess> {
    let is_exempt = |arrival: &Arrival| {
        let is_within = |exemption: &Exemption| arrival.at >= exemption.from && arrival.at <= exemption.until;
        exemptions.iter().any(|exemption| exemption.entry == entry_of(arrival) && is_within(exemption))
    };
    find_first_excess(arrivals, is_exempt, false)
}

fn find_first_excess(
    arrivals: &[Arrival],
    is_exempt: impl Fn(&Arrival) -> bool,
    checks_fleet: bool,
) -> Option<Excess> {
    let first_named = arrivals.iter().find(|arrival| arrival.announced_limit.is_some())?.at;
    let informed = informed_at(arrivals);
    let is_from_informed_entry = |arrival: &Arrival| {
        !is_exempt(arrival)
            && informed.get(entry_of(arrival)).is_some_and(|at| arrival.at >= *at + INFORMED_AFTER)
    };
    let mut excesses = arrivals.iter().filter_map(|last| {
        let after = last.at.duration_since(first_named);
        let since = last.at.checked_sub(WINDOW)?;
        let window = || arrivals.iter().filter(|one| one.at > since && one.at <= last.at);
        let limit = highest_limit(arrivals, since, last.at)?;
        let allowed = |(factor, extra): (f64, f64)| factor * limit * WINDOW.as_secs_f64() + extra;
        let from_informed = window().filter(|one| is_from_informed_entry(one)).count();
        if after >= CHECKED_AFTER && from_informed as f64 > allowed(INFORMED_TOLERANCE) {
            return Some(Excess {
                from: "informed entries",
                after,
                requests: from_informed,
                allowed: allowed(INFORMED_TOLERANCE),
            });
        }
        let from_all = window().count();
        let excess =
            Excess { from: "all entries", after, requests: from_all, allowed: allowed(FLEET_TOLERANCE) };
        (checks_fleet && after >= FLEET_INFORMED_AFTER + WINDOW && from_all as f64 > allowed(FLEET_TOLERANCE))
            .then_some(excess)
    });
    excesses.next()
}

/// Returns when a response first announced a limit to each entry.
fn informed_at(arrivals: &[Arrival]) -> BTreeMap<&str, Instant> {
    let mut informed = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.announced_limit.is_some()) {
        informed.entry(entry_of(arrival)).or_insert(arrival.at);
    }
    informed
}

/// Returns the highest limit in force within a window; `None` if the server had no limit at some time within it.
fn highest_limit(arrivals: &[Arrival], since: Instant, until: Instant) -> Option<f64> {
    // The limit in force at the start of the window was announced in a response before it.
    let before = arrivals.iter().rev().find(|arrival| arrival.at + INFORMED_AFTER <= since);
    let within = arrivals.iter().filter(|arrival| arrival.at + INFORMED_AFTER > since && arrival.at <= until);
    let first_named = arrivals.iter().find(|arrival| arrival.announced_limit.is_some())?.at;
    let named = before.into_iter().chain(within).filter(|arrival| arrival.at >= first_named);
    named.map(|arrival| arrival.announced_limit).try_fold(0.0_f64, |highest, limit| Some(highest.max(limit?)))
}
