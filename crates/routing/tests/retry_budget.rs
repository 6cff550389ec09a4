//! The retry budget of all entries together, when processes end and others take over their callers.

use dockwood_routing::gateway::{SendBudget, SendBudgetLimits};
use proptest::prelude::*;

const WINDOW_MS: u64 = 10_000;
const LIMITS: SendBudgetLimits = SendBudgetLimits { percent: 20, window_ms: WINDOW_MS, extra: 140 };
const ENTRIES: usize = 11;
/// Time after which an entry has learned of other entries: otherwise it has lost its lease and sends nothing.
const GROWTH_NOTICE_MS: u64 = 3_000;

/// Entries whose requests and retries are recorded as the servers see them.
struct Fleet {
    entries: Vec<SendBudget>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet { entries: vec![new_entry(0); ENTRIES], requests: Vec::new(), retries: Vec::new() }
    }

    /// Sends a request, and retries it as often as the budget allows, up to `retries` times.
    fn request(&mut self, now: u64, entry: usize, retries: u32) {
        self.request_among(now, entry, retries, ENTRIES);
    }

    /// The same at an entry that knows of this number of entries.
    fn request_among(&mut self, now: u64, entry: usize, retries: u32, known: usize) {
        self.entries[entry].record_request(now);
        self.requests.push(now);
        for _ in 0..retries {
            if self.entries[entry].try_retry(now, known as u64) {
                self.retries.push(now);
            }
        }
    }

    fn restart(&mut self, now: u64, entry: usize) {
        self.entries[entry] = new_entry(now);
    }

    /// Fails if the retries within any window exceed the budget for the requests of this window, the one before it, or
    /// the one that begins half a window earlier.
    fn check(&self) -> Result<(), TestCaseError> {
        let count = |times: &[u64], from: u64| {
            let until = from + WINDOW_MS;
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        for from in self.retries.iter().copied() {
            let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|shift| from.saturating_sub(shift));
            let requests = earlier.map(|from| count(&self.requests, from)).into_iter().max().unwrap_or(0);
            let allowed = requests as u64 * LIMITS.percent / 100 + LIMITS.extra;
            let retries = count(&self.retries, from) as u64;
            prop_assert!(
                retries <= allowed,
                "{retries} retries from {from} ms on for {requests} requests, where {allowed} are allowed"
            );
        }
        Ok(())
    }
}

fn new_entry(now: u64) -> SendBudget {
    SendBudget::new(LIMITS, now)
}

/// Six tenths of the entries are killed three times while nearly every request fails.
#[test]
fn entries_that_are_killed_repeatedly_stay_within_the_budget() -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new();
    for now in (0..30_000).step_by(5) {
        if [18_000, 21_000, 24_000].contains(&now) {
            (0..ENTRIES * 6 / 10).for_each(|entry| fleet.restart(now, entry));
        }
        let fails = now >= 13_000;
        fleet.request(now, (now / 5) as usize % ENTRIES, if fails { 5 } else { 0 });
    }
    fleet.check()
}

/// Callers move from entries that have used all that they had earned to others, which then earn twice as much.
#[test]
fn entries_that_take_over_callers_stay_within_the_budget() -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new();
    let half = ENTRIES / 2;
    for now in (0..40_000).step_by(2) {
        let number = (now / 2) as usize;
        let moved = now > 20_100;
        let entry = if moved { half + number % half } else { number % (2 * half) };
        // What was earned is used just before the move, and at the end of the window after it.
        let fails = (20_000..=20_100).contains(&now) || (29_800..30_000).contains(&now);
        fleet.request(now, entry, if fails { 40 } else { 0 });
    }
    fleet.check()
}

/// As many entries are added as there are, and the old ones learn of it late.
#[test]
fn a_fleet_that_doubles_stays_within_the_budget() -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new();
    let (grown_at, known_at) = (20_000, 20_000 + GROWTH_NOTICE_MS);
    fleet.entries.extend(vec![new_entry(grown_at); ENTRIES]);
    for now in (0..60_000).step_by(5) {
        let known = if now < known_at { ENTRIES } else { 2 * ENTRIES };
        let running = if now < grown_at { ENTRIES } else { 2 * ENTRIES };
        let entry = (now / 5) as usize % running;
        let knows = if entry < ENTRIES { known } else { 2 * ENTRIES };
        fleet.request_among(now, entry, 5, knows);
    }
    fleet.check()
}

/// A process that has just started repeats a few requests even if it has received no others.
#[test]
fn an_entry_that_has_just_started_has_retries_within_two_seconds() {
    let mut budget = new_entry(50_000);
    budget.record_request(50_000);
    assert!(!budget.try_retry(50_000, ENTRIES as u64), "its predecessor may have used them");
    budget.record_request(52_000);
    assert!(budget.try_retry(52_000, ENTRIES as u64));
    assert!(
        !new_entry(50_000).try_retry(60_000, 0),
        "without other entries known, it has no part of the fixed number"
    );
}

/// The parts are not so small that the budget is left unused.
#[test]
fn steady_failures_get_most_of_the_budget() {
    let mut fleet = Fleet::new();
    for now in (0..40_000).step_by(5) {
        fleet.request(now, (now / 5) as usize % ENTRIES, 5);
    }
    let retries = fleet.retries.iter().filter(|at| **at >= 30_000).count() as u64;
    let allowed = 2_000 * LIMITS.percent / 100 + LIMITS.extra;
    assert!(retries * 100 >= allowed * 60, "{retries} of {allowed} retries");
}

/// What happens at one moment.
#[derive(Clone, Debug)]
enum Step {
    Requests { entry: usize, count: u32, retries: u32 },
    Restart { entry: usize },
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let requests = (0..ENTRIES, 1_u32..30, 0_u32..6).prop_map(|(entry, count, retries)| Step::Requests {
        entry,
        count,
        retries,
    });
    let restart = (0..ENTRIES).prop_map(|entry| Step::Restart { entry });
    prop::collection::vec((0_u64..400, prop_oneof![8 => requests, 1 => restart]), 1..400)
}

proptest! {
    #[test]
    fn entries_that_restart_at_any_time_stay_within_the_budget(steps in steps()) {
        let mut fleet = Fleet::new();
        let mut now = 0;
        for (elapsed, step) in steps {
            now += elapsed;
            match step {
                Step::Requests { entry, count, retries } => {
                    (0..count).for_each(|_| fleet.request(now, entry, retries));
                }
                Step::Restart { entry } => fleet.restart(now, entry),
            }
        }
        fleet.check()?;
    }
}
