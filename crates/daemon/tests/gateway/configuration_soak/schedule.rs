//! The faults of a run, and the changes beside them, selected by a seed.

use crate::configuration_changes::{Change, Invalidity, Process, Storm};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

pub const MEMBERS: usize = 6;
pub const ENTRIES: usize = 3;
/// Members that may be lost with their disks before others have replaced them.
pub const LOSSES_TOLERATED: usize = 2;

/// Two series of faults, with a time between them in which nothing is disrupted, in milliseconds.
const FAULTS_MS: [Range<u64>; 2] = [300..7_000, 16_000..21_000];
const CHANGES_MS: Range<u64> = 100..21_000;
/// Everything is killed at this time, or soon after it.
const LAST_FAULT: Duration = Duration::from_secs(22);
const FAULT_LENGTH_MS: Range<u64> = 100..3_000;
/// Processes that are killed at once return within a second.
const RETURN_MS: Range<u64> = 50..1_000;
const LONG_DELAY_MS: Range<u64> = 20..120;

/// A fault, with its length where it has one.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Processes are killed, and started again; the disks of some members are lost.
    Kill {
        processes: Vec<Process>,
        wiped: BTreeSet<usize>,
        for_ms: u64,
    },
    /// The member that has accepted the newest configuration is killed as soon as it has.
    KillAcceptor {
        is_wiped: bool,
        for_ms: u64,
    },
    Suspend {
        processes: Vec<Process>,
        for_ms: u64,
    },
    /// A process is told to stop, and started again that long after it has ended.
    Terminate {
        process: Process,
        for_ms: u64,
    },
    Hangup {
        processes: Vec<Process>,
    },
    /// Nothing passes between these processes and all others.
    Split {
        side: Vec<Process>,
        for_ms: u64,
    },
    /// Nothing passes from these processes to the others.
    OneWay {
        senders: Vec<Process>,
        for_ms: u64,
    },
    Delay {
        process: Process,
        delay_ms: u64,
        for_ms: u64,
    },
    ResetConnections {
        processes: Vec<Process>,
    },
}

/// What happens to disks when all processes are killed at once.
#[derive(Clone, Debug)]
pub enum Disks {
    /// Those of these members are lost, as far as that many losses are tolerated.
    Lost(BTreeSet<usize>),
    /// All are lost, which the fleet does not tolerate.
    AllLost,
    /// All are as they were at the beginning of the run, which the fleet does not tolerate.
    Outdated,
}

/// The fault at the end of a run: all processes are killed at once.
#[derive(Clone, Debug)]
pub struct LastFault {
    pub disks: Disks,
    /// Whether it is injected as soon as a configuration is accepted.
    pub after_acceptance: bool,
    /// Time after which each member is started again, in milliseconds.
    pub returns_ms: Vec<u64>,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Faults with their times in milliseconds from the start, in order of time.
    pub faults: Vec<(u64, Fault)>,
    /// The changes of each operator.
    pub storms: Vec<Vec<Storm>>,
    pub last_fault_at: Duration,
    pub last_fault: Option<LastFault>,
}

impl Schedule {
    /// Without faults, for a short time, and with a few changes.
    pub fn without_faults() -> Schedule {
        let changes = vec![
            Change::Timeouts,
            Change::ManyRoutes(50),
            Change::Invalid(Invalidity::NoWeight),
            Change::Keys,
        ];
        let storm = Storm { at_ms: 200, gap_ms: 50, changes };
        let last_fault_at = Duration::from_secs(8);
        Schedule { faults: Vec::new(), storms: vec![vec![storm]], last_fault_at, last_fault: None }
    }

    /// The same with this fault of the disks at the end.
    pub fn ending_with(disks: Disks) -> Schedule {
        let last_fault = LastFault { disks, after_acceptance: false, returns_ms: vec![100; MEMBERS] };
        Schedule { last_fault: Some(last_fault), ..Schedule::without_faults() }
    }

    /// Whether disks are replaced by copies from the beginning of the run.
    pub fn restores_disks(&self) -> bool {
        self.last_fault.as_ref().is_some_and(|fault| matches!(fault.disks, Disks::Outdated))
    }

    pub fn of_seed(seed: u64) -> Schedule {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for span in FAULTS_MS {
            for _ in 0..random.random_range(2..8) {
                faults.push((random.random_range(span.clone()), generate_fault(&mut random)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let operators = random.random_range(1..3);
        let storms = (0..operators).map(|_| generate_storms(&mut random)).collect();
        let lost_disks = random.random_range(0..=LOSSES_TOLERATED);
        let last_fault = LastFault {
            disks: Disks::Lost((0..MEMBERS).sample(&mut random, lost_disks).into_iter().collect()),
            after_acceptance: random.random(),
            returns_ms: (0..MEMBERS).map(|_| random.random_range(RETURN_MS)).collect(),
        };
        Schedule { faults, storms, last_fault_at: LAST_FAULT, last_fault: Some(last_fault) }
    }
}

fn all_processes() -> Vec<Process> {
    (0..MEMBERS).map(Process::Member).chain((0..ENTRIES).map(Process::Entry)).collect()
}

fn some_members(random: &mut StdRng, counts: Range<usize>) -> Vec<Process> {
    let count = random.random_range(counts);
    (0..MEMBERS).map(Process::Member).sample(random, count)
}

fn some_processes(random: &mut StdRng) -> Vec<Process> {
    let count = random.random_range(1..5);
    all_processes().into_iter().sample(random, count)
}

fn generate_fault(random: &mut StdRng) -> Fault {
    let for_ms = random.random_range(FAULT_LENGTH_MS);
    match random.random_range(0..16) {
        0 | 1 => Fault::Kill { processes: some_members(random, 1..4), wiped: BTreeSet::new(), for_ms },
        2 | 3 => {
            let processes = some_members(random, 1..LOSSES_TOLERATED + 1);
            let wiped = processes.iter().filter_map(|process| match process {
                Process::Member(member) => Some(*member),
                Process::Entry(_) => None,
            });
            Fault::Kill { wiped: wiped.collect(), processes, for_ms }
        }
        4 => {
            let processes = (0..MEMBERS).map(Process::Member).collect();
            Fault::Kill { processes, wiped: BTreeSet::new(), for_ms: random.random_range(RETURN_MS) }
        }
        5 => Fault::Kill { processes: some_processes(random), wiped: BTreeSet::new(), for_ms },
        6 => Fault::KillAcceptor { is_wiped: random.random(), for_ms },
        7 | 8 => Fault::Suspend { processes: some_members(random, 1..4), for_ms },
        9 => Fault::Suspend { processes: some_processes(random), for_ms },
        10 => Fault::Terminate { process: random_process(random), for_ms },
        11 => Fault::Hangup { processes: some_processes(random) },
        12 => Fault::Split { side: some_members(random, 1..MEMBERS / 2 + 1), for_ms },
        13 => Fault::OneWay { senders: some_processes(random), for_ms },
        14 => {
            let delay_ms = random.random_range(LONG_DELAY_MS);
            Fault::Delay { process: random_process(random), delay_ms, for_ms }
        }
        _ => Fault::ResetConnections { processes: some_processes(random) },
    }
}

fn random_process(random: &mut StdRng) -> Process {
    all_processes().choose(random).copied().unwrap_or(Process::Member(0))
}

fn generate_storms(random: &mut StdRng) -> Vec<Storm> {
    (0..random.random_range(4..9)).map(|_| generate_storm(random)).collect()
}

fn generate_storm(random: &mut StdRng) -> Storm {
    let count = if random.random_range(0..3) == 0 { random.random_range(6..20) } else { 2 };
    Storm {
        at_ms: random.random_range(CHANGES_MS),
        gap_ms: random.random_range(10..400),
        changes: (0..count).map(|_| generate_change(random)).collect(),
    }
}

fn generate_change(random: &mut StdRng) -> Change {
    match random.random_range(0..20) {
        0..4 => Change::Timeouts,
        4..8 => Change::Keys,
        8..11 => Change::Priorities,
        11..14 => Change::Quotas,
        14 => Change::ManyRoutes(150),
        15 => Change::ManyRoutes(1_400),
        16 => Change::ManyRoutes(4_000),
        17 => Change::ManyRoutes(0),
        _ => Change::Invalid(*Invalidity::ALL.choose(random).unwrap_or(&Invalidity::SamePrefix)),
    }
}
