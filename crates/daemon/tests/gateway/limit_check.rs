//! Judges what reached a server that named a limit, from what the server itself has noted.

use crate::servers::Arrival;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Arrivals are summed over windows of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// The sum is judged from this long after the server first named a limit.
const JUDGED_AFTER: Duration = Duration::from_secs(3);
/// Requests of an entry count from this long after it was told.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Part of what the limit allows within a window that may arrive from those who were told, and requests beyond it.
const MOST_OF_TOLD: (f64, f64) = (1.5, 5.0);
/// The same for the aim: what all entries send, whoever was told.
const AIM: (f64, f64) = (1.0, 4.0);
/// The aim is judged from this long after the first word: by then all entries have heard of it.
const AIM_AFTER: Duration = Duration::from_secs(1);

/// More requests than a limit allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// Whether from entries that had been told, or from all.
    pub from: &'static str,
    /// How long after the first word the window ended.
    pub after: Duration,
    pub requests: usize,
    pub allowed: f64,
}

/// The entry that sent a request: attempts are named after it.
fn entry_of(arrival: &Arrival) -> &str {
    arrival.attempt.split('-').next().unwrap_or_default()
}

/// A time for which an entry's requests don't count, as it was stopped, killed or started.
#[derive(Clone, Debug)]
pub struct Excuse {
    /// What its attempts begin with.
    pub entry: String,
    pub from: Instant,
    pub until: Instant,
}

/// The first window with more requests than the limits that were named allow; `None` if there is none. `arrivals` are in the
/// order in which they arrived.
pub fn first_excess(arrivals: &[Arrival]) -> Option<Excess> {
    first_excess_of(arrivals, |_| false, true)
}

/// The same where entries are stopped and killed: what these send is excused, and the aim is not judged.
pub fn first_unexcused_excess(arrivals: &[Arrival], excuses: &[Excuse]) -> Option<Excess> {
    let is_excused = |arrival: &Arrival| {
        let is_within = |excuse: &Excuse| arrival.at >= excuse.from && arrival.at <= excuse.until;
        excuses.iter().any(|excuse| excuse.entry == entry_of(arrival) && is_within(excuse))
    };
    first_excess_of(arrivals, is_excused, false)
}

fn first_excess_of(
    arrivals: &[Arrival],
    is_excused: impl Fn(&Arrival) -> bool,
    judges_aim: bool,
) -> Option<Excess> {
    let first_named = arrivals.iter().find(|arrival| arrival.named.is_some())?.at;
    let told = told_at(arrivals);
    let is_from_told = |arrival: &Arrival| {
        !is_excused(arrival) && told.get(entry_of(arrival)).is_some_and(|at| arrival.at >= *at + TOLD_AFTER)
    };
    let mut judged = arrivals.iter().filter_map(|last| {
        let after = last.at.duration_since(first_named);
        let since = last.at.checked_sub(WINDOW)?;
        let window = || arrivals.iter().filter(|one| one.at > since && one.at <= last.at);
        let limit = highest_limit(arrivals, since, last.at)?;
        let allowed = |(part, extra): (f64, f64)| part * limit * WINDOW.as_secs_f64() + extra;
        let of_told = window().filter(|one| is_from_told(one)).count();
        if after >= JUDGED_AFTER && of_told as f64 > allowed(MOST_OF_TOLD) {
            return Some(Excess {
                from: "entries that were told",
                after,
                requests: of_told,
                allowed: allowed(MOST_OF_TOLD),
            });
        }
        let of_all = window().count();
        let excess = Excess { from: "all entries", after, requests: of_all, allowed: allowed(AIM) };
        (judges_aim && after >= AIM_AFTER + WINDOW && of_all as f64 > allowed(AIM)).then_some(excess)
    });
    judged.next()
}

/// When each entry was first told.
fn told_at(arrivals: &[Arrival]) -> BTreeMap<&str, Instant> {
    let mut told = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.named.is_some()) {
        told.entry(entry_of(arrival)).or_insert(arrival.at);
    }
    told
}

/// The highest limit that was in force within a window; `None` if the server took what came at some moment of it.
fn highest_limit(arrivals: &[Arrival], since: Instant, until: Instant) -> Option<f64> {
    // The word that was in force when the window began stands in an answer before it.
    let before = arrivals.iter().rev().find(|arrival| arrival.at + TOLD_AFTER <= since);
    let within = arrivals.iter().filter(|arrival| arrival.at + TOLD_AFTER > since && arrival.at <= until);
    let first_named = arrivals.iter().find(|arrival| arrival.named.is_some())?.at;
    let named = before.into_iter().chain(within).filter(|arrival| arrival.at >= first_named);
    named.map(|arrival| arrival.named).try_fold(0.0_f64, |highest, limit| Some(highest.max(limit?)))
}
