//! The faults of a run, and the changes beside them, selected by a seed.

use super::checks::RECOVERED_WITHIN;
use crate::configuration_changes::{Change, Invalidity, Storm};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

pub const ENTRIES: usize = 3;
/// Model servers; two of them form a group.
pub const MODEL_SERVERS: usize = 6;
pub const PLAIN_SERVERS: usize = 3;
/// Disruptions of processes begin within this time, in milliseconds.
const DISRUPTIONS_MS: Range<u64> = 500..10_000;
/// Pauses and changes begin within this time, in milliseconds: they are no disruptions, and go on after the last one.
const PAUSES_MS: Range<u64> = 300..17_000;
/// Length of a pause, in milliseconds.
const PAUSE_MS: Range<u64> = 800..2_400;

/// Time for which callers send requests, at least.
const DURATION: Duration = Duration::from_secs(20);
/// Time for which service is observed once it is back.
const OBSERVED_AFTER_RECOVERY: Duration = Duration::from_secs(3);

/// A fault, with its length where it has one.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Servers pause, and go on.
    Pause { servers: Vec<usize>, for_ms: u64 },
    /// A server ends and is started again as a new instance.
    CrashServer { server: usize, for_ms: u64 },
    /// An entry is killed, and started again.
    KillEntry { entry: usize, for_ms: u64 },
    /// An entry is told to stop, and started again that long after it has ended.
    TerminateEntry { entry: usize, for_ms: u64 },
    /// An entry is suspended.
    StopEntry { entry: usize, for_ms: u64 },
    /// Entries are told to read their settings.
    Hangup { entries: Vec<usize> },
}

/// Routes that are added at once.
const EXTRA_ROUTES: usize = 150;

const CHANGES: [Change; 6] = [
    Change::Timeouts,
    Change::ManyRoutes(EXTRA_ROUTES),
    Change::Keys,
    Change::Priorities,
    Change::Quotas,
    Change::Invalid(Invalidity::SamePrefix),
];

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Faults with their times in milliseconds from the start, in order of time.
    pub faults: Vec<(u64, Fault)>,
    pub storms: Vec<Storm>,
    /// Time for which callers send requests, at least.
    pub duration: Duration,
    /// Time for which they do so after the last disruption; 0 if recovery is not checked.
    pub observed_after_disruptions: Duration,
    pub leader_dispatches_up_to: u32,
}

impl Schedule {
    /// Without faults, for a short time, and with a few changes.
    pub fn without_faults() -> Schedule {
        let storm = Storm {
            at_ms: 200,
            gap_ms: 50,
            changes: vec![Change::Timeouts, Change::ManyRoutes(EXTRA_ROUTES)],
        };
        Schedule {
            faults: Vec::new(),
            storms: vec![storm],
            duration: Duration::from_secs(5),
            observed_after_disruptions: Duration::ZERO,
            leader_dispatches_up_to: 64,
        }
    }

    pub fn of_seed(seed: u64) -> Schedule {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..random.random_range(3..7) {
            add_pauses(&mut random, &mut faults);
        }
        for _ in 0..random.random_range(1..6) {
            faults.push((random.random_range(DISRUPTIONS_MS), generate_disruption(&mut random)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let storms = (0..random.random_range(3..8)).map(|_| generate_storm(&mut random)).collect();
        let leader_dispatches_up_to = if random.random() { 64 } else { 0 };
        Schedule {
            faults,
            storms,
            duration: DURATION,
            observed_after_disruptions: RECOVERED_WITHIN + OBSERVED_AFTER_RECOVERY,
            leader_dispatches_up_to,
        }
    }
}

/// Adds one pause or several in a row, of some or all servers of a service, or of both.
fn add_pauses(random: &mut StdRng, faults: &mut Vec<(u64, Fault)>) {
    let candidates = match random.random_range(0..5) {
        0..3 => 0..MODEL_SERVERS,
        3 => MODEL_SERVERS..MODEL_SERVERS + PLAIN_SERVERS,
        _ => 0..MODEL_SERVERS + PLAIN_SERVERS,
    };
    let count = match random.random_range(0..3) {
        0 => random.random_range(1..candidates.len()),
        _ => candidates.len(),
    };
    let servers = candidates.sample(random, count);
    let mut at = random.random_range(PAUSES_MS);
    for _ in 0..random.random_range(1..5) {
        let for_ms = random.random_range(PAUSE_MS);
        if PAUSES_MS.contains(&at) {
            faults.push((at, Fault::Pause { servers: servers.clone(), for_ms }));
        }
        at += for_ms + random.random_range(200..1_500);
    }
}

fn generate_disruption(random: &mut StdRng) -> Fault {
    let entry = random.random_range(0..ENTRIES);
    let for_ms = random.random_range(100..2_500);
    match random.random_range(0..9) {
        0..3 => Fault::TerminateEntry { entry, for_ms },
        3 => Fault::KillEntry { entry, for_ms },
        4 | 5 => Fault::StopEntry { entry, for_ms },
        6 | 7 => {
            let count = random.random_range(1..=ENTRIES);
            Fault::Hangup { entries: (0..ENTRIES).sample(random, count) }
        }
        _ => Fault::CrashServer { server: random.random_range(0..MODEL_SERVERS + PLAIN_SERVERS), for_ms },
    }
}

fn generate_storm(random: &mut StdRng) -> Storm {
    let count = if random.random_range(0..3) == 0 { random.random_range(4..12) } else { 1 };
    Storm {
        at_ms: random.random_range(PAUSES_MS),
        gap_ms: random.random_range(10..250),
        changes: (0..count).map(|_| CHANGES[random.random_range(0..CHANGES.len())]).collect(),
    }
}
