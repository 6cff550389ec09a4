//! Replica selection for one request: prefix affinity with bounded load.

/// Prefix affinity is ignored for replicas whose load is above this percentage of the mean.
const BOUNDED_LOAD_PERCENT: u64 = 125;

/// How a replica is selected. All policies but [`ChoicePolicy::PrefixAffinity`] are baselines for
/// measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// Longest cached prefix among replicas that are not overloaded, then least loaded.
    #[default]
    PrefixAffinity,
    /// Least loaded; cached prefixes are ignored.
    LeastLoaded,
    /// Least recently granted.
    RoundRobin,
}

/// A replica that can take the request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Replica resource name.
    pub replica: &'a str,
    /// Slots in use.
    pub used: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Number of the prompt's leading blocks that the replica probably holds.
    pub matched_blocks: usize,
    /// Sequence number of the last grant to this replica.
    pub last_granted: u64,
}

impl Candidate<'_> {
    /// Share of slots in use, in thousandths.
    fn load(&self) -> u64 {
        u64::from(self.used) * 1000 / u64::from(self.slots.max(1))
    }
}

/// Selects one of the candidates, which all have a free slot. Ties go to the least recently granted one.
pub fn choose<'a>(policy: ChoicePolicy, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let best = match policy {
        ChoicePolicy::PrefixAffinity => {
            let bound = load_bound(candidates);
            candidates.iter().min_by_key(|candidate| {
                let matched = if candidate.load() <= bound { candidate.matched_blocks } else { 0 };
                (std::cmp::Reverse(matched), candidate.load(), candidate.last_granted, candidate.replica)
            })
        }
        ChoicePolicy::LeastLoaded => candidates
            .iter()
            .min_by_key(|candidate| (candidate.load(), candidate.last_granted, candidate.replica)),
        ChoicePolicy::RoundRobin => {
            candidates.iter().min_by_key(|candidate| (candidate.last_granted, candidate.replica))
        }
    };
    best.map(|candidate| candidate.replica)
}

fn load_bound(candidates: &[Candidate<'_>]) -> u64 {
    let total: u64 = candidates.iter().map(Candidate::load).sum();
    let mean = total / (candidates.len().max(1) as u64);
    // A single request on an idle pool must not break affinity, so the bound is at least one slot in eight.
    (mean * BOUNDED_LOAD_PERCENT / 100).max(125)
}
